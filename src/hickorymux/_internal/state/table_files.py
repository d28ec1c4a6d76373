"""Reads the operators' table files and reports every error in them.

``routes.toml`` holds ``[[route]]`` rows. ``pools.toml`` holds ``[[pool]]``
rows, each with its ``[[pool.upstream]]`` rows and ``[pool.weights]``.

Example::

    files = TableFiles.load(Path('routes.toml'), Path('pools.toml'))
    files.rows.pool('drafting')
"""

from pathlib import Path
from typing import TypeVar, final

from hickorymux._internal.state.config_rows import ConfigRows
from hickorymux._internal.state.row_checks import RowProblem, check_row
from hickorymux._internal.state.rows import (
    PoolRow,
    RouteRow,
    Row,
    RowKey,
    RowKind,
    UpstreamRow,
)
from hickorymux._internal.state.toml_rows import (
    RawRow,
    RowPlace,
    TomlRows,
    describe_row,
)

# Stands for the name of a pool that could not be read.
_UNNAMED_POOL = 'unnamed'

_RowT = TypeVar('_RowT', RouteRow, PoolRow, UpstreamRow)


@final
class TableFiles:
    """The checked rows of the two table files."""

    __slots__ = ('broken_pools', 'places', 'reader', 'rows')

    def __init__(self) -> None:
        self.rows = ConfigRows(gives_hints=True)
        self.reader = TomlRows()
        self.places: dict[RowKey, RowPlace] = {}
        self.broken_pools: set[str] = set()

    @classmethod
    def load(cls, routes: Path, pools: Path) -> 'TableFiles':
        """Read both files; raise ``TablesInvalid`` with all errors."""
        files = cls()
        files.read_pools(pools)
        files.read_routes(routes)
        files.check_joins()
        files.reader.raise_problems()
        return files

    def read_routes(self, path: Path) -> None:
        """Read the rows of the routes file."""
        for place, raw in self.reader.read_file(path, 'route'):
            row = self._read_row(RouteRow, place, raw)
            if row is not None:
                self._add(RowKey(RowKind.route, row.name), row, place)

    def read_pools(self, path: Path) -> None:
        """Read the rows of the pools file with their upstreams."""
        for place, raw in self.reader.read_file(path, 'pool'):
            found = raw.pop('upstream', [])
            nested = self.reader.tables(found, place, 'pool.upstream')
            row = self._read_row(PoolRow, place, raw)
            name = str(raw.get('name', _UNNAMED_POOL))
            if row is None:
                self.broken_pools.add(name)
            else:
                self._add(RowKey(RowKind.pool, name), row, place)
            for number, upstream in enumerate(nested, start=1):
                described = describe_row('upstream', number, upstream)
                inner = RowPlace(place.file, f'{place.row}, {described}')
                self._read_upstream(name, inner, upstream)

    def check_joins(self) -> None:
        """Note what is wrong between the rows."""
        for key, place in self.places.items():
            row = self.rows.rows[key]
            if getattr(row, 'pool', '') in self.broken_pools:
                continue
            for problem in self.rows.check_joins(key):
                self.reader.note(place, problem)

    def _read_upstream(self, pool: str, place: RowPlace, raw: RawRow) -> None:
        if 'pool' in raw:
            problem = RowProblem('pool', 'unknown key', 'leave it out')
            self.reader.note(place, problem)
        row = self._read_row(UpstreamRow, place, raw | {'pool': pool})
        if row is not None:
            self._add(RowKey(RowKind.upstream, row.name), row, place)

    def _read_row(
        self, row_type: type[_RowT], place: RowPlace, raw: RawRow
    ) -> _RowT | None:
        """Return a row that is right by itself, else note its errors."""
        row = self.reader.convert(row_type, place, raw)
        if row is None:
            return None
        problems = tuple(check_row(row))
        for problem in problems:
            self.reader.note(place, problem)
        return None if problems else row

    def _add(self, key: RowKey, row: Row, place: RowPlace) -> None:
        known = self.places.get(key)
        if known is not None:
            hint = f'the first is at {known}'
            problem = RowProblem('name', 'duplicate name', hint)
            self.reader.note(place, problem)
            return
        self.places[key] = place
        self.rows.set_row(key, row)
