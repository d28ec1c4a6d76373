"""Tests that retries stay a share of the requests in a sliding window."""

from hickorymux._internal.coordination.retry_budget import RetryBudget
from lib.manual_clock import ManualClock


def granted_retries(budget: RetryBudget, pool: str, tries: int) -> int:
    return sum(budget.try_acquire(pool) for _ in range(tries))


def test_retries_are_a_share_of_the_requests_of_the_pool() -> None:
    budget = RetryBudget.from_config(ManualClock())
    for _ in range(100):
        budget.count_request('drafting')
    assert granted_retries(budget, 'drafting', 100) == 20
    assert granted_retries(budget, 'ledger', 100) == budget.settings.floor


def test_window_slides() -> None:
    clock = ManualClock()
    budget = RetryBudget.from_config(clock)
    for _ in range(100):
        budget.count_request('drafting')
    assert granted_retries(budget, 'drafting', 100) == 20
    clock.advance(budget.settings.window.total_seconds() / 2)
    assert granted_retries(budget, 'drafting', 100) == 0
    clock.advance(budget.settings.window.total_seconds() / 2 + 1)
    assert granted_retries(budget, 'drafting', 100) == budget.settings.floor
