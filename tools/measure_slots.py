"""Measure slot leases with production slot coordinators and lease holders.

The network and the upstreams are simulated in steps of 1 ms. Every message
takes ``message_delay_ms``, which is part of the result. The result is printed
as JSON.

Example::

    PYTHONPATH=src python -m tools.measure_slots
"""

import asyncio
import dataclasses
import functools
import importlib
import itertools
import json
import random
import sys
from pathlib import Path
from typing import Any, final

from hickorymux._internal.protocol.thrift_codec import thrift_codec
from hickorymux._internal.state.tables import Upstream

sys.path.insert(0, str(Path(__file__).parent.parent / 'tests'))
slot_fleet = importlib.import_module('lib.slot_fleet')

# More requests than the upstreams can serve during a run.
BACKLOG_REQUESTS = 10_000_000
SLOTS_PER_UPSTREAM = 8
SETTLE_SECONDS = 10
MS_PER_SECOND = 1000
FRAME_OVERHEAD_BYTES = 24
REQUESTS_PER_ROUTER_SECOND = 20


def make_network(zones: str, routers: int, upstreams: int) -> Any:
    """Return a network with routers and upstreams in each zone."""
    network = slot_fleet.Network(
        [
            Upstream(
                f'engine-{zone}{index}',
                zone,
                f'{zone}:{index}',
                SLOTS_PER_UPSTREAM,
            )
            for zone in zones
            for index in range(upstreams)
        ]
    )
    for zone in zones:
        for index in range(routers):
            network.add(f'router-{zone}{index}', zone)
    return network


def randomize_work(network: Any, seed: int) -> None:
    """Make requests last 0.05 s to 5 s at random, most of them short."""
    rng = random.Random(seed)
    for router in network.routers.values():
        router.next_work_seconds = functools.partial(next_work, rng)


def next_work(rng: random.Random) -> float:
    """Return the random duration of a request in seconds."""
    return min(0.05 / max(rng.random(), 0.01), 5)


def running_requests(network: Any) -> int:
    """Return the number of running requests at all upstreams."""
    return sum(engine.running for engine in network.engines.values())


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile, or zero if there are no values."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


@final
class PeerTraffic:
    """Counts the messages between different routers and their encoded bytes."""

    def __init__(self, network: Any) -> None:
        self.messages = 0
        self.sent_bytes = 0
        self.forward = network.send
        network.send = self.send

    def send(self, source: str, target: str, message: object) -> bool:
        """Count a message and send it through the network."""
        if source != target:
            self.messages += 1
            body = thrift_codec().encode(message)[1]
            self.sent_bytes += len(body) + FRAME_OVERHEAD_BYTES
        return bool(self.forward(source, target, message))

    def bytes_per_router_second(self, seconds: float, routers: int) -> float:
        """Return the bytes that a router sends and receives in a second."""
        # Each byte is sent by one router and received by another.
        return 2 * self.sent_bytes / seconds / routers


@final
class FreeSlotSampler:
    """Samples how long the slots of one upstream stay free.

    ``free_since`` has the times at which the free slots became free, and
    ``free_seconds`` how long each reused slot was free; it is zero for a slot
    that was reused within one step. ``busy_samples`` is the sum over all
    samples of the slots in use.
    """

    def __init__(self, engine: Any) -> None:
        self.engine = engine
        self.previous_starts = engine.started
        self.free_since: list[float] = []
        self.free_seconds: list[float] = []
        self.busy_samples = 0

    def sample(self, now: float) -> None:
        """Record the state of the upstream; call it after every step."""
        new_starts = self.engine.started - self.previous_starts
        self.previous_starts = self.engine.started
        self.busy_samples += self.engine.running
        free = SLOTS_PER_UPSTREAM - self.engine.running
        reused = max(len(self.free_since) - free, 0)
        reused_since = self.free_since[:reused]
        self.free_seconds.extend(now - since for since in reused_since)
        self.free_seconds.extend(
            itertools.repeat(0, max(new_starts - reused, 0))
        )
        self.free_since = self.free_since[reused:]
        newly_free = free - len(self.free_since)
        self.free_since.extend(itertools.repeat(now, max(newly_free, 0)))


async def measure_backlog(seconds: float = 30) -> dict[str, Any]:
    """Measure slot use and the time for which freed slots stay free.

    All routers have a backlog, so any free slot is lost capacity.
    """
    network = make_network('abcd', 2, 2)
    randomize_work(network, 1)
    for router in network.routers.values():
        router.demand(BACKLOG_REQUESTS)
    await network.run(SETTLE_SECONDS)
    traffic = PeerTraffic(network)
    samplers = [FreeSlotSampler(engine) for engine in network.engines.values()]
    steps = int(seconds * MS_PER_SECOND)
    for _ in range(steps):
        await network.run(1 / MS_PER_SECOND)
        for sampler in samplers:
            sampler.sample(network.clock.now)
    free_seconds = list(
        itertools.chain.from_iterable(one.free_seconds for one in samplers)
    )
    slots = SLOTS_PER_UPSTREAM * len(samplers)
    routers = len(network.routers)
    return {
        'routers': routers,
        'slots': slots,
        'busy_share': sum(one.busy_samples for one in samplers) / steps / slots,
        'requests_per_second': len(free_seconds) / seconds,
        'freed_to_work_ms_p50': quantile(free_seconds, 0.5) * MS_PER_SECOND,
        'freed_to_work_ms_p99': quantile(free_seconds, 0.99) * MS_PER_SECOND,
        'message_delay_ms': network.delay_seconds * MS_PER_SECOND,
        'octets_per_router_second': traffic.bytes_per_router_second(
            seconds, routers
        ),
        'messages_per_request': traffic.messages / max(len(free_seconds), 1),
    }


async def measure_cold() -> dict[str, Any]:
    """Measure the cold start of one upstream after a crash."""
    network = make_network('a', 3, 1)
    for router in network.routers.values():
        router.demand(BACKLOG_REQUESTS)
    await network.run(SETTLE_SECONDS)
    engine = network.engines['engine-a0']
    engine.crash('i2')
    crashed_at = network.clock.now
    while engine.running == 0:
        await network.run(1 / MS_PER_SECOND)
    first_work_seconds = network.clock.now - crashed_at
    busy_samples = 0
    for _ in range(10 * MS_PER_SECOND):
        await network.run(1 / MS_PER_SECOND)
        busy_samples += engine.running
    engine.state = 'warm'
    warm_at = network.clock.now
    while engine.running < SLOTS_PER_UPSTREAM:
        await network.run(1 / MS_PER_SECOND)
    return {
        'seconds_from_crash_to_first_work': first_work_seconds,
        'cold_slot_busy_share': busy_samples / (10 * MS_PER_SECOND),
        'peak_while_cold': engine.peak_cold,
        'seconds_from_warm_to_full': network.clock.now - warm_at,
    }


async def measure_zone() -> dict[str, Any]:
    """Measure the request rate before, during and after a zone is drained."""
    network = make_network('abc', 2, 2)
    for router in network.routers.values():
        router.demand(BACKLOG_REQUESTS)
    await network.run(SETTLE_SECONDS)
    before_tables = network.tables
    drained = dataclasses.replace(
        before_tables, version=2, drained_zones=frozenset('a')
    )
    rates = {}
    for name, tables in (
        ('before', before_tables),
        ('during', drained),
        ('after', before_tables),
    ):
        changed_at = network.clock.now
        for router in network.routers.values():
            router.tables = tables
        started_before = sum(
            engine.started for engine in network.engines.values()
        )
        await network.run(10)
        started_after = sum(
            engine.started for engine in network.engines.values()
        )
        rates[f'{name}_requests_per_second'] = (
            started_after - started_before
        ) / 10
        if name == 'during':
            starts = network.engines['engine-a0'].starts
            later_starts = [moment for moment in starts if moment > changed_at]
            rates['last_new_work_seconds'] = max(
                (moment - changed_at for moment in later_starts), default=0
            )
    return rates


async def measure_steady(seconds: float = 10) -> dict[str, Any]:
    """Measure the traffic without a backlog, when routers reuse leased slots."""
    network = make_network('a', 6, 24)
    rng = random.Random(2)
    for router in network.routers.values():
        router.work_seconds = 1.0
    await network.run(SETTLE_SECONDS)
    await offer_requests(network, rng, 5)
    traffic = PeerTraffic(network)
    requests = await offer_requests(network, rng, seconds)
    routers = len(network.routers)
    return {
        'routers': routers,
        'upstreams': len(network.engines),
        'requests_per_second': requests / seconds,
        'waiting_at_end': sum(one.waiting for one in network.routers.values()),
        'octets_per_router_second': traffic.bytes_per_router_second(
            seconds, routers
        ),
        'messages_per_request': traffic.messages / max(requests, 1),
    }


async def offer_requests(
    network: Any, rng: random.Random, seconds: float
) -> int:
    """Add requests at random times and return their number."""
    requests = 0
    for _ in range(int(seconds * MS_PER_SECOND)):
        for router in network.routers.values():
            if rng.random() < REQUESTS_PER_ROUTER_SECOND / MS_PER_SECOND:
                requests += 1
                router.demand(router.waiting + 1)
        await network.run(1 / MS_PER_SECOND)
    return requests


async def measure() -> dict[str, Any]:
    """Run all measurements and return their results by name."""
    return {
        'backlog': await measure_backlog(),
        'steady': await measure_steady(),
        'cold_start': await measure_cold(),
        'zone': await measure_zone(),
    }


if __name__ == '__main__':
    print(json.dumps(asyncio.run(measure()), indent=2))
