"""Collect the log entries of one claim partition and append them in batches.

Each partition has one task. New entries queue up while a batch is being
appended, so the append rate depends on the time that an append takes and not
on the request rate. The module's name is a value of the log field ``logger``.
"""

import asyncio
import collections
import contextlib
import dataclasses
import logging
from collections.abc import Sequence
from typing import final

from hickorymux._internal.coordination.claim_relay import ClaimRelay
from hickorymux._internal.coordination.claim_settings import ClaimSettings
from hickorymux._internal.coordination.claim_stream import ClaimStream
from hickorymux._internal.exceptions import (
    ClaimUnavailable,
    LogAppendUnknown,
    LogError,
    LogUnavailable,
)
from hickorymux._internal.state.claim_fold import (
    ClaimEntry,
    ClaimResult,
    Entry,
    ReleaseEntry,
    Verdict,
    encode_entries,
)
from hickorymux._internal.utils.clock import Clock

logger = logging.getLogger(__name__)

_RETRY_PAUSE_SECONDS = 0.05
_LOG_NOT_ANSWERING = 'the log service does not answer'


@dataclasses.dataclass(slots=True, eq=False)
class PendingEntry:
    """A queued entry and the future that receives its verdict.

    ``is_from_peer`` marks an entry that another router sent to this one as
    the writer of the partition. ``may_be_appended`` is true from the moment
    at which the entry may be on the log.
    """

    entry: Entry
    verdict: asyncio.Future[Verdict]
    is_from_peer: bool = False
    may_be_appended: bool = False


def _set_may_be_appended(
    batch: Sequence[PendingEntry], *, may_be_appended: bool
) -> None:
    for pending in batch:
        pending.may_be_appended = may_be_appended


def _set_verdicts(
    batch: Sequence[PendingEntry], verdicts: Sequence[Verdict]
) -> None:
    for pending, verdict in zip(batch, verdicts, strict=True):
        if not pending.verdict.done():
            pending.verdict.set_result(verdict)


@final
class ClaimBatcher:
    """Appends the entries of one partition and returns their verdicts.

    A batch goes to the router that writes the partition, or to the log itself
    if this router is the writer or no writer answers.
    """

    def __init__(
        self,
        partition: int,
        stream: ClaimStream,
        clock: Clock,
        settings: ClaimSettings,
        relay: ClaimRelay | None = None,
    ) -> None:
        self.partition = partition
        self.stream = stream
        self.clock = clock
        self.settings = settings
        self.relay = relay
        self.queue: collections.deque[PendingEntry] = collections.deque()
        self.queue_not_empty = asyncio.Event()
        self.is_log_down = False
        self.next_probe_at = float('-inf')
        self.next_append_at = float('-inf')
        self.task: asyncio.Task[None] | None = None

    def submit(
        self, entry: Entry, *, is_from_peer: bool = False
    ) -> PendingEntry:
        """Queue an entry whose verdict the caller awaits.

        Raises ``ClaimUnavailable`` if the log is down or the queue is full.
        """
        if self.is_log_down:
            self._admit_probe()
        if len(self.queue) >= self.settings.max_pending_entries:
            raise self.unavailable_error(
                'the queue of claims for the log service is full'
            )
        return self._enqueue(entry, is_from_peer=is_from_peer)

    def abandon(self, pending: PendingEntry) -> None:
        """Cancel a claim and release its key; its attempt will not send."""
        pending.verdict.cancel()
        if pending.is_from_peer:
            # Only the router that runs the attempt knows whether it sends.
            return
        if isinstance(pending.entry, ClaimEntry) and pending.may_be_appended:
            self.submit_unawaited(
                ReleaseEntry(pending.entry.key, pending.entry.attempt)
            )

    def submit_unawaited(self, entry: Entry) -> None:
        """Queue a release or an outcome; drop it if the queue is full."""
        if len(self.queue) < self.settings.max_pending_entries:
            self._enqueue(entry)

    def known_refusal(self, entry: Entry) -> Verdict | None:
        """Return a losing verdict if another attempt is known to own the key.

        Nothing is appended. The refused attempt never sends, even if the
        owner releases the key later.
        """
        fold = self.stream.fold
        if not isinstance(entry, ClaimEntry):
            return None
        if fold.owner_of(entry.key) in {b'', entry.attempt}:
            return None
        verdict = fold.verdict_for(entry.key, entry.attempt)
        return dataclasses.replace(verdict, result=ClaimResult.lost)

    def unavailable_error(self, reason: str) -> ClaimUnavailable:
        """Return the error for a claim that is given up and never used."""
        return ClaimUnavailable(
            reason,
            where=self.stream.name,
            retry_after=self.settings.retry_after.total_seconds(),
        )

    async def close(self) -> None:
        """Stop the batching task."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def run(self) -> None:
        """Append queued entries in batches until cancelled."""
        while True:
            await self.queue_not_empty.wait()
            await self.clock.sleep(self.settings.batch_delay.total_seconds())
            batch = self._take_batch()
            if not batch:
                continue
            try:
                await self._process_batch(batch)
            except Exception as error:
                logger.exception(
                    'a batch of claims failed',
                    extra={'event': 'claim_error'},
                )
                await self._fail_batch(batch, LogError(str(error)))

    def _admit_probe(self) -> None:
        now = self.clock.monotonic()
        if now < self.next_probe_at:
            raise self.unavailable_error(_LOG_NOT_ANSWERING)
        self.next_probe_at = now + self.settings.retry_after.total_seconds()

    def _enqueue(
        self, entry: Entry, *, is_from_peer: bool = False
    ) -> PendingEntry:
        verdict = asyncio.get_running_loop().create_future()
        pending = PendingEntry(entry, verdict, is_from_peer)
        self.queue.append(pending)
        self.queue_not_empty.set()
        if self.task is None:
            self.task = asyncio.create_task(self.run())
        return pending

    def _take_batch(self) -> list[PendingEntry]:
        batch: list[PendingEntry] = []
        while self.queue and len(batch) < self.settings.max_batch_entries:
            pending = self.queue.popleft()
            if not pending.verdict.cancelled():
                batch.append(pending)
        if not self.queue:
            self.queue_not_empty.clear()
        return batch

    async def _process_batch(self, batch: list[PendingEntry]) -> None:
        payload = encode_entries(pending.entry for pending in batch)
        writer_was_asked = self._has_other_writer(batch)
        if writer_was_asked and await self._append_through_writer(
            batch, payload
        ):
            self.is_log_down = False
            return
        try:
            await self._append_directly(
                batch, payload, writer_was_asked=writer_was_asked
            )
        except LogError as error:
            await self._fail_batch(batch, error)
        else:
            self.is_log_down = False

    def _has_other_writer(self, batch: list[PendingEntry]) -> bool:
        if self.relay is None or any(item.is_from_peer for item in batch):
            return False
        return not self.relay.is_first_writer(self.partition)

    async def _append_through_writer(
        self,
        batch: list[PendingEntry],
        payload: bytes,
    ) -> bool:
        if self.relay is None:
            return False
        # Once asked, the writer may append the entries at any time.
        _set_may_be_appended(batch, may_be_appended=True)
        verdicts = await self.relay.request_verdicts(self.partition, payload)
        if len(verdicts) != len(batch):
            return False
        _set_verdicts(batch, verdicts)
        return True

    async def _append_directly(
        self,
        batch: list[PendingEntry],
        payload: bytes,
        *,
        writer_was_asked: bool,
    ) -> None:
        deadline = self.clock.monotonic()
        deadline += self.settings.decision_timeout.total_seconds()
        await self._wait_for_append_interval()
        _set_may_be_appended(batch, may_be_appended=True)
        try:
            offset = await self.stream.append(payload)
        except LogUnavailable:
            # This append took no effect, but a writer may still append.
            _set_may_be_appended(batch, may_be_appended=writer_was_asked)
            raise
        except LogAppendUnknown:
            offset = await self._retry_append(payload, deadline)
        await self.stream.read_through(offset)
        fold = self.stream.fold
        entries = (pending.entry for pending in batch)
        _set_verdicts(
            batch,
            [fold.verdict_for(entry.key, entry.attempt) for entry in entries],
        )

    async def _wait_for_append_interval(self) -> None:
        now = self.clock.monotonic()
        if now < self.next_append_at:
            await self.clock.sleep(self.next_append_at - now)
        interval = self.settings.append_interval.total_seconds()
        self.next_append_at = self.clock.monotonic() + interval

    async def _retry_append(self, payload: bytes, deadline: float) -> int:
        # Entries carry the attempt id, so a batch that is on the log twice
        # gives the same verdicts.
        while self.clock.monotonic() < deadline:
            await self.clock.sleep(_RETRY_PAUSE_SECONDS)
            with contextlib.suppress(LogError):
                return await self.stream.append(payload)
            self._mark_log_down()
        raise LogAppendUnknown(
            'the log service did not confirm the append in time',
            where=self.stream.name,
        )

    async def _fail_batch(
        self, batch: list[PendingEntry], error: LogError
    ) -> None:
        logger.warning(
            'claims could not be appended to the log',
            extra={
                'event': 'claims_failed',
                'stream': self.stream.name,
                'reason': str(error),
            },
        )
        self._mark_log_down()
        for pending in batch:
            self._fail_entry(pending)
        await self.clock.sleep(self.settings.retry_after.total_seconds())

    def _mark_log_down(self) -> None:
        """Refuse new claims at once, except one per interval as a probe."""
        pause = self.settings.retry_after.total_seconds()
        self.is_log_down = True
        self.next_probe_at = self.clock.monotonic() + pause

    def _fail_entry(self, pending: PendingEntry) -> None:
        if not isinstance(pending.entry, ClaimEntry):
            self.submit_unawaited(pending.entry)
            return
        if not pending.verdict.done():
            pending.verdict.set_exception(
                self.unavailable_error(_LOG_NOT_ANSWERING)
            )
            self.abandon(pending)
