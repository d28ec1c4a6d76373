"""Computes the operations that turn one set of rows into another."""

from collections.abc import Iterable, Iterator

from hickorymux._internal.state.config_changes import (
    DeletePool,
    DeleteRoute,
    DeleteUpstream,
    Operation,
    PutPool,
    PutRoute,
    PutUpstream,
    row_updates,
)
from hickorymux._internal.state.config_rows import ConfigRows
from hickorymux._internal.state.rows import RowKind


def table_delta(base: ConfigRows, wanted: ConfigRows) -> tuple[Operation, ...]:
    """Return the operations that turn the base rows into the wanted ones.

    Drains are ignored: the table files, from which ``wanted`` is read, do not
    hold them.
    """
    return (
        *_changed_rows(base, wanted),
        *(
            DeleteRoute(name)
            for name in _deleted_names(base, wanted, RowKind.route)
        ),
        *(
            DeleteUpstream(name)
            for name in _deleted_names(base, wanted, RowKind.upstream)
        ),
        *(
            DeletePool(name)
            for name in _deleted_names(base, wanted, RowKind.pool)
        ),
    )


def _changed_rows(base: ConfigRows, wanted: ConfigRows) -> Iterator[Operation]:
    for pool in wanted.all_pools():
        if pool != base.pool(pool.name):
            yield PutPool(pool)
    for upstream in wanted.all_upstreams():
        if upstream != base.upstream(upstream.name):
            yield PutUpstream(upstream)
    for route in wanted.all_routes():
        if route != base.route(route.name):
            yield PutRoute(route)


def _deleted_names(
    base: ConfigRows, wanted: ConfigRows, kind: RowKind
) -> Iterable[str]:
    return sorted(base.names_by_kind[kind] - wanted.names_by_kind[kind])


def is_already_applied(operation: Operation, rows: ConfigRows) -> bool:
    """Return whether an operation would leave the rows as they are."""
    return all(rows.rows.get(key) == row for key, row in row_updates(operation))
