"""Replays the configuration stream into the tables in force.

Every router applies the records of the stream ``config`` in offset order.
Whether a record is accepted depends only on the records before it, so all
routers hold the same tables at the same offset. The version in force is the
offset of the last accepted record plus one, so it only grows.

Example::

    fold = ConfigFold()
    match fold.apply_record(0, payload):
        case Accepted(version=version):
            print(f'version {version} is in force')
        case Rejected(code=code, reason=reason):
            print(f'{code}: {reason}')
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import TypeAlias, final

from hickorymux._internal.exceptions import ConfigOrderError, SnapshotError
from hickorymux._internal.state.config_changes import (
    ConfigChange,
    MalformedChange,
    decode_change,
    row_updates,
)
from hickorymux._internal.state.config_history import (
    ChangeHistory,
    LastChange,
    RowConflict,
)
from hickorymux._internal.state.config_rows import ConfigRows
from hickorymux._internal.state.config_snapshot import (
    ConfigSnapshot,
    SnapshotDecision,
    SnapshotLastChange,
    decode_snapshot,
    encode_snapshot,
)
from hickorymux._internal.state.row_checks import check_row
from hickorymux._internal.state.rows import DrainRow, Row, RowKey, RowKind
from hickorymux._internal.state.table_builder import TableBuilder
from hickorymux._internal.state.tables import Tables

# Number of records after which changed rows and change ids are forgotten. It
# influences decisions, so all routers must use the same number.
HORIZON_RECORDS = 25_000


class RejectCode(enum.StrEnum):
    """Why a record was rejected."""

    malformed = 'change_malformed'
    row_invalid = 'row_invalid'
    base_unknown = 'base_unknown'
    base_too_old = 'base_too_old'
    reset_moved = 'reset_moved'
    history_missing = 'history_missing'
    conflict = 'change_conflict'
    not_joined = 'tables_not_joined'
    duplicate = 'change_duplicate'


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The record took effect and created a new version."""

    version: int
    change_id: str
    author: str
    changed_rows: tuple[RowKey, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Rejected:
    """The record took no effect; all routers reject it alike."""

    code: RejectCode
    reason: str
    change_id: str = ''
    conflicts: tuple[RowConflict, ...] = ()


Outcome: TypeAlias = Accepted | Rejected


@final
class ConfigFold:
    """The configuration after all records below ``next_offset``.

    Applying a record takes time in proportion to the rows that it changes.
    ``tables`` is built on demand and rebuilds only the pools that changed
    since the last time.

    A fold that starts in the middle of the stream is not complete: it lacks
    rows. It rejects every change except a reset of the tables, which makes it
    complete. ``reset_version`` is the version of the last reset, or 0.
    """

    __slots__ = (
        'builder',
        'history',
        'is_complete',
        'next_offset',
        'reset_version',
        'rows',
        'version',
    )

    def __init__(self, *, horizon: int = HORIZON_RECORDS) -> None:
        self.version = 0
        self.next_offset = 0
        self.reset_version = 0
        self.is_complete = True
        self.rows = ConfigRows()
        self.builder = TableBuilder(self.rows)
        self.history = ChangeHistory(horizon)

    @classmethod
    def from_offset(
        cls, offset: int, *, horizon: int = HORIZON_RECORDS
    ) -> 'ConfigFold':
        """Return a fold that starts at an offset, without earlier records."""
        fold = cls(horizon=horizon)
        fold.next_offset = offset
        fold.is_complete = not offset
        return fold

    @classmethod
    def from_snapshot(
        cls, encoded: bytes, *, horizon: int = HORIZON_RECORDS
    ) -> 'ConfigFold':
        """Return the fold whose state a snapshot holds.

        Raises ``SnapshotError`` if the snapshot is malformed or its rows are
        invalid.
        """
        snapshot = decode_snapshot(encoded)
        fold = cls(horizon=horizon)
        fold.version = snapshot.version
        fold.next_offset = snapshot.next_offset
        fold.reset_version = snapshot.reset_version
        rows = _snapshot_rows(snapshot)
        problem = _row_problem(rows)
        if problem is None:
            fold.put_rows(rows)
            problem = fold.reference_problem(
                rows.keys() - _zone_drain_keys(rows)
            )
        if problem is not None:
            raise SnapshotError(problem.reason)
        for change in snapshot.touches:
            key = RowKey(change.kind, change.name)
            fold.history.record_change(
                key, LastChange(change.version, change.author)
            )
        for decision in snapshot.decisions:
            fold.history.record_decision(decision.change_id, decision.offset)
        return fold

    @property
    def tables(self) -> Tables:
        """Return the tables in force."""
        return self.builder.build(self.version)

    def apply_record(self, offset: int, payload: bytes) -> Outcome:
        """Apply the record at an offset and return whether it took effect.

        Raises ``ConfigOrderError`` if it is not the record at
        ``next_offset``.
        """
        if offset != self.next_offset:
            raise ConfigOrderError(
                f'got record {offset}, expected {self.next_offset}'
            )
        self.next_offset = offset + 1
        self.history.prune(offset)
        try:
            change = decode_change(payload)
        except MalformedChange as error:
            return Rejected(RejectCode.malformed, error.detail)
        return self._decide(offset, change)

    def reference_problem(self, keys: Iterable[RowKey]) -> Rejected | None:
        """Return a rejection if a row has an invalid reference."""
        for key in keys:
            for problem in self.rows.check_references(key):
                reason = f'{key}: {problem.key}: {problem.detail}'
                return Rejected(RejectCode.not_joined, reason)
        return None

    def put_rows(
        self, updates: Mapping[RowKey, Row | None]
    ) -> dict[RowKey, Row | None]:
        """Set or delete rows without any check; return the old ones."""
        old_rows = {}
        for key, row in updates.items():
            old_rows[key] = self.rows.set_row(key, row)
            self.builder.record_change(key, old_rows[key])
        return old_rows

    def snapshot(self) -> bytes:
        """Return the state as JSON, from which another fold can start."""
        rows = self.rows
        return encode_snapshot(
            ConfigSnapshot(
                version=self.version,
                next_offset=self.next_offset,
                reset_version=self.reset_version,
                routes=tuple(rows.all_routes()),
                pools=tuple(rows.all_pools()),
                upstreams=tuple(rows.all_upstreams()),
                drained_zones=tuple(rows.names(RowKind.zone_drain)),
                drained_upstreams=tuple(rows.names(RowKind.upstream_drain)),
                touches=tuple(
                    SnapshotLastChange(
                        key.kind, key.name, change.version, change.author
                    )
                    for key, change in self.history.last_changes.items()
                ),
                decisions=tuple(
                    SnapshotDecision(change_id, offset)
                    for change_id, offset in self.history.decided_offsets.items()
                ),
            )
        )

    def _decide(self, offset: int, change: ConfigChange) -> Outcome:
        """Accept or reject a change; no id is decided twice."""
        if change.is_reset:
            return self._decide_reset(offset, change)
        if not self.is_complete:
            reason = 'the records before the change are missing'
            return _rejected(change, RejectCode.history_missing, reason)
        if change.id in self.history.decided_offsets:
            return _rejected(
                change,
                RejectCode.duplicate,
                'a change with this id was decided before',
            )
        if change.base < self._oldest_base(offset):
            reason = f'base {change.base} is too old'
            return _rejected(change, RejectCode.base_too_old, reason)
        self.history.record_decision(change.id, offset)
        if change.base > offset:
            reason = f'base {change.base} is not on the stream yet'
            return _rejected(change, RejectCode.base_unknown, reason)
        return self._decide_update(offset, change)

    def _oldest_base(self, offset: int) -> int:
        oldest = min(self.version, self.history.oldest_base(offset))
        return max(oldest, self.reset_version)

    def _decide_reset(self, offset: int, change: ConfigChange) -> Outcome:
        """Replace all rows, if the reset is at the offset that it names.

        The decision does not depend on earlier records, so routers that lack
        them agree with those that have them.
        """
        if change.base != offset:
            reason = f'the reset is only valid at offset {change.base}'
            return _rejected(change, RejectCode.reset_moved, reason)
        updates = _row_updates(change)
        fold = ConfigFold(horizon=self.history.horizon)
        outcome = fold.put_change(offset, change, updates)
        if isinstance(outcome, Rejected):
            return outcome
        deleted = dict.fromkeys(self.rows.rows.keys() - updates.keys())
        self.history.clear()
        self.put_rows({**deleted, **updates})
        self.is_complete = True
        self.reset_version = offset + 1
        self.history.record_decision(change.id, offset)
        return self._accept(offset, change, updates)

    def _decide_update(self, offset: int, change: ConfigChange) -> Outcome:
        updates = _row_updates(change)
        conflicts = self.history.conflicts(change.base, updates)
        if conflicts:
            return Rejected(
                RejectCode.conflict,
                '; '.join(str(conflict) for conflict in conflicts),
                change.id,
                conflicts,
            )
        return self.put_change(offset, change, updates)

    def put_change(
        self,
        offset: int,
        change: ConfigChange,
        updates: Mapping[RowKey, Row | None],
    ) -> Outcome:
        """Apply the rows of a change if they and their references are valid."""
        if len(updates) < _count_updates(change):
            reason = 'a row is changed twice'
            return _rejected(change, RejectCode.malformed, reason)
        problem = _row_problem(updates)
        if problem is not None:
            return _rejected(change, problem.code, problem.reason)
        old_rows = self.put_rows(updates)
        problem = self.reference_problem(updates)
        if problem is not None:
            self.put_rows(old_rows)
            return _rejected(change, problem.code, problem.reason)
        return self._accept(offset, change, updates)

    def _accept(
        self,
        offset: int,
        change: ConfigChange,
        updates: Mapping[RowKey, Row | None],
    ) -> Accepted:
        self.version = offset + 1
        for key in updates:
            self.history.record_change(
                key, LastChange(self.version, change.author)
            )
        return Accepted(self.version, change.id, change.author, tuple(updates))


def _row_updates(change: ConfigChange) -> dict[RowKey, Row | None]:
    """Return the new row for each key of a change; ``None`` deletes."""
    updates: dict[RowKey, Row | None] = {}
    for operation in change.operations:
        updates.update(row_updates(operation))
    return updates


def _count_updates(change: ConfigChange) -> int:
    return sum(
        len(tuple(row_updates(operation))) for operation in change.operations
    )


def _row_problem(updates: Mapping[RowKey, Row | None]) -> Rejected | None:
    """Return a rejection if a row is invalid by itself, else ``None``."""
    for key, row in updates.items():
        for problem in () if row is None else check_row(row):
            reason = f'{key}: {problem.key}: {problem.detail}'
            return Rejected(RejectCode.row_invalid, reason)
    return None


def _zone_drain_keys(rows: Iterable[RowKey]) -> set[RowKey]:
    """Return the keys of zone drains.

    A zone stays drained when its last upstream is deleted, so these keys may
    refer to a zone without upstreams.
    """
    return {key for key in rows if key.kind is RowKind.zone_drain}


def _rejected(change: ConfigChange, code: RejectCode, reason: str) -> Rejected:
    return Rejected(code, reason, change.id)


def _snapshot_rows(snapshot: ConfigSnapshot) -> dict[RowKey, Row | None]:
    rows: dict[RowKey, Row | None] = {}
    for route in snapshot.routes:
        rows[RowKey(RowKind.route, route.name)] = route
    for pool in snapshot.pools:
        rows[RowKey(RowKind.pool, pool.name)] = pool
    for upstream in snapshot.upstreams:
        rows[RowKey(RowKind.upstream, upstream.name)] = upstream
    for zone in snapshot.drained_zones:
        rows[RowKey(RowKind.zone_drain, zone)] = DrainRow()
    for name in snapshot.drained_upstreams:
        rows[RowKey(RowKind.upstream_drain, name)] = DrainRow()
    return rows
