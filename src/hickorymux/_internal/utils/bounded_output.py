"""Writes log lines to standard output without ever blocking the program.

Routine lines above a rate are omitted and counted, and so are all lines while
the buffer is full because the reader of the output is too slow. The number of
omitted lines is logged as soon as lines can be written again.
"""

import collections
import logging
import os
import sys
import time
from collections.abc import Callable
from typing import Final, final

LINES_PER_SECOND: Final = 400.0
BURST_LINES: Final = 1200.0
MAX_BUFFERED_LINES: Final = 2000


@final
class BoundedOutput(logging.Handler):
    """A log handler that writes to a non-blocking file descriptor.

    ``allowance`` is how many routine lines (``INFO`` and below) may be written
    now. It grows by ``LINES_PER_SECOND`` up to ``BURST_LINES``.
    """

    def __init__(
        self,
        descriptor: int,
        formatter: logging.Formatter,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.setFormatter(formatter)
        self.descriptor = descriptor
        self.now = now
        self.allowance = BURST_LINES
        self.refilled_at = now()
        self.buffer: collections.deque[bytes] = collections.deque()
        self.omitted_lines = 0
        os.set_blocking(descriptor, False)

    @classmethod
    def from_config(cls, formatter: logging.Formatter) -> 'BoundedOutput':
        """Return a handler for standard output."""
        return cls(sys.stdout.fileno(), formatter)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or omit and count it."""
        is_routine = record.levelno <= logging.INFO
        if (is_routine and not self._is_allowed()) or (
            len(self.buffer) >= MAX_BUFFERED_LINES
        ):
            self.omitted_lines += 1
            return
        if self.omitted_lines:
            omitted = self.omitted_lines
            self.omitted_lines = 0
            self.emit(_omitted_lines_record(omitted))
        self.buffer.append(f'{self.format(record)}\n'.encode())
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        while self.buffer:
            line = self.buffer.popleft()
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the output.
                self.buffer.clear()
                return
            if written < len(line):
                self.buffer.appendleft(line[written:])
                return

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
