"""Tests of what upstreams state of their load, under changing speeds."""

import pytest

from hickorymux._internal.coordination.engines.reported_loads import (
    MAX_AGE_SECONDS,
    ReportedLoads,
)
from hickorymux._internal.protocol.upstream_http import UpstreamLoad

SLOW = UpstreamLoad(running=20, waiting=4, slots=48, work_time=2.5)


@pytest.fixture
def loads():
    found = ReportedLoads()
    found.on_answer('e1', 'models', SLOW, own_running=6, now=10)
    return found


def test_a_slow_moment_is_forgotten_as_fast_as_it_passes(loads):
    """An average over answers would still call the engine slow."""
    times = [loads.work_time('e1', 10 + age) for age in (0, 0.25, 0.5, 3)]
    assert times == pytest.approx([2.5, 1.75, 1.375, 1])


def test_requests_of_unheard_routers_count(loads):
    """Reports of the peers are late, so only 10 of 24 requests are known."""
    assert loads.running('e1', tracked=10, own_running=6, now=10) == 24


def test_own_requests_since_the_statement_count(loads):
    """A burst at one router must not fill an engine that looked idle."""
    assert loads.running('e1', tracked=10, own_running=16, now=10) == 34
    assert loads.running('e1', tracked=10, own_running=0, now=10) == 18


def test_an_old_statement_gives_way_to_the_estimate(loads):
    now = 10 + MAX_AGE_SECONDS + 0.1
    assert loads.running('e1', tracked=10, own_running=6, now=now) == 10


def test_upstreams_that_do_not_state_their_speed_are_not_corrected(loads):
    """That is the switch; a lost figure ends the use of the former one."""
    loads.on_answer(
        'e1', 'models', UpstreamLoad(20, 4, 48), own_running=6, now=11
    )
    loads.on_answer('e2', 'models', None, own_running=1, now=11)
    for upstream_id in ('e1', 'e2'):
        assert loads.work_time(upstream_id, 11) == 1
        assert loads.running(upstream_id, 3, 1, 11) == 3


def test_absurd_times_of_work_are_bounded(loads):
    loads.on_answer('e1', 'models', UpstreamLoad(1, 0, 48, 10_000), 1, 12)
    assert loads.work_time('e1', 12) <= 10


def test_unreadable_statements_do_not_flood_the_log(loads):
    assert loads.should_warn(5)
    assert not loads.should_warn(5.9)
    assert loads.should_warn(6.1)


def test_statements_of_gone_upstreams_take_no_memory(loads):
    loads.prune(now=10 + MAX_AGE_SECONDS + 0.1)
    assert not loads.statements
