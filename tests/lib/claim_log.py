"""A log in memory whose append answers can be lost, late or refused."""

import asyncio
import collections
import dataclasses
import datetime as dt
import enum
from typing import final

from hickorymux._internal.coordination.ports import LogPage, LogRecord
from hickorymux._internal.exceptions import (
    LogAppendUnknown,
    LogTrimmed,
    LogUnavailable,
)


class AppendFault(enum.Enum):
    """What happens to one append."""

    none = 'none'
    refused = 'refused'
    answer_lost = 'answer_lost'
    lost = 'lost'


@dataclasses.dataclass(slots=True)
class _Stream:
    first_offset: int = 0
    records: list[LogRecord] = dataclasses.field(default_factory=list)

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)


@final
class ClaimLog:
    """Streams in memory; ``faults`` applies to the next appends in order."""

    def __init__(self) -> None:
        self.streams: dict[str, _Stream] = collections.defaultdict(_Stream)
        self.faults: collections.deque[AppendFault] = collections.deque()
        self.is_down = False
        self.wall = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
        self.appends = 0
        self.appended_bytes = 0

    async def append(self, stream: str, payload: bytes) -> int:
        await asyncio.sleep(0)
        fault = self.faults.popleft() if self.faults else AppendFault.none
        if self.is_down or fault is AppendFault.refused:
            raise LogUnavailable('down', where=stream)
        if fault is AppendFault.lost:
            raise LogAppendUnknown('lost', where=stream)
        offset = self.land(stream, payload)
        await asyncio.sleep(0)
        if fault is AppendFault.answer_lost:
            raise LogAppendUnknown('answer lost', where=stream)
        return offset

    def land(self, stream: str, payload: bytes) -> int:
        state = self.streams[stream]
        offset = state.end_offset
        state.records.append(LogRecord(offset, payload, self.wall))
        self.appends += 1
        self.appended_bytes += len(payload)
        return offset

    def trim(self, before: dt.datetime) -> None:
        for state in self.streams.values():
            while state.records and state.records[0].appended_at < before:
                state.records.pop(0)
                state.first_offset += 1

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> LogPage:
        await asyncio.sleep(0)
        if self.is_down:
            raise LogUnavailable('down', where=stream)
        state = self.streams[stream]
        if from_offset < state.first_offset:
            raise LogTrimmed('trimmed', first_offset=state.first_offset)
        start = from_offset - state.first_offset
        records = tuple(state.records[start : start + limit])
        next_offset = from_offset + len(records)
        return LogPage(
            state.first_offset,
            next_offset,
            state.end_offset,
            records,
        )
