"""Order of waiting requests, and what is shared of it."""

from hickorymux._internal.coordination.engines.usage import UsageBoard
from hickorymux._internal.coordination.engines.waiting import (
    CustomerUse,
    WaitingLine,
)
from tests.lib.demands import prompt_demand


def serve_all(line, rounds, now=0.0):
    """Serve one request after the other; return who was served."""
    served = []
    for _ in range(rounds):
        demand = next(iter(line.in_turn(now)))
        line.remove(demand)
        line.on_seated(demand, now)
        served.append(demand.customer)
    return served


def test_hot_customer_waits_behind_a_small_one():
    """One customer sends ten times what the other does, all at once."""
    line = WaitingLine(0)
    for _ in range(40):
        line.push(prompt_demand('hot'))
    for _ in range(4):
        line.push(prompt_demand('small'))
    assert serve_all(line, 8).count('small') == 4


def test_requests_that_can_be_in_time_go_before_late_ones():
    line = WaitingLine(0)
    late = prompt_demand(now=0, objective=0.4)
    soon = prompt_demand(now=0.5, objective=0.4)
    later = prompt_demand(now=0.5, objective=0.6)
    for demand in (late, later, soon):
        line.push(demand)
    assert list(line.in_turn(0.6)) == [soon, later, late]


def test_request_behind_a_blocked_one_is_seen_too():
    line = WaitingLine(0)
    for _ in range(3):
        line.push(prompt_demand())
    assert len(list(line.in_turn(0))) == 3


def test_most_served_is_refused_first():
    line = WaitingLine(0)
    line.meter.add('hot', 1000, 0)
    line.push(prompt_demand('small', now=2))
    line.push(prompt_demand('hot', now=0))
    newest = prompt_demand('hot', now=1)
    line.push(newest)
    assert line.most_served(2) is newest


def test_old_service_counts_less():
    line = WaitingLine(0)
    line.meter.add('ann', 1000, 0)
    assert line.meter.recent('ann', 6) == 250


def test_customer_ahead_yields_to_one_that_waits_elsewhere():
    line = WaitingLine(0)
    line.meter.add('hot', 90_000, 0)
    line.meter.elsewhere = {'small': CustomerUse(1000, 2)}
    assert line.meter.must_yield('hot', 20_000, 0)
    assert not line.meter.must_yield('hot', 100_000, 0)
    line.meter.elsewhere = {'small': CustomerUse(1000, 0)}
    assert not line.meter.must_yield('hot', 20_000, 0)


def test_use_of_silent_routers_is_forgotten():
    board = UsageBoard()
    board.take_report('a', {('p', 'ann'): CustomerUse(5, 1)}, 0)
    board.take_report('b', {('p', 'ann'): CustomerUse(7, 2)}, 1)
    assert board.sums(1)['p']['ann'] == CustomerUse(12, 3)
    assert board.sums(2)['p']['ann'] == CustomerUse(7, 2)
