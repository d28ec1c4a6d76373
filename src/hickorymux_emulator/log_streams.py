"""Record streams with offsets and limited retention, and a rate limit."""

import asyncio
import collections
import dataclasses
import datetime as dt
from typing import final


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRecord:
    """One record of a stream; offsets start at 0 in each stream."""

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
        """Return the oldest retained offset, or ``end_offset`` if empty."""
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
        """Keep ``keep_count`` records at most, none appended before ``oldest``."""
        while len(self.records) > keep_count:
            self.records.popleft()
        while self.records and self.records[0].appended_at < oldest:
            self.records.popleft()

    def records_from(self, offset: int, limit: int) -> list[StoredRecord]:
        """Return up to ``limit`` records, starting at a retained offset."""
        skipped = offset - self.first_offset
        stop = min(len(self.records), skipped + limit)
        return [self.records[index] for index in range(skipped, stop)]

    async def wait_for_offset(self, offset: int, seconds: float) -> None:
        """Wait ``seconds`` at most until a record at ``offset`` exists."""
        try:
            async with asyncio.timeout(seconds):
                while self.end_offset <= offset:
                    await self.record_added.wait()
        except TimeoutError:
            return


@final
class RateLimit:
    """A token bucket with a capacity of one second's tokens.

    Times are in seconds of a monotonic clock.
    """

    __slots__ = ('refilled_at', 'tokens', 'per_second')

    def __init__(self, per_second: float, now: float) -> None:
        self.per_second = per_second
        self.tokens = per_second
        self.refilled_at = now

    def acquire(self, now: float) -> float:
        """Take a token and return 0, or return the seconds to wait for one."""
        gained = (now - self.refilled_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + gained)
        self.refilled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return (1 - self.tokens) / self.per_second
