"""All rows of the configuration, with indexes of their references.

A route refers to a pool by name, an upstream to its pool, and a drain to a
zone or an upstream. The indexes let a change be checked without a scan of all
rows.
"""

import collections
import functools
from collections.abc import Iterable, Iterator
from typing import TypeVar, final

from hickorymux._internal.state.row_checks import RowProblem
from hickorymux._internal.state.rows import (
    DrainRow,
    PoolRow,
    RouteRow,
    Row,
    RowKey,
    RowKind,
    UpstreamRow,
)
from hickorymux._internal.state.tables import PoolKind
from hickorymux._internal.utils.suggestions import nearest_hint

ANY_CUSTOMER = ''

_KeyT = TypeVar('_KeyT')


@final
class ConfigRows:
    """The rows by key, and checks of the references between them.

    Setting a row takes time in proportion to the size of that row. Checking
    the references of a row takes time in proportion to the number of rows
    that refer to it or that it refers to. With ``gives_hints`` a problem with
    an unknown name suggests a known one, which scans all names of that kind.

    ``routes_by_match`` holds route names by what they match (``match_keys``)
    and ``zones`` the number of upstreams in each zone.
    """

    __slots__ = (
        'gives_hints',
        'names_by_kind',
        'routes_by_match',
        'routes_by_pool',
        'rows',
        'upstreams_by_pool',
        'zones',
    )

    def __init__(self, *, gives_hints: bool = False) -> None:
        self.gives_hints = gives_hints
        self.rows: dict[RowKey, Row] = {}
        self.names_by_kind: dict[RowKind, set[str]] = {
            kind: set() for kind in RowKind
        }
        self.routes_by_match: dict[tuple[str, str, str], set[str]] = {}
        self.routes_by_pool: dict[str, set[str]] = {}
        self.upstreams_by_pool: dict[str, set[str]] = {}
        self.zones: collections.Counter[str] = collections.Counter()

    def set_row(self, key: RowKey, row: Row | None) -> Row | None:
        """Set a row, or delete it if ``row`` is ``None``.

        Returns the previous row, ``None`` if there was none.
        """
        old = self.rows.pop(key, None)
        if old is not None:
            self.names_by_kind[key.kind].discard(key.name)
            _unindex_row(old, self)
        if row is not None:
            self.rows[key] = row
            self.names_by_kind[key.kind].add(key.name)
            _index_row(row, self)
        return old

    def route(self, name: str) -> RouteRow | None:
        """Return the route of a name, or ``None``."""
        row = self.rows.get(RowKey(RowKind.route, name))
        return row if isinstance(row, RouteRow) else None

    def pool(self, name: str) -> PoolRow | None:
        """Return the pool of a name, or ``None``."""
        row = self.rows.get(RowKey(RowKind.pool, name))
        return row if isinstance(row, PoolRow) else None

    def upstream(self, name: str) -> UpstreamRow | None:
        """Return the upstream of a name, or ``None``."""
        row = self.rows.get(RowKey(RowKind.upstream, name))
        return row if isinstance(row, UpstreamRow) else None

    def names(self, kind: RowKind) -> list[str]:
        """Return the names of all rows of a kind, sorted."""
        return sorted(self.names_by_kind[kind])

    def drained_names(self, kind: RowKind) -> frozenset[str]:
        """Return the names that the drains of one kind take out of service."""
        return frozenset(self.names_by_kind[kind])

    def all_routes(self) -> Iterator[RouteRow]:
        """Yield all routes, sorted by name."""
        for name in self.names(RowKind.route):
            row = self.route(name)
            if row is not None:
                yield row

    def all_pools(self) -> Iterator[PoolRow]:
        """Yield all pools, sorted by name."""
        for name in self.names(RowKind.pool):
            row = self.pool(name)
            if row is not None:
                yield row

    def all_upstreams(self) -> Iterator[UpstreamRow]:
        """Yield all upstreams, sorted by name."""
        for name in self.names(RowKind.upstream):
            row = self.upstream(name)
            if row is not None:
                yield row

    def check_references(self, key: RowKey) -> Iterator[RowProblem]:
        """Yield the problems between a row and other rows.

        These are references to unknown rows, routes to a pool of the wrong
        kind, overlapping routes and references to a deleted pool.
        """
        row = self.rows.get(key)
        if row is not None:
            yield from _check_row_references(row, key, self)
        elif key.kind is RowKind.pool:
            yield from self._check_pool_unused(key.name)

    def check_pool_exists(self, name: str) -> Iterator[RowProblem]:
        """Yield a problem if no pool has the name."""
        if self.pool(name) is None:
            yield RowProblem(
                'pool',
                f'unknown pool "{name}"',
                self.suggest_name(name, self.names_by_kind[RowKind.pool]),
            )

    def suggest_name(self, name: str, known: Iterable[str]) -> str:
        """Return a hint that suggests a known name similar to an unknown one.

        The hint is empty if no name is similar or without ``gives_hints``.
        """
        return nearest_hint(name, sorted(known)) if self.gives_hints else ''

    def _check_pool_unused(self, name: str) -> Iterator[RowProblem]:
        for route in sorted(self.routes_by_pool.get(name, ())):
            yield RowProblem(
                'pool', f'pool "{name}" is still used by route "{route}"'
            )
        if self.upstreams_by_pool.get(name):
            yield RowProblem('pool', f'pool "{name}" still has upstreams')


def match_keys(row: RouteRow) -> Iterator[tuple[str, str, str]]:
    """Yield what a route matches, as triples of field, value and customer.

    Two routes overlap if they share a triple. A route for all customers has
    ``ANY_CUSTOMER`` as the customer.
    """
    field, text = 'model', row.model
    if row.path_prefix:
        field, text = 'path_prefix', row.path_prefix
    for customer in row.customers or (ANY_CUSTOMER,):
        yield field, text, customer


@functools.singledispatch
def _index_row(row: Row, rows: ConfigRows) -> None:
    """Add a row to the indexes."""


@_index_row.register
def _index_route(row: RouteRow, rows: ConfigRows) -> None:
    for match in match_keys(row):
        rows.routes_by_match.setdefault(match, set()).add(row.name)
    rows.routes_by_pool.setdefault(row.pool, set()).add(row.name)


@_index_row.register
def _index_upstream(row: UpstreamRow, rows: ConfigRows) -> None:
    rows.upstreams_by_pool.setdefault(row.pool, set()).add(row.name)
    rows.zones[row.zone] += 1


@functools.singledispatch
def _unindex_row(row: Row, rows: ConfigRows) -> None:
    """Remove a row from the indexes."""


@_unindex_row.register
def _unindex_route(row: RouteRow, rows: ConfigRows) -> None:
    for match in set(match_keys(row)):
        _discard(rows.routes_by_match, match, row.name)
    _discard(rows.routes_by_pool, row.pool, row.name)


@_unindex_row.register
def _unindex_upstream(row: UpstreamRow, rows: ConfigRows) -> None:
    _discard(rows.upstreams_by_pool, row.pool, row.name)
    rows.zones[row.zone] -= 1
    if not rows.zones[row.zone]:
        rows.zones.pop(row.zone)


def _discard(index: dict[_KeyT, set[str]], key: _KeyT, name: str) -> None:
    names = index[key]
    names.discard(name)
    if not names:
        index.pop(key)


@functools.singledispatch
def _check_row_references(
    row: Row, key: RowKey, rows: ConfigRows
) -> Iterator[RowProblem]:
    """Yield the problems between an existing row and other rows."""
    raise NotImplementedError(type(row))


@_check_row_references.register
def _check_route_references(
    row: RouteRow, key: RowKey, rows: ConfigRows
) -> Iterator[RowProblem]:
    yield from rows.check_pool_exists(row.pool)
    yield from _check_pool_kind(row, rows)
    others: set[str] = set()
    for match in match_keys(row):
        others |= rows.routes_by_match[match]
    for other in sorted(others - {row.name}):
        yield RowProblem(
            'path_prefix' if row.path_prefix else 'model',
            f'overlaps route "{other}"',
            'give each model or path prefix and customer to one route',
        )


@_check_row_references.register
def _check_pool_references(
    row: PoolRow, key: RowKey, rows: ConfigRows
) -> Iterator[RowProblem]:
    for name in sorted(rows.routes_by_pool.get(row.name, ())):
        route = rows.route(name)
        if route is not None:
            yield from _check_pool_kind(route, rows)


@_check_row_references.register
def _check_upstream_reference(
    row: UpstreamRow, key: RowKey, rows: ConfigRows
) -> Iterator[RowProblem]:
    yield from rows.check_pool_exists(row.pool)


@_check_row_references.register
def _check_drain_reference(
    row: DrainRow, key: RowKey, rows: ConfigRows
) -> Iterator[RowProblem]:
    if key.kind is RowKind.zone_drain:
        if key.name not in rows.zones:
            yield RowProblem(
                'zone',
                f'no upstream is in zone "{key.name}"',
                rows.suggest_name(key.name, rows.zones),
            )
    elif rows.upstream(key.name) is None:
        yield RowProblem(
            'upstream',
            f'unknown upstream "{key.name}"',
            rows.suggest_name(key.name, rows.names_by_kind[RowKind.upstream]),
        )


def _check_pool_kind(row: RouteRow, rows: ConfigRows) -> Iterator[RowProblem]:
    pool = rows.pool(row.pool)
    if pool is None:
        return
    wanted = PoolKind.service if row.path_prefix else PoolKind.model
    if pool.kind is not wanted:
        yield RowProblem(
            'path_prefix' if row.path_prefix else 'model',
            f'route "{row.name}" uses pool "{row.pool}"'
            + f' of kind "{pool.kind}"',
            'a "model" needs a pool of kind "model",'
            + ' a "path_prefix" one of kind "service"',
        )
