"""Snapshots of the configuration on the log, and whose turn it is to write.

The log keeps records for a limited time, so that the state of the fold is
written again before the records that made it, or its last snapshot, go.
"""

import dataclasses
import datetime as dt
from typing import final

import xxhash

from hickorymux._internal.coordination.ports import LogClient, LogRecord
from hickorymux._internal.exceptions import LogTrimmed, SnapshotError
from hickorymux._internal.state.config_fold import ConfigFold
from hickorymux._internal.state.config_snapshot import SNAPSHOT_STREAM
from hickorymux._internal.utils.clock import Clock

# Newest snapshots that are looked at, as one may be malformed or stale.
READ_SNAPSHOTS = 4
HASH_RANGE = 2**32


@dataclasses.dataclass(slots=True, frozen=True)
class SnapshotPolicy:
    """When snapshots are written.

    ``interval`` is the greatest age of the newest snapshot and ``records``
    the greatest number of records after it. The routers take turns over
    ``spread``. The sum of both times must be well below the time for which
    the log keeps records.
    """

    interval: dt.timedelta = dt.timedelta(minutes=10)
    spread: dt.timedelta = dt.timedelta(minutes=1)
    records: int = 1000

    @classmethod
    def from_retention(cls, retention: dt.timedelta) -> 'SnapshotPolicy':
        """Return the policy for a log that keeps records for some time.

        A snapshot may then fail for half of that time before one is lost.
        """
        policy = cls()
        return dataclasses.replace(
            policy,
            interval=min(policy.interval, retention / 4),
            spread=min(policy.spread, retention / 20),
        )


@final
class SnapshotStore:
    """Reads and writes the stream of snapshots."""

    __slots__ = ('end_offset', 'log')

    def __init__(self, log: LogClient) -> None:
        self.log = log
        self.end_offset = 0

    async def newest(self, limit: int | None = None) -> ConfigFold | None:
        """Return the fold of the best of the newest snapshots, if any.

        ``limit`` is the highest offset up to which it may hold records.
        """
        best: ConfigFold | None = None
        for record in await self._newest_records():
            fold = _decode(record)
            if fold is None or _is_beyond(fold, limit):
                continue
            if best is None or fold.next_offset > best.next_offset:
                best = fold
        return best

    async def has_new(self) -> bool:
        """Return whether a snapshot was written since the last look."""
        known = self.end_offset
        await self._find_end()
        return self.end_offset > known

    async def write(self, snapshot: bytes) -> None:
        """Append a snapshot; a lost answer leads to one more at worst."""
        offset = await self.log.append(SNAPSHOT_STREAM, snapshot)
        self.end_offset = max(self.end_offset, offset + 1)

    async def _newest_records(self) -> tuple[LogRecord, ...]:
        await self._find_end()
        first = max(0, self.end_offset - READ_SNAPSHOTS)
        try:
            page = await self.log.read(
                SNAPSHOT_STREAM, first, limit=READ_SNAPSHOTS
            )
        except LogTrimmed as error:
            page = await self.log.read(
                SNAPSHOT_STREAM, error.first_offset, limit=READ_SNAPSHOTS
            )
        return page.records

    async def _find_end(self) -> None:
        """Learn the end of the stream, reading one record at most."""
        try:
            page = await self.log.read(
                SNAPSHOT_STREAM, self.end_offset, limit=1
            )
        except LogTrimmed as error:
            page = await self.log.read(
                SNAPSHOT_STREAM, error.first_offset, limit=1
            )
        self.end_offset = page.end_offset


@final
class SnapshotTurn:
    """Tells one router when to look whether a snapshot has to be written.

    The turn depends on the router and the last snapshot, so that another
    router comes first each time and the others then find its snapshot.
    """

    __slots__ = ('clock', 'policy', 'router_id', 'seen_at', 'seen_offset')

    def __init__(
        self, clock: Clock, policy: SnapshotPolicy, router_id: str
    ) -> None:
        self.clock = clock
        self.policy = policy
        self.router_id = router_id
        self.seen_at = clock.monotonic()
        self.seen_offset = 0

    def note(self, next_offset: int) -> None:
        """Note that a new snapshot was seen that holds up to an offset."""
        self.seen_at = self.clock.monotonic()
        self.seen_offset = next_offset

    def seconds_left(self, next_offset: int) -> float:
        """Return the seconds until the turn of this router, 0 if it has come.

        ``next_offset`` is where the fold of this router stands.
        """
        delay = self._delay_seconds()
        if next_offset - self.seen_offset < self.policy.records:
            delay += self.policy.interval.total_seconds()
        return max(0, self.seen_at + delay - self.clock.monotonic())

    def _delay_seconds(self) -> float:
        digest = xxhash.xxh32_intdigest(
            f'{self.router_id}:{self.seen_offset}'.encode()
        )
        return digest / HASH_RANGE * self.policy.spread.total_seconds()


def _is_beyond(fold: ConfigFold, limit: int | None) -> bool:
    return limit is not None and fold.next_offset > limit


def _decode(record: LogRecord) -> ConfigFold | None:
    try:
        return ConfigFold.from_snapshot(record.payload)
    except SnapshotError:
        return None
