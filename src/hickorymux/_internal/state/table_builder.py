"""Builds the tables in force from the rows.

After a change only the routes and pools that it concerns are built again.
"""

import functools
from typing import final

from hickorymux._internal.state.config_rows import ConfigRows
from hickorymux._internal.state.rows import (
    DrainRow,
    PoolRow,
    RouteRow,
    Row,
    RowKey,
    RowKind,
    UpstreamRow,
)
from hickorymux._internal.state.tables import Pool, Route, Tables, Upstream


@final
class TableBuilder:
    """Caches built routes and pools and rebuilds only the changed ones.

    ``record_change`` takes constant time. ``build`` takes the time to build
    the changed pools and to copy one reference for each route and pool.
    """

    __slots__ = ('changed_pools', 'pools', 'routes', 'rows', 'tables')

    def __init__(self, rows: ConfigRows) -> None:
        self.rows = rows
        self.routes: dict[str, Route] = {}
        self.pools: dict[str, Pool] = {}
        self.changed_pools: set[str] = set()
        self.tables = Tables()

    def record_change(self, key: RowKey, old: Row | None) -> None:
        """Update the cache after a row was set or deleted.

        ``old`` is the previous row, ``None`` if there was none. The new one
        is read from ``rows``.
        """
        row = self.rows.rows.get(key)
        if old is not None:
            _remove_row(old, self)
        if row is not None:
            _add_row(row, self)

    def build(self, version: int) -> Tables:
        """Return the tables, labelled with the version that the rows have.

        The same version returns the same object.
        """
        if self.tables.version == version:
            return self.tables
        for name in self.changed_pools:
            self._build_pool(name)
        self.changed_pools.clear()
        self.tables = Tables(
            version=version,
            routes=dict(sorted(self.routes.items())),
            pools=dict(sorted(self.pools.items())),
            drained_zones=self.rows.drained_names(RowKind.zone_drain),
            drained_upstreams=self.rows.drained_names(RowKind.upstream_drain),
        )
        return self.tables

    def _build_pool(self, name: str) -> None:
        row = self.rows.pool(name)
        if row is None:
            self.pools.pop(name, None)
            return
        self.pools[name] = row.to_pool(self._upstreams(name))

    def _upstreams(self, pool: str) -> tuple[Upstream, ...]:
        names = sorted(self.rows.upstreams_by_pool.get(pool, ()))
        rows = (self.rows.upstream(name) for name in names)
        return tuple(row.to_upstream() for row in rows if row is not None)


@functools.singledispatch
def _add_row(row: Row, builder: TableBuilder) -> None:
    """Build a route, or mark the pool of a row for rebuilding."""
    raise NotImplementedError(type(row))


@_add_row.register
def _add_route(row: RouteRow, builder: TableBuilder) -> None:
    builder.routes[row.name] = row.to_route()


@_add_row.register
def _add_pool(row: PoolRow, builder: TableBuilder) -> None:
    builder.changed_pools.add(row.name)


@_add_row.register
def _add_upstream(row: UpstreamRow, builder: TableBuilder) -> None:
    builder.changed_pools.add(row.pool)


@_add_row.register
def _add_drain(row: DrainRow, builder: TableBuilder) -> None:
    """Do nothing; ``build`` reads the drains from the rows."""


@functools.singledispatch
def _remove_row(row: Row, builder: TableBuilder) -> None:
    """Drop a route, or mark the pool of a row for rebuilding."""
    _add_row(row, builder)


@_remove_row.register
def _remove_route(row: RouteRow, builder: TableBuilder) -> None:
    builder.routes.pop(row.name, None)
