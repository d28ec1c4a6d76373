"""A turn of the event loop that lasts too long takes nothing new."""

import asyncio

from hickorymux._internal.transport.loop_lag import (
    MAX_LAG_SECONDS,
    PROBE_INTERVAL_SECONDS,
    LoopLag,
)
from hickorymux._internal.utils.clock import SystemClock
from tests.lib.fake_clock import FakeClock


def test_lag_is_noticed_within_the_turn_and_ends_after_the_next():
    clock = FakeClock()
    lag = LoopLag(clock)
    lag.record_probe()
    clock.advance(PROBE_INTERVAL_SECONDS + MAX_LAG_SECONDS / 2)
    assert not lag.is_high
    clock.advance(MAX_LAG_SECONDS)
    assert lag.is_high
    lag.record_probe()
    assert lag.is_high
    clock.advance(PROBE_INTERVAL_SECONDS)
    lag.record_probe()
    assert not lag.is_high


def test_what_is_under_way_keeps_new_requests_out():
    """Each request needs five turns of 2 ms; twice what fits comes.

    Without a look at the turn before, each turn would take as much as fits
    into it beside all that is under way, and last ever longer.
    """
    clock = FakeClock()
    lag = LoopLag(clock)
    under_way = [0] * 5
    longest = 0.0
    for _ in range(400):
        lag.record_probe()
        started_at = clock.monotonic()
        taken = 0
        for _ in range(10):
            if not lag.is_high:
                taken += 1
                clock.advance(0.002)
        clock.advance(0.002 * sum(under_way))
        under_way = [taken, *under_way[:-1]]
        spent = clock.monotonic() - started_at
        longest = max(longest, spent)
        clock.advance(max(0, PROBE_INTERVAL_SECONDS - spent))
    assert longest <= 2 * (PROBE_INTERVAL_SECONDS + MAX_LAG_SECONDS)


async def test_burst_is_taken_for_a_while_and_the_rest_refused():
    """Three times what fits in the bound comes in one turn of the loop."""
    clock = SystemClock()
    lag = LoopLag(clock)
    lag.start()
    taken = 0
    work_seconds = MAX_LAG_SECONDS / 20

    def take():
        nonlocal taken
        if lag.is_high:
            return
        taken += 1
        until = clock.monotonic() + work_seconds
        while clock.monotonic() < until:
            pass

    loop = asyncio.get_running_loop()
    started_at = clock.monotonic()
    for _ in range(60):
        loop.call_soon(take)
    await asyncio.sleep(0)
    assert 10 <= taken <= 30
    assert clock.monotonic() - started_at < 2 * MAX_LAG_SECONDS
