"""A zone's service totals are never too high and lose no known service.

A new delegate takes over a total without the reports behind it. If it added a
router's later report to that total, it would count the service twice; if it
dropped the total, it would forget service of routers that have ended.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from hickorymux._internal.state.zone_columns import (
    RETIRE_AFTER_SECONDS,
    Source,
    ZoneTotals,
)

DELEGATE_SINCE_MS = 1000
CUSTOMER = 1
OLD = tuple(Source(name, DELEGATE_SINCE_MS - 1) for name in 'abc')
CHECK = settings(derandomize=True, max_examples=200, deadline=None)


def report(totals, source, service, *, is_complete=False, now=0):
    merged = totals.report_from(source, now)
    if merged is not None:
        totals.merge_reported(merged, CUSTOMER, service)
        merged.is_complete = merged.is_complete or is_complete


def test_service_of_ended_incarnations_is_retired():
    totals = ZoneTotals.from_base(DELEGATE_SINCE_MS, {CUSTOMER: 150})
    report(totals, OLD[0], 100)
    assert totals.service_of_others(CUSTOMER) == 150
    totals.settle()
    report(totals, OLD[0], 110)
    assert totals.service_of_others(CUSTOMER) == 160


def test_router_that_comes_back_is_not_counted_twice():
    totals = ZoneTotals.from_base(DELEGATE_SINCE_MS, {CUSTOMER: 150})
    report(totals, OLD[0], 100, is_complete=True)
    totals.settle()
    report(totals, OLD[1], 50)
    assert totals.service_of_others(CUSTOMER) == 150
    report(totals, OLD[1], 70)
    assert totals.service_of_others(CUSTOMER) == 170


def test_silent_report_is_retired_and_refused_afterwards():
    totals = ZoneTotals.from_base(DELEGATE_SINCE_MS, {})
    silent = Source('gone', DELEGATE_SINCE_MS + 1)
    report(totals, silent, 40)
    totals.settle()
    totals.retire_silent([], RETIRE_AFTER_SECONDS + 1)
    assert not totals.reports
    report(totals, silent, 45, now=RETIRE_AFTER_SECONDS + 2)
    assert totals.service_of_others(CUSTOMER) == 40


def test_router_is_not_sent_its_own_service_as_that_of_others():
    totals = ZoneTotals.from_base(DELEGATE_SINCE_MS, {CUSTOMER: 150})
    totals.settle()
    totals.report_from(OLD[0], 0)
    assert totals.service_without(OLD[0], CUSTOMER) == 0
    report(totals, OLD[0], 100, is_complete=True)
    assert totals.service_without(OLD[0], CUSTOMER) == 50


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('serve', 'report', 'base', 'settle')),
        st.integers(0, 2),
        st.integers(1, 50),
    ),
    max_size=30,
)


@CHECK
@given(st.tuples(*[st.integers(0, 100)] * 3), STEPS)
def test_total_is_monotone_and_never_exceeds_the_true_service(earlier, steps):
    true_service = list(earlier)
    totals = ZoneTotals.from_base(
        DELEGATE_SINCE_MS, {CUSTOMER: sum(true_service)}
    )
    before = 0
    for action, number, amount in steps:
        if action == 'serve':
            true_service[number] += amount
        elif action == 'report':
            report(totals, OLD[number], true_service[number])
        elif action == 'base':
            totals.raise_base(CUSTOMER, sum(earlier))
        else:
            totals.settle()
        total = totals.service_of_others(CUSTOMER)
        assert before <= total <= sum(true_service)
        before = total
