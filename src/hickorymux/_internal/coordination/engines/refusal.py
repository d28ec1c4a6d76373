"""When a request is refused rather than kept, and when it may come back.

Load pattern: demand stays above what the engines can do for seconds. Whatever
waits longer than its answer may take is late for everyone behind it, and the
clients that are told to come back at the same time make the next peak. So a
request waits only as long as it can still be in time, then its caller hears
at once that it did not run, with a time to come back that is spread over the
time in which room is expected.
"""

import random
from typing import Final, final

from hickorymux._internal.coordination.engines.demands import Demand

# A request is kept for this share of the time in which it should begin.
MAX_WAIT_SHARE: Final = 0.4
MIN_EXPECTED_WAIT_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 2.0
# A time to come back is drawn between these shares of the expected wait.
RETRY_SPREAD: Final = (0.5, 1.5)
# Nobody is told to come back at once, however little time is left.
RETRY_FLOOR_SECONDS: Final = 0.05
# A line that did not move lately is taken to move this fast, in cost a second.
MIN_RATE: Final = 1e-6
# Clients heed a time to come back of up to a third of what they have left.
MAX_RETRY_DEADLINE_SHARE: Final = 0.33
# Weight of a second's dispatches in the rate at which a line moves.
RATE_HALF_LIFE_SECONDS: Final = 1.0


@final
class DispatchRate:
    """How fast requests leave a waiting line, in cost per second."""

    __slots__ = ('rate', 'updated_at')

    def __init__(self, now: float) -> None:
        self.rate: float = 0
        self.updated_at = now

    def add(self, cost: float, now: float) -> None:
        """Count a request that was placed."""
        self._decay(now)
        self.rate += cost / RATE_HALF_LIFE_SECONDS

    def seconds_to_clear(self, cost: float, now: float) -> float:
        """Return how long so much work takes to leave the line."""
        self._decay(now)
        return cost / max(self.rate, MIN_RATE)

    def _decay(self, now: float) -> None:
        elapsed = now - self.updated_at
        self.rate *= 2 ** (-elapsed / RATE_HALF_LIFE_SECONDS)
        self.updated_at = now


def give_up_at(demand: Demand) -> float:
    """Return until when a request is kept waiting, in monotonic seconds."""
    max_wait = (demand.start_deadline - demand.arrived_at) * MAX_WAIT_SHARE
    return min(demand.arrived_at + max_wait, demand.deadline)


def retry_after_seconds(
    expected_wait: float,
    demand: Demand,
    now: float,
    rng: random.Random,
) -> float:
    """Return when to come back: when room is expected, spread out."""
    spread = rng.uniform(*RETRY_SPREAD)
    seconds = max(MIN_EXPECTED_WAIT_SECONDS, expected_wait) * spread
    max_retry = (demand.deadline - now) * MAX_RETRY_DEADLINE_SHARE
    return max(RETRY_FLOOR_SECONDS, min(seconds, MAX_RETRY_SECONDS, max_retry))
