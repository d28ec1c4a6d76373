"""Reads and checks the table files, and reports every error in them.

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
    RowLocation,
    TomlReader,
    describe_row,
)

# Used in place of the name of a pool that has none.
_UNNAMED_POOL = 'unnamed'

_RowT = TypeVar('_RowT', RouteRow, PoolRow, UpstreamRow)


@final
class TableFiles:
    """The rows of the routes file and the pools file, after all checks.

    References to a pool in ``invalid_pools`` are not checked: the row of the
    pool already has a problem.
    """

    __slots__ = ('invalid_pools', 'locations', 'reader', 'rows')

    def __init__(self) -> None:
        self.rows = ConfigRows(gives_hints=True)
        self.reader = TomlReader()
        self.locations: dict[RowKey, RowLocation] = {}
        self.invalid_pools: set[str] = set()

    @classmethod
    def load(cls, routes: Path, pools: Path) -> 'TableFiles':
        """Read and check both files.

        Raises ``TablesInvalid`` with all errors of both.
        """
        files = cls()
        files.read_pools(pools)
        files.read_routes(routes)
        files.check_references()
        files.reader.raise_problems()
        return files

    def read_routes(self, path: Path) -> None:
        """Read the rows of the routes file."""
        for location, raw in self.reader.read_file(path, 'route'):
            row = self._read_row(RouteRow, location, raw)
            if row is not None:
                self._add(RowKey(RowKind.route, row.name), row, location)

    def read_pools(self, path: Path) -> None:
        """Read the rows of the pools file and their nested upstreams."""
        for location, raw in self.reader.read_file(path, 'pool'):
            upstream_rows = raw.pop('upstream', [])
            upstreams = self.reader.array_of_tables(
                upstream_rows, location, 'pool.upstream'
            )
            row = self._read_row(PoolRow, location, raw)
            name = str(raw.get('name', _UNNAMED_POOL))
            if row is None:
                self.invalid_pools.add(name)
            else:
                self._add(RowKey(RowKind.pool, name), row, location)
            for number, upstream in enumerate(upstreams, start=1):
                described = describe_row('upstream', number, upstream)
                upstream_location = RowLocation(
                    location.file, f'{location.row}, {described}'
                )
                self._read_upstream(name, upstream_location, upstream)

    def check_references(self) -> None:
        """Collect the problems with references between the rows."""
        for key, location in self.locations.items():
            row = self.rows.rows[key]
            if getattr(row, 'pool', '') in self.invalid_pools:
                continue
            for problem in self.rows.check_references(key):
                self.reader.add_problem(location, problem)

    def _read_upstream(
        self, pool: str, location: RowLocation, raw: RawRow
    ) -> None:
        if 'pool' in raw:
            problem = RowProblem('pool', 'unknown key', 'remove it')
            self.reader.add_problem(location, problem)
        row = self._read_row(UpstreamRow, location, raw | {'pool': pool})
        if row is not None:
            self._add(RowKey(RowKind.upstream, row.name), row, location)

    def _read_row(
        self, row_type: type[_RowT], location: RowLocation, raw: RawRow
    ) -> _RowT | None:
        """Return the row if it passes its checks.

        Otherwise add its problems and return ``None``.
        """
        row = self.reader.convert(row_type, location, raw)
        if row is None:
            return None
        problems = tuple(check_row(row))
        for problem in problems:
            self.reader.add_problem(location, problem)
        return None if problems else row

    def _add(self, key: RowKey, row: Row, location: RowLocation) -> None:
        first_location = self.locations.get(key)
        if first_location is not None:
            hint = f'the first is at {first_location}'
            problem = RowProblem('name', 'duplicate name', hint)
            self.reader.add_problem(location, problem)
            return
        self.locations[key] = location
        self.rows.set_row(key, row)
