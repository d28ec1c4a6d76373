"""Tests of the wait queue and of the usage that routers exchange."""

from hickorymux._internal.coordination.engines.usage_tracker import UsageTracker
from hickorymux._internal.coordination.engines.wait_queue import (
    CustomerUsage,
    WaitQueue,
)
from tests.lib.demands import prompt_demand


def serve_all(queue, rounds, now=0.0):
    """Serve one request after the other; return their customers in order."""
    served = []
    for _ in range(rounds):
        demand = next(iter(queue.in_service_order(now)))
        queue.remove(demand)
        queue.on_dispatched(demand, now)
        served.append(demand.customer)
    return served


def test_hot_customer_waits_behind_a_small_one():
    """One customer sends ten times the requests of another, all at once."""
    queue = WaitQueue(0)
    for _ in range(40):
        queue.push(prompt_demand('hot'))
    for _ in range(4):
        queue.push(prompt_demand('small'))
    assert serve_all(queue, 8).count('small') == 4


def test_requests_that_can_be_in_time_go_before_late_ones():
    queue = WaitQueue(0)
    late = prompt_demand(now=0, objective=0.4)
    soon = prompt_demand(now=0.5, objective=0.4)
    later = prompt_demand(now=0.5, objective=0.6)
    for demand in (late, later, soon):
        queue.push(demand)
    assert list(queue.in_service_order(0.6)) == [soon, later, late]


def test_request_behind_a_blocked_one_is_yielded_too():
    queue = WaitQueue(0)
    for _ in range(3):
        queue.push(prompt_demand())
    assert len(list(queue.in_service_order(0))) == 3


def test_most_served_is_refused_first():
    queue = WaitQueue(0)
    queue.meter.add('hot', 1000, 0)
    queue.push(prompt_demand('small', now=2))
    queue.push(prompt_demand('hot', now=0))
    newest = prompt_demand('hot', now=1)
    queue.push(newest)
    assert queue.next_to_refuse(2) is newest


def test_old_service_counts_less():
    queue = WaitQueue(0)
    queue.meter.add('ann', 1000, 0)
    assert queue.meter.total_service('ann', 6) == 250


def test_customer_ahead_defers_to_one_that_waits_at_a_peer():
    queue = WaitQueue(0)
    queue.meter.add('hot', 90_000, 0)
    queue.meter.peer_usage = {'small': CustomerUsage(1000, 2)}
    assert queue.meter.must_defer_to_peer('hot', 20_000, 0)
    assert not queue.meter.must_defer_to_peer('hot', 100_000, 0)
    queue.meter.peer_usage = {'small': CustomerUsage(1000, 0)}
    assert not queue.meter.must_defer_to_peer('hot', 20_000, 0)


def test_usage_of_silent_routers_expires():
    tracker = UsageTracker()
    tracker.replace_report('a', {('p', 'ann'): CustomerUsage(5, 1)}, 0)
    tracker.replace_report('b', {('p', 'ann'): CustomerUsage(7, 2)}, 1)
    assert tracker.usage_by_pool(1)['p']['ann'] == CustomerUsage(12, 3)
    assert tracker.usage_by_pool(2)['p']['ann'] == CustomerUsage(7, 2)
