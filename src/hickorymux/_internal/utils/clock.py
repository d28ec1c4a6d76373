"""The clock as an interface, so that tests can control the time.

Monotonic time is in seconds as ``float`` and includes the time during which
the host is suspended. Wall-clock time is a timezone-aware ``datetime`` in UTC.
"""

import asyncio
import datetime as dt
import time
from typing import Protocol, final


class Clock(Protocol):
    """Tells the time and sleeps."""

    def monotonic(self) -> float:
        """Return the seconds since a fixed moment; they never decrease."""

    def wall(self) -> dt.datetime:
        """Return the current date and time in UTC."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given number of seconds."""


@final
class SystemClock:
    """The clock of the host."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the seconds since boot, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> dt.datetime:
        """Return the current date and time in UTC."""
        return dt.datetime.now(dt.UTC)

    async def sleep(self, seconds: float) -> None:
        """Wait for the given number of seconds."""
        await asyncio.sleep(seconds)
