"""Dispatches waiting requests to free slots of a pool.

A request waits in the pool's fair queue until this router has a free slot. The
slot goes to the customer that has received the least service for its weight.
The lease holder of this router is informed of the demand; it leases slots from
the slot coordinators.
"""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Final, final

from hickorymux._internal.coordination.fair_queue import (
    WaitingCustomer,
    FairQueue,
    Ticket,
)
from hickorymux._internal.coordination.slot_holder import Slot, SlotHolder
from hickorymux._internal.coordination.slot_messages import HeadCustomer
from hickorymux._internal.exceptions import (
    NoCapacity,
    RouteNotFound,
    TooManyRequests,
)
from hickorymux._internal.state.service_counters import ServiceCounters
from hickorymux._internal.state.tables import Pool, Tables
from hickorymux._internal.utils.clock import Clock

# Waiting customers that are reported to slot coordinators.
MAX_HEADS: Final = 4
RETRY_AFTER_SECONDS: Final = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """A request's demand for a slot of a pool.

    ``cost_hint`` is the expected cost, or 0 when it is unknown. ``deadline`` is
    in seconds on the monotonic clock. ``preferred`` names the upstreams that
    the request would rather run at.
    """

    pool: str
    customer: str
    cost_hint: float
    deadline: float
    preferred: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Placement:
    """A request and the slot that it occupies until ``Scheduler.finish``."""

    ticket: Ticket
    slot: Slot
    waited_seconds: float


@dataclasses.dataclass(slots=True)
class _Waiter:
    """The future of a waiting request, and its preferred upstreams."""

    future: 'asyncio.Future[Slot]'
    preferred: tuple[str, ...]


@final
class Scheduler:
    """Assigns the slots of all pools to the requests at this router.

    ``waiting_by_customer`` counts the waiting requests by pool and customer.
    """

    __slots__ = (
        'clock',
        'counters',
        'lease_holder',
        'max_waiting_per_customer',
        'queues',
        'waiters',
        'waiting_by_customer',
    )

    def __init__(
        self,
        lease_holder: SlotHolder,
        clock: Clock,
        max_waiting_per_customer: int,
    ) -> None:
        self.lease_holder = lease_holder
        self.clock = clock
        self.max_waiting_per_customer = max_waiting_per_customer
        self.queues: dict[str, FairQueue] = {}
        self.counters: dict[str, ServiceCounters] = {}
        self.waiters: dict[Ticket, _Waiter] = {}
        self.waiting_by_customer: dict[tuple[str, str], int] = {}

    def use_tables(self, tables: Tables) -> None:
        """Add queues for new pools and update those of known pools.

        The queue of a removed pool is kept while requests wait in it.
        """
        for name, pool in tables.pools.items():
            queue = self.queues.get(name)
            if queue is None:
                self._add_pool(name, pool)
                continue
            queue.configure(pool)
        for name in self.queues.keys() - tables.pools.keys():
            if not self.queues[name].backlog:
                self.queues.pop(name)
                self.counters.pop(name)

    async def acquire(self, demand: Demand) -> Placement:
        """Wait for a slot and return the placement.

        The caller must end the placement by ``finish``. Raises
        ``RouteNotFound`` for an unknown pool, ``TooManyRequests`` when the
        customer has too many requests waiting here, and ``NoCapacity`` at the
        deadline. In all cases the request was not run.
        """
        queue = self._queue_of(demand.pool)
        self._check_waiting_limit(demand)
        ticket = queue.enqueue(
            demand.customer,
            demand.cost_hint,
            demand.deadline,
        )
        self._count_waiting(demand, 1)
        future = asyncio.get_running_loop().create_future()
        self.waiters[ticket] = _Waiter(future, demand.preferred)
        try:
            slot = await self._wait(demand, future)
        except BaseException:
            self._abandon(demand.pool, ticket, future)
            raise
        finally:
            self._count_waiting(demand, -1)
        return Placement(
            ticket,
            slot,
            self.clock.monotonic() - ticket.enqueued_at,
        )

    def charge(self, placement: Placement, cost: float) -> None:
        """Charge the cost of work done so far for a running request."""
        self.queues[placement.slot.pool].charge(placement.ticket, cost)

    def finish(
        self,
        placement: Placement,
        cost: float,
        *,
        is_ended: bool,
    ) -> None:
        """End a placement with its final cost and free the slot.

        ``is_ended`` is false when the upstream may still be working on the
        request.
        """
        self.queues[placement.slot.pool].settle(placement.ticket, cost)
        self.lease_holder.release(placement.slot, is_ended=is_ended)
        self.dispatch(placement.slot.pool)

    def dispatch(self, pool: str) -> None:
        """Assign free slots to waiting requests, then report the demand."""
        queue = self.queues.get(pool)
        if queue is None:
            return
        while queue.backlog:
            if not self._dispatch_next(pool, queue):
                break
        self._report_demand(pool, queue)

    def corrected_virtual_time(self, pool: str, head: HeadCustomer) -> float:
        """Return the virtual time of a customer that waits at a peer.

        The slot coordinator ranks customers by it. A router that lost its
        counters in a restart reports a value that is too low; it is corrected
        by this router's own view of the customer.
        """
        queue = self.queues.get(pool)
        if queue is None:
            return head.counter
        return queue.corrected_virtual_time(
            WaitingCustomer(head.customer, head.counter, head.waiting),
        )

    def backlog(self, pool: str) -> int:
        """Return how many requests wait for a pool at this router."""
        queue = self.queues.get(pool)
        return queue.backlog if queue else 0

    def _add_pool(self, name: str, pool: Pool) -> None:
        counters = ServiceCounters.from_config(pool)
        self.counters[name] = counters
        self.queues[name] = FairQueue.from_config(pool, counters, self.clock)

    def _queue_of(self, pool: str) -> FairQueue:
        queue = self.queues.get(pool)
        if queue is None:
            raise RouteNotFound(f'pool {pool} is not configured')
        return queue

    def _check_waiting_limit(self, demand: Demand) -> None:
        key = (demand.pool, demand.customer)
        waiting = self.waiting_by_customer.get(key, 0)
        if waiting >= self.max_waiting_per_customer:
            raise TooManyRequests(
                f'customer has {waiting} requests waiting for {demand.pool}',
                retry_after=RETRY_AFTER_SECONDS,
            )

    def _count_waiting(self, demand: Demand, change: int) -> None:
        key = (demand.pool, demand.customer)
        waiting = self.waiting_by_customer.get(key, 0) + change
        if waiting:
            self.waiting_by_customer[key] = waiting
        else:
            self.waiting_by_customer.pop(key, None)

    async def _wait(
        self,
        demand: Demand,
        future: 'asyncio.Future[Slot]',
    ) -> Slot:
        self.dispatch(demand.pool)
        if future.done():
            return future.result()
        seconds = demand.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(seconds, 0)):
                return await future
        except TimeoutError:
            raise NoCapacity(
                f'no slot of pool {demand.pool} became free in time',
                retry_after=RETRY_AFTER_SECONDS,
            ) from None

    def _abandon(
        self,
        pool: str,
        ticket: Ticket,
        future: 'asyncio.Future[Slot]',
    ) -> None:
        """Remove a request from the queue; release a slot it just got."""
        self.waiters.pop(ticket, None)
        queue = self.queues[pool]
        queue.remove(ticket)
        if future.done() and not future.cancelled():
            queue.settle(ticket, 0)
            self.lease_holder.release(future.result())
        self.dispatch(pool)

    def _dispatch_next(self, pool: str, queue: FairQueue) -> bool:
        slot = self.lease_holder.acquire(pool, self.clock.monotonic())
        if slot is None:
            return False
        ticket = queue.pop()
        waiter = self.waiters.pop(ticket, None) if ticket else None
        if waiter is None or waiter.future.done():
            self.lease_holder.release(slot)
            return False
        waiter.future.set_result(slot)
        return True

    def _report_demand(self, pool: str, queue: FairQueue) -> None:
        heads: Sequence[HeadCustomer] = ()
        if queue.backlog:
            heads = [
                HeadCustomer(head.customer, head.virtual_time, head.waiting)
                for head in queue.waiting_customers(MAX_HEADS)
            ]
        self.lease_holder.set_demand(pool, heads, queue.backlog)
