"""When a follower takes its log to be back after an outage."""

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
async def returns(clock, log):
    """Follow until the first page has come; return what counts returns."""
    counted = []
    follower = KeyedFollower(
        log,
        clock,
        't',
        ReadTiming(wait_seconds=0, interval_seconds=0.5),
        lambda record: None,
        lambda listing: None,
        lambda: counted.append(clock.monotonic()),
    )
    await follower.read_once()
    counted.clear()
    return follower, counted


async def test_busy_process_sees_no_outage(clock, returns):
    """An upstream that leaves just then is dropped at once."""
    follower, counted = returns
    clock.advance(3)
    await follower.read_once()
    assert not counted


async def test_long_freeze_counts_as_an_outage(clock, returns):
    follower, counted = returns
    clock.advance(6)
    await follower.read_once()
    assert counted


async def test_failed_read_counts_as_an_outage(log, returns):
    follower, counted = returns
    log.is_down = True
    with pytest.raises(LogUnavailable) as caught:
        await follower.read_once()
    follower.mark_lost(caught.value)
    log.is_down = False
    await follower.read_once()
    assert counted


async def test_lost_log_is_asked_ever_less_and_its_return_soon_seen(
    clock, log, returns
):
    """Many routers that lose the store at once must not press it."""
    follower, counted = returns
    log.is_down = True
    following = asyncio.create_task(follower.run())
    started_at = clock.monotonic()
    while clock.monotonic() < started_at + 9:
        await asyncio.sleep(0)
    assert 9 <= log.reads <= 20
    log.is_down = False
    back_at = clock.monotonic()
    while not counted:
        await asyncio.sleep(0)
    assert counted[0] - back_at <= 1
    following.cancel()
