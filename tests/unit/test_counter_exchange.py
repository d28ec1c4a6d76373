"""Exchanged counters bound the gap in service, also with faults and restarts.

The tests run the real queues and exchanges of several routers in one process;
``tools.fairness_model`` says which parts are fakes.
"""

import random

import pytest

from hickorymux._internal.coordination.pool_exchange import (
    MIN_COLLECT_SECONDS,
)
from hickorymux._internal.protocol.thrift_codec import thrift_codec
from tools.fairness_model import Fleet, Load, Settings

ZONES = (('a-1', 'a-2'), ('b-1', 'b-2'), ('c-1', 'c-2'), ('d-1',))
ROUTERS = tuple(router for zone in ZONES for router in zone)
CUSTOMERS = 16
SECONDS = 240
RESTARTS = 8
RESTART_EVERY_SECONDS = 15


def make_loads():
    everywhere = [Load(f'big-{number}', ROUTERS, 50) for number in range(3)]
    single = [
        Load(f'small-{number}', (ROUTERS[number % 7],), (50, 300)[number % 2])
        for number in range(CUSTOMERS - 3)
    ]
    # A share is 12 slots of 100 units a second, divided by 18 customers and by
    # 100 units a request: 0.67 requests a second. The flooding customer sends
    # 100 times as many, and the customer ``polite`` sends fewer.
    flood = Load('flood', ROUTERS, 100, rate=0.67 * 100 / 7)
    polite = Load('polite', ('d-1',), 100, rate=0.2, counts_in_gap=False)
    return [*everywhere, *single, flood, polite]


def make_fleet(policy='fair', seed=7, **changes):
    return Fleet(
        Settings(
            loads=make_loads(),
            zones=ZONES,
            seed=seed,
            slots=12,
            least_cost=10,
            largest_cost=1000,
            policy=policy,
            **changes,
        ),
    )


def largest_gap(fleet):
    largest = 0
    for _ in range(SECONDS // 10):
        fleet.time.run(10)
        largest = max(largest, fleet.service_gap())
    return largest


def test_gap_and_waits_stay_under_their_bounds():
    fleet = make_fleet()
    limits = fleet.settings.limits()
    assert largest_gap(fleet) < limits.gap_bound
    own = fleet.settings.largest_cost
    bound = limits.wait_bound(CUSTOMERS + 2, own)
    assert max(fleet.waits['polite']) < bound


@pytest.mark.parametrize('policy', ['no-exchange', 'round-robin', 'fifo'])
def test_baselines_break_the_bound(policy):
    fleet = make_fleet(policy)
    assert largest_gap(fleet) > fleet.settings.limits().gap_bound


def test_views_are_as_fresh_as_stated_and_never_too_high():
    fleet = make_fleet()
    fleet.time.run(MIN_COLLECT_SECONDS + fleet.settings.staleness)
    for _ in range(40):
        fleet.time.run(0.7)
        assert fleet.max_staleness() <= fleet.settings.staleness
        assert fleet.view_excess() <= 0


def test_exchange_keeps_to_its_budget():
    fleet = make_fleet(bytes_per_second=700)
    fleet.time.run(60)
    for router in fleet.routers.values():
        assert router.exchange.sent_bytes <= 61 * 700


def test_many_peers_get_synced_within_a_narrow_budget():
    names = [f'r-{number}' for number in range(20)]
    loads = [Load(f'customer-{number}', names, 100) for number in range(3)]
    zones = [[name] for name in names]
    fleet = Fleet(Settings(loads, zones, slots=20, bytes_per_second=500))
    fleet.time.run(50)
    for router in fleet.routers.values():
        assert router.queue.counters.is_synced
        assert router.exchange.sent_bytes <= 51 * 500
    assert fleet.max_staleness() < 30


def test_messages_take_no_more_bytes_than_estimated():
    fleet = make_fleet()
    codec = thrift_codec()
    encoded = 0

    def count(router_id, message):
        nonlocal encoded
        encoded += len(codec.encode(message)[1]) + 100
        return True

    router = fleet.routers['d-1']
    fleet.time.run(30)
    before = router.exchange.sent_bytes
    router.exchange.sender = type('Counter', (), {'send': count})
    fleet.time.run(5)
    assert 0 < encoded <= router.exchange.sent_bytes - before


def test_messages_survive_the_codec():
    fleet = make_fleet()
    codec = thrift_codec()
    deliver = fleet.deliver

    def through_codec(sender, router_id, message):
        decoded = codec.decode(*codec.encode(message))
        assert decoded == message
        deliver(sender, router_id, decoded)

    fleet.deliver = through_codec
    fleet.time.run(10)
    assert fleet.max_staleness() <= fleet.settings.staleness


def test_flush_sends_all_that_is_unsent():
    fleet = make_fleet(bytes_per_second=100)
    fleet.time.run(5)
    router = fleet.routers['a-2']
    router.queue.charge(router.queue.enqueue('last', 0, 0), 77)
    router.exchange.flush()
    links = router.exchange.pools['p'].links.values()
    assert [link.pending for link in links] == [set()]


def test_gap_is_bounded_through_restarts_that_lose_the_counters():
    fleet = make_fleet()
    limits = fleet.settings.limits()
    rng = random.Random(3)
    lost = 0
    for _ in range(RESTARTS):
        router_id = rng.choice(ROUTERS)
        fleet.stop_router(router_id)
        fleet.start_router(router_id)
        fleet.time.run(RESTART_EVERY_SECONDS)
        lost += limits.staleness * limits.slots * limits.slot_rate
        assert fleet.view_excess() <= 0
    assert fleet.service_gap() < limits.gap_bound + lost


def restart(fleet, router_ids):
    for router_id in router_ids:
        fleet.stop_router(router_id)
    for router_id in router_ids:
        fleet.start_router(router_id)


def assert_little_is_lost(fleet, slots=1):
    """Assert that the views lack only service that a restart can lose.

    That is service from just before the crash and during the synchronisation.
    ``slots`` is the part of the slots in use during the synchronisation.
    """
    seconds = fleet.settings.staleness + MIN_COLLECT_SECONDS * slots
    lost = seconds * fleet.settings.slots * fleet.settings.slot_rate
    for router in fleet.routers.values():
        known = sum(map(router.queue.counters.total_service, fleet.service))
        assert sum(fleet.service.values()) - known < lost
    assert fleet.view_excess() <= 0


@pytest.mark.parametrize('routers', [('a-1', 'a-2'), ('d-1',), ROUTERS[:6]])
def test_zone_that_lost_its_counters_continues_from_its_total(routers):
    fleet = make_fleet()
    fleet.time.run(60)
    restart(fleet, routers)
    fleet.time.run(60)
    assert_little_is_lost(fleet)


@pytest.mark.parametrize('zone', [0, 3])
def test_zone_that_restarted_while_cut_off_continues_from_its_total(zone):
    fleet = make_fleet()
    fleet.time.run(120)
    fleet.cut_zone = f'zone-{zone}'
    for router_id in ZONES[zone]:
        fleet.stop_router(router_id)
    for router_id in ZONES[zone]:
        fleet.start_router(router_id)
        fleet.time.run(1)
    fleet.time.run(90)
    fleet.cut_zone = None
    fleet.time.run(30)
    assert_little_is_lost(fleet, 1 / len(ZONES))


def test_late_report_to_an_earlier_incarnation_does_not_complete_a_report():
    fleet = make_fleet()
    fleet.time.run(20)
    delegate = fleet.routers['a-1'].exchange.pools['p'].delegate.router_id
    late = []
    for router_id in ('a-1', 'a-2'):
        if router_id != delegate:
            fleet.routers[router_id].exchange.sender = type(
                'Late', (), {'send': lambda to, message: late.append(message)}
            )
            fleet.time.run(1)
            restart(fleet, [delegate])
            fleet.time.run(0.7)
            member = router_id
    exchange = fleet.routers[delegate].exchange
    exchange.on_message(member, late[0])
    totals = exchange.pools['p'].zone_totals
    assert not any(one.is_complete for one in totals.reports.values())


def test_message_to_an_earlier_incarnation_does_not_sync_a_router():
    fleet = make_fleet()
    fleet.time.run(20)
    delegate = fleet.routers['a-1'].exchange.pools['p'].delegate
    (member,) = {'a-1', 'a-2'} - {delegate.router_id}
    late = []
    deliver = fleet.deliver

    def hold(sender, router_id, message):
        if router_id == member:
            late.append(message)
        else:
            deliver(sender, router_id, message)

    fleet.deliver = hold
    fleet.time.run(1)
    restart(fleet, [member])
    # One heartbeat, and one tick after it.
    fleet.time.run(1.2)
    exchange = fleet.routers[member].exchange
    exchange.on_message(delegate.router_id, late[0])
    pool = exchange.pools['p']
    assert late[0].is_complete
    assert pool.delegate == delegate
    assert not pool.counters.is_synced


def test_no_customer_starves_after_a_rejoin():
    fleet = make_fleet()
    fleet.time.run(30)
    fleet.cut_zone = 'zone-3'
    fleet.time.run(60)
    fleet.cut_zone = None
    fleet.time.run(5)
    counters = fleet.routers['a-1'].queue.counters
    fleet.waits.clear()
    before = dict(fleet.service)
    limits = fleet.settings.limits()
    # All debt but one largest request is forgiven, so every customer is served
    # within this time.
    rate = limits.slots * limits.slot_rate
    horizon = (CUSTOMERS + 2) * limits.largest_request / rate
    horizon += limits.wait_bound(CUSTOMERS + 2, 0)
    fleet.time.run(horizon)
    starved = [name for name in before if fleet.service[name] == before[name]]
    assert counters.is_synced
    assert starved == []


@pytest.mark.parametrize('seed', [0, 31])
def test_views_never_exceed_the_true_service_under_faults(seed):
    rng = random.Random(seed)
    fleet = make_fleet(seed=seed)
    for _ in range(30):
        fleet.cut_zone = rng.choice([None, 'zone-0', 'zone-1', 'zone-3'])
        restart(fleet, rng.sample(ROUTERS, rng.randint(0, 2)))
        fleet.time.run(rng.choice([1, 4, 15]))
        assert fleet.view_excess() <= 0
    fleet.cut_zone = None
    fleet.time.run(40)
    assert all(
        router.queue.counters.is_synced for router in fleet.routers.values()
    )
