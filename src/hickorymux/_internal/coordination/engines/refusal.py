"""Decides how long requests wait before they are refused, and when to retry.

Load pattern: demand exceeds the capacity of the engines for seconds. A request
that waits until it can no longer be in time also delays all requests behind
it, and clients that are told to retry at the same time cause the next peak. So
a request waits only as long as it can still be in time. Then it is refused at
once, not having run, with a retry time that is spread randomly around the time
at which capacity is expected.
"""

import random
from typing import Final, final

from hickorymux._internal.coordination.engines.demands import Demand

# A request waits for at most this share of the time until its start deadline.
MAX_WAIT_SHARE: Final = 0.4
MIN_EXPECTED_WAIT_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 2.0
# Retry times are drawn between these multiples of the expected wait.
RETRY_SPREAD: Final = (0.5, 1.5)
# No retry time is shorter than this, however little time the request has left.
RETRY_FLOOR_SECONDS: Final = 0.05
# Dispatch rate assumed if nothing was dispatched lately, in cost per second.
MIN_RATE: Final = 1e-6
# Clients accept a retry time of up to a third of the time until their deadline.
MAX_RETRY_DEADLINE_SHARE: Final = 0.33
# The weight of past dispatches in the dispatch rate halves in this time.
RATE_HALF_LIFE_SECONDS: Final = 1.0


@final
class DispatchRate:
    """The rate at which requests leave a wait queue, in cost per second."""

    __slots__ = ('rate', 'updated_at')

    def __init__(self, now: float) -> None:
        self.rate: float = 0
        self.updated_at = now

    def add(self, cost: float, now: float) -> None:
        """Add the cost of a request that is dispatched now."""
        self._decay(now)
        self.rate += cost / RATE_HALF_LIFE_SECONDS

    def seconds_to_clear(self, cost: float, now: float) -> float:
        """Return how long the queue needs to dispatch a total cost."""
        self._decay(now)
        return cost / max(self.rate, MIN_RATE)

    def _decay(self, now: float) -> None:
        elapsed = now - self.updated_at
        self.rate *= 2 ** (-elapsed / RATE_HALF_LIFE_SECONDS)
        self.updated_at = now


def give_up_at(demand: Demand) -> float:
    """Return the time at which a waiting request is refused.

    It is in monotonic seconds.
    """
    max_wait = (demand.start_deadline - demand.arrived_at) * MAX_WAIT_SHARE
    return min(demand.arrived_at + max_wait, demand.deadline)


def retry_after_seconds(
    expected_wait: float,
    demand: Demand,
    now: float,
    rng: random.Random,
) -> float:
    """Return the seconds after which a refused request may be retried.

    They are spread randomly around the expected wait, and bounded by the time
    that the request has left.
    """
    spread = rng.uniform(*RETRY_SPREAD)
    seconds = max(MIN_EXPECTED_WAIT_SECONDS, expected_wait) * spread
    max_retry = (demand.deadline - now) * MAX_RETRY_DEADLINE_SHARE
    return max(RETRY_FLOOR_SECONDS, min(seconds, MAX_RETRY_SECONDS, max_retry))
