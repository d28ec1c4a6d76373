"""When a follower considers its log available again after an outage.

A short delay of a busy process must not count as an outage, but a failed read
or a long suspension must.
"""

import asyncio

import pytest

from hickorymux._internal.coordination.keyed_follower import (
    KeyedFollower,
    ReadTiming,
)
from hickorymux._internal.coordination.ports import KeyedPage
from hickorymux._internal.exceptions import LogUnavailable
from tests.lib.fake_clock import FakeClock


class Log:
    """An empty log whose reads may fail."""

    def __init__(self):
        self.is_down = False
        self.reads = 0

    async def read_newest(self, topic):
        return KeyedPage((), 0)

    async def read(self, topic, from_offset, *, wait_seconds=0):
        self.reads += 1
        await asyncio.sleep(0)
        if self.is_down:
            raise LogUnavailable('down')
        return KeyedPage((), from_offset)


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def log():
    return Log()


@pytest.fixture
async def followed(clock, log):
    """Return a follower that has read once, and its list of regain times."""
    regained_at = []
    follower = KeyedFollower(
        log,
        clock,
        't',
        ReadTiming(wait_seconds=0, interval_seconds=0.5),
        lambda record: None,
        lambda listing: None,
        lambda: regained_at.append(clock.monotonic()),
    )
    await follower.read_once()
    regained_at.clear()
    return follower, regained_at


async def test_busy_process_sees_no_outage(clock, followed):
    """Without an outage, an upstream that leaves is removed at once."""
    follower, regained_at = followed
    clock.advance(3)
    await follower.read_once()
    assert not regained_at


async def test_long_freeze_counts_as_an_outage(clock, followed):
    follower, regained_at = followed
    clock.advance(6)
    await follower.read_once()
    assert regained_at


async def test_failed_read_counts_as_an_outage(log, followed):
    follower, regained_at = followed
    log.is_down = True
    with pytest.raises(LogUnavailable) as caught:
        await follower.read_once()
    follower.mark_lost(caught.value)
    log.is_down = False
    await follower.read_once()
    assert regained_at


async def test_reads_of_a_lost_log_back_off_and_its_return_is_noticed_soon(
    clock, log, followed
):
    """Many routers that lose the store at once must not overload it."""
    follower, regained_at = followed
    log.is_down = True
    running = asyncio.create_task(follower.run())
    started_at = clock.monotonic()
    while clock.monotonic() < started_at + 9:
        await asyncio.sleep(0)
    assert 9 <= log.reads <= 20
    log.is_down = False
    recovered_at = clock.monotonic()
    while not regained_at:
        await asyncio.sleep(0)
    assert regained_at[0] - recovered_at <= 1
    running.cancel()
