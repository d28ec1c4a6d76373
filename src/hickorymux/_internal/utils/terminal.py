"""Text for the person at the terminal."""

import sys
from collections.abc import Iterator, Sequence


def write_line(text: str = '') -> None:
    """Write one line to the standard output."""
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """Write one line to the standard error."""
    sys.stderr.write(f'{text}\n')


def format_table(rows: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yield the rows, the first being the heading, in aligned columns."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        yield '  '.join(cells).rstrip()
