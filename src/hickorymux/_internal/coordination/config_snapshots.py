"""Snapshots of the configuration on the log, and whose turn it is to write.

The log keeps records for a limited time, so that the state of the fold is
written again before the records that made it, or its last snapshot, go.
"""

import contextlib
import dataclasses
import datetime as dt
from typing import final

import xxhash

from hickorymux._internal.coordination.ports import (
    LogClient,
    LogPage,
    LogRecord,
)
from hickorymux._internal.exceptions import LogTrimmed, SnapshotError
from hickorymux._internal.state.config_fold import ConfigFold
from hickorymux._internal.state.config_snapshot import (
    SNAPSHOT_STREAM,
    compress_snapshot,
    decode_header,
    decompress_snapshot,
)
from hickorymux._internal.utils.clock import Clock

# Newest snapshots that are looked at, as one may be malformed or stale.
MAX_SNAPSHOTS_READ = 4
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
    max_records: int = 1000

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

    async def read_newest(self, limit: int | None = None) -> ConfigFold | None:
        """Return the fold of the best of the newest snapshots, if any.

        ``limit`` is the highest offset up to which it may hold records.
        """
        snapshots = [
            snapshot
            for snapshot in map(
                _decompress_or_empty, await self._newest_records()
            )
            if _is_within(snapshot, limit)
        ]
        for snapshot in sorted(snapshots, key=_next_offset, reverse=True):
            with contextlib.suppress(SnapshotError):
                return ConfigFold.from_snapshot(snapshot)
        return None

    async def read_new_offset(self) -> int | None:
        """Return how far the snapshot after the last one seen goes.

        Returns ``None`` when there is none, or it can't be read.
        """
        page = await self._read_retained(self.end_offset, 1)
        self.end_offset = page.end_offset
        encoded = b''.join(
            _decompress_or_empty(record) for record in page.records
        )
        return _next_offset(encoded) or None

    async def write(self, snapshot: bytes) -> None:
        """Append a snapshot; a lost answer leads to one more at worst."""
        compressed = compress_snapshot(snapshot)
        offset = await self.log.append(SNAPSHOT_STREAM, compressed)
        self.end_offset = max(self.end_offset, offset + 1)

    async def _newest_records(self) -> tuple[LogRecord, ...]:
        page = await self._read_retained(self.end_offset, 1)
        self.end_offset = page.end_offset
        first = max(page.first_offset, page.end_offset - MAX_SNAPSHOTS_READ)
        page = await self._read_retained(first, MAX_SNAPSHOTS_READ)
        return page.records

    async def _read_retained(self, offset: int, limit: int) -> LogPage:
        """Read from an offset on, or from the oldest that is retained."""
        try:
            return await self.log.read(SNAPSHOT_STREAM, offset, limit=limit)
        except LogTrimmed as error:
            return await self.log.read(
                SNAPSHOT_STREAM, error.first_offset, limit=limit
            )


@final
class SnapshotSchedule:
    """Tells one router when to look whether a snapshot has to be written.

    The turn depends on the router and the last snapshot, so that another
    router comes first each time and the others then find its snapshot.
    """

    __slots__ = (
        'clock',
        'policy',
        'router_id',
        'snapshot_seen_at',
        'snapshot_offset',
    )

    def __init__(
        self, clock: Clock, policy: SnapshotPolicy, router_id: str
    ) -> None:
        self.clock = clock
        self.policy = policy
        self.router_id = router_id
        self.snapshot_seen_at = clock.monotonic()
        self.snapshot_offset = 0

    def record_snapshot(self, next_offset: int) -> None:
        """Note that a new snapshot was seen that holds up to an offset."""
        self.snapshot_seen_at = self.clock.monotonic()
        self.snapshot_offset = next_offset

    def seconds_until_check(self, next_offset: int) -> float:
        """Return the seconds until the turn of this router, 0 if it has come.

        ``next_offset`` is where the fold of this router stands.
        """
        delay = self._delay_seconds()
        if next_offset - self.snapshot_offset < self.policy.max_records:
            delay += self.policy.interval.total_seconds()
        return max(0, self.snapshot_seen_at + delay - self.clock.monotonic())

    def _delay_seconds(self) -> float:
        digest = xxhash.xxh32_intdigest(
            f'{self.router_id}:{self.snapshot_offset}'.encode()
        )
        return digest / HASH_RANGE * self.policy.spread.total_seconds()


def _decompress_or_empty(record: LogRecord) -> bytes:
    """Return the JSON of a record, empty when it is malformed."""
    try:
        return decompress_snapshot(record.payload)
    except SnapshotError:
        return b''


def _next_offset(encoded: bytes) -> int:
    """Return how far a snapshot goes, 0 when it is malformed."""
    try:
        return decode_header(encoded).next_offset
    except SnapshotError:
        return 0


def _is_within(encoded: bytes, limit: int | None) -> bool:
    return limit is None or _next_offset(encoded) <= limit
