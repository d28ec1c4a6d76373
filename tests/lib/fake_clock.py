"""A clock that a test advances explicitly."""

import asyncio
import datetime as dt

EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class FakeClock:
    """A clock that moves only by ``advance`` and by sleeping.

    A sleep returns at once and advances the clock by its length.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> float:
        return self.seconds

    def wall(self) -> dt.datetime:
        return EPOCH + dt.timedelta(seconds=self.seconds)

    async def sleep(self, seconds: float) -> None:
        self.advance(seconds)
        await asyncio.sleep(0)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.seconds += seconds
