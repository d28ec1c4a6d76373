"""Replays the load of a router that one customer's callers flood."""

import collections
import heapq

import pytest

from hickorymux._internal.coordination.admission import (
    MAX_LAG_SECONDS,
    MAX_RETRY_SECONDS,
    TARGET_LAG_SECONDS,
    Admission,
)
from hickorymux._internal.transport.loop_lag import (
    LoopLag,
)
from tests.lib.fake_clock import FakeClock

# Processor time of a request that is taken, of each event of its answer, and of
# a refusal.
TAKE_SECONDS = 0.002
EVENT_SECONDS = 0.0001
REFUSE_SECONDS = 0.0001
EVENTS = 20
EVENT_GAP_SECONDS = 0.05
REQUEST_SECONDS = TAKE_SECONDS + EVENTS * EVENT_SECONDS
FLOOD_PER_SECOND = 1000
SMALL_PER_SECOND = 8
SMALL = [f'small-{number}' for number in range(4)]


class ModelledRouter:
    """One processor that serves requests and refuses others, as it lags."""

    def __init__(self):
        self.clock = FakeClock()
        self.lag = LoopLag(self.clock)
        self.lag.record_probe()
        self.admission = Admission()
        self.events = []
        self.taken = collections.Counter()
        self.refused = collections.Counter()
        self.longest = 0.0

    def run(self, arrivals):
        """Serve requests, each a time and a customer, in iterations."""
        pending = collections.deque(sorted(arrivals))
        while pending:
            started_at = self.clock.monotonic()
            if started_at >= self.lag.next_probe_at:
                self.lag.record_probe()
            self.relay_events(started_at)
            while pending and pending[0][0] <= started_at:
                self.handle(pending.popleft()[1])
            spent = self.clock.monotonic() - started_at
            self.longest = max(self.longest, spent)
            self.clock.advance(max(0.001, 0.002 - spent))

    def relay_events(self, now):
        while self.events and self.events[0] <= now:
            heapq.heappop(self.events)
            self.clock.advance(EVENT_SECONDS)

    def handle(self, customer):
        now = self.clock.monotonic()
        if self.admission.is_refused(customer, self.lag.seconds, now):
            self.admission.on_refused(customer, now)
            self.refused[customer] += 1
            self.clock.advance(REFUSE_SECONDS)
            return
        self.admission.on_taken(customer, now)
        self.taken[customer] += 1
        self.clock.advance(TAKE_SECONDS)
        for number in range(EVENTS):
            heapq.heappush(self.events, now + 0.1 + number * EVENT_GAP_SECONDS)


def arrivals(customer, per_second, start, seconds):
    for number in range(int(per_second * seconds)):
        yield start + number / per_second, customer


def small_arrivals(start, seconds):
    for customer in SMALL:
        yield from arrivals(customer, SMALL_PER_SECOND, start, seconds)


def flooded_router():
    router = ModelledRouter()
    start = router.clock.monotonic()
    router.run(
        [
            *small_arrivals(start, 12),
            *arrivals('flood', FLOOD_PER_SECOND, start + 2, 8),
        ]
    )
    return router


def test_customers_with_few_requests_are_served_during_a_flood():
    router = flooded_router()
    for customer in SMALL:
        asked = router.taken[customer] + router.refused[customer]
        assert router.taken[customer] >= 0.95 * asked


def test_customer_that_floods_gets_what_the_processor_has_left():
    router = flooded_router()
    refused = router.refused['flood']
    left = 8 - refused * REFUSE_SECONDS
    others = 8 * len(SMALL) * SMALL_PER_SECOND * REQUEST_SECONDS
    possible = (left - others) / REQUEST_SECONDS
    assert router.taken['flood'] >= 0.75 * possible


def test_iterations_stay_short_enough_for_those_that_are_taken():
    assert flooded_router().longest <= 2 * MAX_LAG_SECONDS


def test_limit_ends_with_the_flood():
    router = ModelledRouter()
    start = router.clock.monotonic()
    router.run(arrivals('flood', FLOOD_PER_SECOND, start, 4))
    assert router.admission.is_limiting
    router.run(small_arrivals(router.clock.monotonic(), 4))
    assert not router.admission.is_limiting


def test_two_floods_get_equal_parts():
    router = ModelledRouter()
    start = router.clock.monotonic()
    router.run(
        [
            *arrivals('one', FLOOD_PER_SECOND, start, 8),
            *arrivals('two', FLOOD_PER_SECOND / 2, start, 8),
        ]
    )
    assert router.taken['one'] == pytest.approx(router.taken['two'], rel=0.2)


def test_everybody_is_refused_above_the_highest_lag():
    admission = Admission()
    assert admission.is_refused('small', MAX_LAG_SECONDS * 1.01, 0)
    assert not admission.is_refused('small', TARGET_LAG_SECONDS, 1)


def test_time_to_return_grows_with_the_excess():
    admission = Admission()
    admission.on_taken('one', 0)
    admission.on_refused('one', 0)
    short = admission.retry_seconds(0)
    for _ in range(50):
        admission.on_refused('one', 0)
    assert short < admission.retry_seconds(0) == MAX_RETRY_SECONDS


def test_forgotten_customers_are_not_counted():
    admission = Admission()
    for number in range(100):
        admission.on_taken(f'c{number}', 0)
    admission.is_refused('one', 2 * TARGET_LAG_SECONDS, 60)
    assert not admission.taken.costs


def test_request_taken_by_its_head_is_not_refused_when_it_is_read():
    admission = Admission()
    admission.is_refused('one', 2 * TARGET_LAG_SECONDS, 0)
    admission.admit_early('one', 0)
    assert admission.taken.total('one', 0) == 1
    assert not admission.claim_early('two')
    assert admission.claim_early('one')
    assert not admission.claim_early('one')


def test_one_pass_takes_no_more_by_their_heads_than_the_limit():
    """Connections of one iteration are decided before any is read."""
    admission = Admission()
    for _ in range(60):
        admission.on_taken('flood', 0)
    for _ in range(300):
        admission.on_refused('flood', 0)
    admission.is_refused('flood', 2 * TARGET_LAG_SECONDS, 0)
    taken = 0
    for _ in range(200):
        if not admission.is_refused('flood', TARGET_LAG_SECONDS, 0.5):
            admission.admit_early('flood', 0.5)
            taken += 1
    # What the older requests no longer count for.
    assert 1 <= taken <= 20


def test_short_lag_of_a_router_with_little_load_refuses_nobody():
    admission = Admission()
    for number in range(10):
        now = number * 0.05
        assert not admission.is_refused('one', 2 * TARGET_LAG_SECONDS, now)
        admission.on_taken('one', now)
