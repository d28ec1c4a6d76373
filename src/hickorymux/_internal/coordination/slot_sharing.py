"""Whom a free slot helps most, and who gives one up."""

import dataclasses
from collections.abc import Sequence

from hickorymux._internal.coordination.slot_messages import (
    HeadCustomer,
    PoolDemand,
)

FAIRNESS_HYSTERESIS = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class RouterShare:
    """What a router holds of a pool, what it can use and who waits there."""

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
        """Build a share from the demand that a router sent."""
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
    """Return the share whose customer is furthest behind, if any is short."""
    return min(
        (share for share in shares if share.is_short),
        key=lambda share: (share.head.counter, share.held, share.router_id),
        default=None,
    )


def pick_most_served(
    shares: Sequence[RouterShare], waiting: RouterShare
) -> RouterShare | None:
    """Return the share that gives up a slot for a router that waits.

    It is the one whose own lowest customer is ahead of the waiting one by
    more than the hysteresis, and which holds at least one slot.
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
