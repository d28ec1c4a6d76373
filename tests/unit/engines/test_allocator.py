"""Tests of the allocator, on a clock that the tests advance."""

import asyncio
import math

import pytest

from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.cold_share import ColdShare
from hickorymux._internal.coordination.engines.load_tracker import EngineLoad
from hickorymux._internal.coordination.engines.placement import (
    MAX_RUNNING_SHARE,
)
from hickorymux._internal.coordination.engines.request_limits import (
    RequestLimits,
)
from hickorymux._internal.coordination.engines.router_ranks import RouterRanks
from hickorymux._internal.coordination.engines.wait_queue import (
    CustomerUsage,
)
from hickorymux._internal.exceptions import NoCapacity, StreamVersionGone
from tests.lib.demands import prompt_demand, registry, upstream
from tests.lib.fake_clock import FakeClock

MAX_RUNNING = math.ceil(64 * MAX_RUNNING_SHARE)


def make_allocator(count=1, **changes):
    clock = FakeClock()
    ranks = RouterRanks('me')
    ranks.update({'me'})
    upstreams = registry(count, **changes)
    allocator = Allocator(
        upstreams,
        ColdShare(ranks),
        RequestLimits(ranks),
        lambda _pool: 29,
        clock,
        'z1',
        lambda _zone: '',
    )
    return allocator, clock


async def reserve_all_slots(allocator, clock):
    """Reserve all free slots; return the reservations."""
    reservations = []
    for _ in range(MAX_RUNNING):
        reservation = await allocator.acquire(
            prompt_demand('big', own=10, now=clock.monotonic())
        )
        reservation.on_answer_begun()
        reservations.append(reservation)
    return reservations


async def test_refused_at_once_when_nothing_can_take_it():
    allocator, clock = make_allocator(0)
    with pytest.raises(NoCapacity) as refused:
        await allocator.acquire(prompt_demand())
    assert 0 < refused.value.retry_after <= 2
    assert clock.monotonic() == 0


async def test_waiting_request_gets_the_next_reservation():
    allocator, clock = make_allocator()
    reservations = await reserve_all_slots(allocator, clock)
    waiting = asyncio.create_task(
        allocator.acquire(prompt_demand('small', own=10, now=0))
    )
    await asyncio.sleep(0)
    reservations[0].release()
    reservation = await waiting
    assert reservation.demand.customer == 'small'


async def test_customer_within_its_share_refused_by_the_rate_of_its_router():
    """The engine is full with requests of a large customer at a peer."""
    allocator, clock = make_allocator()
    allocator.wait_queue_of('models')
    full = {'e0': EngineLoad(running=MAX_RUNNING)}
    allocator.load_tracker.replace_report('peer', full, 0)
    large = {('models', 'large'): CustomerUsage(500_000, unmet=100_000)}
    allocator.usage_tracker.replace_report('peer', large, 0)
    allocator.update_peer_usage()
    waiting = asyncio.create_task(
        allocator.acquire(prompt_demand('small', own=10, now=0))
    )
    await asyncio.sleep(0)
    assert not waiting.done()
    allocator.load_tracker.replace_report('peer', {}, 0)
    clock.advance(0.1)
    allocator.dispatch_all()
    reservation = await waiting
    assert reservation.demand.customer == 'small'


async def test_customer_beyond_its_share_is_refused_at_once():
    allocator, clock = make_allocator()
    queue = allocator.wait_queue_of('models')
    full = {'e0': EngineLoad(running=MAX_RUNNING)}
    allocator.load_tracker.replace_report('peer', full, 0)
    queue.meter.served.add('large', 500_000, 0)
    small = {('models', 'small'): CustomerUsage(1000, unmet=300_000)}
    allocator.usage_tracker.replace_report('peer', small, 0)
    allocator.update_peer_usage()
    with pytest.raises(NoCapacity):
        await allocator.acquire(prompt_demand('large', own=10, now=0))
    assert clock.monotonic() == 0


async def test_request_that_waited_long_is_refused_with_a_retry_time():
    allocator, clock = make_allocator()
    await reserve_all_slots(allocator, clock)
    waiting = asyncio.create_task(
        allocator.acquire(prompt_demand('small', own=10, now=0))
    )
    await asyncio.sleep(0)
    clock.advance(0.5)
    allocator.dispatch_all()
    with pytest.raises(NoCapacity) as refused:
        await waiting
    assert refused.value.retry_after > 0


async def test_caller_that_leaves_holds_no_reservation():
    allocator, clock = make_allocator()
    reservations = await reserve_all_slots(allocator, clock)
    waiting = asyncio.create_task(
        allocator.acquire(prompt_demand('small', own=10, now=0))
    )
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    for reservation in reservations:
        reservation.release()
    assert not allocator.load_tracker.own_loads
    assert not allocator.wait_queue_of('models').by_customer


async def test_reservation_for_a_caller_that_just_left_is_released():
    allocator, clock = make_allocator()
    reservations = await reserve_all_slots(allocator, clock)
    waiting = asyncio.create_task(
        allocator.acquire(prompt_demand('small', own=10, now=0))
    )
    await asyncio.sleep(0)
    reservations.pop().release()
    allocator.dispatch_all()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    for reservation in reservations:
        reservation.release()
    assert not allocator.load_tracker.own_loads


async def test_cold_engine_gets_its_rate_limit_and_no_more():
    allocator, clock = make_allocator(1, cold_until=100.0)
    tasks = [
        asyncio.create_task(allocator.acquire(prompt_demand(own=10, now=0)))
        for _ in range(60)
    ]
    await asyncio.sleep(0.05)
    granted = [task for task in tasks if task.done() and not task.exception()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert 0 < len(granted) <= 29


def resumed_demand(version, now):
    demand = prompt_demand('small', own=10, now=now)
    demand.version = version
    return demand


async def test_stream_goes_on_at_an_upstream_of_another_version():
    allocator, clock = make_allocator(0)
    for number, version in enumerate(('v1', 'v2', 'v1', 'v2')):
        allocator.registry.put(upstream(number, version=version))
    for _ in range(MAX_RUNNING):
        demand = resumed_demand('v2', clock.monotonic())
        reservation = await allocator.acquire(demand)
        assert reservation.upstream.version == 'v2'
        reservation.on_answer_begun()


async def test_stream_waits_though_its_version_is_gone():
    allocator, clock = make_allocator(version='v1')
    now = clock.monotonic()
    with pytest.raises(StreamVersionGone, match='v2'):
        await allocator.acquire(resumed_demand('v2', now))
    only = resumed_demand('v1', now)
    only.excluded_ids.add('e0')
    with pytest.raises(StreamVersionGone):
        await allocator.acquire(only)


async def test_stream_goes_on_waiting_when_its_version_leaves():
    allocator, clock = make_allocator(version='v1')
    reservations = await reserve_all_slots(allocator, clock)
    now = clock.monotonic()
    waiting = asyncio.create_task(allocator.acquire(resumed_demand('v1', now)))
    await asyncio.sleep(0)
    assert not waiting.done()
    allocator.registry.put(upstream(0, version='v2'))
    allocator.clear_candidate_cache()
    allocator.dispatch_all()
    with pytest.raises(StreamVersionGone):
        await waiting
    assert not allocator.futures
    for reservation in reservations:
        reservation.release()
