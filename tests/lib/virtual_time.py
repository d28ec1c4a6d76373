"""An event loop whose time jumps to the next timer instead of passing.

Code under test that sleeps for minutes runs in moments, and a run depends on
its seed only, not on the speed of the machine.
"""

import asyncio
import datetime as dt
import selectors
from collections.abc import Coroutine
from typing import Any

EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class _SkippingSelector(selectors.DefaultSelector):
    """A selector that advances a loop's time instead of waiting."""

    loop: 'VirtualTimeLoop'

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready files, of which a virtual loop has none."""
        if timeout:
            self.loop.seconds += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time; it also implements ``Clock``."""

    def __init__(self) -> None:
        self.seconds = 0.0
        selector = _SkippingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.seconds

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.seconds

    def wall(self) -> dt.datetime:
        """Return a date and time that advances with the virtual time."""
        return EPOCH + dt.timedelta(seconds=self.seconds)

    async def sleep(self, seconds: float) -> None:
        """Wait for the given number of virtual seconds."""
        await asyncio.sleep(seconds)

    def run_for(self, main: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine to its end and close the loop."""
        try:
            self.run_until_complete(main)
        finally:
            for task in asyncio.all_tasks(self):
                task.cancel()
            self.run_until_complete(asyncio.sleep(0))
            self.close()
