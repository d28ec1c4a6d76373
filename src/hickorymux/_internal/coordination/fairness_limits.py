"""Bounds on differences in service, on waiting times and on debt.

A customer's debt is how far its virtual time lies behind that of the waiting
customer that is furthest ahead, in other words the service that it is owed.
Debt beyond a limit is forgiven: the customer's virtual time is raised until
the debt equals the limit. Amounts are in virtual units, which are cost divided
by weight, unless they are called a cost. The derivations are in
``docs/design/fairness.md``.
"""

import dataclasses
from typing import Self

from hickorymux._internal.state.tables import Pool

# Largest cost of one request, in tokens or milliseconds of work.
LARGEST_REQUEST_COST = 32_768
# Highest rate at which a slot accrues cost, in tokens or milliseconds of work.
SLOT_COST_PER_SECOND = 1000
# Longest time until all of 410 routers know a charge; 3 s for 7 routers.
STALENESS_SECONDS = 45


@dataclasses.dataclass(slots=True, frozen=True)
class FairnessLimits:
    """The parameters of one pool's fairness bounds, and the bounds.

    ``slots`` counts those of the whole pool, ``largest_request`` is the
    highest cost of a request, ``slot_rate`` the cost that a busy slot accrues
    in a second. ``staleness`` is how old the view of another router's charges
    may be, in seconds. ``least_weight`` is the lowest weight of a customer.
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
        """Return the bound on the gap in service between two customers.

        It holds for customers that always have requests waiting. It is one
        largest request in each slot, and the work that all slots do until the
        other routers know a charge.
        """
        rate = self.slots * self.slot_rate
        cost = self.slots * self.largest_request + rate * self.staleness
        return cost / self.least_weight

    @property
    def debt_limit(self) -> float:
        """Return the limit beyond which debt is forgiven.

        It equals the bound on the gap, so debt does not reach it while the
        routers can communicate.
        """
        return self.gap_bound

    @property
    def partition_debt_limit(self) -> float:
        """Return the debt that is kept after a network partition."""
        return self.largest_request / self.least_weight

    def wait_bound(self, customers: int, own_cost: float) -> float:
        """Return the longest wait in seconds for a well-behaved customer.

        ``customers`` is the number of competing customers, ``own_cost`` the
        estimated cost of the customer's own requests that wait or run ahead of
        this one.
        """
        own_seconds = customers * own_cost / (self.slots * self.slot_rate)
        return (
            2 * self.staleness
            + self.largest_request / self.slot_rate
            + own_seconds
        )
