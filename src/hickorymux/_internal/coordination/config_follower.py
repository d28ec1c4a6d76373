"""Keeps the configuration in force of one router up to date.

The follower reads the stream ``config`` by long polling and folds it. It
starts from the newest snapshot on the log, or from the snapshot of a peer
while the log is down. The version in force never goes back.

Example::

    follower = ConfigFollower(log, SystemClock(), router_id='bzh-a-1')
    follower.subscribe(router.use_tables)
    await follower.run()
"""

import functools
import logging
from collections.abc import Callable
from typing import TypeAlias, final

from hickorymux._internal.coordination.config_messages import (
    ConfigOffer,
    ConfigRequest,
)
from hickorymux._internal.coordination.config_snapshots import (
    SnapshotPolicy,
    SnapshotStore,
    SnapshotTurn,
)
from hickorymux._internal.coordination.ports import LogClient, LogRecord
from hickorymux._internal.exceptions import LogError, LogTrimmed
from hickorymux._internal.state.config_changes import CONFIG_STREAM
from hickorymux._internal.state.config_fold import (
    Accepted,
    ConfigFold,
    Outcome,
    Rejected,
)
from hickorymux._internal.state.tables import Tables
from hickorymux._internal.utils.clock import Clock

POLL_SECONDS = 20.0
RETRY_SECONDS = 0.5
PAGE_RECORDS = 1000

TablesListener: TypeAlias = Callable[[Tables], None]

logger = logging.getLogger(__name__)


@final
class ConfigFollower:
    """The configuration in force, and where it is known from."""

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        *,
        router_id: str,
        policy: SnapshotPolicy | None = None,
    ) -> None:
        self.log = log
        self.clock = clock
        self.snapshots = SnapshotStore(log)
        self.turn = SnapshotTurn(clock, policy or SnapshotPolicy(), router_id)
        self.fold = ConfigFold()
        self.listeners: list[TablesListener] = []
        self.is_loaded = False
        self.is_log_reachable = False
        self.is_history_missing = False
        self.has_read_snapshot = False
        self.pending: ConfigFold | None = None

    @property
    def tables(self) -> Tables:
        """Return the tables in force."""
        return self.fold.tables

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.fold.version

    def subscribe(self, listener: TablesListener) -> None:
        """Call a listener with the tables of each new version."""
        self.listeners.append(listener)

    def missing(self) -> tuple[str, ...]:
        """Return what the router lacks to know its configuration."""
        if self.is_loaded:
            return ()
        if self.is_history_missing:
            return (
                'the log trimmed the configuration and has no snapshot of it',
                'no peer has given a configuration',
            )
        if self.is_log_reachable:
            return ('the configuration is still being read from the log',)
        return (
            'the log service does not answer',
            'no peer has given a configuration',
        )

    def snapshot(self) -> bytes:
        """Return the state of the fold, to give to a peer."""
        return self.fold.snapshot()

    def answer(self, request: ConfigRequest) -> ConfigOffer | None:
        """Return an offer for a peer that knows less, else ``None``."""
        if not self.is_loaded or request.known_version >= self.version:
            return None
        return ConfigOffer.from_snapshot(self.version, self.snapshot())

    def take_offer(self, offer: ConfigOffer) -> bool:
        """Adopt what a peer offers; return whether it was newer.

        Raises ``SnapshotError`` when the offer is malformed.
        """
        if self.is_loaded and offer.version <= self.version:
            return False
        return self.adopt(offer.decompress())

    def adopt(self, snapshot: bytes) -> bool:
        """Take the snapshot of a peer if its version is higher.

        Raises ``SnapshotError`` when the snapshot is malformed.
        """
        fold = ConfigFold.from_snapshot(snapshot)
        if fold.version < self.version:
            return False
        self.is_loaded = True
        if fold.version == self.version:
            return False
        self._replace_fold(fold)
        return True

    def take_fold(self, fold: ConfigFold) -> bool:
        """Go on from a snapshot on the log if it holds more records."""
        if fold.next_offset <= self.fold.next_offset:
            return False
        self._replace_fold(fold)
        return True

    async def run(self) -> None:
        """Follow the log until the task is cancelled."""
        while True:
            try:
                await self.step()
            except LogError as error:
                self._log_failure(error)
                await self.clock.sleep(RETRY_SECONDS)

    async def step(self) -> None:
        """Read one page of the stream and fold it; wait if there is none."""
        if not self.has_read_snapshot:
            await self._load_snapshot()
        try:
            await self._read_page()
        except LogTrimmed as error:
            await self._recover(error.first_offset)
        if not self.turn.seconds_left(self.fold.next_offset):
            await self._take_turn()

    async def _read_page(self) -> None:
        page = await self.log.read(
            CONFIG_STREAM,
            self.fold.next_offset,
            limit=PAGE_RECORDS,
            wait_seconds=self._wait_seconds(),
        )
        self.is_log_reachable = True
        version = self.version
        for record in page.records:
            self._apply(record)
        if page.next_offset >= page.end_offset:
            self.is_loaded = True
        if self.version > version:
            self._notify()

    def _wait_seconds(self) -> float:
        if not self.is_loaded:
            return 0
        turn_seconds = self.turn.seconds_left(self.fold.next_offset)
        return min(POLL_SECONDS, turn_seconds)

    def _apply(self, record: LogRecord) -> None:
        # A snapshot adopted during the read may hold the first records.
        if record.offset < self.fold.next_offset:
            return
        outcome = self.fold.apply_record(record.offset, record.payload)
        _log_outcome(outcome, record.offset)

    async def _load_snapshot(self) -> None:
        """Go on from the newest snapshot on the log if it is ahead."""
        fold = await self.snapshots.newest()
        self.has_read_snapshot = True
        if fold is None:
            return
        self.turn.note(fold.next_offset)
        self.take_fold(fold)

    async def _recover(self, first_offset: int) -> None:
        """Go on from a snapshot after the next record was trimmed."""
        offset = self.fold.next_offset
        await self._load_snapshot()
        self.is_history_missing = self.fold.next_offset <= offset
        if self.is_history_missing:
            await self._search_reset(first_offset)

    async def _search_reset(self, first_offset: int) -> None:
        """Go on from a reset of the tables if there is one on the log."""
        pending = self.pending
        if pending is None or pending.next_offset < first_offset:
            pending = ConfigFold.from_offset(first_offset)
        self.pending = pending
        page = await self.log.read(
            CONFIG_STREAM, pending.next_offset, limit=PAGE_RECORDS
        )
        for record in page.records:
            pending.apply_record(record.offset, record.payload)
        if not pending.is_complete:
            raise LogTrimmed(
                'no snapshot holds the records before the first retained one',
                first_offset=first_offset,
                where=CONFIG_STREAM,
            )
        self.pending = None
        self._replace_fold(pending)

    async def _take_turn(self) -> None:
        """Write a snapshot unless another router did."""
        seen_offset = await self.snapshots.read_new()
        if seen_offset is not None:
            self.turn.note(seen_offset)
            return
        if self.is_loaded and self.fold.next_offset:
            await self.snapshots.write(self.snapshot())
        self.turn.note(self.fold.next_offset)

    def _replace_fold(self, fold: ConfigFold) -> None:
        """Go on from another fold unless that would go back."""
        if fold.version < self.version:
            logger.error(
                'snapshot with a lower version ignored',
                extra={
                    'event': 'config_snapshot_ignored',
                    'version': fold.version,
                    'version_in_force': self.version,
                },
            )
            return
        is_newer = fold.version > self.version
        self.fold = fold
        self.is_history_missing = False
        if is_newer:
            self._notify()

    def _notify(self) -> None:
        tables = self.tables
        for listener in self.listeners:
            listener(tables)

    def _log_failure(self, error: LogError) -> None:
        self.is_log_reachable = isinstance(error, LogTrimmed)
        logger.warning(
            'the configuration can not be read',
            extra={
                'event': 'config_read_failed',
                'code': error.code,
                'detail': str(error),
                'version': self.version,
            },
        )


@functools.singledispatch
def _log_outcome(outcome: Outcome, offset: int) -> None:
    raise NotImplementedError(type(outcome))


@_log_outcome.register
def _log_accepted(outcome: Accepted, offset: int) -> None:
    logger.info(
        'configuration accepted',
        extra={
            'event': 'config_accepted',
            'version': outcome.version,
            'change_id': outcome.change_id,
            'author': outcome.author,
            'rows': [str(key) for key in outcome.touched],
        },
    )


@_log_outcome.register
def _log_rejected(outcome: Rejected, offset: int) -> None:
    logger.warning(
        'configuration rejected',
        extra={
            'event': 'config_rejected',
            'offset': offset,
            'change_id': outcome.change_id,
            'code': outcome.code.value,
            'reason': outcome.reason,
        },
    )
