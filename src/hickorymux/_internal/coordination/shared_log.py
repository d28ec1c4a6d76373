"""Lets one router of a zone read the log for all of them.

Every router following every topic by itself makes the calls to the store grow
with the number of routers. The zone's reader, its live router with the lowest
id, reads; the others ask it. It answers with its next read and says how much
older than the ask that is, so a router always knows how old its view may be.
A router whose ask is not answered reads for itself.

Topics that never rest are read at a pace: ``intervals`` gives the seconds
between two reads of such a topic.

Example::

    log = SharedLog(store, members, sender, clock, {'hosts': 0.5})
    page = await log.read('tables', 7, wait_seconds=1)
"""

import asyncio
import collections
import dataclasses
import itertools
from collections.abc import Mapping, Sequence
from typing import Any, Final, final

from hickorymux._internal.coordination.ports import (
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    MemberView,
    PeerSender,
)
from hickorymux._internal.coordination.topic_messages import (
    TopicAsk,
    TopicPage,
)
from hickorymux._internal.utils.clock import Clock

# Beside the time until the reader has read, which is its interval and the
# time that the store may hold a read.
ASK_SECONDS: Final = 0.4
# How long a reader that did not answer is not asked again.
DISTRUST_SECONDS: Final = 5.0
# Records that a reader keeps for those that are a little behind.
MAX_KEPT_RECORDS: Final = 1000
# Larger pages are read from the store by each router.
MAX_PAGE_OCTETS: Final = 200_000
_US_PER_SECOND: Final = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class _Waiting:
    asked_by: str
    ask: TopicAsk
    received_at: float


@final
class _Topic:
    """What this router read of a topic, and who waits for the next read."""

    __slots__ = ('next_offset', 'records', 'waiting')

    def __init__(self) -> None:
        self.next_offset = 0
        self.records: collections.deque[KeyedRecord] = collections.deque(
            maxlen=MAX_KEPT_RECORDS,
        )
        self.waiting: list[_Waiting] = []

    def since(self, offset: int) -> Sequence[KeyedRecord] | None:
        """Return the records from an offset on, ``None`` if some miss."""
        if offset > self.next_offset:
            return None
        found = [record for record in self.records if record.offset >= offset]
        if len(found) < self.next_offset - offset:
            return None
        return found


@final
class SharedLog:
    """A ``KeyedLog`` that reads through the zone's reader."""

    __slots__ = (
        'answers',
        'clock',
        'distrusted',
        'intervals',
        'log',
        'members',
        'numbers',
        'sender',
        'topics',
    )

    def __init__(
        self,
        log: KeyedLog,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        intervals: Mapping[str, float],
    ) -> None:
        self.log = log
        self.intervals = intervals
        self.members = members
        self.sender = sender
        self.clock = clock
        self.topics: dict[str, _Topic] = {}
        self.answers: dict[int, asyncio.Future[TopicPage]] = {}
        self.distrusted: dict[str, float] = {}
        self.numbers = itertools.count(1)

    async def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key, from the store."""
        return await self.log.read_newest(topic)

    async def read(
        self,
        topic: str,
        from_offset: int,
        *,
        wait_seconds: float = 0,
    ) -> KeyedPage:
        """Return records from an offset on; see ``KeyedLog``."""
        reader = self._reader()
        if reader is None:
            return await self._read_for_all(topic, from_offset, wait_seconds)
        page = await self._ask(reader, topic, from_offset, wait_seconds)
        if page is None:
            return await self._read_log(topic, from_offset, wait_seconds)
        return page

    def on_message(self, sender_id: str, message: Any) -> None:
        """Take an ask or the answer to one."""
        if isinstance(message, TopicAsk):
            self._take_ask(sender_id, message)
        elif isinstance(message, TopicPage):
            future = self.answers.get(message.number)
            if future is not None and not future.done():
                future.set_result(message)

    def _take_ask(self, sender_id: str, ask: TopicAsk) -> None:
        if self._reader() is not None:
            # The sender takes another router for the reader than this one,
            # which can't vouch for what it may have read in the past.
            self.sender.send(sender_id, TopicPage(ask.number))
            return
        topic = self.topics.setdefault(ask.topic, _Topic())
        now = self.clock.monotonic()
        topic.waiting.append(_Waiting(sender_id, ask, now))

    def _reader(self) -> str | None:
        """Return whom to ask, ``None`` if this router reads itself."""
        me = self.members.myself
        now = self.clock.monotonic()
        for member in self.members.live_in_zone(me.zone):
            if member.router_id == me.router_id:
                return None
            if self.distrusted.get(member.router_id, 0) <= now:
                return member.router_id
        return None

    async def _read_for_all(
        self,
        topic_name: str,
        from_offset: int,
        wait_seconds: float,
    ) -> KeyedPage:
        topic = self.topics.setdefault(topic_name, _Topic())
        started_at = self.clock.monotonic()
        page = await self._read_log(topic_name, from_offset, wait_seconds)
        if from_offset != topic.next_offset:
            topic.records.clear()
        topic.records.extend(page.records)
        topic.next_offset = page.next_offset
        self._answer(topic, started_at + page.complete_until_seconds)
        return page

    async def _read_log(
        self,
        topic: str,
        from_offset: int,
        wait_seconds: float,
    ) -> KeyedPage:
        interval = self.intervals.get(topic, 0)
        if interval:
            await self.clock.sleep(interval)
        page = await self.log.read(
            topic,
            from_offset,
            wait_seconds=wait_seconds,
        )
        return dataclasses.replace(
            page,
            complete_until_seconds=page.complete_until_seconds + interval,
        )

    def _answer(self, topic: _Topic, confirmed_at: float) -> None:
        """Answer all asks with what the store said as of a time."""
        asked = topic.waiting
        topic.waiting = []
        for waiting in asked:
            records = topic.since(waiting.ask.offset)
            lag = max(0, waiting.received_at - confirmed_at)
            page = _to_message(
                waiting.ask.number,
                topic.next_offset,
                records,
                lag,
            )
            self.sender.send(waiting.asked_by, page)

    async def _ask(
        self,
        reader: str,
        topic: str,
        offset: int,
        wait_seconds: float,
    ) -> KeyedPage | None:
        number = next(self.numbers)
        future: asyncio.Future[TopicPage]
        future = asyncio.get_running_loop().create_future()
        self.answers[number] = future
        try:
            interval = self.intervals.get(topic, 0)
            async with asyncio.timeout(interval + wait_seconds + ASK_SECONDS):
                self.sender.send(reader, TopicAsk(number, topic, offset))
                page = await future
        except TimeoutError:
            self.distrusted[reader] = self.clock.monotonic() + DISTRUST_SECONDS
            return None
        finally:
            self.answers.pop(number)
        return _to_page(page, offset) if page.is_whole else None


def _to_message(
    number: int,
    next_offset: int,
    records: Sequence[KeyedRecord] | None,
    lag: float,
) -> TopicPage:
    if records is None:
        return TopicPage(number)
    if sum(len(record.value) for record in records) > MAX_PAGE_OCTETS:
        return TopicPage(number)
    return TopicPage(
        number,
        is_whole=True,
        next_offset=next_offset,
        lag_us=int(lag * _US_PER_SECOND),
        keys=[record.key for record in records],
        values=[record.value for record in records],
    )


def _to_page(message: TopicPage, offset: int) -> KeyedPage:
    pairs = zip(message.keys, message.values, strict=True)
    records = tuple(
        KeyedRecord(key, value, offset + index)
        for index, (key, value) in enumerate(pairs)
    )
    lag = message.lag_us / _US_PER_SECOND
    return KeyedPage(records, message.next_offset, complete_until_seconds=-lag)
