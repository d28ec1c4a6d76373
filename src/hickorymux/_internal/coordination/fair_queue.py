"""The fair queue of one pool at one router.

The next request is the oldest one of the customer with the lowest virtual
counter. Work in flight counts by an estimate until it is charged, so a burst
of starts does not overtake other customers. A customer that returns from idle
is lifted to the lowest counter among the customers that wait anywhere in the
fleet. ``docs/design/fairness.md`` derives the bound on the gap.
"""

import collections
import dataclasses
import heapq
import itertools
import math
from collections.abc import Iterable
from typing import Self, final

from hickorymux._internal.coordination.fairness_limits import FairnessLimits
from hickorymux._internal.state.service_counters import (
    Account,
    ServiceCounters,
)
from hickorymux._internal.state.tables import Pool
from hickorymux._internal.utils.clock import Clock

# A customer whose queue was empty for no longer than this is not idle.
IDLE_GRACE_SECONDS = 4.0
# An estimate is at least the customer's mean cost divided by this.
HINT_SPREAD = 4.0
MEAN_COST_GAIN = 0.1
INITIAL_COST = 100.0


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits or runs; ``deadline`` is on the monotonic clock.

    ``charged`` and ``provisional`` are costs, not divided by the weight.
    """

    customer: str
    cost_hint: float
    deadline: float
    enqueued_at: float
    charged: float = 0
    provisional: float = 0
    is_waiting: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class CustomerHead:
    """A waiting customer, as a slot request shows it to a home."""

    customer: str
    virtual_counter: float
    waiting: int


@dataclasses.dataclass(slots=True)
class CustomerQueue:
    """The waiting requests of one customer; ``entry`` is its heap entry.

    ``is_unchecked`` is set when it returned from idle while service elsewhere
    was unknown.
    """

    account: Account
    tickets: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque,
    )
    waiting: int = 0
    in_flight: int = 0
    idle_since: float = -math.inf
    mean_cost: float = 0
    entry: int = 0
    is_unchecked: bool = False

    def estimate(self, cost_hint: float, largest: float) -> float:
        """Return the expected cost of a request, from its hint or the mean.

        A hint far below the customer's mean is raised, as it would let the
        customer start many requests at once.
        """
        if not cost_hint:
            return self.mean_cost or min(INITIAL_COST, largest)
        least = self.mean_cost / HINT_SPREAD
        return min(max(cost_hint, least), largest)

    def learn(self, cost: float) -> None:
        """Take the final cost of a request into the mean."""
        if self.mean_cost:
            self.mean_cost += MEAN_COST_GAIN * (cost - self.mean_cost)
        else:
            self.mean_cost = cost

    def is_idle(self, now: float) -> bool:
        """Return whether no request waited for longer than the grace."""
        if self.account.waits:
            return False
        return now - self.idle_since > IDLE_GRACE_SECONDS


@final
class FairQueue:
    """Orders the waiting requests of one pool by service received.

    Example::

        queue = FairQueue.from_config(pool, counters, clock)
        ticket = queue.enqueue('kitchen', cost_hint=200, deadline=now + 30)
        started = queue.pop()
        queue.charge(started, 1)  # once for each token
        queue.settle(started, actual=180)
    """

    __slots__ = (
        'backlog',
        'clock',
        'counters',
        'customers',
        'entries',
        'heap',
        'limits',
        'pool',
        'waits_elsewhere_least',
    )

    def __init__(
        self,
        pool: Pool,
        counters: ServiceCounters,
        clock: Clock,
        limits: FairnessLimits,
    ) -> None:
        self.pool = pool
        self.limits = limits
        self.counters = counters
        self.clock = clock
        self.customers: dict[str, CustomerQueue] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.entries = itertools.count(1)
        self.backlog = 0
        self.waits_elsewhere_least = math.inf

    @classmethod
    def from_config(
        cls,
        pool: Pool,
        counters: ServiceCounters,
        clock: Clock,
        limits: FairnessLimits | None = None,
    ) -> Self:
        """Return an empty queue for a pool over its counters.

        ``limits`` is derived from the pool when it is not given.
        """
        limits = limits or FairnessLimits.from_pool(pool)
        return cls(pool, counters, clock, limits)

    def configure(self, pool: Pool) -> None:
        """Take the slots and weights of a new configuration."""
        self.pool = pool
        self.limits = FairnessLimits.from_pool(pool)
        self.counters.configure(pool)

    def enqueue(
        self,
        customer: str,
        cost_hint: float,
        deadline: float,
    ) -> Ticket:
        """Add a request; ``cost_hint`` is 0 when nothing is known."""
        now = self.clock.monotonic()
        queue = self._customer(customer)
        if queue.is_idle(now):
            self.counters.raise_to(queue.account, self._least_waiting())
            queue.is_unchecked = not self.counters.is_synced
        ticket = Ticket(customer, cost_hint, deadline, now)
        queue.tickets.append(ticket)
        queue.waiting += 1
        self.backlog += 1
        if queue.waiting == 1:
            self._set_waits(queue, waits=True)
            self._push(queue)
        return ticket

    def pop(self) -> Ticket | None:
        """Take the first request of the customer with the lowest counter."""
        queue = self._lowest()
        if queue is None:
            return None
        least = min(queue.account.counter, self.waits_elsewhere_least)
        self.counters.raise_floor(least)
        ticket = self._first_ticket(queue)
        self._leave(queue, ticket)
        self._start(queue, ticket)
        if queue.waiting:
            self._push(queue)
        return ticket

    def charge(self, ticket: Ticket, cost: float) -> None:
        """Count work done for a request that runs, such as one token."""
        account = self.customers[ticket.customer].account
        expected = min(cost, ticket.provisional)
        ticket.provisional -= expected
        ticket.charged += cost
        account.provisional -= expected / account.weight
        account.served += cost / account.weight
        account.revision = self.counters.revision

    def settle(self, ticket: Ticket, actual: float) -> None:
        """End a request with its final cost; charges never go down."""
        queue = self.customers[ticket.customer]
        if actual > ticket.charged:
            self.charge(ticket, actual - ticket.charged)
        account = queue.account
        account.provisional -= ticket.provisional / account.weight
        ticket.provisional = 0
        queue.in_flight -= 1
        if not queue.in_flight:
            account.provisional = 0
        queue.learn(ticket.charged)
        if queue.waiting:
            self._push(queue)

    def remove(self, ticket: Ticket) -> bool:
        """Drop a waiting request; return False when it no longer waits."""
        if not ticket.is_waiting:
            return False
        queue = self.customers[ticket.customer]
        self._leave(queue, ticket)
        if not queue.waiting:
            queue.tickets.clear()
        return True

    def heads(self, limit: int) -> list[CustomerHead]:
        """Return the waiting customers with the lowest counters, in order."""
        waiting = (queue for queue in self.customers.values() if queue.waiting)
        lowest = heapq.nsmallest(
            limit,
            waiting,
            key=lambda queue: queue.account.order,
        )
        return [
            CustomerHead(
                queue.account.customer,
                queue.account.order,
                queue.waiting,
            )
            for queue in lowest
        ]

    def rank(self, head: CustomerHead) -> float:
        """Return the counter by which a home compares another router's head.

        Both views are lower bounds, so the larger one is nearer to the truth.
        A router that restarted with no memory thereby wins no advantage.
        """
        account = self.counters.account(head.customer)
        known = account.counter
        if not account.waits:
            known = max(known, self._least_waiting())
        return max(known, head.virtual_counter)

    def refresh(self) -> None:
        """Take merged counters into account; called after each exchange.

        No waiting customer stays further behind the one that is furthest
        ahead than the limit on debt: what goes beyond is forgiven.
        """
        waiting = self._waiting()
        self._forgive(waiting, self.limits.debt_limit)
        self.waits_elsewhere_least = min(
            (one.counter for one in waiting if one.waits_elsewhere),
            default=math.inf,
        )

    def rejoin(self) -> None:
        """Forgive debt from a network partition, but for one request."""
        self._forgive(self._waiting(), self.limits.rejoin_limit)
        self.refresh()

    def lift_returned(self) -> None:
        """Lift customers that returned while service elsewhere was unknown.

        They keep a credit of one largest request: the router may have
        restarted, and its customers have waited all the time.
        """
        self.refresh()
        least = self.waits_elsewhere_least
        if math.isinf(least):
            least = self.counters.floor
        for queue in self.customers.values():
            account = queue.account
            if queue.is_unchecked and not account.waits_elsewhere:
                kept = self.limits.rejoin_limit
                self.counters.raise_to(account, least - kept)
            queue.is_unchecked = False

    def _waiting(self) -> list[Account]:
        accounts = self.counters.accounts.values()
        return [account for account in accounts if account.waits]

    def _forgive(self, waiting: list[Account], limit: float) -> None:
        if waiting and self.counters.is_synced:
            ahead = max(account.counter for account in waiting)
            self._lift_all(waiting, ahead - limit)

    def _lift_all(self, accounts: Iterable[Account], counter: float) -> None:
        for account in accounts:
            self.counters.raise_to(account, counter)

    def _customer(self, customer: str) -> CustomerQueue:
        queue = self.customers.get(customer)
        if queue is None:
            queue = CustomerQueue(self.counters.account(customer))
            self.customers[customer] = queue
        return queue

    def _least_waiting(self) -> float:
        lowest = self._lowest()
        here = lowest.account.counter if lowest else math.inf
        least = min(here, self.waits_elsewhere_least)
        return self.counters.floor if math.isinf(least) else least

    def _push(self, queue: CustomerQueue) -> None:
        queue.entry = next(self.entries)
        account = queue.account
        heapq.heappush(
            self.heap,
            (account.order, queue.entry, account.customer),
        )

    def _lowest(self) -> CustomerQueue | None:
        # Counters rise without touching the heap; an entry that is found to
        # be too low is put back with the present counter.
        while self.heap:
            order, entry, customer = self.heap[0]
            queue = self.customers[customer]
            if entry != queue.entry or not queue.waiting:
                heapq.heappop(self.heap)
            elif queue.account.order > order:
                present = (queue.account.order, entry, customer)
                heapq.heapreplace(self.heap, present)
            else:
                return queue
        return None

    def _first_ticket(self, queue: CustomerQueue) -> Ticket:
        ticket = queue.tickets.popleft()
        while not ticket.is_waiting:
            ticket = queue.tickets.popleft()
        return ticket

    def _leave(self, queue: CustomerQueue, ticket: Ticket) -> None:
        ticket.is_waiting = False
        queue.waiting -= 1
        self.backlog -= 1
        if not queue.waiting:
            queue.idle_since = self.clock.monotonic()
            self._set_waits(queue, waits=False)

    def _set_waits(self, queue: CustomerQueue, *, waits: bool) -> None:
        queue.account.waits_here = waits
        queue.account.revision = self.counters.revision

    def _start(self, queue: CustomerQueue, ticket: Ticket) -> None:
        ticket.provisional = queue.estimate(
            ticket.cost_hint,
            self.limits.largest_request,
        )
        queue.in_flight += 1
        queue.account.provisional += ticket.provisional / queue.account.weight
