"""Read and append one claim stream, and keep the claims that it holds."""

import asyncio
import logging
from typing import final

from hickorymux._internal.coordination.claim_settings import ClaimSettings
from hickorymux._internal.coordination.ports import LogClient, LogRecord
from hickorymux._internal.exceptions import (
    LogAppendUnknown,
    LogTrimmed,
    LogUnavailable,
)
from hickorymux._internal.state.claim_fold import (
    ClaimFold,
    encode_entries,
)
from hickorymux._internal.utils.clock import Clock

logger = logging.getLogger(__name__)

_READ_LIMIT_RECORDS = 1000


@final
class ClaimStream:
    """Appends to one claim stream and replays its records into ``fold``.

    ``last_read_at`` and ``last_record_at`` are the monotonic times, in
    seconds, of the last read and of the last read that found records.

    Each read starts with ``last_record``, the last one that was replayed. If
    the log has another record in its place or none, it was restored from a
    copy and has assigned offsets anew; ``restores`` counts that.
    """

    __slots__ = (
        'clock',
        'fold',
        'last_read_at',
        'last_record',
        'last_record_at',
        'log',
        'name',
        'read_lock',
        'restores',
        'settings',
    )

    def __init__(
        self,
        name: str,
        log: LogClient,
        clock: Clock,
        settings: ClaimSettings,
    ) -> None:
        self.name = name
        self.log = log
        self.clock = clock
        self.settings = settings
        self.fold = ClaimFold()
        self.read_lock = asyncio.Lock()
        self.last_read_at = clock.monotonic()
        self.last_record_at = float('-inf')
        self.last_record: LogRecord | None = None
        self.restores = 0

    async def append(self, payload: bytes) -> int:
        """Append a record and return its offset.

        Raises ``LogError``; ``LogAppendUnknown`` after ``log_timeout``.
        """
        try:
            async with asyncio.timeout(self._log_timeout):
                return await self.log.append(self.name, payload)
        except TimeoutError as error:
            raise LogAppendUnknown('timeout', where=self.name) from error

    async def read_through(self, offset: int) -> None:
        """Replay the records up to and including ``offset``.

        A negative offset means the end of the stream. Raises ``LogError``.
        """
        async with self.read_lock:
            self.last_read_at = self.clock.monotonic()
            start = self.fold.next_offset
            if self.last_record is not None:
                start = self.last_record.offset
            while not await self._read_page(start, offset):
                start = self.fold.next_offset

    async def refresh(self) -> None:
        """Replay the records up to the end of the stream."""
        await self.read_through(-1)

    async def follow(self) -> None:
        """Refresh; append an empty record if the stream has long had none."""
        await self.refresh()
        now = self.clock.monotonic()
        if (
            self.last_record_at
            + self.settings.empty_record_interval.total_seconds()
            > now
        ):
            return
        self.last_record_at = now
        await self.append(encode_entries(()))

    async def discard_fold(self) -> None:
        """Drop the replayed state; the next read starts from offset 0."""
        async with self.read_lock:
            self.fold = ClaimFold()
            self.last_record = None

    @property
    def _log_timeout(self) -> float:
        return self.settings.log_timeout.total_seconds()

    async def _read_page(self, start: int, offset: int) -> bool:
        """Replay the page from ``start`` on.

        Returns whether ``offset`` or the end of the stream is reached.
        """
        try:
            async with asyncio.timeout(self._log_timeout):
                page = await self.log.read(
                    self.name,
                    start,
                    limit=_READ_LIMIT_RECORDS,
                )
        except TimeoutError as error:
            raise LogUnavailable('timeout', where=self.name) from error
        except LogTrimmed as trimmed:
            # The log has trimmed all records before its first offset, whether
            # they were replayed here or not.
            self.last_record = None
            self.fold.trim(trimmed.first_offset)
            return False
        records = page.records
        if start < self.fold.next_offset:
            if records[:1] != (self.last_record,):
                self._start_over()
                return False
            records = records[1:]
        self.fold.trim(page.first_offset)
        if records:
            self.last_record_at = self.clock.monotonic()
            self.last_record = records[-1]
        for record in records:
            self.fold.apply(record.offset, record.appended_at, record.payload)
        is_at_end = self.fold.next_offset >= page.end_offset
        return is_at_end or 0 <= offset < self.fold.next_offset

    def _start_over(self) -> None:
        """Replay a log that was restored from a copy from its start."""
        self.restores += 1
        self.last_record = None
        self.fold.restart(self.clock.wall())
        logger.warning(
            'the log was restored, its claims are replayed',
            extra={'event': 'claim_log_restored', 'stream': self.name},
        )
