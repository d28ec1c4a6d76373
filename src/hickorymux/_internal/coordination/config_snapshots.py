"""Reads and writes configuration snapshots on the log.

The log keeps records for a limited time. The routers write a new snapshot
before the records that the last one stands for, or that snapshot itself, are
trimmed. ``SnapshotSchedule`` makes them take turns.
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

# Number of the newest snapshots to read, as some may be malformed or stale.
MAX_SNAPSHOTS_READ = 4
HASH_RANGE = 2**32


@dataclasses.dataclass(slots=True, frozen=True)
class SnapshotPolicy:
    """When snapshots are written.

    A new snapshot is due when the newest one is older than ``interval`` or
    is followed by ``max_records`` records. Each router delays its check by a
    different part of ``spread``, so that usually only one writes. The sum of
    both times must be well below the retention time of the log.
    """

    interval: dt.timedelta = dt.timedelta(minutes=10)
    spread: dt.timedelta = dt.timedelta(minutes=1)
    max_records: int = 1000

    @classmethod
    def from_retention(cls, retention: dt.timedelta) -> 'SnapshotPolicy':
        """Return the policy for a log with a given retention time.

        Writing may fail for half of that time before the newest snapshot is
        trimmed.
        """
        policy = cls()
        return dataclasses.replace(
            policy,
            interval=min(policy.interval, retention / 4),
            spread=min(policy.spread, retention / 20),
        )


@final
class SnapshotStore:
    """Reads and writes the stream of snapshots.

    ``end_offset`` is the end of the stream when it was last seen.
    """

    __slots__ = ('end_offset', 'log')

    def __init__(self, log: LogClient) -> None:
        self.log = log
        self.end_offset = 0

    async def read_newest(self, limit: int | None = None) -> ConfigFold | None:
        """Return the fold of the snapshot that holds the most records.

        Only the newest snapshots are read. Malformed ones and those with a
        ``next_offset`` above ``limit`` are skipped. Returns ``None`` if none
        is left.
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
        """Return the ``next_offset`` of a snapshot not seen before.

        Returns ``None`` if there is none or it is malformed.
        """
        page = await self._read_retained(self.end_offset, 1)
        self.end_offset = page.end_offset
        encoded = b''.join(
            _decompress_or_empty(record) for record in page.records
        )
        return _next_offset(encoded) or None

    async def write(self, snapshot: bytes) -> None:
        """Append a snapshot.

        If the answer is lost, the next attempt may write it twice, which does
        no harm.
        """
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
        """Read from an offset, or from the oldest record if it is trimmed."""
        try:
            return await self.log.read(SNAPSHOT_STREAM, offset, limit=limit)
        except LogTrimmed as error:
            return await self.log.read(
                SNAPSHOT_STREAM, error.first_offset, limit=limit
            )


@final
class SnapshotSchedule:
    """Tells a router when to check whether it must write a snapshot.

    The delay depends on a hash of the router and the last snapshot, so each
    time another router is the first. The others then find its snapshot.
    """

    __slots__ = (
        'clock',
        'policy',
        'router_id',
        'snapshot_offset',
        'snapshot_seen_at',
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
        """Record that a snapshot of the records below an offset was seen."""
        self.snapshot_seen_at = self.clock.monotonic()
        self.snapshot_offset = next_offset

    def seconds_until_check(self, next_offset: int) -> float:
        """Return the seconds until the next check, 0 if it is time for it.

        ``next_offset`` is the next offset of this router's fold.
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
    """Return the JSON of a record, or ``b''`` if it is malformed."""
    try:
        return decompress_snapshot(record.payload)
    except SnapshotError:
        return b''


def _next_offset(encoded: bytes) -> int:
    """Return the ``next_offset`` of a snapshot, or 0 if it is malformed."""
    try:
        return decode_header(encoded).next_offset
    except SnapshotError:
        return 0


def _is_within(encoded: bytes, limit: int | None) -> bool:
    return limit is None or _next_offset(encoded) <= limit
