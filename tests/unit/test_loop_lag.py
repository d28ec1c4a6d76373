"""A router that can't keep up says so; one that pauses once does not."""

from hickorymux._internal.transport.loop_lag import (
    MAX_LAG_SECONDS,
    PROBE_SECONDS,
    LoopLag,
)
from tests.lib.fake_clock import FakeClock


def probe_late_by(lag, clock, *seconds):
    for late in seconds:
        clock.advance(PROBE_SECONDS + late)
        lag.note(clock.monotonic())


def test_one_pause_is_no_load():
    clock = FakeClock()
    lag = LoopLag(clock)
    lag.note(clock.monotonic())
    probe_late_by(lag, clock, 0, 2)
    assert not lag.is_high
    probe_late_by(lag, clock, 0, 2, 0, 2)
    assert not lag.is_high


def test_load_that_lasts_is_noticed_until_it_is_over():
    clock = FakeClock()
    lag = LoopLag(clock)
    lag.note(clock.monotonic())
    probe_late_by(lag, clock, 2 * MAX_LAG_SECONDS, 2 * MAX_LAG_SECONDS)
    assert lag.is_high
    probe_late_by(lag, clock, MAX_LAG_SECONDS / 2)
    assert not lag.is_high
