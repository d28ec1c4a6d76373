"""Orders the requests that wait for a pool, fairly among customers.

Load pattern: more requests arrive than the engines can take, and one customer
sends many times its share. The customer with the least recent service goes
first, so a large customer waits behind a small one and never the other way
round. Among the requests of one customer, the one with the earliest start
deadline goes first; those that are already late come last. Requests that resume
a stream go before all others, as their callers hold a part of an answer that is
worth nothing without the rest. A stream that breaks off brings only one of them.

Example::

    queue.push(demand)
    for demand in queue.in_service_order(now):
        ...
    queue.remove(demand)
"""

import dataclasses
import functools
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, final

from hickorymux._internal.coordination.engines.demands import Demand
from hickorymux._internal.coordination.engines.refusal import DispatchRate

# The weight of past service halves in this time, so that customers are not
# held back for service that they received long ago.
HALF_LIFE_SECONDS: Final = 1.5
NEGLIGIBLE_COST: Final = 0.01


@dataclasses.dataclass(slots=True)
class CustomerUsage:
    """Recent service of a customer, and its recent demand that was not met.

    Both are in the cost unit of the pool, with older requests discounted.
    ``unmet`` covers the requests that wait and those that were refused, whose
    callers are likely to return.
    """

    service: float = 0
    unmet: float = 0


@final
class RecentCosts:
    """The cost of recent requests by customer.

    Older requests are discounted exponentially.
    """

    __slots__ = ('costs', 'updated_at')

    def __init__(self) -> None:
        self.costs: dict[str, float] = {}
        self.updated_at: dict[str, float] = {}

    def add(self, customer: str, cost: float, now: float) -> None:
        """Add the cost of a request."""
        self.costs[customer] = self.total(customer, now) + cost
        self.updated_at[customer] = now

    def total(self, customer: str, now: float) -> float:
        """Return the discounted cost of all requests of a customer."""
        cost = self.costs.get(customer)
        if cost is None:
            return 0
        elapsed = now - self.updated_at[customer]
        return cost * math.exp2(-elapsed / HALF_LIFE_SECONDS)

    def prune(self, now: float) -> None:
        """Forget the customers whose requests no longer count for anything."""
        for customer in tuple(self.costs):
            if self.total(customer, now) < NEGLIGIBLE_COST:
                self.costs.pop(customer)
                self.updated_at.pop(customer)

    def sum_total(self, now: float) -> float:
        """Return the discounted cost of all requests."""
        return sum(self.total(customer, now) for customer in self.costs)


@final
class ServiceMeter:
    """The recent service and unmet demand of each customer of a pool.

    ``peer_usage`` is what the peers reported, summed up by customer.
    ``fair_service`` is the most service that any customer is due, by max-min
    fairness over the customers' demand at all routers.
    """

    __slots__ = ('fair_service', 'peer_usage', 'refused', 'served')

    def __init__(self) -> None:
        self.served = RecentCosts()
        self.refused = RecentCosts()
        self.peer_usage: Mapping[str, CustomerUsage] = {}
        self.fair_service = math.inf

    def total_service(self, customer: str, now: float) -> float:
        """Return the recent service of a customer at all routers."""
        at_peers = self.peer_usage.get(customer)
        own = self.served.total(customer, now)
        return own if at_peers is None else own + at_peers.service

    def due_share(self, customer: str, now: float) -> float:
        """Return which part of its service a customer is due, at most 1.

        It is below 1 for a customer that has got more than its fair share
        while others have demand that is not met.
        """
        service = self.total_service(customer, now)
        if service <= self.fair_service:
            return 1
        return self.fair_service / service

    def update_peer_usage(
        self,
        peer_usage: Mapping[str, CustomerUsage],
        own_usage: Mapping[str, CustomerUsage],
    ) -> None:
        """Replace the usage at the peers, and derive the fair service."""
        self.peer_usage = peer_usage
        totals = [
            _add(own_usage.get(customer), peer_usage.get(customer))
            for customer in own_usage.keys() | peer_usage.keys()
        ]
        self.fair_service = max_min_service(totals)


@final
class WaitQueue:
    """The requests that wait for one pool.

    ``queued_cost`` is the total cost of the waiting requests, and ``rate`` the
    dispatch rate.
    """

    __slots__ = ('by_customer', 'meter', 'queued_cost', 'rate')

    def __init__(self, now: float) -> None:
        self.rate = DispatchRate(now)
        self.by_customer: dict[str, list[Demand]] = {}
        self.meter = ServiceMeter()
        self.queued_cost: float = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(demands) for demands in self.by_customer.values())

    def on_dispatched(self, demand: Demand, now: float) -> None:
        """Record the cost of a request that got a reservation."""
        self.meter.served.add(demand.customer, cost_of(demand), now)

    def on_refused(self, demand: Demand, now: float) -> None:
        """Record a request that left the queue without a reservation."""
        self.meter.refused.add(demand.customer, cost_of(demand), now)

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

        Those that resume a stream come before all others.
        The order is as of the call, so call again after each change to the
        queue or to the service counted.
        """
        customers = sorted(
            self.by_customer,
            key=lambda customer: self.meter.total_service(customer, now),
        )
        by_urgency = functools.partial(_urgency, now=now)
        in_order = [
            demand
            for customer in customers
            for demand in sorted(self.by_customer[customer], key=by_urgency)
        ]
        yield from (each for each in in_order if each.resumes_stream)
        yield from (each for each in in_order if not each.resumes_stream)

    def next_to_refuse(self, now: float) -> Demand:
        """Return the newest waiting request of the most-served customer.

        It is the first to be refused under overload. Requests that resume a
        stream are refused only when no others are left. Raises ``ValueError``
        if the queue is empty.
        """
        refusable = {
            customer: [each for each in demands if not each.resumes_stream]
            for customer, demands in self.by_customer.items()
        }
        if not any(refusable.values()):
            refusable = self.by_customer
        customer = max(
            (name for name, demands in refusable.items() if demands),
            key=lambda name: self.meter.total_service(name, now),
        )
        return max(refusable[customer], key=lambda demand: demand.arrived_at)

    def usage_by_customer(self, now: float) -> dict[str, CustomerUsage]:
        """Return the usage of each customer at this router alone."""
        customers = self.meter.served.costs.keys() | self.by_customer.keys()
        return {
            customer: CustomerUsage(
                self.meter.served.total(customer, now),
                self._unmet_demand(customer, now),
            )
            for customer in customers | self.meter.refused.costs.keys()
        }

    def _unmet_demand(self, customer: str, now: float) -> float:
        waiting = map(cost_of, self.by_customer.get(customer, ()))
        return self.meter.refused.total(customer, now) + sum(waiting)

    def all_waiting(self) -> Iterator[Demand]:
        """Yield all waiting requests, in no particular order."""
        for demands in self.by_customer.values():
            yield from demands


def cost_of(demand: Demand) -> float:
    """Return the cost of a request: tokens for model engines, 1 otherwise."""
    cost: float = getattr(demand, 'cost', 1)
    return cost


def max_min_service(usage: Iterable[CustomerUsage]) -> float:
    """Return the service that no customer is due more of.

    The service that all customers got together is divided by max-min
    fairness: a customer with less demand than an even part of it is due all of
    its demand, and the others share the rest evenly. Returns infinity without
    customers.
    """
    rows = list(usage)
    return max_min_share(
        [each.service + each.unmet for each in rows],
        sum(each.service for each in rows),
    )


def max_min_share(demands: Iterable[float], total: float) -> float:
    """Return the part of a total that no customer gets more of.

    The total is divided by max-min fairness among customers with these
    demands. Returns infinity if it exceeds all demands together.
    """
    ascending = sorted(demands)
    left = total
    for index, demand in enumerate(ascending):
        even_part = left / (len(ascending) - index)
        if demand >= even_part:
            return even_part
        left -= demand
    return math.inf


def due_part(
    own_usage: Mapping[str, CustomerUsage],
    peer_usage: Mapping[str, CustomerUsage],
) -> float:
    """Return which part of the service that all customers are due is due here.

    A customer is due its service at its routers in proportion to its demand
    there. The parts of all routers sum up to 1. Returns 0 without any demand.
    """
    totals = {
        customer: _add(own_usage.get(customer), peer_usage.get(customer))
        for customer in own_usage.keys() | peer_usage.keys()
    }
    fair = max_min_service(totals.values())
    due_anywhere: float = 0
    due_here: float = 0
    for customer, total in totals.items():
        demand = total.service + total.unmet
        if demand <= 0:
            continue
        own = _add(own_usage.get(customer))
        due = min(demand, fair)
        due_anywhere += due
        due_here += due * (own.service + own.unmet) / demand
    return due_here / due_anywhere if due_anywhere else 0


def _add(*usage: CustomerUsage | None) -> CustomerUsage:
    known = [each for each in usage if each is not None]
    return CustomerUsage(
        sum(each.service for each in known),
        sum(each.unmet for each in known),
    )


def _urgency(demand: Demand, now: float) -> tuple[bool, float]:
    is_late = demand.start_deadline <= now
    return is_late, demand.start_deadline
