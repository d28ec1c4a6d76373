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
from hickorymux._internal.coordination.ports import KeyedPage, KeyedRecord
from hickorymux._internal.coordination.view_refresh import ViewRefresh
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


class HeldLog(Log):
    """A log whose next read is held until ``gate`` is set."""

    def __init__(self):
        super().__init__()
        self.values = []
        self.gate = asyncio.Event()

    async def read(self, topic, from_offset, *, wait_seconds=0):
        offsets = range(from_offset, len(self.values))
        records = [KeyedRecord('e1', self.values[at], at) for at in offsets]
        self.reads += 1
        await self.gate.wait()
        return KeyedPage(
            tuple(records), len(self.values[:from_offset]) + len(records)
        )


def held_follower(clock, log):
    applied = []
    follower = KeyedFollower(
        log,
        clock,
        't',
        ReadTiming(wait_seconds=0, interval_seconds=0.5),
        lambda record: applied.append(record.value),
        lambda listing: None,
        lambda: None,
    )
    return follower, applied


async def test_slow_read_brings_replaced_entries_back(clock):
    log = HeldLog()
    follower, applied = held_follower(clock, log)
    await follower.read_once()
    log.values = [b'v1']
    slow = asyncio.create_task(follower.read_once())
    await asyncio.sleep(0)
    log.values = [b'v1', b'v2']
    other = HeldLog()
    other.values = log.values
    other.gate.set()
    await follower.catch_up(other)
    log.gate.set()
    await slow
    assert applied == [b'v1', b'v2']
    assert follower.next_offset == 2


async def test_each_of_many_streams_reads_the_log(clock):
    log = HeldLog()
    log.gate.set()
    follower, _ = held_follower(clock, log)
    await follower.read_once()
    clock.advance(1)
    refresh = ViewRefresh(follower, log, clock)
    assert all(await asyncio.gather(*(refresh.run() for _ in range(50))))
    assert log.reads == 1
    assert follower.staleness_seconds() == 0


async def test_stream_waits_for_a_log_that_is_down(clock):
    log = Log()
    follower, _ = held_follower(clock, log)
    await follower.read_once()
    clock.advance(1)
    log.is_down = True
    assert not await ViewRefresh(follower, log, clock).run()
