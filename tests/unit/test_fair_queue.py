"""The fair queue orders customers by service received.

A customer with many requests must not delay the others, also not by requests
at other routers or by credit from an idle time.
"""

from hickorymux._internal.coordination.fair_queue import (
    WaitingCustomer,
    FairQueue,
)
from hickorymux._internal.coordination.fairness_limits import FairnessLimits
from hickorymux._internal.state.service_counters import (
    AccountUpdate,
    ServiceCounters,
)
from hickorymux._internal.state.tables import Pool, PoolKind
from hickorymux._internal.utils.ids import customer_id
from lib.manual_clock import ManualClock

# A debt limit of 1,000 virtual units: one slot, requests of up to 1,000.
LIMITS = FairnessLimits(slots=1, largest_request=1000, staleness=0)


def make_queue(weights=None, default_weight=1.0):
    pool = Pool('p', PoolKind.model, (), weights or {}, default_weight)
    counters = ServiceCounters.from_config(pool)
    return FairQueue.from_config(pool, counters, ManualClock(), LIMITS)


def set_service_elsewhere(queue, customer, service, *, waits=True):
    account_id = customer_id(customer)
    queue.counters.merge(AccountUpdate(account_id, other_zones=service))
    account = queue.counters.account(customer)
    queue.counters.set_waits_elsewhere(account, waits=waits)


def run_one(queue, cost):
    ticket = queue.pop()
    queue.settle(ticket, cost)
    return ticket.customer


def test_lowest_virtual_time_goes_first():
    queue = make_queue()
    for _ in range(10):
        queue.enqueue('big', 0, 100)
        queue.enqueue('small', 0, 100)
    served = {'big': 0, 'small': 0}
    costs = {'big': 300, 'small': 100}
    for _ in range(12):
        ticket = queue.pop()
        queue.settle(ticket, costs[ticket.customer])
        served[ticket.customer] += costs[ticket.customer]
    assert served == {'big': 900, 'small': 900}


def test_weight_doubles_the_share():
    queue = make_queue({'a': 2.0})
    for _ in range(40):
        queue.enqueue('a', 0, 100)
        queue.enqueue('b', 0, 100)
    order = [run_one(queue, 10) for _ in range(30)]
    assert order.count('a') == 20


def test_work_in_flight_counts_by_estimate():
    queue = make_queue()
    for _ in range(3):
        queue.enqueue('a', 50, 100)
        queue.enqueue('b', 50, 100)
    started = [queue.pop().customer for _ in range(6)]
    assert started == ['a', 'b'] * 3


def test_settling_below_the_estimate_gives_the_difference_back():
    queue = make_queue()
    for customer in ('a', 'a', 'b', 'b'):
        queue.enqueue(customer, 100, 100)
    first = queue.pop()
    queue.charge(first, 1)
    queue.settle(first, 10)
    assert queue.counters.total_service('a') == 10
    assert [run_one(queue, 100), run_one(queue, 1)] == ['b', 'a']


def test_idling_earns_no_credit():
    queue = make_queue()
    for _ in range(20):
        queue.enqueue('busy', 0, 100)
    for _ in range(10):
        run_one(queue, 100)
    queue.clock.advance(100)
    queue.enqueue('idle', 0, 100)
    assert queue.counters.virtual_time('idle') == 1000


def test_customer_waiting_elsewhere_is_not_lifted():
    queue = make_queue()
    for _ in range(20):
        queue.enqueue('busy', 0, 100)
    for _ in range(10):
        run_one(queue, 100)
    set_service_elsewhere(queue, 'behind', 0)
    queue.enqueue('behind', 0, 100)
    assert queue.counters.virtual_time('behind') == 0


def test_customer_is_lifted_to_the_least_waiting_elsewhere():
    queue = make_queue()
    set_service_elsewhere(queue, 'far', 700)
    queue.apply_merged_counters()
    queue.enqueue('new', 0, 100)
    assert queue.counters.virtual_time('new') == 700


def test_removed_request_is_not_served():
    queue = make_queue()
    removed = queue.enqueue('a', 0, 100)
    remaining = queue.enqueue('a', 0, 100)
    assert queue.remove(removed)
    assert not queue.remove(removed)
    assert queue.backlog == 1
    assert queue.pop() is remaining
    assert queue.pop() is None


def test_heads_are_in_order_and_limited():
    queue = make_queue()
    for customer, service in (('a', 30), ('b', 10), ('c', 20)):
        set_service_elsewhere(queue, customer, service)
    for customer in ('a', 'b', 'b', 'c'):
        queue.enqueue(customer, 0, 100)
    assert queue.waiting_customers(2) == [
        WaitingCustomer('b', 10, 2),
        WaitingCustomer('c', 20, 1),
    ]


def test_debt_beyond_the_limit_is_forgiven():
    queue = make_queue()
    for customer, service in (('ahead', 5000), ('behind', 100)):
        set_service_elsewhere(queue, customer, service)
    queue.counters.mark_synced()
    queue.apply_merged_counters()
    assert queue.counters.virtual_time('behind') == 4000


def test_coordinator_does_not_favour_a_router_without_counters():
    coordinator = make_queue()
    set_service_elsewhere(coordinator, 'a', 900, waits=False)
    set_service_elsewhere(coordinator, 'b', 800)
    coordinator.apply_merged_counters()
    assert coordinator.corrected_virtual_time(WaitingCustomer('a', 5, 1)) == 900
    assert (
        coordinator.corrected_virtual_time(WaitingCustomer('unknown', 0, 1))
        == 800
    )


def test_debt_is_kept_while_service_elsewhere_is_unknown():
    queue = make_queue()
    for customer, service in (('ahead', 5000), ('behind', 100)):
        set_service_elsewhere(queue, customer, service)
    queue.apply_merged_counters()
    assert queue.counters.virtual_time('behind') == 100
