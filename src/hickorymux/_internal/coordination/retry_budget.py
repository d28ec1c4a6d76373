"""Limits retries to a share of a pool's requests.

When an upstream fails now and then, its requests are tried again elsewhere.
When many fail, retries would multiply the load on those that are left; so a
pool's retries in a sliding window stay within a share of its requests, with a
small floor for pools that have few. Only a request that reached an upstream
draws on the budget: one that was never sent has put no load on any.
"""

import dataclasses
from collections import deque
from typing import Final, Self, final

from hickorymux._internal.utils.clock import Clock

WINDOW_SECONDS: Final = 10.0
RETRY_SHARE: Final = 0.2
MIN_RETRIES: Final = 10


@final
@dataclasses.dataclass(slots=True)
class _Window:
    """When a pool's requests and retries were, in monotonic seconds."""

    requests: deque[float] = dataclasses.field(default_factory=deque)
    retries: deque[float] = dataclasses.field(default_factory=deque)


@final
class RetryBudget:
    """The retries of all pools at this router.

    Example::

        budget.count_request('engines')
        if budget.take('engines'):
            ...  # send it again
    """

    __slots__ = ('clock', 'windows')

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.windows: dict[str, _Window] = {}

    @classmethod
    def from_config(cls, clock: Clock) -> Self:
        """Return a budget with nothing used."""
        return cls(clock)

    def count_request(self, pool: str) -> None:
        """Count a request of the pool; its retries are not requests."""
        self._window(pool).requests.append(self.clock.monotonic())

    def take(self, pool: str) -> bool:
        """Return whether one more retry is within the budget, and use it."""
        window = self._window(pool)
        allowed = max(MIN_RETRIES, RETRY_SHARE * len(window.requests))
        if len(window.retries) >= allowed:
            return False
        window.retries.append(self.clock.monotonic())
        return True

    def _window(self, pool: str) -> _Window:
        """Return the pool's window without what has left it."""
        window = self.windows.setdefault(pool, _Window())
        oldest = self.clock.monotonic() - WINDOW_SECONDS
        for times in (window.requests, window.retries):
            while times and times[0] <= oldest:
                times.popleft()
        return window
