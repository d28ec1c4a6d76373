"""Limits retries to a share of the requests of each pool.

Without a limit, retries multiply the load on a pool that already fails.

Example::

    budget = RetryBudget.from_config(clock)
    budget.count_request('drafting')
    if budget.try_acquire('drafting'):
        await send_again()
"""

import dataclasses
import datetime as dt
from typing import final

from hickorymux._internal.utils.clock import Clock

_BUCKET_COUNT = 10


@dataclasses.dataclass(slots=True, frozen=True)
class RetrySettings:
    """The limits of a retry budget.

    Retries may amount to ``share`` of the requests within ``window``.
    ``floor`` retries are allowed in any window, so that a pool with few
    requests has some.
    """

    share: float = 0.2
    floor: float = 10
    window: dt.timedelta = dt.timedelta(seconds=10)


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The counts for one part of the window."""

    index: int = -1
    requests: int = 0
    retries: int = 0


@final
class RetryBudget:
    """Counts requests and retries of each pool over a sliding window."""

    __slots__ = ('clock', 'pools', 'settings')

    def __init__(self, clock: Clock, settings: RetrySettings) -> None:
        self.clock = clock
        self.settings = settings
        self.pools: dict[str, list[_Bucket]] = {}

    @classmethod
    def from_config(
        cls,
        clock: Clock,
        settings: RetrySettings | None = None,
    ) -> 'RetryBudget':
        """Return an empty budget, with default settings if none are given."""
        return cls(clock, settings or RetrySettings())

    def count_request(self, pool: str) -> None:
        """Count a request; its retries are not counted here."""
        self._bucket(pool).requests += 1

    def try_acquire(self, pool: str) -> bool:
        """Count a retry and return ``True`` if it is within the budget."""
        if not self.has_room(pool):
            return False
        self._bucket(pool).retries += 1
        return True

    def has_room(self, pool: str) -> bool:
        """Return whether a retry is within the budget, without counting it."""
        bucket = self._bucket(pool)
        in_window = [
            candidate
            for candidate in self.pools[pool]
            if candidate.index > bucket.index - _BUCKET_COUNT
        ]
        requests = sum(candidate.requests for candidate in in_window)
        retries = sum(candidate.retries for candidate in in_window)
        allowed = max(self.settings.floor, requests * self.settings.share)
        return retries < allowed

    def _bucket(self, pool: str) -> _Bucket:
        buckets = self.pools.get(pool)
        if buckets is None:
            buckets = [_Bucket() for _ in range(_BUCKET_COUNT)]
            self.pools[pool] = buckets
        width = self.settings.window.total_seconds() / _BUCKET_COUNT
        index = int(self.clock.monotonic() / width)
        bucket = buckets[index % _BUCKET_COUNT]
        if bucket.index != index:
            bucket.index = index
            bucket.requests = 0
            bucket.retries = 0
        return bucket
