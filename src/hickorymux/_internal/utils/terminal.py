"""Writes text and tables to the terminal."""

import sys
from collections.abc import Iterator, Sequence


def write_line(text: str = '') -> None:
    """Write one line to the standard output."""
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """Write one line to the standard error."""
    sys.stderr.write(f'{text}\n')


def format_table(rows: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yield the rows as lines with aligned columns.

    The first row is the heading.
    """
    widths = [max(len(cell) for cell in column) for column in zip(*rows)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        yield '  '.join(cells).rstrip()
