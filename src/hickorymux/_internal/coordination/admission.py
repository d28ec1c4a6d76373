"""Decides whose requests a router takes while its processor is short.

Load pattern: the callers of one customer reach a single router and ask it for
several times what its processor can serve, for seconds, while other customers
send it a few requests each. The upstreams have room, and so have the other
routers, so shares of upstreams say nothing about what is short here.

While the event loop lags, a router limits the requests that it takes in. The
limit falls while the lag exceeds its target and rises while it does not. It is
divided among the customers by max-min fairness: those that ask for less than
an even part of it are taken whole, and what is left is for the others.

Example::

    admission = Admission()
    if admission.is_refused('large', lag_seconds=0.08, now=clock.monotonic()):
        admission.on_refused('large', now)
    else:
        admission.on_taken('large', now)
"""

import collections
import math
from collections.abc import Iterable
from typing import Final, final

from hickorymux._internal.coordination.engines.wait_queue import (
    RecentCosts,
    max_min_share,
)

# A request takes about five iterations of the event loop until it is sent to
# an upstream. They must fit into the 400 ms within which callers of model
# engines expect the answer to begin.
TARGET_LAG_SECONDS: Final = 0.03
# Above this lag every request would be late.
MAX_LAG_SECONDS: Final = 0.15
# Change of the limit in a second, as a part of it: at no lag, and the most while
# the lag exceeds its target. The work of a request lasts for seconds after it
# was taken, so the lag follows the limit with a delay.
MAX_GROWTH_PER_SECOND: Final = 1.0
MAX_CUT_PER_SECOND: Final = 2.0
# A router that takes fewer recent requests lags for another reason than its
# callers.
MIN_LIMIT: Final = 40.0
ADJUST_INTERVAL_SECONDS: Final = 0.02
# The lag says nothing of the time since longer ago.
MAX_CUT_SECONDS: Final = 0.1
# Bounds of the time after which refused callers may return.
MIN_RETRY_SECONDS: Final = 0.3
MAX_RETRY_SECONDS: Final = 2.0


@final
class Admission:
    """The requests that one router takes, by customer.

    ``taken`` and ``refused`` count recent requests. ``limit`` is how many of
    them may be taken of all customers, and ``fair`` how many of one; both are
    infinite while the router is not overloaded. ``admitted_early`` counts the
    requests by customer that were taken by their heads and not read yet.
    """

    __slots__ = (
        'adjusted_at',
        'admitted_early',
        'fair',
        'limit',
        'refused',
        'taken',
    )

    def __init__(self) -> None:
        self.taken = RecentCosts()
        self.refused = RecentCosts()
        self.admitted_early: collections.Counter[str] = collections.Counter()
        self.limit = math.inf
        self.fair = math.inf
        self.adjusted_at = -math.inf

    @property
    def is_limiting(self) -> bool:
        """Return whether some customers may be refused."""
        return self.limit < math.inf

    def is_refused(self, customer: str, lag_seconds: float, now: float) -> bool:
        """Return whether to refuse the next request of a customer.

        ``lag_seconds`` is the present lag of the event loop.
        """
        self._adjust(lag_seconds, now)
        if lag_seconds > MAX_LAG_SECONDS:
            return True
        return self.is_limiting and self.taken.total(customer, now) >= self.fair

    def on_taken(self, customer: str, now: float) -> None:
        """Count a request that was taken."""
        self.taken.add(customer, 1, now)

    def admit_early(self, customer: str, now: float) -> None:
        """Take a request that is read later, without another decision."""
        self.on_taken(customer, now)
        self.admitted_early[customer] += 1

    def claim_early(self, customer: str) -> bool:
        """Return whether a request that is read now was taken before.

        Requests of one customer are not told apart.
        """
        if not self.admitted_early[customer]:
            return False
        self.admitted_early[customer] -= 1
        return True

    def on_refused(self, customer: str, now: float) -> None:
        """Count a request that was refused."""
        self.refused.add(customer, 1, now)

    def retry_seconds(self, now: float) -> float:
        """Return after how long about refused callers may return.

        It is longer, the more is refused for each request that is taken.
        """
        taken = self.taken.sum_total(now)
        excess = self.refused.sum_total(now) / max(1, taken)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, excess / 2))

    def _adjust(self, lag_seconds: float, now: float) -> None:
        elapsed = now - self.adjusted_at
        if elapsed < ADJUST_INTERVAL_SECONDS:
            return
        self.adjusted_at = now
        if self.is_limiting:
            self.limit *= _change(lag_seconds, elapsed)
            self.limit = max(MIN_LIMIT, self.limit)
        elif lag_seconds > TARGET_LAG_SECONDS:
            self.limit = max(MIN_LIMIT, self.taken.sum_total(now))
        else:
            return
        self.taken.prune(now)
        self.refused.prune(now)
        demands = list(self._demands(now))
        if self.limit >= sum(demands) and lag_seconds <= TARGET_LAG_SECONDS:
            self.limit = math.inf
            self.fair = math.inf
            self.admitted_early.clear()
        else:
            self.fair = max_min_share(demands, self.limit)

    def _demands(self, now: float) -> Iterable[float]:
        customers = self.taken.costs.keys() | self.refused.costs.keys()
        for customer in customers:
            taken = self.taken.total(customer, now)
            yield taken + self.refused.total(customer, now)


def _change(lag_seconds: float, elapsed: float) -> float:
    """Return the factor by which the limit changes in a time."""
    deviation = (TARGET_LAG_SECONDS - lag_seconds) / TARGET_LAG_SECONDS
    if deviation > 0:
        return math.exp(deviation * MAX_GROWTH_PER_SECOND * elapsed)
    rate = max(deviation, -MAX_CUT_PER_SECOND)
    return math.exp(rate * min(elapsed, MAX_CUT_SECONDS))
