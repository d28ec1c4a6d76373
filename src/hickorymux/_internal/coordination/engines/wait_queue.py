"""In which order waiting requests get their turn.

Load pattern: more arrives than the engines can take, and one customer sends
many times its share. The customer that was served least lately goes first, so
a large customer waits behind a small one and never the other way round; among
the requests of one customer, the one that must begin soonest goes first, and
those that are late already come after those that can still be in time.

Example::

    line.push(demand)
    for demand in line.in_service_order(now):
        ...
    line.remove(demand)
"""

import dataclasses
import functools
import math
from collections.abc import Iterator, Mapping
from typing import Final, final

from hickorymux._internal.coordination.engines.demands import Demand
from hickorymux._internal.coordination.engines.refusal import DispatchRate

# Service counts half after this, so that no customer pays for old service.
HALF_LIFE_SECONDS: Final = 3.0
# Weight of the newest request in the mean cost.
MEAN_COST_WEIGHT: Final = 0.05


@dataclasses.dataclass(slots=True)
class CustomerUsage:
    """What a customer was given lately, and how many of its requests wait."""

    service: float = 0
    waiting: int = 0


@final
class ServiceMeter:
    """What each customer was given lately, in the cost of its requests."""

    __slots__ = ('peer_usage', 'service', 'updated_at')

    def __init__(self) -> None:
        self.service: dict[str, float] = {}
        self.updated_at: dict[str, float] = {}
        self.peer_usage: Mapping[str, CustomerUsage] = {}

    def add(self, customer: str, cost: float, now: float) -> None:
        """Count service that begins now."""
        self.service[customer] = self.own_service(customer, now) + cost
        self.updated_at[customer] = now

    def total_service(self, customer: str, now: float) -> float:
        """Return the service of a customer at all routers."""
        at_peers = self.peer_usage.get(customer)
        own = self.own_service(customer, now)
        return own if at_peers is None else own + at_peers.service

    def must_defer_to_peer(
        self, customer: str, max_lead: float, now: float
    ) -> bool:
        """Return whether a less served customer waits at another router.

        ``slack`` is the difference in service that is borne.
        """
        limit = self.total_service(customer, now) - max_lead
        return any(
            use.waiting
            and other != customer
            and self.total_service(other, now) < limit
            for other, use in self.peer_usage.items()
        )

    def own_service(self, customer: str, now: float) -> float:
        """Return the service at this router, older service counting less."""
        service = self.service.get(customer)
        if service is None:
            return 0
        elapsed = now - self.updated_at[customer]
        return service * math.exp2(-elapsed / HALF_LIFE_SECONDS)


@final
class WaitQueue:
    """The requests that wait for one pool."""

    __slots__ = ('by_customer', 'mean_cost', 'meter', 'queued_cost', 'rate')

    def __init__(self, now: float) -> None:
        self.rate = DispatchRate(now)
        self.mean_cost = 1.0
        self.by_customer: dict[str, list[Demand]] = {}
        self.meter = ServiceMeter()
        self.queued_cost: float = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(demands) for demands in self.by_customer.values())

    def on_dispatched(self, demand: Demand, now: float) -> None:
        """Count a request that got a place."""
        cost = cost_of(demand)
        self.meter.add(demand.customer, cost, now)
        self.mean_cost += MEAN_COST_WEIGHT * (cost - self.mean_cost)

    def push(self, demand: Demand) -> None:
        """Add a request."""
        self.by_customer.setdefault(demand.customer, []).append(demand)
        self.queued_cost += cost_of(demand)

    def remove(self, demand: Demand) -> None:
        """Take a request out, served or not."""
        demands = self.by_customer[demand.customer]
        demands.remove(demand)
        if not demands:
            self.by_customer.pop(demand.customer)
        self.queued_cost -= cost_of(demand)

    def in_service_order(self, now: float) -> Iterator[Demand]:
        """Yield the requests in turn, least served customer first.

        Stop early or call again after each change: the order is as of now.
        """
        customers = sorted(
            self.by_customer,
            key=lambda customer: self.meter.total_service(customer, now),
        )
        by_urgency = functools.partial(_urgency, now=now)
        for customer in customers:
            yield from sorted(self.by_customer[customer], key=by_urgency)

    def next_to_refuse(self, now: float) -> Demand:
        """Return whom to refuse first: the newest of who got most lately.

        Raises ``ValueError`` if nobody waits.
        """
        customer = max(
            self.by_customer,
            key=lambda name: self.meter.total_service(name, now),
        )
        return max(
            self.by_customer[customer],
            key=lambda demand: demand.arrived_at,
        )

    def usage_by_customer(self, now: float) -> dict[str, CustomerUsage]:
        """Return what this router gave to each customer, and who waits."""
        return {
            customer: CustomerUsage(
                self.meter.own_service(customer, now),
                len(self.by_customer.get(customer, ())),
            )
            for customer in self.meter.service.keys() | self.by_customer.keys()
        }

    def all_waiting(self) -> Iterator[Demand]:
        """Yield all requests that wait."""
        for demands in self.by_customer.values():
            yield from demands


def cost_of(demand: Demand) -> float:
    """Return the work of a request in the unit of its pool."""
    cost: float = getattr(demand, 'cost', 1)
    return cost


def _urgency(demand: Demand, now: float) -> tuple[bool, float]:
    is_late = demand.start_deadline <= now
    return is_late, demand.start_deadline
