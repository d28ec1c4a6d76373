"""Reads the operators' table files and reports every error in them.

``routes.toml`` holds ``[[route]]`` rows. ``pools.toml`` holds ``[[pool]]``
rows, each with its ``[[pool.upstream]]`` rows and ``[pool.weights]``.

Example::

    files = TableFiles.load(Path('routes.toml'), Path('pools.toml'))
    files.rows.pool('drafting')
"""

import dataclasses
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeAlias, TypeVar, final

import msgspec

from hickorymux._internal.exceptions import ConfigError
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
from hickorymux._internal.utils.suggestions import nearest_hint

_RowT = TypeVar('_RowT', RouteRow, PoolRow, UpstreamRow)

_RawRow: TypeAlias = dict[str, Any]

# Stands for the name of a pool that could not be read.
_UNNAMED_POOL = 'unnamed'


@dataclasses.dataclass(slots=True, frozen=True)
class TableProblem:
    """One error of a table file: where it is and what to write instead."""

    file: str
    row: str
    key: str
    detail: str
    hint: str = ''

    def __str__(self) -> str:
        """Return one line for the operator."""
        place = ': '.join(part for part in (self.file, self.row) if part)
        key = f', key "{self.key}"' if self.key else ''
        hint = f' ({self.hint})' if self.hint else ''
        return f'{place}{key}: {self.detail}{hint}'


class TablesInvalid(ConfigError):
    """The table files have errors; ``problems`` holds all of them."""

    code = 'tables_invalid'

    def __init__(self, problems: tuple[TableProblem, ...]) -> None:
        lines = '\n'.join(str(problem) for problem in problems)
        super().__init__(lines)
        self.problems = problems


@final
class TableFiles:
    """The checked rows of the two table files."""

    __slots__ = ('broken_pools', 'places', 'problems', 'rows')

    def __init__(self) -> None:
        self.rows = ConfigRows(gives_hints=True)
        self.places: dict[RowKey, tuple[str, str]] = {}
        self.broken_pools: set[str] = set()
        self.problems: list[TableProblem] = []

    @classmethod
    def load(cls, routes: Path, pools: Path) -> 'TableFiles':
        """Read both files; raise ``TablesInvalid`` with all errors."""
        files = cls()
        files.read_pools(pools)
        files.read_routes(routes)
        files.check_joins()
        if files.problems:
            raise TablesInvalid(tuple(files.problems))
        return files

    def read_routes(self, path: Path) -> None:
        """Read the rows of the routes file."""
        file = str(path)
        rows = self._read_table(path, 'route')
        for number, raw in enumerate(rows, start=1):
            place = _describe('route', number, raw)
            row = self._read_row(RouteRow, file, place, raw)
            if row is not None:
                self._add(RowKey(RowKind.route, row.name), row, file, place)

    def read_pools(self, path: Path) -> None:
        """Read the rows of the pools file with their upstreams."""
        file = str(path)
        rows = self._read_table(path, 'pool')
        for number, raw in enumerate(rows, start=1):
            place = _describe('pool', number, raw)
            nested = self._nested(raw, file, place)
            row = self._read_row(PoolRow, file, place, raw)
            name = str(raw.get('name', _UNNAMED_POOL))
            if row is None:
                self.broken_pools.add(name)
            else:
                self._add(RowKey(RowKind.pool, name), row, file, place)
            self._read_upstreams(name, nested, file, place)

    def check_joins(self) -> None:
        """Note what is wrong between the rows."""
        for key, (file, place) in self.places.items():
            row = self.rows.rows[key]
            if getattr(row, 'pool', '') in self.broken_pools:
                continue
            for problem in self.rows.check_joins(key):
                self._note(file, place, problem)

    def _read_upstreams(
        self, pool: str, nested: list[_RawRow], file: str, place: str
    ) -> None:
        for number, raw in enumerate(nested, start=1):
            described = _describe('upstream', number, raw)
            inner = f'{place}, {described}'
            if 'pool' in raw:
                problem = RowProblem('pool', 'unknown key', 'leave it out')
                self._note(file, inner, problem)
            row = self._read_row(UpstreamRow, file, inner, raw | {'pool': pool})
            if row is not None:
                key = RowKey(RowKind.upstream, row.name)
                self._add(key, row, file, inner)

    def _read_table(self, path: Path, name: str) -> list[_RawRow]:
        """Return the raw rows of a file that holds one array of tables."""
        file = str(path)
        try:
            raw = tomllib.loads(path.read_text(encoding='utf-8'))
        except OSError as error:
            self._note(file, '', RowProblem('', str(error.strerror)))
            return []
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            self._note(file, '', RowProblem('', f'not TOML: {error}'))
            return []
        for key in sorted(raw.keys() - {name}):
            hint = f'rows start with "[[{name}]]"'
            self._note(file, '', RowProblem(key, 'unknown key', hint))
        found = raw.pop(name, [])
        return self._rows(found, file, '', name)

    def _nested(self, raw: _RawRow, file: str, place: str) -> list[_RawRow]:
        """Take the upstreams out of the raw row of a pool."""
        found = raw.pop('upstream', [])
        return self._rows(found, file, place, 'pool.upstream')

    def _rows(
        self, found: Any, file: str, place: str, name: str
    ) -> list[_RawRow]:
        is_table = isinstance(found, list)
        if is_table and all(isinstance(row, dict) for row in found):
            return list(found)
        problem = RowProblem(
            name.rpartition('.')[2],
            'not an array of tables',
            f'start each row with "[[{name}]]"',
        )
        self._note(file, place, problem)
        return []

    def _read_row(
        self,
        row_type: type[_RowT],
        file: str,
        place: str,
        raw: _RawRow,
    ) -> _RowT | None:
        """Return a row that is right by itself, else note its errors."""
        problems = list(_check_keys(row_type, raw))
        row = None if problems else msgspec.convert(raw, row_type)
        if row is not None:
            problems.extend(check_row(row))
        for problem in problems:
            self._note(file, place, problem)
        return None if problems else row

    def _add(self, key: RowKey, row: Row, file: str, place: str) -> None:
        known = self.places.get(key)
        if known is not None:
            first = ': '.join(known)
            problem = RowProblem(
                'name', 'duplicate name', f'the first is at {first}'
            )
            self._note(file, place, problem)
            return
        self.places[key] = (file, place)
        self.rows.set_row(key, row)

    def _note(self, file: str, place: str, problem: RowProblem) -> None:
        self.problems.append(
            TableProblem(file, place, problem.key, problem.detail, problem.hint)
        )


def _describe(table: str, number: int, raw: _RawRow) -> str:
    """Return how an operator finds a row in its file."""
    name = raw.get('name', '')
    named = f' "{name}"' if name else ''
    return f'{table} {number}{named}'


def _check_keys(
    row_type: type[msgspec.Struct], raw: _RawRow
) -> Iterator[RowProblem]:
    """Yield a problem for each key that is unknown, missing or ill-typed."""
    fields = {field.name: field for field in msgspec.structs.fields(row_type)}
    for key in sorted(raw.keys() - fields.keys()):
        hint = nearest_hint(key, sorted(fields))
        yield RowProblem(key, 'unknown key', hint)
    for name, field in fields.items():
        found = raw.get(name, msgspec.UNSET)
        if found is not msgspec.UNSET:
            yield from _check_type(name, field.type, found)
        elif field.required:
            yield RowProblem(name, 'missing key', f'add a line "{name} = ..."')


def _check_type(name: str, wanted: Any, raw: Any) -> Iterator[RowProblem]:
    try:
        msgspec.convert(raw, wanted)
    except msgspec.ValidationError as error:
        yield RowProblem(name, str(error))
