"""The clock as an interface, so that tests can pass time in.

Monotonic readings are seconds as ``float`` and go on while the host is
suspended. Wall readings are aware ``datetime`` values in UTC.
"""

import asyncio
import datetime as dt
import time
from typing import Protocol, final


class Clock(Protocol):
    """Source of time and of waiting."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def wall(self) -> dt.datetime:
        """Return the time of day in UTC."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given number of seconds."""


@final
class SystemClock:
    """The clock of the host."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the boot time clock, which counts through a suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> dt.datetime:
        """Return the time of day in UTC."""
        return dt.datetime.now(dt.UTC)

    async def sleep(self, seconds: float) -> None:
        """Wait on the running event loop."""
        await asyncio.sleep(seconds)
