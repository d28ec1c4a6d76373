"""Choose which router gets a free slot, and from which one to revoke a slot."""

import dataclasses
from collections.abc import Sequence

from hickorymux._internal.coordination.slot_messages import (
    HeadCustomer,
    PoolDemand,
)

# Least lead in virtual time for which a slot is revoked.
FAIRNESS_HYSTERESIS = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class RouterShare:
    """How many slots of a pool one router holds and how many it can use.

    ``head`` is the router's waiting customer with the lowest virtual time.
    """

    router_id: str
    pool: str
    target: int
    held: int
    head: HeadCustomer
    is_urgent: bool = True

    @classmethod
    def from_demand(
        cls, router_id: str, demand: PoolDemand, held: int
    ) -> 'RouterShare':
        """Build a share from a router's demand and its held slots."""
        waiting = [head for head in demand.heads if head.waiting > 0]
        lowest = min(
            waiting, key=lambda head: head.counter, default=HeadCustomer()
        )
        return cls(
            router_id,
            demand.pool,
            demand.target,
            held,
            lowest,
            demand.is_urgent,
        )

    @property
    def is_short(self) -> bool:
        """Return whether the router can use more slots than it holds."""
        return self.target > self.held


def pick_least_served(shares: Sequence[RouterShare]) -> RouterShare | None:
    """Return the share with the lowest virtual time among those short of slots.

    Return none if no router is short of slots.
    """
    return min(
        (share for share in shares if share.is_short),
        key=lambda share: (share.head.counter, share.held, share.router_id),
        default=None,
    )


def pick_most_served(
    shares: Sequence[RouterShare], waiting: RouterShare
) -> RouterShare | None:
    """Return the share from which to revoke a slot for a waiting router.

    Among the routers that hold a slot it is the one with the highest virtual
    time. Return none if no virtual time exceeds that of ``waiting`` by more
    than ``FAIRNESS_HYSTERESIS``.
    """
    threshold = waiting.head.counter + FAIRNESS_HYSTERESIS
    return max(
        (
            share
            for share in shares
            if share.held > 0 and share.head.counter > threshold
        ),
        key=lambda share: (share.head.counter, share.router_id),
        default=None,
    )
