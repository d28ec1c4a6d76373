"""Formats errors for the terminal, one line for each problem."""

import functools
from collections.abc import Iterator

from hickorymux._internal.exceptions import HickorymuxError
from hickorymux._internal.state.toml_rows import TablesInvalid


@functools.singledispatch
def error_lines(error: HickorymuxError) -> Iterator[str]:
    """Yield the lines that describe an error."""
    yield str(error).replace('\n', ' ')


@error_lines.register
def _tables_lines(error: TablesInvalid) -> Iterator[str]:
    for problem in error.problems:
        yield f'[{error.code}] {problem}'
