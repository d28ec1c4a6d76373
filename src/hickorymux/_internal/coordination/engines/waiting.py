"""In which order waiting requests get their turn.

Load pattern: more arrives than the engines can take, and one customer sends
many times its share. The customer that was served least lately goes first, so
a large customer waits behind a small one and never the other way round; among
the requests of one customer, the one that must begin soonest goes first, and
those that are late already come after those that can still be in time.

Example::

    line.push(demand)
    for demand in line.in_turn(now):
        ...
    line.remove(demand)
"""

import dataclasses
import functools
import math
from collections.abc import Iterator, Mapping
from typing import Final, final

from hickorymux._internal.coordination.engines.demands import Demand
from hickorymux._internal.coordination.engines.refusal import DrainRate

# Service counts half after this, so that no customer pays for old service.
HALF_LIFE_SECONDS: Final = 3.0
# Weight of the newest request in the mean cost.
MEAN_GAIN: Final = 0.05


@dataclasses.dataclass(slots=True)
class CustomerUse:
    """What a customer was given lately, and how many of its requests wait."""

    given: float = 0
    waiting: int = 0


@final
class ServiceMeter:
    """What each customer was given lately, in the cost of its requests."""

    __slots__ = ('elsewhere', 'given', 'updated_at')

    def __init__(self) -> None:
        self.given: dict[str, float] = {}
        self.updated_at: dict[str, float] = {}
        self.elsewhere: Mapping[str, CustomerUse] = {}

    def add(self, customer: str, cost: float, now: float) -> None:
        """Count service that begins now."""
        self.given[customer] = self.own(customer, now) + cost
        self.updated_at[customer] = now

    def recent(self, customer: str, now: float) -> float:
        """Return the service of a customer at all routers."""
        others = self.elsewhere.get(customer)
        own = self.own(customer, now)
        return own if others is None else own + others.given

    def must_yield(self, customer: str, slack: float, now: float) -> bool:
        """Return whether a less served customer waits at another router.

        ``slack`` is the difference in service that is borne.
        """
        bound = self.recent(customer, now) - slack
        return any(
            use.waiting
            and other != customer
            and self.recent(other, now) < bound
            for other, use in self.elsewhere.items()
        )

    def own(self, customer: str, now: float) -> float:
        """Return the service at this router, older service counting less."""
        given = self.given.get(customer)
        if given is None:
            return 0
        age = now - self.updated_at[customer]
        return given * math.exp2(-age / HALF_LIFE_SECONDS)


@final
class WaitingLine:
    """The requests that wait for one pool."""

    __slots__ = ('by_customer', 'mean_cost', 'meter', 'queued_cost', 'rate')

    def __init__(self, now: float) -> None:
        self.rate = DrainRate(now)
        self.mean_cost = 1.0
        self.by_customer: dict[str, list[Demand]] = {}
        self.meter = ServiceMeter()
        self.queued_cost: float = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(demands) for demands in self.by_customer.values())

    def on_seated(self, demand: Demand, now: float) -> None:
        """Count a request that got a place."""
        cost = cost_of(demand)
        self.meter.add(demand.customer, cost, now)
        self.mean_cost += MEAN_GAIN * (cost - self.mean_cost)

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

    def in_turn(self, now: float) -> Iterator[Demand]:
        """Yield the requests in turn, least served customer first.

        Stop early or call again after each change: the order is as of now.
        """
        customers = sorted(
            self.by_customer,
            key=lambda customer: self.meter.recent(customer, now),
        )
        by_urgency = functools.partial(_urgency, now=now)
        for customer in customers:
            yield from sorted(self.by_customer[customer], key=by_urgency)

    def most_served(self, now: float) -> Demand:
        """Return whom to refuse first: the newest of who got most lately.

        Raises ``ValueError`` if nobody waits.
        """
        customer = max(
            self.by_customer,
            key=lambda name: self.meter.recent(name, now),
        )
        return max(
            self.by_customer[customer],
            key=lambda demand: demand.arrived_at,
        )

    def uses(self, now: float) -> dict[str, CustomerUse]:
        """Return what this router gave to each customer, and who waits."""
        return {
            customer: CustomerUse(
                self.meter.own(customer, now),
                len(self.by_customer.get(customer, ())),
            )
            for customer in self.meter.given.keys() | self.by_customer.keys()
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
    is_late = demand.due_at <= now
    return is_late, demand.due_at
