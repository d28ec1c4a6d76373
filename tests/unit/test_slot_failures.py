"""Slot leases under failures of coordinators, routers and connections.

An upstream is overloaded if a slot is leased out again while its former holder
still uses it. Slots stay idle if leases are not taken over after a failure.
"""

import dataclasses

from lib.slot_fleet import POOL, Engine, Network, Router

from hickorymux._internal.coordination.slot_home import LEASE_SECONDS
from hickorymux._internal.coordination.slot_messages import (
    SlotCount,
    SlotRenew,
)
from hickorymux._internal.state.tables import Upstream

LIMIT = 4
MANY = 100_000


def make_network(zones: str, routers: int, upstreams: int) -> Network:
    """Return a network with some routers and upstreams in each zone."""
    network = Network(
        [
            Upstream(f'engine-{zone}{index}', zone, f'{zone}:{index}', LIMIT)
            for zone in zones
            for index in range(upstreams)
        ]
    )
    for zone in zones:
        for index in range(routers):
            network.add(f'router-{zone}{index}', zone)
    return network


def flood(network: Network) -> None:
    for router in network.routers.values():
        router.demand(MANY)


def running(network: Network, zone: str = '') -> int:
    return sum(
        engine.running
        for engine in network.engines.values()
        if engine.upstream.zone.startswith(zone)
    )


def peak(network: Network) -> int:
    return max(engine.peak for engine in network.engines.values())


def coordinator_id_of(network: Network, router: Router, name: str) -> str:
    upstream = network.engines[name].upstream
    return router.coordinator.coordinator_map.coordinator_of(upstream)


def longest_pause(engine: Engine, since: float) -> float:
    starts = [one for one in engine.starts if one >= since]
    return max(later - one for one, later in zip(starts, starts[1:]))


async def test_coordinator_leaves_gracefully_without_a_pause() -> None:
    network = make_network('a', 3, 1)
    flood(network)
    await network.run(6)
    since = network.clock.now
    name = coordinator_id_of(network, network.routers['router-a0'], 'engine-a0')
    leaving = network.routers[name]
    leaving.member = dataclasses.replace(leaving.member, is_leaving=True)
    for view in (leaving.coordinator.members, leaving.holder.members):
        view.myself = leaving.member
    leaving.waiting = 0
    leaving.send_demand()
    leaving.coordinator.hand_over_all()
    await network.run(1)
    assert longest_pause(network.engines['engine-a0'], since) < 0.2
    network.crash(name)
    await network.run(6)
    assert peak(network) == LIMIT
    assert running(network) == LIMIT


async def test_coordinator_crash_keeps_leases_and_limit() -> None:
    network = make_network('a', 3, 1)
    flood(network)
    await network.run(6)
    since = network.clock.now
    coordinator_id = coordinator_id_of(
        network, network.routers['router-a0'], 'engine-a0'
    )
    network.crash(coordinator_id)
    await network.run(8)
    assert peak(network) == LIMIT
    assert running(network) == LIMIT
    assert longest_pause(network.engines['engine-a0'], since) < 0.5


async def test_restarted_coordinator_waits_for_old_leases_to_expire() -> None:
    network = make_network('a', 3, 1)
    for router in network.routers.values():
        router.work_seconds = 1.0
    flood(network)
    await network.run(6)
    coordinator_id = coordinator_id_of(
        network, network.routers['router-a0'], 'engine-a0'
    )
    network.crash(coordinator_id)
    network.add(coordinator_id, 'a', incarnation=2).demand(MANY)
    await network.run(8)
    assert peak(network) == LIMIT
    assert running(network) == LIMIT


async def test_restarted_coordinator_waits_for_a_lease_it_cannot_see() -> None:
    network = make_network('a', 3, 1)
    for router in network.routers.values():
        router.work_seconds = 0.5
    flood(network)
    await network.run(6)
    coordinator_id = coordinator_id_of(
        network, network.routers['router-a0'], 'engine-a0'
    )
    for name in network.routers:
        network.lose_messages_between(name, coordinator_id)
    network.crash(coordinator_id)
    network.add(coordinator_id, 'a', incarnation=2).demand(MANY)
    await network.run(8)
    assert peak(network) == LIMIT


async def test_router_cut_off_from_its_coordinator_stops_within_a_lease() -> (
    None
):
    network = make_network('a', 3, 1)
    flood(network)
    await network.run(6)
    names = sorted(network.routers)
    coordinator_id = coordinator_id_of(
        network, network.routers[names[0]], 'engine-a0'
    )
    others = [name for name in names if name != coordinator_id]
    lost = network.routers[others[0]].holder.held_leases['engine-a0'].held
    network.lose_messages_between(others[0], coordinator_id)
    await network.run(LEASE_SECONDS)
    # One more slot may be granted to it before its silence is noticed.
    assert running(network) >= LIMIT - lost - 1
    started = network.routers[others[0]].started
    await network.run(4)
    assert network.routers[others[0]].started == started
    assert peak(network) == LIMIT
    assert running(network) == LIMIT


async def test_paused_router_does_not_send_after_its_lease() -> None:
    network = make_network('a', 2, 1)
    flood(network)
    await network.run(6)
    for router in network.routers.values():
        router.waiting = 0
        router.send_demand()
    await network.run(1)
    paused, other = network.routers.values()
    paused.holder.on_available = print
    paused.waiting = 1
    paused.send_demand()
    await network.run(0.01)
    slot = paused.holder.acquire(POOL, network.clock.now)
    assert slot is not None
    paused.is_paused = True
    other.demand(MANY)
    await network.run(LEASE_SECONDS + 4)
    paused.is_paused = False
    paused.waiting = 1
    assert not paused.send(slot)
    assert peak(network) == LIMIT


async def test_drain_holds_also_at_a_router_that_has_not_heard() -> None:
    network = make_network('ab', 2, 1)
    flood(network)
    await network.run(8)
    drained = dataclasses.replace(
        network.tables, version=2, drained_zones=frozenset('a')
    )
    unaware = network.routers['router-b0']
    for router in network.routers.values():
        if router is not unaware:
            router.tables = drained
    await network.run(0.3)
    engine = network.engines['engine-a0']
    started_before = engine.started
    network.lose_messages_between('router-b0', 'router-a0')
    network.lose_messages_between('router-b0', 'router-a1')
    await network.run(5)
    assert engine.started == started_before
    assert running(network, 'b') == LIMIT


async def test_drain_ends_at_a_cut_off_router_within_a_lease() -> None:
    network = make_network('ab', 2, 1)
    flood(network)
    await network.run(8)
    for name in ('router-a0', 'router-a1', 'router-b1'):
        network.lose_messages_between('router-b0', name)
    drained = dataclasses.replace(
        network.tables, version=2, drained_zones=frozenset('a')
    )
    for name, router in network.routers.items():
        if name != 'router-b0':
            router.tables = drained
    await network.run(LEASE_SECONDS)
    engine = network.engines['engine-a0']
    started = engine.started
    await network.run(4)
    assert engine.started == started


async def test_drained_zone_comes_back_by_a_ramp() -> None:
    network = make_network('ab', 2, 1)
    flood(network)
    await network.run(8)
    before = network.tables
    drained = dataclasses.replace(
        before, version=2, drained_zones=frozenset('a')
    )
    for router in network.routers.values():
        router.tables = drained
    await network.run(3)
    assert running(network, 'a') == 0
    assert running(network, 'b') == LIMIT
    engine = network.engines['engine-a0']
    engine.peak = 0
    for router in network.routers.values():
        router.tables = before
    await network.run(0.4)
    assert engine.peak <= LIMIT // 2
    await network.run(3)
    assert running(network, 'a') == LIMIT


async def test_overshoot_of_two_coordinators_is_bounded_and_ends() -> None:
    network = make_network('a', 4, 1)
    flood(network)
    await network.run(6)
    left, right = ['router-a0', 'router-a1'], ['router-a2', 'router-a3']
    network.cut(left, right)
    await network.run(10)
    engine = network.engines['engine-a0']
    assert engine.peak <= 2 * LIMIT
    engine.peak = 0
    await network.run(5)
    assert engine.peak <= LIMIT + 1
    network.cut_links.clear()
    await network.run(8)
    engine.peak = 0
    await network.run(2)
    assert engine.peak == LIMIT
    assert engine.running == LIMIT


async def test_zone_cut_off_serves_itself_and_rejoins() -> None:
    network = make_network('ab', 2, 2)
    flood(network)
    await network.run(8)
    left = [name for name in network.routers if name.startswith('router-a')]
    right = [name for name in network.routers if name.startswith('router-b')]
    network.cut(left, right)
    network.cut_zones.add('a')
    await network.run(10)
    assert running(network, 'a') == 2 * LIMIT
    assert running(network, 'b') == 2 * LIMIT
    network.cut_links.clear()
    network.cut_zones.clear()
    await network.run(10)
    assert running(network, 'a') == 2 * LIMIT
    assert running(network, 'b') == 2 * LIMIT
    assert peak(network) <= 2 * LIMIT


async def test_late_opening_does_not_restore_an_expired_lease() -> None:
    network = make_network('a', 2, 1)
    flood(network)
    await network.run(6)
    first, _ = network.routers.values()
    coordinator_id = coordinator_id_of(network, first, 'engine-a0')
    coordinator = network.routers[coordinator_id].coordinator
    stale = SlotRenew(
        session=10**9, is_opening=True, held=[SlotCount('engine-a0', LIMIT)]
    )
    for lease in coordinator.ledgers['engine-a0'].leases.values():
        lease.expires_at = network.clock.now
    coordinator.ledgers['engine-a0'].expire(network.clock.now)
    coordinator.on_message('router-a0', stale)
    assert 'router-a0' not in coordinator.ledgers['engine-a0'].leases
