"""Tests of what decides which upstreams may get requests.

That is their health, the limits for cold upstreams, the registry and the load
tracker.
"""

from hickorymux._internal.coordination.engines.cold_share import ColdShare
from hickorymux._internal.coordination.engines.health import UpstreamHealth
from hickorymux._internal.coordination.engines.load_tracker import (
    EngineLoad,
    LoadTracker,
)
from hickorymux._internal.coordination.engines.router_ranks import RouterRanks
from tests.lib.demands import registry, upstream

POOL = ['e1', 'e2', 'e3']


def cold_share(name, routers):
    """Return the share of one of these routers."""
    ranks = RouterRanks(name)
    ranks.update(routers)
    return ColdShare(ranks)


def test_failed_connection_excludes_an_upstream_at_once():
    health = UpstreamHealth()
    health.on_connect_failed('e1', 0)
    assert not health.is_available('e1', 0.1)
    assert health.is_available('e1', 0.6)
    assert health.is_available('e2', 0.1)


def test_one_request_tries_an_upstream_that_failed():
    health = UpstreamHealth()
    health.on_connect_failed('e1', 0)
    health.on_sent('e1', 1)
    assert not health.is_available('e1', 1.1)
    health.on_success('e1')
    assert health.is_available('e1', 1.2)


def test_upstream_that_fails_more_than_its_pool_is_left_out():
    """Two in five answers of one upstream fail, while its health check passes."""
    health = UpstreamHealth()
    for number in range(20):
        now = number / 10
        for name in POOL:
            if name == 'e1' and number % 5 < 2:
                health.on_failure(name, POOL, now)
            else:
                health.on_success(name)
    for _ in range(5):
        health.on_failure('e1', POOL, 3)
    assert not health.is_available('e1', 3.1)
    assert health.is_available('e2', 3.1)


def test_failures_of_the_whole_pool_exclude_no_upstream():
    health = UpstreamHealth()
    for number in range(40):
        for name in POOL:
            health.on_failure(name, POOL, number / 10)
    late = [name for name in POOL if health.is_available(name, 4)]
    assert late


def test_all_routers_together_keep_the_cold_rate_limit():
    """All routers have requests for one cold engine.

    Whatever the number of routers, together they must not exceed the limit.
    """
    for count in (1, 2, 6, 7, 40, 86):
        names = [f'router-{number}' for number in range(count)]
        total = 0
        for name in names:
            share = cold_share(name, names)
            while share.may_send('e1#1', 29, 0):
                share.on_sent('e1#1', 0)
                total += 1
        assert 0 < total <= 29, count


def test_cold_rate_limit_uses_a_sliding_window():
    share = cold_share('me', ['me'])
    while share.may_send('e1#1', 10, 0):
        share.on_sent('e1#1', 0)
    assert not share.may_send('e1#1', 10, 0.99)
    assert share.may_send('e1#1', 10, 1.01)


def test_router_that_knows_no_others_sends_nothing_to_cold_ones():
    assert not cold_share('me', []).may_send('e1#1', 29, 0)


def test_entries_that_lapse_in_an_outage_are_held_for_a_while():
    known = registry(2)
    known.start_grace_period(10)
    known.remove('e0', 10.1)
    assert 'e0' in known.upstreams
    known.put(upstream(0))
    known.expire(12.5)
    assert 'e0' in known.upstreams
    known.start_grace_period(20)
    known.keep_only(frozenset({'e1'}), 20.1)
    known.expire(22.5)
    assert 'e0' not in known.upstreams


def test_upstreams_that_left_are_used_after_an_outage():
    """A few that go during the grace period have left; the rest is enough."""
    known = registry(4)
    known.start_grace_period(10)
    for name in ('e0', 'e1'):
        known.remove(name, 10.1)
    ids = [one.upstream_id for one in known.available_in_pool('models')]
    assert ids == ['e2', 'e3']


def test_pool_is_left_without_upstreams_after_an_outage():
    """Entries that lapsed in the outage come back, so most are in use."""
    known = registry(4)
    known.start_grace_period(10)
    for number in range(4):
        known.remove(f'e{number}', 10.1)
    assert len(list(known.available_in_pool('models'))) == 4
    known.put(upstream(0))
    assert len(list(known.available_in_pool('models'))) == 4
    known.put(upstream(1))
    assert len(list(known.available_in_pool('models'))) == 2
    known.expire(12.5)
    assert len(list(known.available_in_pool('models'))) == 2


def test_zone_that_was_evacuated_comes_back_cold():
    known = registry(1)
    known.update_evacuated_zones(frozenset({'z1'}), 0)
    assert not list(known.available_in_pool('models'))
    known.update_evacuated_zones(frozenset(), 5)
    assert known.is_cold(known.upstreams['e0'], 6)
    assert not known.is_cold(known.upstreams['e0'], 8)


def test_load_tracker_adds_and_expires_peer_reports():
    load_tracker = LoadTracker()
    load_tracker.add('e1', EngineLoad(1, 100, 200))
    load_tracker.replace_report('b', {'e1': EngineLoad(2, 50, 60)}, 0)
    load_tracker.replace_report('b', {'e1': EngineLoad(3, 70, 80)}, 1)
    assert load_tracker.total_load('e1') == EngineLoad(4, 170, 280)
    load_tracker.expire(3)
    assert load_tracker.total_load('e1') == EngineLoad(1, 100, 200)
    load_tracker.mark_processed('e1', 100)
    load_tracker.remove('e1', EngineLoad(1, 0, 200))
    assert load_tracker.total_load('e1') == EngineLoad()
