"""Writes log lines to standard output without ever blocking the program.

Routine lines above a rate are omitted and counted, and so are all lines while
the buffer is full because the reader of the output is too slow. The number of
omitted lines is logged as soon as lines can be written again.

Load pattern: a router writes several lines for each of hundreds of requests a
second. Such lines skip the records of ``logging``, an omitted one costs next to
nothing, and those of one iteration of the event loop are written together.
"""

import asyncio
import collections
import logging
import os
import select
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any, Final, Protocol, final

LINES_PER_SECOND: Final = 400.0
BURST_LINES: Final = 1200.0
MAX_BUFFERED_LINES: Final = 2000


class LineFormatter(Protocol):
    """Formats log lines."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, without the final newline."""

    def format_fields(
        self,
        created: float,
        logger: str,
        message: str,
        fields: Mapping[str, Any],
    ) -> bytes:
        """Return a routine line; ``created`` is in Unix seconds."""


@final
class BoundedOutput(logging.Handler):
    """A log handler that writes to a non-blocking file descriptor.

    ``allowance`` is how many routine lines (``INFO`` and below) may be written
    now. It grows by ``LINES_PER_SECOND`` up to ``BURST_LINES``.
    """

    def __init__(
        self,
        descriptor: int,
        formatter: LineFormatter,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.line_formatter = formatter
        self.descriptor = descriptor
        self.now = now
        self.allowance = BURST_LINES
        self.refilled_at = now()
        self.buffer: collections.deque[bytes] = collections.deque()
        self.omitted_lines = 0
        self.is_flush_scheduled = False
        os.set_blocking(descriptor, False)

    @classmethod
    def from_config(cls, formatter: LineFormatter) -> 'BoundedOutput':
        """Return a handler for standard output."""
        return cls(sys.stdout.fileno(), formatter)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or omit and count it."""
        if self._must_omit(is_routine=record.levelno <= logging.INFO):
            return
        self.buffer.append(f'{self.line_formatter.format(record)}\n'.encode())
        self.flush()

    def write_routine(
        self, logger: str, message: str, fields: Mapping[str, Any]
    ) -> None:
        """Write a routine line at the end of the loop's present iteration."""
        if self._must_omit(is_routine=True):
            return
        line = self.line_formatter.format_fields(
            time.time(), logger, message, fields
        )
        self.buffer.append(line + b'\n')
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        self.is_flush_scheduled = False
        while self.buffer:
            batch = self._next_batch()
            try:
                written = os.write(self.descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the output.
                self.buffer.clear()
                return
            if written < len(batch):
                self.buffer.appendleft(batch[written:])
                return

    def _next_batch(self) -> bytes:
        """Remove and return the first lines, not more than are written whole."""
        lines = [self.buffer.popleft()]
        size = len(lines[0])
        while self.buffer and size + len(self.buffer[0]) <= select.PIPE_BUF:
            size += len(self.buffer[0])
            lines.append(self.buffer.popleft())
        return b''.join(lines)

    def _must_omit(self, *, is_routine: bool) -> bool:
        """Return whether to omit a line, and count it if so."""
        if (is_routine and not self._is_allowed()) or (
            len(self.buffer) >= MAX_BUFFERED_LINES
        ):
            self.omitted_lines += 1
            return True
        if self.omitted_lines:
            record = _omitted_lines_record(self.omitted_lines)
            self.omitted_lines = 0
            line = self.line_formatter.format(record)
            self.buffer.append(f'{line}\n'.encode())
        return False

    def _is_allowed(self) -> bool:
        now = self.now()
        earned = (now - self.refilled_at) * LINES_PER_SECOND
        self.refilled_at = now
        self.allowance = min(BURST_LINES, self.allowance + earned)
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True


def _omitted_lines_record(count: int) -> logging.LogRecord:
    record = logging.LogRecord(
        __name__,
        logging.WARNING,
        __file__,
        0,
        'log lines omitted',
        None,
        None,
    )
    record.fields = {'event': 'lines_left_out', 'count': count}
    return record
