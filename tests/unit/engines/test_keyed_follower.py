"""When a follower takes its log to be back after an outage."""

import pytest

from hickorymux._internal.coordination.keyed_follower import (
    KeyedFollower,
    Pace,
)
from hickorymux._internal.coordination.ports import KeyedPage
from hickorymux._internal.exceptions import LogUnavailable
from tests.lib.fake_clock import FakeClock


class Log:
    """An empty log whose reads may fail."""

    def __init__(self):
        self.is_down = False

    async def newest(self, topic):
        return KeyedPage((), 0)

    async def read(self, topic, from_offset, *, wait_seconds=0):
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
        Pace(wait=0, interval=0.5),
        lambda record: None,
        lambda listing: None,
        lambda: counted.append(clock.monotonic()),
    )
    await follower.step()
    counted.clear()
    return follower, counted


async def test_busy_process_sees_no_outage(clock, returns):
    """An upstream that leaves just then is dropped at once."""
    follower, counted = returns
    clock.advance(3)
    await follower.step()
    assert not counted


async def test_long_freeze_counts_as_an_outage(clock, returns):
    follower, counted = returns
    clock.advance(6)
    await follower.step()
    assert counted


async def test_failed_read_counts_as_an_outage(log, returns):
    follower, counted = returns
    log.is_down = True
    with pytest.raises(LogUnavailable) as caught:
        await follower.step()
    follower.note_lost(caught.value)
    log.is_down = False
    await follower.step()
    assert counted
