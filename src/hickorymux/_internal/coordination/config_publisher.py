"""Publishes a change on the log and reports whether it was accepted.

If the answer to an append is lost, the publisher searches the stream for the
id of the change and appends the same record again if it is not there. A
repeated append is safe, as the fold decides each id only once.

Example::

    publisher = ConfigPublisher(log, SystemClock())
    await publisher.read_to_end()
    outcome = await publisher.publish(
        base=publisher.fold.version, author='ops', operations=operations
    )
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
    """Tracks whether one record may have reached the log.

    ``deadline`` is in seconds of the monotonic clock.
    """

    change_id: str
    payload: bytes
    deadline: float
    may_be_on_log: bool = False

    def note_failure(self, error: LogError, now: float) -> None:
        """Record a failed attempt; raise an error if no retry must follow.

        Raises the error itself if the record is certainly not on the log, and
        ``OutcomeUnknown`` if it may be and the deadline has passed.
        """
        if isinstance(error, LogAppendUnknown):
            self.may_be_on_log = True
        if not self.may_be_on_log:
            raise error
        if now >= self.deadline:
            raise OutcomeUnknown(
                f'change {self.change_id} may have been published: {error}',
                where='log',
                hint='run the command again when the log is reachable',
            ) from error


@final
class ConfigPublisher:
    """Replays the configuration stream and appends changes to it.

    A command uses one publisher to read the tables in force and to publish a
    change to them. ``timeout`` limits how long a change whose answer was lost
    is looked for on the log and appended again.
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
        """Apply the records below the offset that equals a version.

        Raises ``UsageError`` if the log has fewer records, and
        ``LogTrimmed`` if it no longer has all that are needed.
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
        """Apply all records on the log.

        Raises ``LogTrimmed`` if it no longer has all that are needed.
        """
        if not self.fold.next_offset:
            await self._load_start(None)
        has_more = True
        while has_more:
            has_more = await self._read_page(PAGE_RECORDS)
        self._check_complete()

    async def publish(
        self, *, base: int, author: str, operations: tuple[Operation, ...]
    ) -> Outcome:
        """Append a change and return whether the fold accepted it.

        Raises ``LogUnavailable`` if the change is certainly not on the log,
        and ``OutcomeUnknown`` if that is still unknown after ``timeout``.
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
        """Append the record unless it is on the log, then read to the end."""
        if progress.may_be_on_log:
            await self.read_to_end()
        if progress.change_id in self.outcomes:
            return
        await self.log.append(CONFIG_STREAM, progress.payload)
        progress.may_be_on_log = True
        await self.read_to_end()

    async def _load_start(self, version: int | None) -> None:
        """Start from a snapshot if the first records were trimmed.

        The snapshot must not hold records from ``version`` on.
        """
        try:
            await self.log.read(CONFIG_STREAM, 0, limit=1)
        except LogTrimmed as error:
            snapshot = await SnapshotStore(self.log).read_newest(version)
            self.fold = snapshot or ConfigFold.from_offset(error.first_offset)

    def _check_complete(self) -> None:
        if not self.fold.is_complete:
            raise LogTrimmed(
                'records were trimmed and no snapshot or reset was found',
                where=CONFIG_STREAM,
                hint='use a newer --base, or publish all with apply --reset',
            )

    async def _read_page(self, limit: int) -> bool:
        """Apply one page of records and return whether it had any."""
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
        """Keep the outcome of a change, but not a rejection as a duplicate.

        The decision on a duplicate is that of the first record with its id.
        """
        if isinstance(outcome, Accepted):
            self.outcomes[outcome.change_id] = outcome
        elif _is_decision(outcome):
            self.outcomes[outcome.change_id] = outcome


def _is_decision(outcome: Rejected) -> bool:
    is_duplicate = outcome.code is RejectCode.duplicate
    return bool(outcome.change_id) and not is_duplicate
