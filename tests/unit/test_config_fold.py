"""Tests of how the configuration fold accepts and rejects changes."""

import pytest
from lib.config_samples import base_operations, change, upstream_row

from hickorymux._internal.exceptions import ConfigOrderError, SnapshotError
from hickorymux._internal.state.config_changes import (
    DeletePool,
    DeleteRoute,
    DeleteUpstream,
    DrainUpstream,
    DrainZone,
    Operation,
    PutPool,
    PutRoute,
    PutUpstream,
    RestoreZone,
)
from hickorymux._internal.state.config_fold import (
    Accepted,
    ConfigFold,
    Rejected,
    RejectCode,
)
from hickorymux._internal.state.rows import PoolRow, RouteRow
from hickorymux._internal.state.tables import PoolKind


def started_fold(*, horizon: int = 100) -> ConfigFold:
    """Return a fold that accepted the base operations."""
    fold = ConfigFold(horizon=horizon)
    outcome = fold.apply_record(0, change(0, *base_operations()))
    assert isinstance(outcome, Accepted), outcome
    return fold


def rejection(fold: ConfigFold, payload: bytes) -> Rejected:
    """Apply a record and check that it is rejected and changes no row."""
    before, rows = fold.tables, dict(fold.rows.rows)
    outcome = fold.apply_record(fold.next_offset, payload)
    assert isinstance(outcome, Rejected)
    assert fold.tables == before
    assert fold.rows.rows == rows
    return outcome


def test_first_change_makes_version_one() -> None:
    tables = started_fold().tables
    assert tables.version == 1
    names = [upstream.name for upstream in tables.pools['drafting'].upstreams]
    assert names == ['engine-1', 'engine-2']
    assert tables.routes['drafting'].model == 'dossier'


def test_second_of_two_concurrent_changes_names_the_first() -> None:
    fold = started_fold()
    fold.apply_record(
        1, change(1, PutUpstream(upstream_row('engine-1', slots=4)), author='a')
    )
    rejected = rejection(
        fold,
        change(1, PutUpstream(upstream_row('engine-1', slots=6)), author='b'),
    )
    assert rejected.code is RejectCode.conflict
    assert str(rejected.conflicts[0]) == (
        'upstream "engine-1" was changed by a in version 2'
    )


def test_concurrent_changes_of_different_rows_are_both_accepted() -> None:
    fold = started_fold()
    fold.apply_record(1, change(1, DrainZone('a'), author='a'))
    outcome = fold.apply_record(2, change(1, DrainZone('b'), author='b'))
    assert isinstance(outcome, Accepted)
    assert fold.tables.drained_zones == {'a', 'b'}


@pytest.mark.parametrize(
    ('operation', 'expected'),
    [
        (DeletePool('drafting'), 'still used by route'),
        (PutUpstream(upstream_row('engine-3')), None),
        (
            PutRoute(RouteRow(name='other', pool='none', model='m')),
            'unknown pool "none"',
        ),
        (
            PutRoute(RouteRow(name='other', pool='drafting', model='dossier')),
            'overlaps route "drafting"',
        ),
        (
            PutRoute(RouteRow(name='o', pool='drafting', path_prefix='/x')),
            'of kind "model"',
        ),
        (
            PutPool(PoolRow(name='drafting', kind=PoolKind.service)),
            'of kind "service"',
        ),
        (DrainZone('c'), 'no upstream is in zone "c"'),
        (DrainUpstream('engine-9'), 'unknown upstream "engine-9"'),
    ],
)
def test_references_between_rows_must_be_valid(
    operation: Operation, expected: str | None
) -> None:
    fold = started_fold()
    if expected is None:
        outcome = fold.apply_record(1, change(1, operation))
        assert isinstance(outcome, Accepted)
        return
    rejected = rejection(fold, change(1, operation))
    assert rejected.code is RejectCode.not_joined
    assert expected in rejected.reason


def test_a_change_takes_effect_whole_or_not_at_all() -> None:
    fold = started_fold()
    rejected = rejection(
        fold,
        change(1, DeleteRoute('drafting'), DeletePool('drafting')),
    )
    assert rejected.code is RejectCode.not_joined
    outcome = fold.apply_record(
        2,
        change(
            1,
            DeletePool('drafting'),
            DeleteUpstream('engine-1'),
            DeleteUpstream('engine-2'),
            DeleteRoute('drafting'),
        ),
    )
    assert isinstance(outcome, Accepted)
    assert not fold.tables.pools
    assert not fold.tables.routes


def test_an_accepted_change_is_not_applied_twice() -> None:
    fold = started_fold()
    drain = change(1, DrainZone('a'), id='one')
    fold.apply_record(1, drain)
    fold.apply_record(2, change(2, RestoreZone('a'), id='two'))
    assert rejection(fold, drain).code is RejectCode.duplicate
    assert not fold.tables.drained_zones


def test_a_rejected_change_stays_rejected() -> None:
    fold = started_fold()
    route = PutRoute(RouteRow(name='late', pool='late', model='late'))
    payload = change(1, route, id='one')
    assert rejection(fold, payload).code is RejectCode.not_joined
    pool = PutPool(PoolRow(name='late', kind=PoolKind.model))
    fold.apply_record(2, change(1, pool))
    assert rejection(fold, payload).code is RejectCode.duplicate


def test_pruned_history_does_not_change_a_decision() -> None:
    fold = started_fold(horizon=3)
    first = change(1, DrainZone('a'), id='one')
    fold.apply_record(1, first)
    for offset in range(2, 8):
        fold.apply_record(offset, b'')
    assert not fold.history.decided_offsets
    assert rejection(fold, first).code is RejectCode.base_too_old


def test_base_above_the_offset_is_rejected() -> None:
    rejected = rejection(started_fold(), change(7, DrainZone('a')))
    assert rejected.code is RejectCode.base_unknown


def test_a_row_changed_twice_is_malformed() -> None:
    payload = change(1, DrainZone('a'), RestoreZone('a'))
    assert rejection(started_fold(), payload).code is RejectCode.malformed


def test_a_bad_row_is_rejected_before_it_is_built() -> None:
    route = RouteRow(name='r', pool='drafting', model='m', queue_timeout='soon')
    rejected = rejection(started_fold(), change(1, PutRoute(route)))
    assert rejected.code is RejectCode.row_invalid
    assert 'soon' in rejected.reason


def test_records_out_of_order_are_refused() -> None:
    with pytest.raises(ConfigOrderError):
        started_fold().apply_record(5, b'')


def test_a_fold_from_a_snapshot_continues_like_the_original() -> None:
    fold = started_fold()
    fold.apply_record(1, change(1, DrainZone('a'), DrainUpstream('engine-2')))
    copy = ConfigFold.from_snapshot(fold.snapshot(), horizon=100)
    assert copy.tables == fold.tables
    late = change(1, RestoreZone('a'), author='late')
    assert copy.apply_record(2, late) == fold.apply_record(2, late)
    assert copy.snapshot() == fold.snapshot()


def test_a_zone_stays_drained_without_upstreams() -> None:
    fold = started_fold()
    fold.apply_record(1, change(1, DrainZone('b')))
    fold.apply_record(2, change(1, DeleteUpstream('engine-2')))
    copy = ConfigFold.from_snapshot(fold.snapshot())
    assert copy.tables.drained_zones == {'b'}


@pytest.mark.parametrize('payload', [b'', b'{}', b'[1]', b'\xff', b'{"a":'])
def test_a_malformed_snapshot_is_refused(payload: bytes) -> None:
    with pytest.raises(SnapshotError):
        ConfigFold.from_snapshot(payload)
