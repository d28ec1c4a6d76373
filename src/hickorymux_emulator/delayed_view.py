"""A value as it was some time ago, to emulate delayed load reports."""

import asyncio
import collections
import time
from collections.abc import Callable
from typing import Generic, TypeVar

_Value = TypeVar('_Value')


class DelayedView(Generic[_Value]):
    """Samples a value and returns it with a delay.

    ``sample`` is called at an interval; ``delayed_value`` returns the newest
    sample that is at least ``lag_seconds`` old, or else the oldest sample.
    """

    __slots__ = ('lag_seconds', 'samples', 'read_value')

    def __init__(
        self,
        source: Callable[[], _Value],
        lag_seconds: float,
    ) -> None:
        self.read_value = source
        self.lag_seconds = lag_seconds
        self.samples: collections.deque[tuple[float, _Value]]
        self.samples = collections.deque()

    def sample(self) -> None:
        """Take a sample and drop those too old to be returned again."""
        now = time.monotonic()
        self.samples.append((now, self.read_value()))
        while len(self.samples) > 1 and self._is_old_enough(
            self.samples[1], now
        ):
            self.samples.popleft()

    async def sample_forever(self, interval_seconds: float) -> None:
        """Take a sample every ``interval_seconds`` until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(interval_seconds)

    def delayed_value(self) -> _Value:
        """Return the value as it was ``lag_seconds`` ago."""
        if self.lag_seconds <= 0:
            return self.read_value()
        self.sample()
        return self.samples[0][1]

    def _is_old_enough(self, sample: tuple[float, _Value], now: float) -> bool:
        return now - sample[0] >= self.lag_seconds
