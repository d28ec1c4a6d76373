"""A clock that tests move by hand."""

import datetime as dt


class ManualClock:
    """Monotonic seconds from 1,000; ``sleep`` moves the clock at once."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> dt.datetime:
        return dt.datetime.fromtimestamp(self.now, dt.UTC)

    async def sleep(self, seconds: float) -> None:
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        self.now += seconds
