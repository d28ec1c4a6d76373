"""Streams of records with offsets, limited retention and a rate limit."""

import asyncio
import collections
import dataclasses
import datetime as dt
from typing import final


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRecord:
    """One record; offsets count from 0 in each stream."""

    offset: int
    appended_at: dt.datetime
    payload: bytes


@final
class LogStream:
    """The retained records of one stream."""

    __slots__ = ('end_offset', 'record_added', 'records')

    def __init__(self) -> None:
        self.records: collections.deque[StoredRecord] = collections.deque()
        self.end_offset = 0
        self.record_added = asyncio.Event()

    @property
    def first_offset(self) -> int:
        """Return the oldest retained offset, or the end if none is."""
        return self.end_offset - len(self.records)

    def append(self, payload: bytes) -> int:
        """Store a record, wake the readers and return its offset."""
        offset = self.end_offset
        now = dt.datetime.now(dt.UTC)
        self.records.append(StoredRecord(offset, now, payload))
        self.end_offset += 1
        self.record_added.set()
        self.record_added = asyncio.Event()
        return offset

    def trim(self, keep_count: int, oldest: dt.datetime) -> None:
        """Drop records beyond the count and those from before ``oldest``."""
        while len(self.records) > keep_count:
            self.records.popleft()
        while self.records and self.records[0].appended_at < oldest:
            self.records.popleft()

    def records_from(self, offset: int, limit: int) -> list[StoredRecord]:
        """Return up to ``limit`` retained records from an offset on."""
        skipped = offset - self.first_offset
        stop = min(len(self.records), skipped + limit)
        return [self.records[index] for index in range(skipped, stop)]

    async def wait_for_offset(self, offset: int, seconds: float) -> None:
        """Wait until the stream has a record at ``offset``, or time is up."""
        try:
            async with asyncio.timeout(seconds):
                while self.end_offset <= offset:
                    await self.record_added.wait()
        except TimeoutError:
            return


@final
class RateLimit:
    """A token bucket that holds one second of its rate."""

    __slots__ = ('refilled_at', 'tokens', 'per_second')

    def __init__(self, per_second: float, now: float) -> None:
        self.per_second = per_second
        self.tokens = per_second
        self.refilled_at = now

    def acquire(self, now: float) -> float:
        """Take one; return 0 or the seconds until one will be there."""
        gained = (now - self.refilled_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + gained)
        self.refilled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return (1 - self.tokens) / self.per_second
