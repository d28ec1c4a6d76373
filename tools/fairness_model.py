"""Simulation of fair queueing across routers, in one process.

The fair queues and counter exchanges are the production classes. The clock,
the network, the membership and the upstreams' slots are simulated. A free slot
goes to the router that the policy under test prefers. That router starts a
request from its queue, and the request is charged while it runs.

Costs and service are in the same unit, for example tokens.
"""

import collections
import dataclasses
import datetime as dt
import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence
from typing import Any, final

from hickorymux._internal.coordination.counter_exchange import CounterExchange
from hickorymux._internal.coordination.fair_queue import FairQueue, Ticket
from hickorymux._internal.coordination.fairness_limits import FairnessLimits
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.coordination.service_link import (
    MAX_MESSAGE_BYTES,
    MESSAGE_OVERHEAD_BYTES,
)
from hickorymux._internal.state.service_counters import ServiceCounters
from hickorymux._internal.state.tables import Pool, PoolKind, Upstream

SAME_ZONE_TIMEOUT_SECONDS = 2.5
OTHER_ZONE_TIMEOUT_SECONDS = 10.0
MESSAGE_LATENCY_SECONDS = 0.001
# Size of one customer's row in an exchange message.
ROW_BYTES = 16
# One sample is kept for each charge interval, so this is two minutes.
HISTORY_SAMPLES = 600
# Largest service lost to rounding: a figure is rounded down by each of the
# three routers that it passes.
MAX_ROUNDING_UNITS = 30
CHARGE_INTERVAL_SECONDS = 0.2
TICK_INTERVAL_SECONDS = 0.5
START_UNIX_SECONDS = 1_700_000_000.0
MS_PER_SECOND = 1000

Event = tuple[float, int, Callable[[], None]]


@final
class SimulatedClock:
    """A clock with scheduled events; ``run`` moves it from event to event."""

    def __init__(self) -> None:
        self.now = START_UNIX_SECONDS
        self.events: list[Event] = []
        self.sequence_numbers = itertools.count()

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def wall(self) -> dt.datetime:
        """Return the simulated date and time in UTC."""
        return dt.datetime.fromtimestamp(self.now, dt.UTC)

    async def sleep(self, seconds: float) -> None:
        """Raise an error: the simulation calls ``tick`` of the exchanges itself."""
        raise NotImplementedError

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action to run once after a delay."""
        event = (self.now + seconds, next(self.sequence_numbers), action)
        heapq.heappush(self.events, event)

    def every(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action to run periodically, first after one period."""
        self.after(seconds, lambda: self._repeat(seconds, action))

    def _repeat(self, seconds: float, action: Callable[[], None]) -> None:
        action()
        self.every(seconds, action)

    def run(self, seconds: float) -> None:
        """Advance the clock and run the events that are due on the way."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[2]()
        self.now = end


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """The requests of one customer.

    ``routers`` are the ids of the routers that the customer calls.
    ``mean_cost`` scales the heavy-tailed distribution of costs. ``rate`` is in
    requests a second at each of the routers, or None for queues that are never
    empty. ``Fleet.service_gap`` compares only customers with
    ``counts_in_gap``, since the bound on it does not hold for customers whose
    queues are often empty.
    """

    customer: str
    routers: tuple[str, ...]
    mean_cost: float
    rate: float | None = None
    counts_in_gap: bool = True


@dataclasses.dataclass(slots=True)
class Settings:
    """The size of the simulated fleet, and its costs, weights and policy.

    ``zones`` has the router ids of each zone. ``slots`` counts all slots,
    spread evenly over the zones, and ``slot_rate`` is the cost that a busy slot
    processes in a second. Cost hints differ from the true cost by up to the
    factor ``hint_error`` in either direction. ``queue_limit`` is the most
    requests that a customer may have waiting at a router.

    ``policy`` is one of:

    - ``fair``: fair queueing with exchange of the counters;
    - ``no-exchange``: fair queueing by each router's own counters;
    - ``round-robin``: the customer that was served longest ago goes first;
    - ``fifo``: the request that has waited longest goes first.
    """

    loads: Sequence[Load]
    zones: Sequence[Sequence[str]]
    seed: int = 1
    slots: int = 45
    slot_rate: float = 100
    least_cost: float = 20
    largest_cost: float = 2000
    hint_error: float = 4
    queue_limit: int = 300
    policy: str = 'fair'
    bytes_per_second: int = 2000
    weights: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def staleness(self) -> float:
        """Return the longest time until all routers know a charge, in seconds.

        A charge waits for a tick at its own router and at two zone delegates.
        The byte budget of a delegate can make it need several ticks to send on
        all of its links.
        """
        rows = len(self.loads) * ROW_BYTES
        message = min(MESSAGE_OVERHEAD_BYTES + rows, MAX_MESSAGE_BYTES)
        routers = max(len(zone) for zone in self.zones)
        links = len(self.zones) - 1 + routers - 1
        bytes_per_tick = self.bytes_per_second * TICK_INTERVAL_SECONDS
        ticks = math.ceil(links * message / bytes_per_tick)
        return (1 + 2 * ticks) * TICK_INTERVAL_SECONDS + CHARGE_INTERVAL_SECONDS

    def limits(self) -> FairnessLimits:
        """Return the fairness limits for these settings."""
        return FairnessLimits(
            slots=self.slots,
            largest_request=self.largest_cost,
            slot_rate=self.slot_rate,
            staleness=self.staleness,
            least_weight=min((1.0, *self.weights.values())),
        )


@final
class Slot:
    """An upstream's slot; ``zone`` is an index into ``Settings.zones``."""

    def __init__(self, zone: int) -> None:
        self.zone = zone
        self.request: Request | None = None


@dataclasses.dataclass(slots=True)
class Request:
    """A running request with its true cost and the cost charged so far."""

    router: 'Router'
    ticket: Ticket
    cost: float
    charged_cost: float = 0


@final
class Router:
    """One incarnation of a router.

    It also implements ``MemberView`` and ``PeerSender`` for its exchange.
    ``last_heartbeats`` has the time and the sender of the last heartbeat from
    each peer. ``costs`` has the true costs of waiting requests by the ``id`` of
    their tickets.
    """

    def __init__(self, fleet: 'Fleet', member: Member) -> None:
        self.fleet = fleet
        self.member = member
        self.last_heartbeats: dict[str, tuple[float, Member]] = {}
        settings = fleet.settings
        self.queue = FairQueue.from_config(
            fleet.pool,
            ServiceCounters.from_config(fleet.pool),
            fleet.time,
            settings.limits(),
        )
        self.exchange = CounterExchange.from_config(
            self,
            self,
            fleet.time,
            bytes_per_second=settings.bytes_per_second,
            interval=TICK_INTERVAL_SECONDS,
        )
        self.exchange.add_pool(self.queue)
        self.costs: dict[int, float] = {}

    @property
    def myself(self) -> Member:
        """Return this router."""
        return self.member

    def live(self) -> Sequence[Member]:
        """Return this router and the peers whose heartbeats are recent."""
        now = self.fleet.time.now
        live_members = [
            member
            for received_at, member in self.last_heartbeats.values()
            if now - received_at < self.timeout(member)
        ]
        live_members.append(self.member)
        return sorted(live_members, key=lambda member: member.router_id)

    def timeout(self, member: Member) -> float:
        """Return the seconds after which a silent peer is no longer live."""
        if member.zone == self.member.zone:
            return SAME_ZONE_TIMEOUT_SECONDS
        return OTHER_ZONE_TIMEOUT_SECONDS

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        """Return the live routers of a zone."""
        return [member for member in self.live() if member.zone == zone]

    def send(self, router_id: str, message: Any) -> bool:
        """Deliver a message after the latency; return false if unreachable."""
        if not self.fleet.reaches(self.member.router_id, router_id):
            return False
        self.fleet.time.after(
            MESSAGE_LATENCY_SECONDS,
            lambda: self.fleet.deliver(self, router_id, message),
        )
        return True

    def send_heartbeat(self) -> None:
        """Record this router as live at all routers that it can reach."""
        now = self.fleet.time.now
        for other in self.fleet.routers.values():
            if other is not self and self.fleet.reaches(
                self.member.router_id,
                other.member.router_id,
            ):
                other.last_heartbeats[self.member.router_id] = (
                    now,
                    self.member,
                )


@final
class Fleet:
    """The simulated routers, network, customers and upstream slots.

    ``service`` is the true service of each customer, as cost divided by
    weight, and ``history`` has recent copies of it with their times. ``waits``
    has the seconds that each customer's started requests waited. Tests and
    measurements set ``cut_zone`` to the name of a zone to disconnect it from
    the others, and add routers that they stop for some time to
    ``stopped_routers``.

    Example::

        fleet = Fleet(Settings(loads, zones))
        fleet.time.run(60)
        assert fleet.service_gap() < fleet.settings.limits().gap_bound
    """

    def __init__(
        self,
        settings: Settings,
        *,
        has_heartbeats: bool = True,
    ) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.time = SimulatedClock()
        self.zone_by_router = {
            router_id: f'zone-{number}'
            for number, zone in enumerate(settings.zones)
            for router_id in zone
        }
        upstream = Upstream('u', 'zone-0', 'u:1', settings.slots)
        self.pool = Pool('p', PoolKind.model, (upstream,), settings.weights)
        self.routers: dict[str, Router] = {}
        self.stopped_routers: set[str] = set()
        self.cut_zone: str | None = None
        self.slots = [
            Slot(number % len(settings.zones))
            for number in range(settings.slots)
        ]
        self.service: dict[str, float] = collections.defaultdict(float)
        self.history: collections.deque[tuple[float, dict[str, float]]]
        self.history = collections.deque(maxlen=HISTORY_SAMPLES)
        self.waits: dict[str, list[float]] = collections.defaultdict(list)
        self.last_start_numbers: dict[str, int] = collections.defaultdict(int)
        self.start_numbers = itertools.count(1)
        for router_id in self.zone_by_router:
            self.start_router(router_id)
        self.time.every(CHARGE_INTERVAL_SECONDS, self.advance_requests)
        if has_heartbeats:
            self.time.every(TICK_INTERVAL_SECONDS, self.send_heartbeats)
        for load in settings.loads:
            if load.rate is not None:
                self.add_arrival(load)

    def start_router(self, router_id: str) -> None:
        """Start a new incarnation of a router, with empty queues and counters."""
        incarnation = int(self.time.now * MS_PER_SECOND)
        zone = self.zone_by_router[router_id]
        member = Member(router_id, incarnation, zone, '127.0.0.1', 1)
        router = Router(self, member)
        self.routers[router_id] = router
        self.time.after(
            self.rng.random() * TICK_INTERVAL_SECONDS,
            lambda: self.tick(router),
        )
        self.fill_backlogs()

    def stop_router(self, router_id: str) -> None:
        """Crash a router; its waiting and running requests are lost."""
        router = self.routers.pop(router_id)
        for slot in self.slots:
            if slot.request is not None and slot.request.router is router:
                slot.request = None

    def reaches(self, sender: str, receiver: str) -> bool:
        """Return whether messages from the sender arrive at the receiver."""
        if receiver not in self.routers:
            return False
        zones = {self.zone_by_router[sender], self.zone_by_router[receiver]}
        return len(zones) == 1 or self.cut_zone not in zones

    def deliver(self, sender: Router, router_id: str, message: Any) -> None:
        """Pass a message to the receiver, unless it has stopped."""
        receiver = self.routers.get(router_id)
        if receiver is not None:
            receiver.exchange.on_message(sender.member.router_id, message)

    def tick(self, router: Router) -> None:
        """Run a router's exchange and schedule its next tick."""
        if self.routers.get(router.member.router_id) is not router:
            return
        if self.settings.policy == 'fair':
            router.exchange.tick()
        self.time.after(TICK_INTERVAL_SECONDS, lambda: self.tick(router))

    def send_heartbeats(self) -> None:
        """Send heartbeats from all routers."""
        for router in self.routers.values():
            router.send_heartbeat()

    def draw_cost(self, load: Load) -> float:
        """Return a random cost from a bounded Pareto distribution."""
        unbounded_cost = load.mean_cost * self.rng.paretovariate(1.5) / 3
        least, largest = self.settings.least_cost, self.settings.largest_cost
        return min(max(unbounded_cost, least), largest)

    def enqueue(self, load: Load, router: Router) -> None:
        """Enqueue one request whose cost hint has a random error."""
        cost = self.draw_cost(load)
        log_error = math.log(self.settings.hint_error)
        hint_factor = math.exp(self.rng.uniform(-log_error, log_error))
        ticket = router.queue.enqueue(
            load.customer, cost * hint_factor, math.inf
        )
        router.costs[id(ticket)] = cost

    def add_arrival(self, load: Load) -> None:
        """Add a request at a random router and schedule the next arrival."""
        assert load.rate is not None
        router = self.routers.get(self.rng.choice(load.routers))
        if router is not None:
            queue = router.queue.customers.get(load.customer)
            limit = self.settings.queue_limit
            if queue is None or queue.waiting < limit:
                self.enqueue(load, router)
                self.dispatch()
        rate = load.rate * len(load.routers)
        interval = self.rng.expovariate(rate)
        self.time.after(interval, lambda: self.add_arrival(load))

    def fill_backlogs(self) -> None:
        """Refill the queues of all customers that are always backlogged."""
        for load in self.settings.loads:
            if load.rate is not None:
                continue
            for router_id in load.routers:
                router = self.routers.get(router_id)
                if router is not None:
                    self.fill_backlog(load, router)

    def fill_backlog(self, load: Load, router: Router) -> None:
        """Enqueue requests until two of a customer wait at a router."""
        queue = router.queue.customers.get(load.customer)
        waiting = queue.waiting if queue else 0
        for _ in range(2 - waiting):
            self.enqueue(load, router)

    def advance_requests(self) -> None:
        """Charge the running requests for one interval and refill free slots."""
        step = self.settings.slot_rate * CHARGE_INTERVAL_SECONDS
        for slot in self.slots:
            request = slot.request
            if request is None:
                continue
            cost = min(step, request.cost - request.charged_cost)
            request.charged_cost += cost
            ticket = request.ticket
            weight = self.settings.weights.get(ticket.customer, 1.0)
            self.service[ticket.customer] += cost / weight
            request.router.queue.charge(ticket, cost)
            if request.charged_cost >= request.cost:
                request.router.queue.settle(ticket, request.cost)
                slot.request = None
        self.history.append((self.time.now, dict(self.service)))
        self.dispatch()

    def dispatch(self) -> None:
        """Start requests on all free slots, while any that fit are waiting."""
        for slot in self.slots:
            if slot.request is None:
                self.start_request(slot)

    def start_request(self, slot: Slot) -> None:
        """Start the request that the policy prefers on a slot.

        Only routers that the slot's coordinator can reach are considered.
        """
        coordinator = self.coordinator_of(slot)
        if coordinator is None:
            return
        candidates = [
            (self.dispatch_key(coordinator, router), router.member.router_id)
            for router in self.routers.values()
            if router.queue.backlog
            and self.reaches(
                coordinator.member.router_id, router.member.router_id
            )
        ]
        if not candidates:
            return
        router = self.routers[min(candidates)[1]]
        ticket = self.pop_request(router)
        cost = router.costs.pop(id(ticket))
        waited = self.time.now - ticket.enqueued_at
        self.waits[ticket.customer].append(waited)
        self.last_start_numbers[ticket.customer] = next(self.start_numbers)
        slot.request = Request(router, ticket, cost)
        for load in self.settings.loads:
            if load.customer == ticket.customer and load.rate is None:
                self.fill_backlog(load, router)

    def coordinator_of(self, slot: Slot) -> Router | None:
        """Return the router that coordinates a slot: the first of its zone."""
        for router_id in self.settings.zones[slot.zone]:
            router = self.routers.get(router_id)
            if router is not None:
                return router
        return None

    def dispatch_key(self, coordinator: Router, router: Router) -> float:
        """Return the sort key of a router's best request; the lowest wins."""
        if self.settings.policy == 'fifo':
            return self.first_ticket(router, self.enqueue_time).enqueued_at
        if self.settings.policy == 'round-robin':
            return self.last_start_number(
                self.first_ticket(router, self.last_start_number)
            )
        head = router.queue.waiting_customers(1)[0]
        if self.settings.policy == 'no-exchange':
            return head.virtual_time
        return coordinator.queue.corrected_virtual_time(head)

    def pop_request(self, router: Router) -> Ticket:
        """Remove the request that the policy prefers from a router's queue."""
        queue = router.queue
        if self.settings.policy == 'fifo':
            return self.remove_ticket(
                router, self.first_ticket(router, self.enqueue_time)
            )
        if self.settings.policy == 'round-robin':
            return self.remove_ticket(
                router, self.first_ticket(router, self.last_start_number)
            )
        ticket = queue.pop()
        assert ticket is not None
        return ticket

    def first_ticket(
        self,
        router: Router,
        key: Callable[[Ticket], float],
    ) -> Ticket:
        """Return the waiting request with the lowest key at a router."""
        first_tickets = (
            next(ticket for ticket in queue.tickets if ticket.is_waiting)
            for queue in router.queue.customers.values()
            if queue.waiting
        )
        return min(first_tickets, key=key)

    def enqueue_time(self, ticket: Ticket) -> float:
        """Return the sort key of the ``fifo`` policy."""
        return ticket.enqueued_at

    def last_start_number(self, ticket: Ticket) -> float:
        """Return the sort key of the ``round-robin`` policy.

        It is the number of the customer's latest start in the whole fleet.
        """
        return self.last_start_numbers[ticket.customer]

    def remove_ticket(self, router: Router, ticket: Ticket) -> Ticket:
        """Move a request from waiting to running in its queue."""
        queue = router.queue.customers[ticket.customer]
        queue.tickets.remove(ticket)
        queue.waiting -= 1
        router.queue.backlog -= 1
        queue.in_flight += 1
        return ticket

    def max_staleness(self) -> float:
        """Return the staleness in seconds of the stalest view of any router."""
        return max(
            self.view_staleness(router, customer)
            for router in self.routers.values()
            for customer in self.service
        )

    def view_staleness(self, router: Router, customer: str) -> float:
        """Return the staleness in seconds of a router's view of one customer.

        It is infinite if the view is older than the history.
        """
        known_service = (
            router.queue.counters.total_service(customer) + MAX_ROUNDING_UNITS
        )
        for sampled_at, service in reversed(self.history):
            if service.get(customer, 0) <= known_service:
                return self.time.now - sampled_at
        return math.inf

    def view_excess(self) -> float:
        """Return the most by which a router's view exceeds the true service.

        Rounding down keeps it at or below zero; a positive value is a fault.
        """
        return max(
            router.queue.counters.total_service(customer) - service
            for router in self.routers.values()
            for customer, service in self.service.items()
        )

    def service_gap(self) -> float:
        """Return the difference between the largest and the smallest service.

        Customers all of whose routers were stopped for some time are excluded.
        """
        compared = [
            self.service[load.customer]
            for load in self.settings.loads
            if load.counts_in_gap
            and not self.stopped_routers.issuperset(load.routers)
        ]
        return max(compared) - min(compared)
