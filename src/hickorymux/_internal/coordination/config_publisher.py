"""Publishes a change on the log and learns whether it was accepted.

The answer to an append may be lost. The publisher then reads the stream back
for the id of the change, and appends the same record again when it is not
there; the fold decides an id only once, so that this is safe.

Example::

    publisher = ConfigPublisher(log, SystemClock())
    await publisher.read_to_end()
    outcome = await publisher.publish(author='ops', operations=operations)
"""

import dataclasses
import datetime as dt
from typing import final

from hickorymux._internal.coordination.config_snapshots import SnapshotStore
from hickorymux._internal.coordination.ports import LogClient
from hickorymux._internal.exceptions import (
    LogAppendUnknown,
    LogError,
    LogTrimmed,
    LogUnavailable,
    OutcomeUnknown,
    UsageError,
)
from hickorymux._internal.state.config_changes import (
    CONFIG_STREAM,
    ConfigChange,
    Operation,
    encode_change,
)
from hickorymux._internal.state.config_fold import (
    Accepted,
    ConfigFold,
    Outcome,
    Rejected,
    RejectCode,
)
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.ids import new_request_id

RETRY_SECONDS = 0.5
PAGE_RECORDS = 1000

_TIMEOUT = dt.timedelta(seconds=30)


@final
@dataclasses.dataclass(slots=True)
class AppendProgress:
    """What is known of the append of one record.

    ``deadline`` is in monotonic seconds.
    """

    change_id: str
    payload: bytes
    deadline: float
    may_be_on_log: bool = False

    def note_failure(self, error: LogError, now: float) -> None:
        """Take in a failure; raise when it is the end of the attempts.

        Raises the error itself when the record is certainly not on the log,
        and ``OutcomeUnknown`` when it may be and time is up.
        """
        if isinstance(error, LogAppendUnknown):
            self.may_be_on_log = True
        if not self.may_be_on_log:
            raise error
        if now >= self.deadline:
            raise OutcomeUnknown(
                f'change {self.change_id} may have been published: {error}',
                where='log',
                hint='give the command again when the log answers',
            ) from error


@final
class ConfigPublisher:
    """A fold of the stream for one command, and the way to extend it.

    ``timeout`` bounds how long a lost answer is looked after.
    """

    __slots__ = ('clock', 'fold', 'log', 'outcomes', 'timeout')

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        timeout: dt.timedelta = _TIMEOUT,
    ) -> None:
        self.log = log
        self.clock = clock
        self.timeout = timeout
        self.fold = ConfigFold()
        self.outcomes: dict[str, Outcome] = {}

    async def read_to(self, version: int) -> None:
        """Fold the records below a version.

        Raises ``UsageError`` when the log doesn't hold the version.
        """
        await self._load_start(version)
        while self.fold.next_offset < version:
            has_records = await self._read_page(version - self.fold.next_offset)
            if not has_records:
                raise UsageError(
                    f'version {version} does not exist',
                    where='--base',
                    hint=f'the version in force is {self.fold.version}',
                )
        self._check_complete()

    async def read_to_end(self) -> None:
        """Fold all records that the log holds."""
        if not self.fold.next_offset:
            await self._load_start(None)
        has_more = True
        while has_more:
            has_more = await self._read_page(PAGE_RECORDS)
        self._check_complete()

    async def publish(
        self, *, base: int, author: str, operations: tuple[Operation, ...]
    ) -> Outcome:
        """Append a change and return what the fold decided.

        Raises ``LogUnavailable`` when nothing took effect and
        ``OutcomeUnknown`` when that could not be learnt in time.
        """
        change_id = new_request_id()
        progress = AppendProgress(
            change_id,
            encode_change(ConfigChange(change_id, base, author, operations)),
            self.clock.monotonic() + self.timeout.total_seconds(),
        )
        while change_id not in self.outcomes:
            try:
                await self._attempt(progress)
            except (LogAppendUnknown, LogUnavailable) as error:
                progress.note_failure(error, self.clock.monotonic())
                await self.clock.sleep(RETRY_SECONDS)
        return self.outcomes[change_id]

    async def _attempt(self, progress: AppendProgress) -> None:
        """Append unless the record is there, then read the stream back."""
        if progress.may_be_on_log:
            await self.read_to_end()
        if progress.change_id in self.outcomes:
            return
        await self.log.append(CONFIG_STREAM, progress.payload)
        progress.may_be_on_log = True
        await self.read_to_end()

    async def _load_start(self, version: int | None) -> None:
        """Take the first records, or a snapshot if they are trimmed."""
        try:
            await self.log.read(CONFIG_STREAM, 0, limit=1)
        except LogTrimmed as error:
            snapshot = await SnapshotStore(self.log).read_newest(version)
            self.fold = snapshot or ConfigFold.from_offset(error.first_offset)

    def _check_complete(self) -> None:
        if not self.fold.is_complete:
            raise LogTrimmed(
                'neither a snapshot nor a reset replaces the trimmed records',
                where=CONFIG_STREAM,
                hint='take a newer --base, or start anew with apply --reset',
            )

    async def _read_page(self, limit: int) -> bool:
        """Fold one page and return whether it held records."""
        page = await self.log.read(
            CONFIG_STREAM,
            self.fold.next_offset,
            limit=min(limit, PAGE_RECORDS),
        )
        for record in page.records:
            outcome = self.fold.apply_record(record.offset, record.payload)
            self._record_outcome(outcome)
        return bool(page.records)

    def _record_outcome(self, outcome: Outcome) -> None:
        """Keep the first outcome of an id; a later one is a duplicate."""
        if isinstance(outcome, Accepted):
            self.outcomes[outcome.change_id] = outcome
        elif _is_decision(outcome):
            self.outcomes[outcome.change_id] = outcome


def _is_decision(outcome: Rejected) -> bool:
    is_duplicate = outcome.code is RejectCode.duplicate
    return bool(outcome.change_id) and not is_duplicate
