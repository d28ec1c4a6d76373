"""The policy for idle connections, without a network."""

import datetime as dt
import random

import pytest

from hickorymux._internal.transport.connection_policy import (
    ConnectionPolicy,
    ConnectionSettings,
    ReuseMode,
    read_timeout,
)
from tests.lib.manual_clock import ManualClock

ADDRESS = '10.0.0.7:80'
SHORT = dt.timedelta(seconds=1.5)
ROUTERS = 58
ENGINES = 30
REQUESTS = 9000
SECONDS = 34


def new_policy(clock, **settings):
    policy = ConnectionPolicy(clock, ConnectionSettings(**settings), SHORT)
    policy.note_upstream(ADDRESS, 'pool', 0)
    return policy


@pytest.mark.parametrize(
    ('header', 'seconds'),
    [
        ('timeout=5, max=100', 5),
        ('max=100,Timeout=20', 20),
        ('timeout="7"', 7),
        ('timeout=0', 0),
        ('timeout=-5', None),
        ('timeout=9999999999', None),
        ('mytimeout=5', None),
        ('', None),
    ],
)
def test_odd_headers_announce_no_timeout(header, seconds):
    """Guards against a limit taken from a malformed header."""
    assert read_timeout(header) == seconds


def test_silent_pool_is_as_before():
    """Guards against longer reuse where no upstream asks for it."""
    policy = new_policy(ManualClock())
    policy.on_response(ADDRESS, '')
    assert not policy.is_active(ADDRESS)
    assert policy.idle_limit(ADDRESS) == SHORT.total_seconds()
    policy.note_upstream(ADDRESS, 'pool', 670)
    assert not policy.is_active(ADDRESS)
    policy.note_upstream('10.0.0.8:80', 'other', 670)
    policy.on_response('10.0.0.8:80', 'timeout=20')
    assert policy.is_active('10.0.0.8:80')
    assert not policy.is_active(ADDRESS)


def test_switch_off_ignores_announcements():
    """Guards against a switch that does not switch off."""
    policy = new_policy(ManualClock(), reuse=ReuseMode.disabled)
    policy.on_response(ADDRESS, 'timeout=20')
    assert policy.idle_limit(ADDRESS) == SHORT.total_seconds()


@pytest.mark.parametrize(
    ('header', 'limit'), [('timeout=20', 19), ('timeout=1', 0.5)]
)
def test_announced_timeout_is_not_exceeded(header, limit):
    """Guards against requests on connections that expire meanwhile."""
    policy = new_policy(ManualClock())
    policy.on_response(ADDRESS, header)
    assert policy.idle_limit(ADDRESS) == limit
    order = policy.reuse_limit(ADDRESS, may_be_resent=False, is_stream=False)
    assert order <= min(1, limit / 2)
    stream = policy.reuse_limit(ADDRESS, may_be_resent=False, is_stream=True)
    assert stream <= min(5, limit / 2)


def test_resets_lower_the_limit_for_longer_each_time():
    """Guards against a reset for each growth of the limit, without end."""
    clock = ManualClock()
    policy = new_policy(clock)
    policy.on_response(ADDRESS, 'timeout=60')
    drops = 0
    for _ in range(3600):
        clock.advance(1)
        if policy.idle_limit(ADDRESS) > 5:
            policy.on_idle_drop(ADDRESS, 5.5)
            drops += 1
    # The limit exceeds 5 s again one hold after a reset: at 60 s, 180, 420,
    # 900, and from 1860 on every 960.
    assert drops == 7
    assert policy.on_idle_drop(ADDRESS, 9) is None


def test_idle_connections_stay_within_the_share():
    """Guards against routers that together exhaust an engine's limit."""
    policy = new_policy(ManualClock())
    policy.note_upstream(ADDRESS, 'pool', 670)
    for routers in (1, 6, ROUTERS, 195, 1000):
        policy.router_count = routers
        idle = policy.idle_share(ADDRESS)
        assert idle == 1 or idle * routers <= 670 / 2
        assert policy.max_idle_connections(ADDRESS) <= max(idle, 67)


def test_forgets_upstreams_that_left():
    """Guards against state that grows with each address ever used."""
    clock = ManualClock()
    policy = new_policy(clock)
    clock.advance(601)
    policy.prune()
    assert not policy.upstreams


def _new_connections(*, keep_alive, repeatable, drops_after=3600):
    """Return the new connections and resets of all routers on a quiet day.

    Each request takes the connection that its router used last, as the
    connector does. ``repeatable`` is the share of requests that may be resent.
    """
    rng = random.Random(7)
    clock = ManualClock()
    policies = [new_policy(clock) for _ in range(ROUTERS)]
    idle_since = {}
    new = resets = lost = 0
    for _ in range(REQUESTS):
        clock.advance(SECONDS / REQUESTS)
        router, engine = rng.randrange(ROUTERS), rng.randrange(ENGINES)
        address = f'10.0.0.{engine}:80'
        policy = policies[router]
        policy.note_upstream(address, 'pool', 0)
        may_be_resent = rng.random() < repeatable
        idle = clock.now - idle_since.get((router, engine), -9999)
        idle_since[router, engine] = clock.now
        if idle > policy.reuse_limit(
            address, may_be_resent=may_be_resent, is_stream=False
        ):
            new += 1
        elif idle > drops_after:
            policy.on_idle_drop(address, idle)
            new += 1
            resets += 1
            lost += not may_be_resent
        policy.on_response(address, keep_alive)
    return new, resets, lost


def test_quiet_day_of_many_routers_and_few_engines():
    """Guards against most requests paying for a connection of their own."""
    before, _, _ = _new_connections(keep_alive='', repeatable=1)
    after, resets, lost = _new_connections(
        keep_alive='timeout=30', repeatable=1
    )
    pairs = ROUTERS * ENGINES
    # Each pair of a router and an engine needs its first connection.
    assert after <= pairs * 1.05 < before
    assert (resets, lost) == (0, 0)


def test_silent_drops_cost_few_resets_and_no_request_that_runs_once():
    """Guards against a reset for each connection that was dropped."""
    _, resets, lost = _new_connections(
        keep_alive='timeout=30', repeatable=0.7, drops_after=3
    )
    assert 0 < resets <= 2 * ROUTERS
    assert lost == 0
