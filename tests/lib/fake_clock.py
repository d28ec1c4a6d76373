"""A clock that a test moves by hand."""

import asyncio
import datetime as dt

EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class FakeClock:
    """Time passes by ``advance``; a sleep ends at once and moves the clock."""

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
        """Let some seconds pass."""
        self.seconds += seconds
