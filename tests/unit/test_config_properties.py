"""Property tests with random records, snapshots and table files.

Malformed records and snapshots are rejected without effect, and damaged table
files are reported.
"""

import contextlib
import json
import tempfile
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lib.config_samples import (
    POOLS_TOML,
    ROUTES_TOML,
    base_operations,
    change,
)

from hickorymux._internal.coordination.config_messages import ConfigOffer
from hickorymux._internal.exceptions import SnapshotError
from hickorymux._internal.state.config_changes import (
    DrainUpstream,
    DrainZone,
    ResetTables,
)
from hickorymux._internal.state.config_fold import (
    Accepted,
    ConfigFold,
    Rejected,
    RejectCode,
)
from hickorymux._internal.state.customers import CustomerKeys
from hickorymux._internal.state.table_files import TableFiles
from hickorymux._internal.state.toml_rows import TablesInvalid

derandomized = settings(derandomize=True, max_examples=150, deadline=None)

NAMES = st.sampled_from(['drafting', 'engine-1', 'engine-2', 'a', 'b', 'new'])
VALUES: st.SearchStrategy[Any] = st.one_of(
    NAMES,
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False),
    st.text(max_size=5),
    st.lists(NAMES, max_size=2),
)
KEYS = st.sampled_from(
    ['name', 'pool', 'kind', 'zone', 'slots', 'model', 'address', 'weights']
)
ROWS = st.dictionaries(KEYS, VALUES, max_size=7)
GOOD_ROWS = st.sampled_from(
    [
        {'name': 'new', 'kind': 'service'},
        {'name': 'new', 'pool': 'drafting', 'model': 'm'},
        {'name': 'drafting', 'pool': 'new', 'model': 'dossier'},
        {
            'name': 'engine-1',
            'pool': 'drafting',
            'zone': 'a',
            'address': '127.0.0.1:1',
            'slots': 3,
        },
    ]
)
OPERATIONS = st.builds(
    lambda op, row, name: {
        'op': op,
        'name': name,
        'zone': name,
        op.partition('_')[2]: row,
    },
    st.sampled_from(
        [
            'put_route',
            'delete_route',
            'put_pool',
            'delete_pool',
            'put_upstream',
            'delete_upstream',
            'drain_zone',
            'restore_zone',
            'drain_upstream',
            'restore_upstream',
            'unknown',
        ]
    ),
    ROWS | GOOD_ROWS,
    NAMES,
)
CHANGES = st.builds(
    lambda number, base, operations: json.dumps(
        {
            'id': f'id-{number}',
            'base': base,
            'author': 'ops',
            'operations': operations,
        }
    ).encode(),
    st.integers(0, 20),
    st.integers(-1, 12),
    st.lists(OPERATIONS, max_size=3),
)


def started_fold() -> ConfigFold:
    fold = ConfigFold()
    fold.apply_record(0, change(0, *base_operations()))
    return fold


@derandomized
@given(st.lists(CHANGES | st.binary(max_size=40), max_size=12))
def test_records_have_the_same_effect_after_a_snapshot(
    records: list[bytes],
) -> None:
    fold = started_fold()
    restored = started_fold()
    for offset, payload in enumerate(records, start=1):
        before, rows = fold.tables, dict(fold.rows.rows)
        outcome = fold.apply_record(offset, payload)
        restored = ConfigFold.from_snapshot(restored.snapshot())
        assert restored.apply_record(offset, payload) == outcome
        assert restored.snapshot() == fold.snapshot()
        assert restored.tables == fold.tables
        if isinstance(outcome, Accepted):
            assert fold.version == offset + 1
        else:
            assert fold.tables == before
            assert fold.rows.rows == rows


@derandomized
@given(
    st.lists(CHANGES, max_size=5),
    st.lists(CHANGES, max_size=8),
    st.integers(0, 5),
)
def test_a_reset_needs_no_history(
    before: list[bytes], after: list[bytes], first: int
) -> None:
    full = started_fold()
    for payload in before:
        full.apply_record(full.next_offset, payload)
    partial = ConfigFold.from_offset(min(first, len(before)) + 1)
    for payload in before[partial.next_offset - 1 :]:
        outcome = partial.apply_record(partial.next_offset, payload)
        assert isinstance(outcome, Rejected)
    reset = change(
        full.next_offset, ResetTables(), *base_operations(), id='reset'
    )
    for payload in [reset, *after, reset]:
        outcome = partial.apply_record(partial.next_offset, payload)
        assert full.apply_record(full.next_offset, payload) == outcome
        assert full.snapshot() == partial.snapshot()
        assert full.tables == partial.tables


@derandomized
@given(st.binary(max_size=200))
def test_random_bytes_are_malformed(payload: bytes) -> None:
    outcome = started_fold().apply_record(1, payload)
    assert isinstance(outcome, Rejected)
    assert outcome.code is RejectCode.malformed


@derandomized
@given(st.data())
def test_a_damaged_snapshot_is_refused_or_consistent(
    data: st.DataObject,
) -> None:
    fold = started_fold()
    fold.apply_record(1, change(1, DrainZone('a'), DrainUpstream('engine-2')))
    damaged = bytearray(fold.snapshot())
    for _ in range(data.draw(st.integers(1, 3))):
        position = data.draw(st.integers(0, len(damaged) - 1))
        damaged[position] = data.draw(st.integers(0, 255))
    with contextlib.suppress(SnapshotError):
        read = ConfigFold.from_snapshot(bytes(damaged))
        assert set(read.tables.pools) >= {
            route.pool for route in read.tables.routes.values()
        }


@derandomized
@given(st.binary(max_size=100))
def test_a_random_offer_is_refused(body: bytes) -> None:
    with pytest.raises(SnapshotError):
        ConfigOffer(1, body).decompress()


def damage(data: st.DataObject, text: str) -> str:
    """Replace some words of a file with other words or random text."""
    words = text.split(' ')
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(words) - 1))
        words[position] = data.draw(
            st.sampled_from(
                ['', '=', '"x"', '[]', '-1', '1e400', '{}', '[[pool]]\n']
            )
            | st.sampled_from(words)
            | st.text(max_size=4)
        )
    return ' '.join(words)


@derandomized
@given(st.data())
def test_damaged_files_are_reported_or_valid(data: st.DataObject) -> None:
    with tempfile.TemporaryDirectory() as name:
        routes, pools = Path(name, 'r.toml'), Path(name, 'p.toml')
        routes.write_text(damage(data, ROUTES_TOML), errors='replace')
        pools.write_text(damage(data, POOLS_TOML), errors='replace')
        try:
            TableFiles.load(routes, pools)
        except TablesInvalid as error:
            assert error.problems
        with contextlib.suppress(TablesInvalid):
            CustomerKeys.load(pools)
