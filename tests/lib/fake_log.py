"""An in-memory log client that can fail like the real one."""

import asyncio
import collections
import datetime as dt

from hickorymux._internal.coordination.ports import LogPage, LogRecord
from hickorymux._internal.exceptions import (
    LogAppendUnknown,
    LogTrimmed,
    LogUnavailable,
)

EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class FakeLog:
    """A ``LogClient`` that keeps its streams in memory.

    While ``is_down`` is set, every call raises ``LogUnavailable``. The next
    ``lost_appends`` appends take no effect, and the next ``lost_answers``
    after them do; all of these raise ``LogAppendUnknown``. ``now`` is the
    time of new records.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.lost_answers = 0
        self.lost_appends = 0
        self.now = EPOCH
        self.append_count = 0
        self.read_count = 0
        self.first: dict[str, int] = collections.defaultdict(int)
        self.streams: dict[str, list[LogRecord]] = {}
        self.record_added = asyncio.Event()

    async def append(self, stream: str, payload: bytes) -> int:
        await asyncio.sleep(0)
        self.append_count += 1
        self._check_up()
        if self.lost_appends:
            self.lost_appends -= 1
            raise LogAppendUnknown('no answer', where=stream)
        offset = self.put(stream, payload)
        if self.lost_answers:
            self.lost_answers -= 1
            raise LogAppendUnknown('no answer', where=stream)
        return offset

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> LogPage:
        await asyncio.sleep(0)
        self.read_count += 1
        self._check_up()
        if from_offset >= self.end(stream) and wait_seconds > 0:
            await self._wait(stream, from_offset, wait_seconds)
            self._check_up()
        return self.page(stream, from_offset, limit)

    def put(self, stream: str, payload: bytes) -> int:
        """Store a record, as if another client had appended it."""
        offset = self.end(stream)
        record = LogRecord(offset, payload, self.now)
        self.streams.setdefault(stream, []).append(record)
        self.wake_readers()
        return offset

    def wake_readers(self) -> None:
        """Let waiting reads check for new records and for ``is_down``."""
        self.record_added.set()
        self.record_added = asyncio.Event()

    def end(self, stream: str) -> int:
        """Return the offset of the next record."""
        return self.first[stream] + len(self.streams.get(stream, ()))

    def trim(self, stream: str, first_offset: int) -> None:
        """Drop the records below an offset."""
        dropped = first_offset - self.first[stream]
        kept = self.streams.get(stream, [])[dropped:]
        self.streams[stream] = kept
        self.first[stream] = first_offset

    def restore(self, stream: str, end: int) -> None:
        """Lose the records from an offset on, whose offsets are reused."""
        kept = self.streams.get(stream, [])[: end - self.first[stream]]
        self.streams[stream] = kept

    def page(self, stream: str, from_offset: int, limit: int) -> LogPage:
        """Return up to ``limit`` records from an offset on."""
        first = self.first[stream]
        if from_offset < first:
            raise LogTrimmed(
                f'records below {first} were trimmed',
                first_offset=first,
                where=stream,
            )
        start = from_offset - first
        records = tuple(self.streams.get(stream, [])[start : start + limit])
        return LogPage(
            first_offset=first,
            next_offset=from_offset + len(records),
            end_offset=self.end(stream),
            records=records,
        )

    def _check_up(self) -> None:
        if self.is_down:
            raise LogUnavailable('the log service is down')

    async def _wait(
        self, stream: str, from_offset: int, wait_seconds: float
    ) -> None:
        try:
            async with asyncio.timeout(wait_seconds):
                while from_offset >= self.end(stream):
                    await self.record_added.wait()
                    self._check_up()
        except TimeoutError:
            return
