"""One claim stream: appends entries in batches and folds what the log holds.

One task serves the lane. While one batch is on its way the next one gathers,
so the number of appends is bounded by the round trip and not by the load.
"""

import asyncio
import collections
import contextlib
import dataclasses
import datetime as dt
import logging
from collections.abc import Sequence
from typing import final

from hickorymux._internal.coordination.ports import LogClient
from hickorymux._internal.exceptions import (
    ClaimUnavailable,
    LogAppendUnknown,
    LogError,
    LogTrimmed,
    LogUnavailable,
)
from hickorymux._internal.state.claim_fold import (
    ClaimEntry,
    ClaimFold,
    Entry,
    ProtectedWindow,
    ReleaseEntry,
    Verdict,
    encode_entries,
)
from hickorymux._internal.utils.clock import Clock

logger = logging.getLogger(__name__)

_RETRY_PAUSE_SECONDS = 0.05
_READ_LIMIT_RECORDS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimSettings:
    """Settings of the claim streams; each must be equal on all routers.

    ``partitions`` is the number of streams. ``retention`` is the least age at
    which the log service trims a record. ``skew`` bounds how far a caller's
    clock may run ahead. ``decision`` bounds the time to a verdict.
    """

    partitions: int = 1
    retention: dt.timedelta = dt.timedelta(hours=1)
    skew: dt.timedelta = dt.timedelta(minutes=1)
    decision: dt.timedelta = dt.timedelta(seconds=3)
    batch_window: dt.timedelta = dt.timedelta(milliseconds=2)
    log_timeout: dt.timedelta = dt.timedelta(seconds=1)
    retry_after: dt.timedelta = dt.timedelta(seconds=1)
    max_batch: int = 512
    max_pending: int = 8192

    @property
    def window(self) -> ProtectedWindow:
        """Return how long keys are protected under these settings."""
        return ProtectedWindow(self.retention, self.skew, self.decision)


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """An entry that waits to be appended, and who waits for its verdict.

    ``may_have_landed`` is set once an append that holds the entry was sent.
    """

    entry: Entry
    verdict: asyncio.Future[Verdict]
    may_have_landed: bool = False


def _mark_landed(batch: Sequence[Pending], *, may_have_landed: bool) -> None:
    for pending in batch:
        pending.may_have_landed = may_have_landed


@final
class ClaimLane:
    """Appends to one claim stream and follows it as far as needed."""

    def __init__(
        self,
        stream: str,
        log: LogClient,
        clock: Clock,
        settings: ClaimSettings,
    ) -> None:
        self.stream = stream
        self.log = log
        self.clock = clock
        self.settings = settings
        self.fold = ClaimFold()
        self.queue: collections.deque[Pending] = collections.deque()
        self.arrived = asyncio.Event()
        self.read_lock = asyncio.Lock()
        self.is_down = False
        self.probe_at = float('-inf')
        self.task: asyncio.Task[None] | None = None

    def submit(self, entry: Entry) -> Pending:
        """Queue an entry; raise ``ClaimUnavailable`` if the log is down."""
        if self.is_down:
            self._admit_probe()
        if len(self.queue) >= self.settings.max_pending:
            raise self.unavailable('too many claims wait for the log service')
        return self._enqueue(entry)

    def abandon(self, pending: Pending) -> None:
        """Give up on a claim: its attempt will not send, so release it."""
        pending.verdict.cancel()
        if isinstance(pending.entry, ClaimEntry) and pending.may_have_landed:
            self.note(ReleaseEntry(pending.entry.key, pending.entry.attempt))

    def note(self, entry: Entry) -> None:
        """Queue a release or an outcome, which nobody waits for."""
        if len(self.queue) < self.settings.max_pending:
            self._enqueue(entry)

    def unavailable(self, reason: str) -> ClaimUnavailable:
        """Return the error of a claim that will certainly not be used."""
        return ClaimUnavailable(
            reason,
            where=self.stream,
            retry_after=self.settings.retry_after.total_seconds(),
        )

    async def refresh(self) -> None:
        """Fold what was appended since the last read; raises ``LogError``."""
        await self._read_through(-1)

    async def close(self) -> None:
        """Stop the task of the lane."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def run(self) -> None:
        """Serve the lane until cancelled."""
        while True:
            await self.arrived.wait()
            await self.clock.sleep(self.settings.batch_window.total_seconds())
            batch = self._take_batch()
            if not batch:
                continue
            try:
                await self._settle(batch)
            except Exception as error:
                logger.exception('claim lane', extra={'event': 'claim_error'})
                await self._fail(batch, LogError(str(error)))

    def _admit_probe(self) -> None:
        now = self.clock.monotonic()
        if now < self.probe_at:
            raise self.unavailable('the log service does not answer')
        self.probe_at = now + self.settings.retry_after.total_seconds()

    def _enqueue(self, entry: Entry) -> Pending:
        pending = Pending(entry, asyncio.get_running_loop().create_future())
        self.queue.append(pending)
        self.arrived.set()
        if self.task is None:
            self.task = asyncio.create_task(self.run())
        return pending

    def _take_batch(self) -> list[Pending]:
        batch: list[Pending] = []
        while self.queue and len(batch) < self.settings.max_batch:
            pending = self.queue.popleft()
            if not pending.verdict.cancelled():
                batch.append(pending)
        if not self.queue:
            self.arrived.clear()
        return batch

    async def _settle(self, batch: list[Pending]) -> None:
        try:
            await self._read_through(await self._append(batch))
        except LogError as error:
            await self._fail(batch, error)
            return
        self.is_down = False
        for pending in batch:
            if not pending.verdict.done():
                pending.verdict.set_result(self._verdict(pending.entry))

    def _verdict(self, entry: Entry) -> Verdict:
        return self.fold.verdict(entry.key, entry.attempt)

    async def _append(self, batch: list[Pending]) -> int:
        payload = encode_entries(pending.entry for pending in batch)
        give_up_at = self.clock.monotonic()
        give_up_at += self.settings.decision.total_seconds()
        _mark_landed(batch, may_have_landed=True)
        try:
            return await self._append_once(payload)
        except LogUnavailable:
            _mark_landed(batch, may_have_landed=False)
            raise
        except LogAppendUnknown:
            return await self._append_again(payload, give_up_at)

    async def _append_again(self, payload: bytes, give_up_at: float) -> int:
        # Entries carry the attempt id, so that appending a batch again after
        # a lost answer changes no verdict.
        while self.clock.monotonic() < give_up_at:
            await self.clock.sleep(_RETRY_PAUSE_SECONDS)
            with contextlib.suppress(LogError):
                return await self._append_once(payload)
        raise LogAppendUnknown('no answer in time', where=self.stream)

    async def _append_once(self, payload: bytes) -> int:
        try:
            async with asyncio.timeout(self._log_timeout):
                return await self.log.append(self.stream, payload)
        except TimeoutError as error:
            raise LogAppendUnknown('timeout', where=self.stream) from error

    @property
    def _log_timeout(self) -> float:
        return self.settings.log_timeout.total_seconds()

    async def _read_through(self, offset: int) -> None:
        async with self.read_lock:
            is_complete = False
            while not is_complete:
                is_complete = await self._read_page(offset)

    async def _read_page(self, offset: int) -> bool:
        """Fold one page; return whether ``offset`` and all known are in."""
        try:
            async with asyncio.timeout(self._log_timeout):
                page = await self.log.read(
                    self.stream,
                    self.fold.next_offset,
                    limit=_READ_LIMIT_RECORDS,
                )
        except TimeoutError as error:
            raise LogUnavailable('timeout', where=self.stream) from error
        except LogTrimmed as trimmed:
            # What was folded is trimmed, and so is what was missed.
            self.fold.trim(trimmed.first_offset)
            return False
        self.fold.trim(page.first_offset)
        for record in page.records:
            self.fold.apply(record.offset, record.appended_at, record.payload)
        is_at_end = self.fold.next_offset >= page.end_offset
        return is_at_end or 0 <= offset < self.fold.next_offset

    async def _fail(self, batch: list[Pending], error: LogError) -> None:
        logger.warning(
            'claims not recorded',
            extra={
                'event': 'claims_failed',
                'stream': self.stream,
                'reason': str(error),
            },
        )
        pause = self.settings.retry_after.total_seconds()
        self.is_down = True
        self.probe_at = self.clock.monotonic() + pause
        for pending in batch:
            self._fail_one(pending)
        await self.clock.sleep(pause)

    def _fail_one(self, pending: Pending) -> None:
        if not isinstance(pending.entry, ClaimEntry):
            self.note(pending.entry)
            return
        if not pending.verdict.done():
            error = self.unavailable('the log service does not answer')
            pending.verdict.set_exception(error)
            self.abandon(pending)
