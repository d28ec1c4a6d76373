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
from hickorymux._internal.exceptions import LogTrimmed, LogUnavailable
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


class RestoredLog:
    """A log that can be restored from an empty copy.

    ``restores_at`` has the numbers of the calls before which it is restored.
    """

    def __init__(self):
        self.era = 1
        self.values = []
        self.calls = 0
        self.restores_at = ()
        self.held = None

    def restore(self, *values):
        self.era += 1
        self.values = list(values)

    def page(self, start):
        records = tuple(
            KeyedRecord(f'k{at}', value, at)
            for at, value in enumerate(self.values)
            if at >= start
        )
        return KeyedPage(records, len(self.values), 0, self.era)

    async def read_newest(self, topic):
        self.count()
        return self.page(0)

    async def read(self, topic, from_offset, *, wait_seconds=0):
        self.count()
        if from_offset > len(self.values):
            raise LogTrimmed('gone', where=topic)
        page = self.page(from_offset)
        if self.held is not None:
            await self.held.wait()
        return page

    def count(self):
        self.calls += 1
        if self.calls in self.restores_at:
            self.restore(*self.values)


@pytest.fixture
def restored_log():
    log = RestoredLog()
    log.values = [b'1', b'2']
    return log


class Restored:
    """A follower of a restored log that has listed it once."""

    def __init__(self, log, clock):
        self.log = log
        self.clock = clock
        self.events = []
        self.follower = KeyedFollower(
            log,
            clock,
            't',
            ReadTiming(wait_seconds=0),
            lambda record: self.events.append(record.value),
            lambda keys: self.events.append(len(keys)),
            lambda: self.events.append('regained'),
        )

    async def read(self, *, advance=0.5):
        self.clock.advance(advance)
        try:
            await self.follower.read_once()
        except LogTrimmed:
            self.follower.next_offset = None


@pytest.fixture
async def restored(restored_log, clock):
    state = Restored(restored_log, clock)
    await state.read()
    state.events.clear()
    return state


async def test_restored_log_of_the_same_length_is_not_listed_again(restored):
    restored.log.restore(b'3', b'4')
    await restored.read()
    assert restored.follower.staleness_seconds() > 0
    assert not restored.events
    await restored.read()
    assert restored.events == ['regained', b'3', b'4', 2]
    assert restored.follower.staleness_seconds() == 0


async def test_shorter_log_starts_no_grace_period(restored):
    """A read past the end gets 410, which is no outage by itself."""
    restored.log.restore(b'3')
    await restored.read()
    await restored.read()
    assert restored.events == ['regained', b'3', 1]


async def test_late_response_of_a_previous_era_confirms_the_view(restored):
    restored.log.held = asyncio.Event()
    late = asyncio.create_task(restored.follower.read_once())
    await asyncio.sleep(0)
    other = RestoredLog()
    other.restore(b'3', b'4', b'5')
    await restored.follower.catch_up(other)
    assert restored.follower.next_offset is None
    restored.follower.log = other
    await restored.read()
    confirmed_at = restored.follower.confirmed_at
    restored.clock.advance(1)
    restored.log.held.set()
    await late
    assert restored.follower.confirmed_at == confirmed_at
    assert restored.follower.next_offset == 3
    former = RestoredLog()
    former.values = [b'1', b'2', b'x', b'y']
    with pytest.raises(LogUnavailable):
        await restored.follower.catch_up(former)
    assert restored.follower.confirmed_at == confirmed_at


async def test_second_restore_during_the_listing_goes_unnoticed(restored):
    restored.log.restore(b'3', b'4')
    await restored.read()
    restored.log.restores_at = (restored.log.calls + 2,)
    await restored.read()
    await restored.read()
    assert restored.follower.next_offset is None
    await restored.read()
    assert restored.follower.next_offset == 2


async def test_missed_era_is_not_noticed(restored):
    restored.log.restore()
    restored.log.restore(b'3', b'4')
    await restored.read()
    await restored.read()
    assert restored.events == ['regained', b'3', b'4', 2]


async def test_log_without_eras_is_listed_again_and_again(restored):
    """An era that is absent is unknown, and the offset stays valid."""
    restored.log.era = -1
    calls = restored.log.calls
    await restored.read()
    await restored.read()
    assert restored.log.calls == calls + 2
    assert not restored.events
    assert restored.follower.staleness_seconds() == 0


async def test_refresh_counts_a_restored_log_as_current(restored):
    """A stream would go on by entries of the previous era."""
    restored.clock.advance(1)
    restored.log.restore(b'3', b'4')
    refresh = ViewRefresh(restored.follower, restored.log, restored.clock)
    running = asyncio.create_task(refresh.run())
    while restored.follower.next_offset is not None:
        await asyncio.sleep(0)
    await restored.read(advance=0)
    assert await running
    assert b'4' in restored.events
