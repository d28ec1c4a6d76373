"""A cold upstream never gets more work than its cold limit.

A restarted upstream is cold and falls over above this limit. It could get more
if a router did not know of the restart, if two routers used the same permit,
or if a router kept using a permit after an outage of the log.
"""

import pytest
from lib.slot_fleet import POOL, Network

from hickorymux._internal.state.cold_permits import (
    PermitFold,
    PermitKey,
    PermitRecord,
)
from hickorymux._internal.state.tables import Upstream

SLOTS = 4
MANY = 100_000
STREAM = 'cold-starts.a'


def make_network(routers: int = 3, cold_slots: int = 1) -> Network:
    network = Network(
        [Upstream('engine', 'a', 'engine:1', SLOTS, cold_slots=cold_slots)]
    )
    for index in range(routers):
        network.add(f'router-{index}', 'a')
    return network


def flood(network: Network) -> None:
    for router in network.routers.values():
        router.demand(MANY)


def holder_ids(network: Network) -> list[str]:
    return [
        name
        for name, router in sorted(network.routers.items())
        if router.cold_starts.permits
    ]


@pytest.mark.parametrize('cold_slots', [1, 2])
async def test_cold_upstream_runs_its_cold_limit_and_no_more(
    cold_slots: int,
) -> None:
    network = make_network(cold_slots=cold_slots)
    engine = network.engines['engine']
    engine.crash('i1')
    flood(network)
    await network.run(8)
    assert engine.peak_cold == cold_slots
    assert engine.running == cold_slots
    assert engine.started > 20 * cold_slots


async def test_crash_of_a_warm_upstream_stops_work_until_it_is_known() -> None:
    network = make_network()
    engine = network.engines['engine']
    flood(network)
    await network.run(6)
    assert engine.running == SLOTS
    engine.crash('i2')
    await network.run(6)
    assert engine.peak_cold == 1
    assert engine.running == 1


async def test_new_instance_gets_nothing_before_its_restart_is_detected() -> (
    None
):
    network = make_network()
    engine = network.engines['engine']
    flood(network)
    await network.run(6)
    for router in network.routers.values():
        router.running.clear()
    engine.crash('i2')
    for router in network.routers.values():
        router.on_available(POOL)
    assert engine.running == 0


async def test_warm_upstream_is_ramped_up_after_its_cold_start() -> None:
    network = make_network()
    engine = network.engines['engine']
    engine.crash('i1')
    flood(network)
    await network.run(6)
    engine.state = 'warm'
    await network.run(0.3)
    assert engine.running <= SLOTS // 2 + 1
    await network.run(6)
    assert engine.running == SLOTS
    assert holder_ids(network) == []


async def test_cold_upstream_stays_idle_while_the_log_is_down() -> None:
    network = make_network()
    engine = network.engines['engine']
    engine.crash('i1')
    network.log.is_down = True
    flood(network)
    await network.run(8)
    assert engine.started == 0
    network.log.is_down = False
    await network.run(4)
    assert engine.running == 1


async def test_permit_is_unusable_when_the_log_is_down_for_long() -> None:
    network = make_network()
    engine = network.engines['engine']
    engine.crash('i1')
    flood(network)
    await network.run(6)
    network.log.is_down = True
    await network.run(11)
    started = engine.started
    await network.run(3)
    assert engine.started == started
    network.log.is_down = False
    await network.run(4)
    assert engine.running == 1
    assert engine.peak_cold == 1


async def test_lost_answer_of_a_claim_is_read_back() -> None:
    network = make_network()
    engine = network.engines['engine']
    engine.crash('i1')
    network.log.lost_answers = 1
    flood(network)
    await network.run(6)
    assert engine.running == 1
    assert network.log.append_count == 1


async def test_permit_of_a_crashed_router_is_taken_over_twice() -> None:
    network = make_network(routers=4)
    engine = network.engines['engine']
    engine.crash('i1')
    flood(network)
    await network.run(6)
    for _ in range(2):
        (holder,) = holder_ids(network)
        network.crash(holder)
        await network.run(22)
        assert engine.running == 1
    assert engine.peak_cold == 1


async def test_two_coordinators_together_never_exceed_the_cold_limit() -> None:
    network = make_network(routers=4)
    engine = network.engines['engine']
    flood(network)
    await network.run(6)
    network.cut(['router-0', 'router-1'], ['router-2', 'router-3'])
    engine.crash('i2')
    await network.run(10)
    network.cut_links.clear()
    await network.run(5)
    assert engine.peak_cold == 1
    assert engine.running == 1


async def test_paused_holder_that_was_replaced_sends_nothing() -> None:
    network = make_network()
    engine = network.engines['engine']
    engine.crash('i1')
    flood(network)
    await network.run(6)
    (name,) = holder_ids(network)
    paused_router = network.routers[name]
    paused_router.end_requests()
    await network.run(0.2)
    for _, slot, _ in paused_router.running:
        engine.running -= 1
        paused_router.holder.release(slot)
    paused_router.running.clear()
    slot = paused_router.holder.acquire(POOL, network.clock.now)
    assert slot is not None
    assert slot.is_valid(network.clock.now)
    paused_router.is_paused = True
    network.ended_incarnations.add((name, 1))
    network.cut([name], [one for one in network.routers if one != name])
    await network.run(24)
    assert engine.running == 1
    paused_router.waiting = 1
    assert not paused_router.send(slot)
    paused_router.is_paused = False
    await network.run(3)
    assert engine.peak_cold == 1


async def test_permit_taken_over_waits_for_running_requests_to_end() -> None:
    network = make_network()
    engine = network.engines['engine']
    engine.crash('i1')
    for router in network.routers.values():
        router.work_seconds = 60
    flood(network)
    await network.run(6)
    (name,) = holder_ids(network)
    network.routers[name].is_paused = True
    network.ended_incarnations.add((name, 1))
    network.cut([name], [one for one in network.routers if one != name])
    await network.run(25)
    assert engine.peak_cold == 1
    engine.running = 0
    await network.run(16)
    assert engine.running == 1


async def test_drained_cold_upstream_gets_nothing() -> None:
    network = make_network()
    engine = network.engines['engine']
    engine.crash('i1')
    flood(network)
    await network.run(6)
    tables = network.tables
    for router in network.routers.values():
        router.tables = type(tables)(
            version=2, pools=tables.pools, drained_zones=frozenset('a')
        )
    started = engine.started
    await network.run(3)
    assert engine.started == started


def test_first_claim_in_offset_order_wins() -> None:
    key = PermitKey('engine', 'i1', 0)
    fold = PermitFold()
    fold.apply(0, [PermitRecord(key, 'a', 1, read_to=0)])
    fold.apply(1, [PermitRecord(key, 'b', 1, read_to=0)])
    assert fold.state(key).holder == 'a'
    fold.apply(2, [PermitRecord(key, '', 0, read_to=2)])
    fold.apply(3, [PermitRecord(key, 'b', 1, read_to=2)])
    assert fold.state(key).is_free
    fold.apply(4, [PermitRecord(key, 'b', 1, read_to=3)])
    assert fold.state(key).is_held_by('b', 1)


def test_permit_is_undetermined_if_its_records_were_trimmed() -> None:
    key = PermitKey('engine', 'i1', 0)
    fold = PermitFold(start=5)
    fold.apply(5, [PermitRecord(key, 'a', 1, read_to=4)])
    assert not fold.state(key).is_free
    assert not fold.state(key).is_held_by('a', 1)
    fold.apply(6, [PermitRecord(key, 'b', 1, read_to=6)])
    assert fold.state(key).is_held_by('b', 1)
