"""Bounds on the gap in service and on waiting, and the debt they allow.

All amounts are in virtual units, cost divided by weight. The derivations are
in ``docs/design/fairness.md``.
"""

import dataclasses
from typing import Self

from hickorymux._internal.state.tables import Pool

# The largest cost of one request: tokens, or milliseconds of a service.
LARGEST_REQUEST_COST = 32_768
# The fastest that one slot accrues cost: milliseconds, or tokens of a model.
SLOT_COST_PER_SECOND = 1000
# How late a charge may reach the last of 410 routers; 7 routers take 3 s.
STALENESS_SECONDS = 45


@dataclasses.dataclass(slots=True, frozen=True)
class FairnessLimits:
    """What bounds the fairness of one pool.

    ``slots`` are those of the whole pool, ``slot_rate`` is the cost that one
    busy slot accrues in a second, ``staleness`` is in seconds.
    """

    slots: int
    largest_request: float = LARGEST_REQUEST_COST
    slot_rate: float = SLOT_COST_PER_SECOND
    staleness: float = STALENESS_SECONDS
    least_weight: float = 1.0

    @classmethod
    def from_pool(cls, pool: Pool) -> Self:
        """Return the limits for the slots and weights of a pool."""
        weights = (pool.default_weight, *pool.weights.values())
        slots = sum(upstream.slots for upstream in pool.upstreams)
        return cls(slots=max(slots, 1), least_weight=min(weights))

    @property
    def gap_bound(self) -> float:
        """Return the bound on the gap between customers always backlogged.

        It is one largest request in each slot, and what all slots do while
        a charge is under way to the other routers.
        """
        rate = self.slots * self.slot_rate
        cost = self.slots * self.largest_request + rate * self.staleness
        return cost / self.least_weight

    @property
    def debt_limit(self) -> float:
        """Return the debt beyond which service is forgiven.

        It equals the bound on the gap, so that it is never reached while the
        routers hear each other.
        """
        return self.gap_bound

    @property
    def partition_debt_limit(self) -> float:
        """Return the debt that is carried over a network partition."""
        return self.largest_request / self.least_weight

    def wait_bound(self, customers: int, own_cost: float) -> float:
        """Return the longest wait in seconds for a well-behaved customer.

        ``customers`` is the number of customers that compete, ``own_cost`` the
        cost of the customer's own requests that wait or run before this one,
        by estimate.
        """
        own_seconds = customers * own_cost / (self.slots * self.slot_rate)
        return (
            2 * self.staleness
            + self.largest_request / self.slot_rate
            + own_seconds
        )
