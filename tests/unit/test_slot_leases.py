"""Slots are leased, returned and revoked, and never exceed the limit.

A lost or repeated message could make the coordinator and a holder disagree on
the leased slots. An upstream would then be overloaded, or slots stay unused.
"""

import dataclasses

from lib.slot_fleet import POOL, Network

from hickorymux._internal.state.tables import Upstream


def make_network(routers: int = 3, upstreams: int = 2) -> Network:
    network = Network(
        [
            Upstream(f'engine-{index}', 'a', f'127.0.0.1:{index}', 4)
            for index in range(upstreams)
        ]
    )
    for index in range(routers):
        network.add(f'router-{index}', 'a')
    return network


def total_running(network: Network) -> int:
    return sum(engine.running for engine in network.engines.values())


async def test_one_router_alone_runs_its_requests() -> None:
    network = make_network(routers=1)
    await network.run(4)
    router = network.routers['router-0']
    router.demand(3)
    await network.run(0.01)
    assert router.started == 3


async def test_backlog_fills_all_slots_and_never_more() -> None:
    network = make_network()
    for router in network.routers.values():
        router.demand(1000)
    await network.run(6)
    assert total_running(network) == 8
    await network.run(2)
    assert total_running(network) == 8
    assert max(engine.peak for engine in network.engines.values()) == 4


async def test_idle_slots_move_to_the_router_that_waits() -> None:
    network = make_network()
    first, second, _ = network.routers.values()
    await network.run(4)
    first.demand(8)
    await network.run(0.2)
    assert first.started == 8
    second.demand(8)
    await network.run(0.02)
    assert second.started == 8


async def test_router_furthest_behind_gets_the_next_slot() -> None:
    network = make_network()
    first, second, _ = network.routers.values()
    await network.run(4)
    first.demand(10000)
    await network.run(2)
    second.virtual_time = first.virtual_time - 50
    second.demand(10000)
    await network.run(2)
    assert abs(first.virtual_time - second.virtual_time) <= 20


async def test_drained_zone_gets_no_new_work() -> None:
    network = make_network()
    for router in network.routers.values():
        router.demand(10000)
    await network.run(6)
    drained = dataclasses.replace(
        network.tables, version=2, drained_zones=frozenset(('a',))
    )
    for router in network.routers.values():
        router.tables = drained
    started = [one.started for one in network.routers.values()]
    await network.run(1)
    assert [one.started for one in network.routers.values()] == started
    assert total_running(network) == 0


async def test_lost_messages_neither_leak_nor_overcommit_slots() -> None:
    network = make_network()
    network.loss = 0.2
    network.duplication = 0.2
    for router in network.routers.values():
        router.demand(10000)
    await network.run(10)
    network.loss = 0
    await network.run(5)
    assert max(engine.peak for engine in network.engines.values()) == 4
    assert total_running(network) == 8
    assert network.tables.pools[POOL].upstreams[0].slots == 4
