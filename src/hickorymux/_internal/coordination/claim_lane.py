"""The queue of one claim stream: gathers entries and settles them in batches.

One task serves the lane. While one batch is on its way the next one gathers,
so the number of appends is bounded by time and not by the load.
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
    Entry,
    ReleaseEntry,
    Standing,
    Verdict,
    encode_entries,
)
from hickorymux._internal.utils.clock import Clock

logger = logging.getLogger(__name__)

_RETRY_PAUSE_SECONDS = 0.05
_SILENT_LOG = 'the log service does not answer'


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """An entry that waits to be settled, and who waits for its verdict.

    ``may_have_landed`` is set once the entry may be on the log. ``is_direct``
    marks an entry that this router settles as the writer.
    """

    entry: Entry
    verdict: asyncio.Future[Verdict]
    is_direct: bool = False
    may_have_landed: bool = False


def _mark_landed(batch: Sequence[Pending], *, may_have_landed: bool) -> None:
    for pending in batch:
        pending.may_have_landed = may_have_landed


def _resolve(batch: Sequence[Pending], verdicts: Sequence[Verdict]) -> None:
    for pending, verdict in zip(batch, verdicts, strict=True):
        if not pending.verdict.done():
            pending.verdict.set_result(verdict)


@final
class ClaimLane:
    """Settles the entries of one partition, by its writer or by itself."""

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
        self.queue: collections.deque[Pending] = collections.deque()
        self.arrived = asyncio.Event()
        self.is_down = False
        self.probe_at = float('-inf')
        self.append_at = float('-inf')
        self.task: asyncio.Task[None] | None = None

    def submit(self, entry: Entry, *, is_direct: bool = False) -> Pending:
        """Queue an entry; raise ``ClaimUnavailable`` if the log is down."""
        if self.is_down:
            self._admit_probe()
        if len(self.queue) >= self.settings.max_pending:
            raise self.unavailable('too many claims wait for the log service')
        return self._enqueue(entry, is_direct=is_direct)

    def abandon(self, pending: Pending) -> None:
        """Give up on a claim: its attempt will not send, so release it."""
        pending.verdict.cancel()
        if pending.is_direct:
            # Only the router that made the attempt knows that it won't send.
            return
        if isinstance(pending.entry, ClaimEntry) and pending.may_have_landed:
            self.note(ReleaseEntry(pending.entry.key, pending.entry.attempt))

    def note(self, entry: Entry) -> None:
        """Queue a release or an outcome, which nobody waits for."""
        if len(self.queue) < self.settings.max_pending:
            self._enqueue(entry)

    def known_refusal(self, entry: Entry) -> Verdict | None:
        """Return a verdict without an append if another attempt owns the key.

        An attempt that is refused so never sends, whatever happens later.
        """
        fold = self.stream.fold
        if not isinstance(entry, ClaimEntry):
            return None
        if fold.owner(entry.key) in {b'', entry.attempt}:
            return None
        verdict = fold.verdict(entry.key, entry.attempt)
        return dataclasses.replace(verdict, standing=Standing.lost)

    def unavailable(self, reason: str) -> ClaimUnavailable:
        """Return the error of a claim that will certainly not be used."""
        return ClaimUnavailable(
            reason,
            where=self.stream.name,
            retry_after=self.settings.retry_after.total_seconds(),
        )

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
            raise self.unavailable(_SILENT_LOG)
        self.probe_at = now + self.settings.retry_after.total_seconds()

    def _enqueue(self, entry: Entry, *, is_direct: bool = False) -> Pending:
        verdict = asyncio.get_running_loop().create_future()
        pending = Pending(entry, verdict, is_direct)
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
        payload = encode_entries(pending.entry for pending in batch)
        was_asked = self._has_other_writer(batch)
        if was_asked and await self._settle_by_writer(batch, payload):
            self.is_down = False
            return
        try:
            await self._settle_directly(batch, payload, was_asked=was_asked)
        except LogError as error:
            await self._fail(batch, error)
        else:
            self.is_down = False

    def _has_other_writer(self, batch: list[Pending]) -> bool:
        if self.relay is None or any(item.is_direct for item in batch):
            return False
        return not self.relay.is_first_writer(self.partition)

    async def _settle_by_writer(
        self,
        batch: list[Pending],
        payload: bytes,
    ) -> bool:
        if self.relay is None:
            return False
        # From here on the writer may append the entries at any time.
        _mark_landed(batch, may_have_landed=True)
        verdicts = await self.relay.ask(self.partition, payload)
        if len(verdicts) != len(batch):
            return False
        _resolve(batch, verdicts)
        return True

    async def _settle_directly(
        self,
        batch: list[Pending],
        payload: bytes,
        *,
        was_asked: bool,
    ) -> None:
        give_up_at = self.clock.monotonic()
        give_up_at += self.settings.decision.total_seconds()
        await self._keep_interval()
        _mark_landed(batch, may_have_landed=True)
        try:
            offset = await self.stream.append(payload)
        except LogUnavailable:
            _mark_landed(batch, may_have_landed=was_asked)
            raise
        except LogAppendUnknown:
            offset = await self._append_again(payload, give_up_at)
        await self.stream.read_through(offset)
        fold = self.stream.fold
        entries = (pending.entry for pending in batch)
        _resolve(
            batch,
            [fold.verdict(entry.key, entry.attempt) for entry in entries],
        )

    async def _keep_interval(self) -> None:
        now = self.clock.monotonic()
        if now < self.append_at:
            await self.clock.sleep(self.append_at - now)
        interval = self.settings.append_interval.total_seconds()
        self.append_at = self.clock.monotonic() + interval

    async def _append_again(self, payload: bytes, give_up_at: float) -> int:
        # Entries carry the attempt id, so that appending a batch again after
        # a lost answer changes no verdict.
        while self.clock.monotonic() < give_up_at:
            await self.clock.sleep(_RETRY_PAUSE_SECONDS)
            with contextlib.suppress(LogError):
                return await self.stream.append(payload)
            self._note_outage()
        raise LogAppendUnknown('no answer in time', where=self.stream.name)

    async def _fail(self, batch: list[Pending], error: LogError) -> None:
        logger.warning(
            'claims not recorded',
            extra={
                'event': 'claims_failed',
                'stream': self.stream.name,
                'reason': str(error),
            },
        )
        self._note_outage()
        for pending in batch:
            self._fail_one(pending)
        await self.clock.sleep(self.settings.retry_after.total_seconds())

    def _note_outage(self) -> None:
        """Refuse new claims at once, but for one in a while as a probe."""
        pause = self.settings.retry_after.total_seconds()
        self.is_down = True
        self.probe_at = self.clock.monotonic() + pause

    def _fail_one(self, pending: Pending) -> None:
        if not isinstance(pending.entry, ClaimEntry):
            self.note(pending.entry)
            return
        if not pending.verdict.done():
            pending.verdict.set_exception(self.unavailable(_SILENT_LOG))
            self.abandon(pending)
