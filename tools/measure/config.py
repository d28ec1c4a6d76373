"""Measure the size and processor time of the configuration at full size.

It folds 12,000 upstreams in 24 pools, and then 25,000 changes of one row each,
the number expected in a day.

Usage::

    PYTHONPATH=src python -m tools.measure.config
"""

import time

from hickorymux._internal.coordination.config_messages import ConfigOffer
from hickorymux._internal.state.config_changes import (
    ConfigChange,
    Operation,
    PutPool,
    PutUpstream,
    encode_change,
)
from hickorymux._internal.state.config_fold import Accepted, ConfigFold
from hickorymux._internal.state.rows import PoolRow, UpstreamRow
from hickorymux._internal.state.tables import PoolKind

POOLS = 24
UPSTREAMS = 12_000
CHANGES = 25_000
BUILDS = 200
ZONES = 10


def put_upstream(number: int, slots: int) -> PutUpstream:
    """Return the operation that adds or replaces an upstream."""
    row = UpstreamRow(
        pool=f'pool-{number % POOLS}',
        name=f'upstream-{number}',
        zone=f'zone-{number % ZONES}',
        address=f'10.0.{number // 250}.{number % 250}:9000',
        slots=slots,
    )
    return PutUpstream(row)


def encode_operations(fold: ConfigFold, *operations: Operation) -> bytes:
    """Return the log record of a change that is based on the fold's version."""
    change_id = f'{fold.next_offset:032x}'
    change = ConfigChange(change_id, fold.version, 'operator@host', operations)
    return encode_change(change)


def apply_change(fold: ConfigFold, payload: bytes) -> None:
    """Apply a record to the fold; raise ``AssertionError`` if it is rejected."""
    outcome = fold.apply_record(fold.next_offset, payload)
    if not isinstance(outcome, Accepted):
        raise AssertionError(outcome)


def build_fold() -> ConfigFold:
    """Return a fold of full size and print the cost of its first change."""
    fold = ConfigFold()
    pools = (
        PutPool(PoolRow(name=f'pool-{number}', kind=PoolKind.model))
        for number in range(POOLS)
    )
    upstreams = (put_upstream(number, 8) for number in range(UPSTREAMS))
    payload = encode_operations(fold, *pools, *upstreams)
    started = time.perf_counter()
    apply_change(fold, payload)
    seconds = time.perf_counter() - started
    print(f'first change: {len(payload)} bytes, {seconds * 1e3:.0f} ms')
    return fold


def measure_changes(fold: ConfigFold) -> None:
    """Apply a day's changes of one row each and print their mean cost."""
    total_bytes = 0
    seconds: float = 0
    for number in range(CHANGES):
        payload = encode_operations(
            fold, put_upstream(number % UPSTREAMS, 9 + number % 2)
        )
        started = time.perf_counter()
        apply_change(fold, payload)
        seconds += time.perf_counter() - started
        total_bytes += len(payload)
    per_change = seconds / CHANGES * 1e6
    print(f'one change: {total_bytes // CHANGES} bytes, {per_change:.1f} us')


def measure_tables(fold: ConfigFold) -> None:
    """Print the mean time to build the tables after a change.

    The tables are built on the first access after a change.
    """
    seconds: float = 0
    version = 0
    for number in range(BUILDS):
        apply_change(fold, encode_operations(fold, put_upstream(number, 20)))
        started = time.perf_counter()
        version = fold.tables.version
        seconds += time.perf_counter() - started
    per_build = seconds / BUILDS * 1e3
    print(f'tables after a change: {per_build:.2f} ms, version {version}')


def measure_snapshot(fold: ConfigFold) -> None:
    """Print the sizes of a snapshot and the times to write and read it."""
    started = time.perf_counter()
    snapshot = fold.snapshot()
    written_at = time.perf_counter()
    ConfigFold.from_snapshot(snapshot)
    read_at = time.perf_counter()
    offer = ConfigOffer.from_snapshot(fold.version, snapshot)
    print(
        f'snapshot: {len(snapshot)} bytes,'
        f' {len(offer.snapshot)} to a peer,'
        f' written in {(written_at - started) * 1e3:.0f} ms,'
        f' read in {(read_at - written_at) * 1e3:.0f} ms'
    )


def main() -> None:
    """Run all measurements and print their figures."""
    fold = build_fold()
    measure_tables(fold)
    measure_changes(fold)
    measure_snapshot(fold)


if __name__ == '__main__':
    main()
