"""Orders the requests that wait for a pool, fairly among customers.

Load pattern: more requests arrive than the engines can take, and one customer
sends many times its share. The customer with the least recent service goes
first, so a large customer waits behind a small one and never the other way
round. Among the requests of one customer, the one with the earliest start
deadline goes first; those that are already late come last.

Example::

    queue.push(demand)
    for demand in queue.in_service_order(now):
        ...
    queue.remove(demand)
"""

import dataclasses
import functools
import math
from collections.abc import Iterator, Mapping
from typing import Final, final

from hickorymux._internal.coordination.engines.demands import Demand
from hickorymux._internal.coordination.engines.refusal import DispatchRate

# The weight of past service halves in this time, so that customers are not
# held back for service that they received long ago.
HALF_LIFE_SECONDS: Final = 3.0
# Weight of the newest request in the moving average of the cost.
MEAN_COST_WEIGHT: Final = 0.05


@dataclasses.dataclass(slots=True)
class CustomerUsage:
    """Recent service of a customer, and how many of its requests wait.

    ``service`` is in the cost unit of the pool, with older service discounted.
    """

    service: float = 0
    waiting: int = 0


@final
class ServiceMeter:
    """The recent service of each customer, in the cost of its requests.

    ``peer_usage`` is what the peers reported, summed up by customer.
    """

    __slots__ = ('peer_usage', 'service', 'updated_at')

    def __init__(self) -> None:
        self.service: dict[str, float] = {}
        self.updated_at: dict[str, float] = {}
        self.peer_usage: Mapping[str, CustomerUsage] = {}

    def add(self, customer: str, cost: float, now: float) -> None:
        """Add the cost of a request that is dispatched now."""
        self.service[customer] = self.own_service(customer, now) + cost
        self.updated_at[customer] = now

    def total_service(self, customer: str, now: float) -> float:
        """Return the recent service of a customer at all routers."""
        at_peers = self.peer_usage.get(customer)
        own = self.own_service(customer, now)
        return own if at_peers is None else own + at_peers.service

    def must_defer_to_peer(
        self, customer: str, max_lead: float, now: float
    ) -> bool:
        """Return whether a less-served customer waits at a peer.

        A customer may be ahead of another one by up to ``max_lead`` of service
        before it must defer.
        """
        limit = self.total_service(customer, now) - max_lead
        return any(
            use.waiting
            and other != customer
            and self.total_service(other, now) < limit
            for other, use in self.peer_usage.items()
        )

    def own_service(self, customer: str, now: float) -> float:
        """Return the recent service of a customer at this router.

        Older service is discounted exponentially.
        """
        service = self.service.get(customer)
        if service is None:
            return 0
        elapsed = now - self.updated_at[customer]
        return service * math.exp2(-elapsed / HALF_LIFE_SECONDS)


@final
class WaitQueue:
    """The requests that wait for one pool.

    ``queued_cost`` is the total cost of the waiting requests, ``mean_cost`` a
    moving average over dispatched ones, and ``rate`` the dispatch rate.
    """

    __slots__ = ('by_customer', 'mean_cost', 'meter', 'queued_cost', 'rate')

    def __init__(self, now: float) -> None:
        self.rate = DispatchRate(now)
        self.mean_cost = 1.0
        self.by_customer: dict[str, list[Demand]] = {}
        self.meter = ServiceMeter()
        self.queued_cost: float = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(demands) for demands in self.by_customer.values())

    def on_dispatched(self, demand: Demand, now: float) -> None:
        """Record the cost of a request that got a reservation."""
        cost = cost_of(demand)
        self.meter.add(demand.customer, cost, now)
        self.mean_cost += MEAN_COST_WEIGHT * (cost - self.mean_cost)

    def push(self, demand: Demand) -> None:
        """Add a request to the queue."""
        self.by_customer.setdefault(demand.customer, []).append(demand)
        self.queued_cost += cost_of(demand)

    def remove(self, demand: Demand) -> None:
        """Remove a request from the queue, whether served or not."""
        demands = self.by_customer[demand.customer]
        demands.remove(demand)
        if not demands:
            self.by_customer.pop(demand.customer)
        self.queued_cost -= cost_of(demand)

    def in_service_order(self, now: float) -> Iterator[Demand]:
        """Yield the waiting requests, least-served customer first.

        The order is as of the call, so call again after each change to the
        queue or to the service counted.
        """
        customers = sorted(
            self.by_customer,
            key=lambda customer: self.meter.total_service(customer, now),
        )
        by_urgency = functools.partial(_urgency, now=now)
        for customer in customers:
            yield from sorted(self.by_customer[customer], key=by_urgency)

    def next_to_refuse(self, now: float) -> Demand:
        """Return the newest waiting request of the most-served customer.

        It is the first to be refused under overload. Raises ``ValueError`` if
        the queue is empty.
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
        """Return recent service and waiting requests by customer.

        Only this router's are counted.
        """
        return {
            customer: CustomerUsage(
                self.meter.own_service(customer, now),
                len(self.by_customer.get(customer, ())),
            )
            for customer in self.meter.service.keys() | self.by_customer.keys()
        }

    def all_waiting(self) -> Iterator[Demand]:
        """Yield all waiting requests, in no particular order."""
        for demands in self.by_customer.values():
            yield from demands


def cost_of(demand: Demand) -> float:
    """Return the cost of a request: tokens for model engines, 1 otherwise."""
    cost: float = getattr(demand, 'cost', 1)
    return cost


def _urgency(demand: Demand, now: float) -> tuple[bool, float]:
    is_late = demand.start_deadline <= now
    return is_late, demand.start_deadline
