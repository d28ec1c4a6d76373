"""Measure the memory of a router's state and the time of operations on it."""

import datetime as dt
import io
import itertools
import logging
from collections.abc import Callable, Iterator
from typing import Any

from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.coordination.fair_queue import FairQueue, Ticket
from hickorymux._internal.coordination.membership import Membership
from hickorymux._internal.coordination.membership_messages import Heartbeat
from hickorymux._internal.coordination.slot_home import SlotCoordinator
from hickorymux._internal.coordination.slot_placement import CoordinatorMap
from hickorymux._internal.state.claim_fold import ClaimFold
from hickorymux._internal.state.config_fold import ConfigFold
from hickorymux._internal.state.service_counters import ServiceCounters
from hickorymux._internal.state.tables import Tables
from hickorymux._internal.state.upstream_state import LoadReport, UpstreamStates
from hickorymux._internal.utils.clock import SystemClock
from hickorymux._internal.utils.json_logging import JsonFormatter, JsonHandler
from tools.measure import fixtures, messages
from tools.measure.slopes import Slope, processor_us, retained_bytes

CUSTOMER_SIZES = (16, 360, 3600)
UPSTREAM_SIZES = (30, 120, 430)
TABLE_SIZES = (100, 1000, 12000)
CLAIM_SIZES = (1000, 10_000, 50_000)
TICKETS_PER_CUSTOMER = 2
DEADLINE_SECONDS = 1e12

CLOCK = SystemClock()


def memory_slopes() -> Iterator[Slope]:
    """Yield the memory of each kind of state by its number of rows."""
    kinds: tuple[tuple[str, str, tuple[int, ...], Callable[[int], Any]], ...]
    kinds = (
        ('customer with a queue', 'customers', CUSTOMER_SIZES, build_queue),
        ('table row of an upstream', 'upstreams', TABLE_SIZES, build_fold),
        (
            'upstream at its home',
            'upstreams',
            UPSTREAM_SIZES,
            build_coordinator,
        ),
        ('retained claim', 'claims', CLAIM_SIZES, build_claim_fold),
    )
    for name, size_unit, sizes, build in kinds:
        build(sizes[0])
        points = [
            (size, retained_bytes(_bind_size(build, size))) for size in sizes
        ]
        yield Slope.fit(f'{name}: memory', size_unit, 'octets', points)


def _bind_size(build: Callable[[int], Any], size: int) -> Callable[[], Any]:
    return lambda: build(size)


def processing_slopes() -> Iterator[Slope]:
    """Yield the processor time of recurring operations by the size of the state."""
    yield Slope.fit(
        'queue: enqueue, pick and settle one request',
        'customers',
        'us',
        [(size, queue_us(size)) for size in CUSTOMER_SIZES],
    )
    yield Slope.fit(
        'queue: charge one token',
        'customers',
        'us',
        [(size, charge_us(size)) for size in CUSTOMER_SIZES],
    )
    yield Slope.fit(
        'home: one tick',
        'upstreams',
        'us',
        [(size, coordinator_tick_us(size)) for size in UPSTREAM_SIZES],
    )
    yield Slope.fit(
        'home: one tick by upstreams of the fleet, 29 or less at home',
        'upstreams',
        'us',
        [(size, fleet_tick_us(size)) for size in TABLE_SIZES],
    )
    yield Slope.fit(
        'homes: all worked out again',
        'upstreams',
        'us',
        [(size, coordinator_map_us(size)) for size in TABLE_SIZES],
    )
    yield Slope.fit(
        'home: one load report',
        'upstreams',
        'us',
        [(size, report_us(size)) for size in UPSTREAM_SIZES],
    )
    yield Slope.fit(
        'configuration: fold one change of one upstream',
        'upstreams',
        'us',
        [(size, change_us(size)) for size in TABLE_SIZES],
    )
    yield Slope.fit(
        'membership: one tick and a heartbeat of each peer',
        'routers in the zone',
        'us',
        [(size, membership_us(size)) for size in messages.ZONE_SIZES],
    )
    yield Slope.fit(
        'decision log: one line',
        'lines kept',
        'us',
        [(size, log_line_us(size)) for size in (10, 100, 1000)],
    )


def build_queue(customers: int) -> FairQueue:
    """Return a fair queue in which all customers have waiting requests."""
    pool = fixtures.tables_of(1).pools[fixtures.POOL]
    counters = ServiceCounters.from_config(pool)
    queue = FairQueue.from_config(pool, counters, CLOCK)
    for _ in range(TICKETS_PER_CUSTOMER):
        for customer in fixtures.customer_names(customers):
            queue.enqueue(customer, 100, DEADLINE_SECONDS)
    return queue


def build_fold(upstreams: int) -> tuple[Any, Any]:
    """Return a configuration fold and the tables built from it."""
    fold = messages.config_fold(upstreams)
    return fold, fold.tables


def build_coordinator(upstreams: int) -> SlotCoordinator:
    """Return a slot coordinator alone in its zone, with all load reports."""
    tables = fixtures.tables_of(upstreams)
    coordinator = SlotCoordinator(
        fixtures.members_of_zone(1),
        fixtures.CollectingSender(),
        CLOCK,
        UpstreamStates(),
        lambda: tables,
    )
    coordinator.tick()
    for upstream in coordinator.upstreams():
        coordinator.on_load_report(upstream.name, _report(1))
    return coordinator


def build_claim_fold(claims: int) -> ClaimFold:
    """Return a fold of claims, with 16 claims in each record."""
    fold = ClaimFold()
    wall = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
    for offset in range(claims // 16):
        entries = tuple(
            messages.ClaimEntry(
                (offset * 16 + number).to_bytes(16, 'big'),
                bytes(16),
                bytes(16),
            )
            for number in range(16)
        )
        fold.apply(offset, wall, messages.encode_entries(entries))
    return fold


def queue_us(customers: int) -> float:
    """Return the microseconds to enqueue, pick and settle one request."""
    queue = build_queue(customers)
    names = itertools.cycle(fixtures.customer_names(customers))

    def work() -> None:  # noqa: WPS430 (the work that is timed)
        queue.enqueue(next(names), 100, DEADLINE_SECONDS)
        ticket = queue.pop()
        if ticket is not None:
            queue.settle(ticket, 120)

    return processor_us(work)


def charge_us(customers: int) -> float:
    """Return the microseconds to charge one token."""
    queue = build_queue(customers)
    ticket: Ticket | None = queue.pop()
    if ticket is None:
        return 0
    return processor_us(lambda: queue.charge(ticket, 1))


def coordinator_tick_us(upstreams: int) -> float:
    """Return the microseconds of a tick if the coordinator has all upstreams."""
    return processor_us(build_coordinator(upstreams).tick)


def fleet_tick_us(count: int) -> float:
    """Return the microseconds of a tick if the coordinator has few upstreams.

    The tables hold the upstreams of the whole fleet, and the router shares its
    zone with 14 others.
    """
    tables = fixtures.fleet_tables(count)
    coordinator = SlotCoordinator(
        fixtures.members_of_zone(15),
        fixtures.CollectingSender(),
        CLOCK,
        UpstreamStates(),
        lambda: tables,
    )
    coordinator.tick()
    return processor_us(coordinator.tick)


def coordinator_map_us(count: int) -> float:
    """Return the microseconds to assign all upstreams to coordinators."""
    members = fixtures.members_of_zone(15)
    tables = fixtures.fleet_tables(count)
    return processor_us(lambda: CoordinatorMap(members).refresh(tables))


def report_us(upstreams: int) -> float:
    """Return the microseconds to process one load report."""
    coordinator = build_coordinator(upstreams)
    report_times = iter(range(2, 100_000_000))
    return processor_us(
        lambda: coordinator.on_load_report(
            'engine-00000', _report(next(report_times))
        ),
    )


def read_tables(fold: ConfigFold) -> Tables:
    """Return the tables; accessing them after a change builds them."""
    return fold.tables


def change_us(upstreams: int) -> float:
    """Return the microseconds to apply a change and build its tables."""
    fold = messages.config_fold(upstreams)
    row = fixtures.rows_of(1)[-1]
    payloads = iter(
        messages.encode_change([messages.put_operation(row)], number)
        for number in range(1_000_000, 2_000_000)
    )

    def work() -> None:  # noqa: WPS430 (the work that is timed)
        fold.apply_record(fold.next_offset, next(payloads))
        read_tables(fold)

    return processor_us(work)


def membership_us(routers: int) -> float:
    """Return the microseconds of a tick and of a heartbeat from each peer."""
    rows = messages.heartbeats(routers)
    members = fixtures.members_of_zone(routers).members
    membership = Membership(members[0], CLOCK, lambda *_sent: None)
    heartbeats = [
        Heartbeat(row.router_id, row.incarnation, fixtures.ZONE, row.host, 1)
        for row in rows[1:]
    ]

    def work() -> None:  # noqa: WPS430 (the work that is timed)
        for heartbeat in heartbeats:
            membership.on_message(heartbeat, heartbeat.router_id)
        membership.tick()

    return processor_us(work)


def log_line_us(lines: int) -> float:
    """Return the microseconds to record one decision and log it."""
    logger = logging.getLogger('hickorymux')
    handler = JsonHandler(io.StringIO(), JsonFormatter())
    logger.addHandler(handler)
    logger.setLevel('INFO')
    logger.propagate = False
    decisions = DecisionLog('router-1', CLOCK)
    numbers = iter(range(100_000_000))
    for _ in range(lines):
        decisions.record(str(next(numbers)), 'dispatch', 'reason')
    microseconds = processor_us(
        lambda: decisions.record(
            f'{next(numbers):032}',
            'dispatch',
            'route by model; least served customer took a free slot',
            customer='customer-0001',
            route='route-1',
            pool='pool-1',
            upstream='engine-00001',
            zone='zone-1',
            lease='zone-1-r1/77',
            attempt=1,
            waited_ms=0.2,
        ),
    )
    logger.removeHandler(handler)
    logger.propagate = True
    return microseconds


def _report(reported_at: int) -> LoadReport:
    return LoadReport('instance', 'warm', 8, 1, 3, 0, (), reported_at)
