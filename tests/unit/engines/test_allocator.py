"""Requests and upstreams brought together, replayed on a clock of the test."""

import asyncio
import math

import pytest

from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.cold_share import ColdShare
from hickorymux._internal.coordination.engines.placement import RUNNING_SHARE
from hickorymux._internal.exceptions import NoCapacity
from tests.lib.demands import prompt_demand, registry
from tests.lib.fake_clock import FakeClock


FITTING = math.ceil(64 * RUNNING_SHARE)


def make(count=1, **changes):
    clock = FakeClock()
    share = ColdShare('me')
    share.use_routers({'me'})
    upstreams = registry(count, **changes)
    allocator = Allocator(
        upstreams, share, lambda _pool: 29, clock, 'z1', lambda _zone: ''
    )
    return allocator, clock


async def fill(allocator, clock):
    """Take all seats there are; return them."""
    seats = []
    for _ in range(FITTING):
        seat = await allocator.acquire(
            prompt_demand('big', own=10, now=clock.monotonic())
        )
        seat.on_answer_begun()
        seats.append(seat)
    return seats


async def test_refused_at_once_when_nothing_can_take_it():
    allocator, clock = make(0)
    with pytest.raises(NoCapacity) as refused:
        await allocator.acquire(prompt_demand())
    assert 0 < refused.value.retry_after <= 2
    assert clock.monotonic() == 0


async def test_waiting_request_gets_the_next_seat():
    allocator, clock = make()
    seats = await fill(allocator, clock)
    waiting = asyncio.create_task(
        allocator.acquire(prompt_demand('small', own=10, now=0))
    )
    await asyncio.sleep(0)
    seats[0].release()
    seat = await waiting
    assert seat.demand.customer == 'small'


async def test_request_that_waited_long_is_refused_with_a_time_to_return():
    allocator, clock = make()
    await fill(allocator, clock)
    waiting = asyncio.create_task(
        allocator.acquire(prompt_demand('small', own=10, now=0))
    )
    await asyncio.sleep(0)
    clock.advance(0.5)
    allocator.pump_all()
    with pytest.raises(NoCapacity) as refused:
        await waiting
    assert refused.value.retry_after > 0


async def test_caller_that_leaves_takes_no_seat():
    allocator, clock = make()
    seats = await fill(allocator, clock)
    waiting = asyncio.create_task(
        allocator.acquire(prompt_demand('small', own=10, now=0))
    )
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    for seat in seats:
        seat.release()
    assert not allocator.board.own
    assert not allocator.line_of('models').by_customer


async def test_seat_given_to_a_caller_that_just_left_comes_back():
    allocator, clock = make()
    seats = await fill(allocator, clock)
    waiting = asyncio.create_task(
        allocator.acquire(prompt_demand('small', own=10, now=0))
    )
    await asyncio.sleep(0)
    seats.pop().release()
    allocator.pump_all()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    for seat in seats:
        seat.release()
    assert not allocator.board.own


async def test_cold_engine_gets_its_bound_and_no_more():
    allocator, clock = make(1, cold_until=100.0)
    asked = [
        asyncio.create_task(allocator.acquire(prompt_demand(own=10, now=0)))
        for _ in range(60)
    ]
    await asyncio.sleep(0.05)
    taken = [task for task in asked if task.done() and not task.exception()]
    for task in asked:
        task.cancel()
    await asyncio.gather(*asked, return_exceptions=True)
    assert 0 < len(taken) <= 29
