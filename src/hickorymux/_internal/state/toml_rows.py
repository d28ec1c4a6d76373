"""Reads rows from the TOML files that operators write.

All problems are collected, so operators see every error of a file at once.
"""

import dataclasses
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeAlias, TypeVar, final

import msgspec

from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.state.row_checks import RowProblem
from hickorymux._internal.utils.suggestions import nearest_hint

RawRow: TypeAlias = dict[str, Any]

_RowT = TypeVar('_RowT', bound=msgspec.Struct)


@dataclasses.dataclass(slots=True, frozen=True)
class RowLocation:
    """A file and the position of a row in it; no row means the whole file."""

    file: str
    row: str = ''

    def __str__(self) -> str:
        """Return the location for messages, as in ``pools.toml: pool 2``."""
        return f'{self.file}: {self.row}' if self.row else self.file


@dataclasses.dataclass(slots=True, frozen=True)
class TableProblem:
    """A problem in a TOML file and where it is."""

    location: RowLocation
    problem: RowProblem

    def __str__(self) -> str:
        """Return one line with location, key, problem and hint."""
        problem = self.problem
        key = f', key "{problem.key}"' if problem.key else ''
        hint = f' ({problem.hint})' if problem.hint else ''
        return f'{self.location}{key}: {problem.detail}{hint}'


class TablesInvalid(ConfigError):
    """TOML files have errors; ``problems`` holds all of them."""

    code = 'tables_invalid'

    def __init__(self, problems: tuple[TableProblem, ...]) -> None:
        lines = (f'\n  {problem}' for problem in problems)
        super().__init__(f'{len(problems)} errors{"".join(lines)}')
        self.problems = problems


@final
class TomlReader:
    """Reads arrays of tables from TOML files and collects the problems.

    A row with problems is left out; ``raise_problems`` reports all of them
    after everything was read.
    """

    __slots__ = ('problems',)

    def __init__(self) -> None:
        self.problems: list[TableProblem] = []

    def read_file(
        self, path: Path, name: str
    ) -> Iterator[tuple[RowLocation, RawRow]]:
        """Yield the rows of a file whose only content is one array of tables.

        ``name`` is the key of the array. The rows are not converted yet.
        """
        location = RowLocation(str(path))
        raw = self._read_toml(path, location)
        found = raw.pop(name, [])
        for key in sorted(raw):
            hint = f'rows start with "[[{name}]]"'
            self.add_problem(location, RowProblem(key, 'unknown key', hint))
        for number, row in enumerate(
            self.array_of_tables(found, location, name), start=1
        ):
            yield RowLocation(str(path), describe_row(name, number, row)), row

    def array_of_tables(
        self, found: Any, location: RowLocation, name: str
    ) -> list[RawRow]:
        """Return ``found`` if it is an array of tables.

        Otherwise add a problem and return an empty list.
        """
        is_array = isinstance(found, list)
        if is_array and all(isinstance(row, dict) for row in found):
            return list(found)
        problem = RowProblem(
            name.rpartition('.')[2],
            'not an array of tables',
            f'start each row with "[[{name}]]"',
        )
        self.add_problem(location, problem)
        return []

    def convert(
        self, row_type: type[_RowT], location: RowLocation, raw: RawRow
    ) -> _RowT | None:
        """Return the row if its keys are known, complete and well-typed.

        Otherwise add all problems and return ``None``.
        """
        problems = list(_check_keys(row_type, raw))
        for problem in problems:
            self.add_problem(location, problem)
        return None if problems else msgspec.convert(raw, row_type)

    def add_problem(self, location: RowLocation, problem: RowProblem) -> None:
        """Collect a problem for ``raise_problems``."""
        self.problems.append(TableProblem(location, problem))

    def raise_problems(self) -> None:
        """Raise ``TablesInvalid`` if problems were collected."""
        if self.problems:
            raise TablesInvalid(tuple(self.problems))

    def _read_toml(self, path: Path, location: RowLocation) -> RawRow:
        try:
            return tomllib.loads(path.read_text(encoding='utf-8'))
        except OSError as error:
            self.add_problem(location, RowProblem('', str(error.strerror)))
        except (ValueError, RecursionError) as error:
            self.add_problem(location, RowProblem('', f'not TOML: {error}'))
        return {}


def describe_row(table: str, number: int, raw: RawRow) -> str:
    """Return a description of a row, as in ``route 2 "register"``."""
    name = raw.get('name', '')
    named = f' "{name}"' if name else ''
    return f'{table} {number}{named}'


def _check_keys(
    row_type: type[msgspec.Struct], raw: RawRow
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


def _check_type(name: str, wanted: Any, found: Any) -> Iterator[RowProblem]:
    try:
        msgspec.convert(found, wanted)
    except (msgspec.ValidationError, OverflowError) as error:
        yield RowProblem(name, str(error))
