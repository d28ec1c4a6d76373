"""Lets one router of a zone read the log for all of them.

If every router read every topic itself, the calls to the store would grow
with the number of routers. Instead, the zone reader, which is the live router
of the zone with the lowest id, reads the store and the other routers request
the records from it. The zone reader answers a request after its next read and
states how much older than the request the answer is, so that each router
knows the staleness of its view. A router that gets no answer in time reads
the store itself. So does one whose offset is of another era of the log than
the records of the zone reader, as only the store says which era is current.

``intervals`` gives the seconds to pause before each read of a topic. It is
for topics that are written so often that a read never waits.

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
    UNKNOWN_ERA,
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

# How long to wait for the answer of the zone reader, on top of the interval of
# the topic and the time for which the store may hold a read open.
REPLY_TIMEOUT_SECONDS: Final = 0.4
# How long no request is sent to a zone reader that did not answer.
READER_BACK_OFF_SECONDS: Final = 5.0
# Records of a topic that the zone reader keeps for routers that are behind.
MAX_KEPT_RECORDS: Final = 1000
# Each router reads larger pages from the store itself.
MAX_PAGE_BYTES: Final = 200_000
_US_PER_SECOND: Final = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingRequest:
    """A request of another router, to be answered after the next read."""

    requester_id: str
    request: TopicAsk
    received_at: float


@final
class _Topic:
    """The last records that were read, and requests for the next ones."""

    __slots__ = ('era', 'next_offset', 'records', 'pending_requests')

    def __init__(self) -> None:
        self.era = UNKNOWN_ERA
        self.next_offset = 0
        self.records: collections.deque[KeyedRecord] = collections.deque(
            maxlen=MAX_KEPT_RECORDS,
        )
        self.pending_requests: list[_PendingRequest] = []

    def replace_by(self, page: KeyedPage, from_offset: int) -> None:
        """Add a page; drop the records that it doesn't continue."""
        if from_offset != self.next_offset or page.era != self.era:
            self.records.clear()
        self.records.extend(page.records)
        self.next_offset = page.next_offset
        self.era = page.era

    def records_from(
        self, offset: int, era: int
    ) -> Sequence[KeyedRecord] | None:
        """Return the records from an offset on, ``None`` if any is missing.

        Offsets of an unknown era are taken for those of the current one.
        """
        if offset > self.next_offset or era not in {UNKNOWN_ERA, self.era}:
            return None
        found = [record for record in self.records if record.offset >= offset]
        if len(found) < self.next_offset - offset:
            return None
        return found


@final
class SharedLog:
    """A ``KeyedLog`` that reads the store through the zone reader.

    ``reader_back_off`` holds, by the id of a zone reader that did not answer,
    the monotonic time before which no request is sent to it. ``listed_eras``
    has the era of the last listing of each topic, from which the offsets follow
    that are read.
    """

    __slots__ = (
        'pending_replies',
        'clock',
        'reader_back_off',
        'intervals',
        'listed_eras',
        'log',
        'members',
        'request_numbers',
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
        self.listed_eras: dict[str, int] = {}
        self.pending_replies: dict[int, asyncio.Future[TopicPage]] = {}
        self.reader_back_off: dict[str, float] = {}
        self.request_numbers = itertools.count(1)

    async def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key, from the store."""
        page = await self.log.read_newest(topic)
        self.listed_eras[topic] = page.era
        return page

    async def read(
        self,
        topic: str,
        from_offset: int,
        *,
        wait_seconds: float = 0,
    ) -> KeyedPage:
        """Return records from an offset on; see ``KeyedLog``."""
        reader = self._zone_reader()
        if reader is None:
            return await self._read_for_zone(topic, from_offset, wait_seconds)
        asked_at = self.clock.monotonic()
        page = await self._request_page(
            reader, topic, from_offset, wait_seconds
        )
        if page is None:
            waited = self.clock.monotonic() - asked_at
            return await self._read_log(
                topic, from_offset, wait_seconds, elapsed_seconds=waited
            )
        return page

    def on_message(self, sender_id: str, message: Any) -> None:
        """Handle a request for records or the answer to one."""
        if isinstance(message, TopicAsk):
            self._on_request(sender_id, message)
        elif isinstance(message, TopicPage):
            future = self.pending_replies.get(message.number)
            if future is not None and not future.done():
                future.set_result(message)

    def _on_request(self, sender_id: str, request: TopicAsk) -> None:
        if self._zone_reader() is not None:
            # This router is not the zone reader, so records that it read
            # earlier may be out of date.
            self.sender.send(sender_id, TopicPage(request.number))
            return
        topic = self.topics.setdefault(request.topic, _Topic())
        now = self.clock.monotonic()
        topic.pending_requests.append(_PendingRequest(sender_id, request, now))

    def _zone_reader(self) -> str | None:
        """Return the id of the zone reader, ``None`` if it is this router.

        Routers that recently left a request without an answer are skipped.
        """
        me = self.members.myself
        now = self.clock.monotonic()
        for member in self.members.live_in_zone(me.zone):
            if member.router_id == me.router_id:
                return None
            if self.reader_back_off.get(member.router_id, 0) <= now:
                return member.router_id
        return None

    async def _read_for_zone(
        self,
        topic_name: str,
        from_offset: int,
        wait_seconds: float,
    ) -> KeyedPage:
        topic = self.topics.setdefault(topic_name, _Topic())
        started_at = self.clock.monotonic()
        page = await self._read_log(topic_name, from_offset, wait_seconds)
        topic.replace_by(page, from_offset)
        self._answer_requests(topic, started_at + page.complete_until_seconds)
        return page

    async def _read_log(
        self,
        topic: str,
        from_offset: int,
        wait_seconds: float,
        *,
        elapsed_seconds: float = 0,
    ) -> KeyedPage:
        """Read the log after the interval of the topic.

        ``elapsed_seconds`` is the time that has passed since the read was
        asked for.
        """
        pause = max(0, self.intervals.get(topic, 0) - elapsed_seconds)
        if pause:
            await self.clock.sleep(pause)
        page = await self.log.read(
            topic,
            from_offset,
            wait_seconds=wait_seconds,
        )
        read_after = elapsed_seconds + pause
        return dataclasses.replace(
            page,
            complete_until_seconds=page.complete_until_seconds + read_after,
        )

    def _answer_requests(self, topic: _Topic, confirmed_at: float) -> None:
        """Answer the pending requests from the records read so far.

        ``confirmed_at`` is the monotonic time in seconds up to which the
        records are complete.
        """
        requests = topic.pending_requests
        topic.pending_requests = []
        for pending in requests:
            request = pending.request
            records = topic.records_from(request.offset, request.era)
            lag = max(0, pending.received_at - confirmed_at)
            message = _to_message(request.number, topic, records, lag)
            self.sender.send(pending.requester_id, message)

    async def _request_page(
        self,
        reader: str,
        topic: str,
        offset: int,
        wait_seconds: float,
    ) -> KeyedPage | None:
        number = next(self.request_numbers)
        era = self.listed_eras.get(topic, UNKNOWN_ERA)
        future: asyncio.Future[TopicPage]
        future = asyncio.get_running_loop().create_future()
        self.pending_replies[number] = future
        try:
            interval = self.intervals.get(topic, 0)
            async with asyncio.timeout(
                interval + wait_seconds + REPLY_TIMEOUT_SECONDS
            ):
                self.sender.send(reader, TopicAsk(number, topic, offset, era))
                page = await future
        except TimeoutError:
            self.reader_back_off[reader] = (
                self.clock.monotonic() + READER_BACK_OFF_SECONDS
            )
            return None
        finally:
            self.pending_replies.pop(number)
        is_usable = page.is_whole and page.era == era
        return _to_page(page, offset) if is_usable else None


def _to_message(
    number: int,
    topic: _Topic,
    records: Sequence[KeyedRecord] | None,
    lag: float,
) -> TopicPage:
    if records is None:
        return TopicPage(number)
    if sum(len(record.value) for record in records) > MAX_PAGE_BYTES:
        return TopicPage(number)
    return TopicPage(
        number,
        is_whole=True,
        next_offset=topic.next_offset,
        lag_us=int(lag * _US_PER_SECOND),
        keys=[record.key for record in records],
        values=[record.value for record in records],
        era=topic.era,
    )


def _to_page(message: TopicPage, offset: int) -> KeyedPage:
    pairs = zip(message.keys, message.values, strict=True)
    records = tuple(
        KeyedRecord(key, value, offset + index)
        for index, (key, value) in enumerate(pairs)
    )
    lag = message.lag_us / _US_PER_SECOND
    return KeyedPage(records, message.next_offset, -lag, message.era)
