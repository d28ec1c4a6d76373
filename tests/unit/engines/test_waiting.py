"""Tests of the wait queue and of the usage that routers exchange."""

import math

import pytest

from hickorymux._internal.coordination.engines.usage_tracker import UsageTracker
from hickorymux._internal.coordination.engines.wait_queue import (
    HALF_LIFE_SECONDS,
    CustomerUsage,
    WaitQueue,
    max_min_service,
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
    queue.meter.served.add('hot', 1000, 0)
    queue.push(prompt_demand('small', now=2))
    queue.push(prompt_demand('hot', now=0))
    newest = prompt_demand('hot', now=1)
    queue.push(newest)
    assert queue.next_to_refuse(2) is newest


def test_old_service_counts_less():
    queue = WaitQueue(0)
    queue.meter.served.add('ann', 1000, 0)
    assert queue.meter.total_service('ann', 2 * HALF_LIFE_SECONDS) == 250


def test_customer_beyond_its_share_is_due_less_while_others_are_not_served():
    queue = WaitQueue(0)
    queue.meter.served.add('large', 90_000, 0)
    own = queue.usage_by_customer(0)
    at_peers = {'small': CustomerUsage(10_000, unmet=200_000)}
    queue.meter.update_peer_usage(at_peers, own)
    assert queue.meter.due_share('large', 0) == pytest.approx(50 / 90)
    assert queue.meter.due_share('small', 0) == 1
    queue.meter.update_peer_usage({'small': CustomerUsage(10_000)}, own)
    assert queue.meter.due_share('large', 0) == 1


def test_refused_request_forgotten_until_its_caller_returns():
    queue = WaitQueue(0)
    demand = prompt_demand('small')
    queue.push(demand)
    assert queue.usage_by_customer(0)['small'].unmet == demand.cost
    queue.remove(demand)
    queue.on_refused(demand, 0)
    assert queue.usage_by_customer(0)['small'].unmet == demand.cost
    assert queue.usage_by_customer(60)['small'].unmet < 1


@pytest.mark.parametrize(
    ('usage', 'level'),
    [
        ([], math.inf),
        ([CustomerUsage(70)], 70),
        ([CustomerUsage(70, 30), CustomerUsage(10)], 70),
        ([CustomerUsage(70, 30), CustomerUsage(10, 5)], 65),
        ([CustomerUsage(70), CustomerUsage(10, 90)], 40),
        ([CustomerUsage(60), CustomerUsage(20, 90), CustomerUsage(4)], 40),
    ],
)
def test_max_min_service(usage, level):
    assert max_min_service(usage) == pytest.approx(level)


def test_usage_of_silent_routers_expires():
    tracker = UsageTracker()
    tracker.replace_report('a', {('p', 'ann'): CustomerUsage(5, 1)}, 0)
    tracker.replace_report('b', {('p', 'ann'): CustomerUsage(7, 2)}, 1)
    assert tracker.usage_by_pool(1)['p']['ann'] == CustomerUsage(12, 3)
    assert tracker.usage_by_pool(2)['p']['ann'] == CustomerUsage(7, 2)


def resumed(customer='ann', **changes):
    """Return a request whose caller has a part of the answer."""
    demand = prompt_demand(customer, **changes)
    demand.version = 'v1'
    return demand


def test_resumed_stream_is_refused_before_new_ones():
    """All routers are back at once, and all callers with them."""
    queue = WaitQueue(0)
    queue.meter.served.add('hot', 1000, 0)
    queue.push(resumed('hot', now=2))
    new = prompt_demand('small', now=1)
    queue.push(new)
    assert queue.next_to_refuse(2) is new
    queue.remove(new)
    assert queue.next_to_refuse(2).resumes_stream


def test_resumed_stream_waits_behind_new_ones_of_its_customer():
    queue = WaitQueue(0)
    new = prompt_demand(now=0)
    late = resumed(now=-2)
    for demand in (new, late):
        queue.push(demand)
    assert list(queue.in_service_order(0)) == [late, new]


def test_resumed_stream_waits_behind_new_ones_of_other_customers():
    """The engines are full; each slot that becomes free goes to a new stream."""
    queue = WaitQueue(0)
    queue.meter.served.add('hot', 1000, 0)
    new, other = prompt_demand('small'), resumed('hot')
    for demand in (new, other):
        queue.push(demand)
    assert list(queue.in_service_order(0)) == [other, new]
