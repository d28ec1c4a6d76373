"""Publishes a reset: new tables on a stream whose history was trimmed.

A reset takes effect only if it becomes the record at the offset that it
names. So of two concurrent resets only one takes effect, and a reset that is
appended late has no effect.

Example::

    reset = ConfigReset(log, SystemClock())
    outcome = await reset.publish(author='ops', operations=operations)
"""

import datetime as dt
from typing import Final, final

from hickorymux._internal.coordination.config_publisher import (
    RETRY_SECONDS,
    AppendProgress,
)
from hickorymux._internal.coordination.ports import LogClient
from hickorymux._internal.exceptions import (
    LogAppendUnknown,
    LogTrimmed,
    LogUnavailable,
)
from hickorymux._internal.state.config_changes import (
    CONFIG_STREAM,
    ConfigChange,
    Operation,
    ResetTables,
    encode_change,
)
from hickorymux._internal.state.config_fold import (
    ConfigFold,
    Outcome,
    Rejected,
    RejectCode,
)
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.ids import new_request_id

_TIMEOUT: Final = dt.timedelta(seconds=30)


@final
class ConfigReset:
    """Publishes a reset of all tables.

    ``timeout`` limits how long a reset whose answer was lost is looked for on
    the log and appended again.
    """

    __slots__ = ('clock', 'log', 'timeout')

    def __init__(
        self, log: LogClient, clock: Clock, timeout: dt.timedelta = _TIMEOUT
    ) -> None:
        self.log = log
        self.clock = clock
        self.timeout = timeout

    async def publish(
        self, *, author: str, operations: tuple[Operation, ...]
    ) -> Outcome:
        """Append a reset to the stream and return whether it was accepted.

        It is rejected if another record was appended first. Raises
        ``LogUnavailable`` and ``OutcomeUnknown`` as ``ConfigPublisher`` does.
        """
        base = await self._end_offset()
        change = ConfigChange(
            new_request_id(), base, author, (ResetTables(), *operations)
        )
        progress = AppendProgress(
            change.id,
            encode_change(change),
            self.clock.monotonic() + self.timeout.total_seconds(),
        )
        outcome: Outcome | None = None
        while outcome is None:
            try:
                outcome = await self._attempt(base, progress)
            except (LogAppendUnknown, LogUnavailable) as error:
                progress.note_failure(error, self.clock.monotonic())
                await self.clock.sleep(RETRY_SECONDS)
        return outcome

    async def _attempt(
        self, base: int, progress: AppendProgress
    ) -> Outcome | None:
        """Append the reset if its offset is free, then read that offset.

        Returns ``None`` if there is still no record at the offset.
        """
        if not await self._has_record(base):
            await self.log.append(CONFIG_STREAM, progress.payload)
            progress.may_be_on_log = True
        page = await self.log.read(CONFIG_STREAM, base, limit=1)
        if not page.records:
            return None
        record = page.records[0]
        if record.payload == progress.payload:
            return ConfigFold.from_offset(base).apply_record(
                base, record.payload
            )
        return Rejected(
            RejectCode.reset_moved,
            'another record was appended first',
            progress.change_id,
        )

    async def _has_record(self, offset: int) -> bool:
        page = await self.log.read(CONFIG_STREAM, offset, limit=1)
        return bool(page.records)

    async def _end_offset(self) -> int:
        try:
            page = await self.log.read(CONFIG_STREAM, 0, limit=1)
        except LogTrimmed as error:
            page = await self.log.read(
                CONFIG_STREAM, error.first_offset, limit=1
            )
        return page.end_offset
