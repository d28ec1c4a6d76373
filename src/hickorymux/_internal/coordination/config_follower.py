"""Keeps the configuration of one router up to date.

The follower reads the stream ``config`` by long polling and replays it. It
starts from the newest snapshot on the log, or from the snapshot of a peer
while the log is down. The version in force never decreases.

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
    SnapshotSchedule,
    SnapshotStore,
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
    """Follows the configuration stream and holds the tables in force.

    ``is_loaded`` tells whether the configuration is known: the stream was
    read to its end, or a peer's snapshot was adopted. ``is_history_missing``
    tells that the log trimmed the next record and has no snapshot that
    replaces it. The follower then searches the rest of the stream for a
    reset; ``reset_search_fold`` is the fold of the records read so far.
    """

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
        self.snapshot_schedule = SnapshotSchedule(
            clock, policy or SnapshotPolicy(), router_id
        )
        self.fold = ConfigFold()
        self.listeners: list[TablesListener] = []
        self.is_loaded = False
        self.is_log_reachable = False
        self.is_history_missing = False
        self.has_read_snapshot = False
        self.reset_search_fold: ConfigFold | None = None

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

    def missing_reasons(self) -> tuple[str, ...]:
        """Return why no configuration is loaded yet; empty if one is."""
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
        """Return the state of the fold as JSON."""
        return self.fold.snapshot()

    def answer_request(self, request: ConfigRequest) -> ConfigOffer | None:
        """Return an offer if the peer has a lower version, else ``None``."""
        if not self.is_loaded or request.known_version >= self.version:
            return None
        return ConfigOffer.from_snapshot(self.version, self.snapshot())

    def adopt_offer(self, offer: ConfigOffer) -> bool:
        """Adopt the snapshot that a peer offers.

        Returns whether the version in force changed. Raises ``SnapshotError``
        if the offer is malformed.
        """
        if self.is_loaded and offer.version <= self.version:
            return False
        return self.adopt_peer_snapshot(offer.decompress())

    def adopt_peer_snapshot(self, snapshot: bytes) -> bool:
        """Continue from the snapshot of a peer if its version is higher.

        With an equal version the fold stays, but counts as loaded. Returns
        whether the version in force changed. Raises ``SnapshotError`` if the
        snapshot is malformed.
        """
        fold = ConfigFold.from_snapshot(snapshot)
        if fold.version < self.version:
            return False
        self.is_loaded = True
        if fold.version == self.version:
            return False
        self._replace_fold(fold)
        return True

    def adopt_log_snapshot(self, fold: ConfigFold) -> bool:
        """Continue from a snapshot on the log if it holds more records.

        Returns whether the snapshot holds more records.
        """
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
        """Read one page of the stream and apply it; wait for new records.

        Writes a snapshot to the log when it is time for one.
        """
        if not self.has_read_snapshot:
            await self._load_snapshot()
        try:
            await self._read_page()
        except LogTrimmed as error:
            await self._recover_trimmed(error.first_offset)
        if not self.snapshot_schedule.seconds_until_check(
            self.fold.next_offset
        ):
            await self._write_missing_snapshot()

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
            self._notify_listeners()

    def _wait_seconds(self) -> float:
        if not self.is_loaded:
            return 0
        seconds_until_check = self.snapshot_schedule.seconds_until_check(
            self.fold.next_offset
        )
        return min(POLL_SECONDS, seconds_until_check)

    def _apply(self, record: LogRecord) -> None:
        # A snapshot adopted during the read may include the first records.
        if record.offset < self.fold.next_offset:
            return
        outcome = self.fold.apply_record(record.offset, record.payload)
        _log_outcome(outcome, record.offset)

    async def _load_snapshot(self) -> None:
        """Continue from the newest snapshot on the log if it is ahead."""
        fold = await self.snapshots.read_newest()
        self.has_read_snapshot = True
        if fold is None:
            return
        self.snapshot_schedule.record_snapshot(fold.next_offset)
        self.adopt_log_snapshot(fold)

    async def _recover_trimmed(self, first_offset: int) -> None:
        """Continue from a snapshot or a reset after the log trimmed records.

        ``first_offset`` is the offset of the first record that is left.
        """
        offset = self.fold.next_offset
        await self._load_snapshot()
        self.is_history_missing = self.fold.next_offset <= offset
        if self.is_history_missing:
            await self._search_reset(first_offset)

    async def _search_reset(self, first_offset: int) -> None:
        """Read a page in search of a reset and continue from it if found.

        Raises ``LogTrimmed`` if the records read so far hold none.
        """
        search_fold = self.reset_search_fold
        if search_fold is None or search_fold.next_offset < first_offset:
            search_fold = ConfigFold.from_offset(first_offset)
        self.reset_search_fold = search_fold
        page = await self.log.read(
            CONFIG_STREAM, search_fold.next_offset, limit=PAGE_RECORDS
        )
        for record in page.records:
            search_fold.apply_record(record.offset, record.payload)
        if not search_fold.is_complete:
            raise LogTrimmed(
                'records were trimmed and no snapshot or reset was found',
                first_offset=first_offset,
                where=CONFIG_STREAM,
            )
        self.reset_search_fold = None
        self._replace_fold(search_fold)

    async def _write_missing_snapshot(self) -> None:
        """Write a snapshot unless another router has written one."""
        seen_offset = await self.snapshots.read_new_offset()
        if seen_offset is not None:
            self.snapshot_schedule.record_snapshot(seen_offset)
            return
        if self.is_loaded and self.fold.next_offset:
            await self.snapshots.write(self.snapshot())
        self.snapshot_schedule.record_snapshot(self.fold.next_offset)

    def _replace_fold(self, fold: ConfigFold) -> None:
        """Continue from another fold unless its version is lower."""
        if fold.version < self.version:
            logger.error(
                'ignored a snapshot with a lower version than that in force',
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
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        tables = self.tables
        for listener in self.listeners:
            listener(tables)

    def _log_failure(self, error: LogError) -> None:
        self.is_log_reachable = isinstance(error, LogTrimmed)
        logger.warning(
            'failed to read the configuration from the log',
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
            'rows': [str(key) for key in outcome.changed_rows],
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
