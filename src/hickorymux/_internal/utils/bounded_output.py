"""Log lines on standard output that never hold the program up.

Lines beyond a rate are left out and counted; so are lines while the reader of
the output does not take them. A line that says how many were left out follows
as soon as there is room.
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
    """Writes formatted records to a descriptor that does not block."""

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
        """Return a handler on standard output."""
        return cls(sys.stdout.fileno(), formatter)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as left out."""
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
        """Write what the descriptor takes now."""
        while self.buffer:
            line = self.buffer.popleft()
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads the output any more.
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
        'log lines left out',
        None,
        None,
    )
    record.fields = {'event': 'lines_left_out', 'count': count}
    return record
