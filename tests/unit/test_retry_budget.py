"""Retries stay within a share of the requests."""

from lib.manual_clock import ManualClock

from hickorymux._internal.coordination.retry_budget import (
    MIN_RETRIES,
    RETRY_SHARE,
    WINDOW_SECONDS,
    RetryBudget,
)

REQUESTS = 1000
ALLOWED = int(REQUESTS * RETRY_SHARE)


def taken(budget: RetryBudget, pool: str) -> int:
    return sum(budget.take(pool) for _ in range(REQUESTS))


def test_retries_are_a_share_of_the_requests_of_their_pool() -> None:
    budget = RetryBudget(ManualClock())
    for _ in range(REQUESTS):
        budget.count_request('engines')
    assert taken(budget, 'engines') == ALLOWED
    assert taken(budget, 'quiet') == MIN_RETRIES


def test_the_window_slides() -> None:
    clock = ManualClock()
    budget = RetryBudget(clock)
    assert taken(budget, 'engines') == MIN_RETRIES
    clock.advance(WINDOW_SECONDS / 2)
    for _ in range(REQUESTS):
        budget.count_request('engines')
    assert taken(budget, 'engines') == ALLOWED - MIN_RETRIES
    clock.advance(WINDOW_SECONDS / 2)
    assert taken(budget, 'engines') == MIN_RETRIES
    clock.advance(WINDOW_SECONDS)
    assert taken(budget, 'engines') == MIN_RETRIES
