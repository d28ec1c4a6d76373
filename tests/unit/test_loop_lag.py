"""New requests are refused while iterations of the event loop are too long."""

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


def test_requests_in_progress_keep_new_ones_out():
    """Twice the load that fits arrives; a request takes 5 iterations of 2 ms.

    If only the lag of the current iteration counted, each iteration would
    accept as many requests as fit into it, on top of the work of those in
    progress, and iterations would become ever longer.
    """
    clock = FakeClock()
    lag = LoopLag(clock)
    in_progress = [0] * 5
    longest = 0.0
    for _ in range(400):
        lag.record_probe()
        started_at = clock.monotonic()
        accepted = 0
        for _ in range(10):
            if not lag.is_high:
                accepted += 1
                clock.advance(0.002)
        clock.advance(0.002 * sum(in_progress))
        in_progress = [accepted, *in_progress[:-1]]
        spent = clock.monotonic() - started_at
        longest = max(longest, spent)
        clock.advance(max(0, PROBE_INTERVAL_SECONDS - spent))
    assert longest <= 2 * (PROBE_INTERVAL_SECONDS + MAX_LAG_SECONDS)


async def test_burst_is_taken_for_a_while_and_the_rest_refused():
    """Three times what fits within the lag limit arrives in one iteration."""
    clock = SystemClock()
    lag = LoopLag(clock)
    lag.start()
    accepted = 0
    work_seconds = MAX_LAG_SECONDS / 20

    def accept():
        nonlocal accepted
        if lag.is_high:
            return
        accepted += 1
        until = clock.monotonic() + work_seconds
        while clock.monotonic() < until:
            pass

    loop = asyncio.get_running_loop()
    started_at = clock.monotonic()
    for _ in range(60):
        loop.call_soon(accept)
    await asyncio.sleep(0)
    assert 10 <= accepted <= 30
    assert clock.monotonic() - started_at < 2 * MAX_LAG_SECONDS
