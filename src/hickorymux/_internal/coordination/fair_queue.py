"""The fair queue of one pool at one router.

The next request is the oldest one of the customer with the lowest virtual
time, which is its service received divided by its weight. Requests in flight
count by their estimated cost until it is charged, so that a customer can't
get ahead by starting many requests at once. When a customer returns from
idle, its virtual time is raised to the lowest one among the customers that
wait anywhere in the fleet. ``docs/design/fairness.md`` derives the bound on
the difference in service.
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

# A customer is idle once it had no waiting requests for longer than this.
IDLE_GRACE_SECONDS = 4.0
# A cost hint counts as at least the customer's mean cost divided by this.
MAX_HINT_DISCOUNT = 4.0
# Weight of the newest request in the exponential moving average.
MEAN_COST_SMOOTHING = 0.1
# Estimated cost when there is neither a hint nor a mean cost.
INITIAL_COST = 100.0


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits or runs.

    ``deadline`` and ``enqueued_at`` are on the monotonic clock. ``charged`` and
    ``uncharged_estimate`` are costs, not divided by the weight.
    """

    customer: str
    cost_hint: float
    deadline: float
    enqueued_at: float
    charged: float = 0
    uncharged_estimate: float = 0
    is_waiting: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class WaitingCustomer:
    """A customer with waiting requests, as reported to a slot coordinator.

    ``waiting`` is the number of requests.
    """

    customer: str
    virtual_time: float
    waiting: int


@dataclasses.dataclass(slots=True)
class CustomerQueue:
    """The waiting requests of one customer, and its cost history.

    ``waiting`` and ``in_flight`` count requests, ``idle_since`` is on the
    monotonic clock. ``tickets`` may hold removed requests, which are skipped.
    ``heap_entry_id`` identifies the valid entry in the queue's heap.
    ``returned_unsynced`` is set when the customer returned from idle while
    the counters were not synced.
    """

    account: Account
    tickets: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque,
    )
    waiting: int = 0
    in_flight: int = 0
    idle_since: float = -math.inf
    mean_cost: float = 0
    heap_entry_id: int = 0
    returned_unsynced: bool = False

    def estimate_cost(self, cost_hint: float, largest: float) -> float:
        """Return the expected cost of a request, from its hint or the mean.

        A hint far below the customer's mean is raised, as it would let the
        customer start many requests at once.
        """
        if not cost_hint:
            return self.mean_cost or min(INITIAL_COST, largest)
        least = self.mean_cost / MAX_HINT_DISCOUNT
        return min(max(cost_hint, least), largest)

    def update_mean_cost(self, cost: float) -> None:
        """Add the final cost of a request to the moving average."""
        if self.mean_cost:
            self.mean_cost += MEAN_COST_SMOOTHING * (cost - self.mean_cost)
        else:
            self.mean_cost = cost

    def is_idle(self, now: float) -> bool:
        """Return whether the customer is idle at a monotonic time.

        It is idle when it has had no waiting requests, here or elsewhere, for
        longer than the grace period.
        """
        if self.account.waits:
            return False
        return now - self.idle_since > IDLE_GRACE_SECONDS


@final
class FairQueue:
    """Orders the waiting requests of one pool by service received.

    ``heap`` holds a projected virtual time, an entry id and a customer; stale
    entries are dropped when they come to the top. ``lowest_elsewhere`` is the
    lowest virtual time among customers that wait at other routers.

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
        'heap',
        'heap_entry_ids',
        'limits',
        'lowest_elsewhere',
        'pool',
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
        self.heap_entry_ids = itertools.count(1)
        self.backlog = 0
        self.lowest_elsewhere = math.inf

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
        """Use the slots and weights of a new configuration."""
        self.pool = pool
        self.limits = FairnessLimits.from_pool(pool)
        self.counters.configure(pool)

    def enqueue(
        self,
        customer: str,
        cost_hint: float,
        deadline: float,
    ) -> Ticket:
        """Add a request and return its ticket.

        ``cost_hint`` is the expected cost, or 0 when it is unknown;
        ``deadline`` is on the monotonic clock.
        """
        now = self.clock.monotonic()
        queue = self._customer_queue(customer)
        if queue.is_idle(now):
            self.counters.raise_virtual_time(
                queue.account, self._lowest_waiting_time()
            )
            queue.returned_unsynced = not self.counters.is_synced
        ticket = Ticket(customer, cost_hint, deadline, now)
        queue.tickets.append(ticket)
        queue.waiting += 1
        self.backlog += 1
        if queue.waiting == 1:
            self._set_waits_here(queue, waits=True)
            self._push(queue)
        return ticket

    def pop(self) -> Ticket | None:
        """Remove and return the next request, or None when none waits.

        It is the oldest request of the customer with the lowest projected
        virtual time.
        """
        queue = self._lowest_queue()
        if queue is None:
            return None
        least = min(queue.account.virtual_time, self.lowest_elsewhere)
        self.counters.raise_floor(least)
        ticket = self._first_ticket(queue)
        self._stop_waiting(queue, ticket)
        self._add_estimate(queue, ticket)
        if queue.waiting:
            self._push(queue)
        return ticket

    def charge(self, ticket: Ticket, cost: float) -> None:
        """Charge the cost of work done for a running request.

        The cost replaces part of the request's estimate.
        """
        account = self.customers[ticket.customer].account
        expected = min(cost, ticket.uncharged_estimate)
        ticket.uncharged_estimate -= expected
        ticket.charged += cost
        account.uncharged_estimate -= expected / account.weight
        account.served += cost / account.weight
        account.revision = self.counters.revision

    def settle(self, ticket: Ticket, actual: float) -> None:
        """End a running request and charge the rest of its final cost.

        What was already charged stays charged, even if ``actual`` is lower.
        """
        queue = self.customers[ticket.customer]
        if actual > ticket.charged:
            self.charge(ticket, actual - ticket.charged)
        account = queue.account
        account.uncharged_estimate -= ticket.uncharged_estimate / account.weight
        ticket.uncharged_estimate = 0
        queue.in_flight -= 1
        if not queue.in_flight:
            account.uncharged_estimate = 0
        queue.update_mean_cost(ticket.charged)
        if queue.waiting:
            self._push(queue)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting request; return False when it no longer waits."""
        if not ticket.is_waiting:
            return False
        queue = self.customers[ticket.customer]
        self._stop_waiting(queue, ticket)
        if not queue.waiting:
            queue.tickets.clear()
        return True

    def waiting_customers(self, limit: int) -> list[WaitingCustomer]:
        """Return the waiting customers with the lowest virtual times.

        They are in ascending order of projected virtual time.
        """
        waiting = (queue for queue in self.customers.values() if queue.waiting)
        lowest = heapq.nsmallest(
            limit,
            waiting,
            key=lambda queue: queue.account.projected_virtual_time,
        )
        return [
            WaitingCustomer(
                queue.account.customer,
                queue.account.projected_virtual_time,
                queue.waiting,
            )
            for queue in lowest
        ]

    def corrected_virtual_time(self, reported: WaitingCustomer) -> float:
        """Return the virtual time of a customer that waits at a peer.

        The slot coordinator compares customers by it. It is the larger of the
        reported value and the one known here: both are lower bounds, so the
        larger one is closer to the true value. A router that lost its counters
        in a restart thereby gains no advantage.
        """
        account = self.counters.account(reported.customer)
        known = account.virtual_time
        if not account.waits:
            known = max(known, self._lowest_waiting_time())
        return max(known, reported.virtual_time)

    def apply_merged_counters(self) -> None:
        """Apply counters merged from other routers to the queue.

        Call this after each exchange. Forgives the waiting customers' debt
        beyond the limit and updates ``lowest_elsewhere``.
        """
        waiting = self._waiting_accounts()
        self._limit_debt(waiting, self.limits.debt_limit)
        self.lowest_elsewhere = min(
            (one.virtual_time for one in waiting if one.waits_elsewhere),
            default=math.inf,
        )

    def forgive_partition_debt(self) -> None:
        """Forgive debt from a network partition beyond one request.

        Otherwise customers of one side could wait until all debt that arose
        during the partition is paid off.
        """
        self._limit_debt(
            self._waiting_accounts(), self.limits.partition_debt_limit
        )
        self.apply_merged_counters()

    def lift_returned_customers(self) -> None:
        """Raise customers that returned while the counters were not synced.

        They keep a credit of one largest request: after a restart of this
        router, they may have been waiting all along.
        """
        self.apply_merged_counters()
        least = self.lowest_elsewhere
        if math.isinf(least):
            least = self.counters.floor
        for queue in self.customers.values():
            account = queue.account
            if queue.returned_unsynced and not account.waits_elsewhere:
                credit = self.limits.partition_debt_limit
                self.counters.raise_virtual_time(account, least - credit)
            queue.returned_unsynced = False

    def _waiting_accounts(self) -> list[Account]:
        accounts = self.counters.accounts.values()
        return [account for account in accounts if account.waits]

    def _limit_debt(self, waiting: list[Account], limit: float) -> None:
        if waiting and self.counters.is_synced:
            furthest_ahead = max(account.virtual_time for account in waiting)
            self._raise_all(waiting, furthest_ahead - limit)

    def _raise_all(self, accounts: Iterable[Account], minimum: float) -> None:
        for account in accounts:
            self.counters.raise_virtual_time(account, minimum)

    def _customer_queue(self, customer: str) -> CustomerQueue:
        queue = self.customers.get(customer)
        if queue is None:
            queue = CustomerQueue(self.counters.account(customer))
            self.customers[customer] = queue
        return queue

    def _lowest_waiting_time(self) -> float:
        lowest = self._lowest_queue()
        here = lowest.account.virtual_time if lowest else math.inf
        least = min(here, self.lowest_elsewhere)
        return self.counters.floor if math.isinf(least) else least

    def _push(self, queue: CustomerQueue) -> None:
        queue.heap_entry_id = next(self.heap_entry_ids)
        account = queue.account
        heapq.heappush(
            self.heap,
            (
                account.projected_virtual_time,
                queue.heap_entry_id,
                account.customer,
            ),
        )

    def _lowest_queue(self) -> CustomerQueue | None:
        # Virtual times rise without an update of the heap. An entry at the
        # top that is too low is pushed down with the current value.
        while self.heap:
            order, entry, customer = self.heap[0]
            queue = self.customers[customer]
            if entry != queue.heap_entry_id or not queue.waiting:
                heapq.heappop(self.heap)
            elif queue.account.projected_virtual_time > order:
                updated = (
                    queue.account.projected_virtual_time,
                    entry,
                    customer,
                )
                heapq.heapreplace(self.heap, updated)
            else:
                return queue
        return None

    def _first_ticket(self, queue: CustomerQueue) -> Ticket:
        ticket = queue.tickets.popleft()
        while not ticket.is_waiting:
            ticket = queue.tickets.popleft()
        return ticket

    def _stop_waiting(self, queue: CustomerQueue, ticket: Ticket) -> None:
        ticket.is_waiting = False
        queue.waiting -= 1
        self.backlog -= 1
        if not queue.waiting:
            queue.idle_since = self.clock.monotonic()
            self._set_waits_here(queue, waits=False)

    def _set_waits_here(self, queue: CustomerQueue, *, waits: bool) -> None:
        queue.account.waits_here = waits
        queue.account.revision = self.counters.revision

    def _add_estimate(self, queue: CustomerQueue, ticket: Ticket) -> None:
        ticket.uncharged_estimate = queue.estimate_cost(
            ticket.cost_hint,
            self.limits.largest_request,
        )
        queue.in_flight += 1
        queue.account.uncharged_estimate += (
            ticket.uncharged_estimate / queue.account.weight
        )
