"""Read and append one claim stream, and keep the claims that it holds."""

import asyncio
from typing import final

from hickorymux._internal.coordination.claim_settings import ClaimSettings
from hickorymux._internal.coordination.ports import LogClient
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

_READ_LIMIT_RECORDS = 1000


@final
class ClaimStream:
    """Appends to one claim stream and replays its records into ``fold``.

    ``last_read_at`` and ``last_record_at`` are the monotonic times, in
    seconds, of the last read and of the last read that found records.
    """

    __slots__ = (
        'clock',
        'fold',
        'last_read_at',
        'last_record_at',
        'log',
        'name',
        'read_lock',
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
            is_complete = False
            while not is_complete:
                is_complete = await self._read_page(offset)

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

    @property
    def _log_timeout(self) -> float:
        return self.settings.log_timeout.total_seconds()

    async def _read_page(self, offset: int) -> bool:
        """Replay one page; return whether ``offset`` or the end is reached."""
        try:
            async with asyncio.timeout(self._log_timeout):
                page = await self.log.read(
                    self.name,
                    self.fold.next_offset,
                    limit=_READ_LIMIT_RECORDS,
                )
        except TimeoutError as error:
            raise LogUnavailable('timeout', where=self.name) from error
        except LogTrimmed as trimmed:
            # The log has trimmed all records before its first offset, whether
            # they were replayed here or not.
            self.fold.trim(trimmed.first_offset)
            return False
        self.fold.trim(page.first_offset)
        if page.records:
            self.last_record_at = self.clock.monotonic()
        for record in page.records:
            self.fold.apply(record.offset, record.appended_at, record.payload)
        is_at_end = self.fold.next_offset >= page.end_offset
        return is_at_end or 0 <= offset < self.fold.next_offset
