"""The delegate's sums never exceed the truth and lose nothing that is known."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hickorymux._internal.state.zone_columns import (
    FOLD_AFTER_SECONDS,
    Source,
    ZoneColumns,
)

TERM = 1000
CUSTOMER = 1
OLD = tuple(Source(name, TERM - 1) for name in 'abc')
CHECK = settings(derandomize=True, max_examples=200, deadline=None)


def report(columns, source, service, *, is_complete=False, now=0):
    column = columns.hear(source, now)
    if column is not None:
        columns.add(column, CUSTOMER, service)
        column.is_complete = column.is_complete or is_complete


def test_service_of_routers_that_are_gone_is_retired():
    columns = ZoneColumns.from_base(TERM, {CUSTOMER: 150})
    report(columns, OLD[0], 100)
    assert columns.of_members(CUSTOMER) == 150
    columns.settle()
    report(columns, OLD[0], 110)
    assert columns.of_members(CUSTOMER) == 160


def test_router_that_comes_back_is_not_counted_twice():
    columns = ZoneColumns.from_base(TERM, {CUSTOMER: 150})
    report(columns, OLD[0], 100, is_complete=True)
    columns.settle()
    report(columns, OLD[1], 50)
    assert columns.of_members(CUSTOMER) == 150
    report(columns, OLD[1], 70)
    assert columns.of_members(CUSTOMER) == 170


def test_silent_column_is_folded_and_refused_afterwards():
    columns = ZoneColumns.from_base(TERM, {})
    gone = Source('gone', TERM + 1)
    report(columns, gone, 40)
    columns.settle()
    columns.fold([], FOLD_AFTER_SECONDS + 1)
    assert not columns.columns
    report(columns, gone, 45, now=FOLD_AFTER_SECONDS + 2)
    assert columns.of_members(CUSTOMER) == 40


def test_router_is_not_told_its_own_service_as_that_of_others():
    columns = ZoneColumns.from_base(TERM, {CUSTOMER: 150})
    columns.settle()
    columns.hear(OLD[0], 0)
    assert columns.without(OLD[0], CUSTOMER) == 0
    report(columns, OLD[0], 100, is_complete=True)
    assert columns.without(OLD[0], CUSTOMER) == 50


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
def test_sum_is_monotone_and_never_exceeds_the_truth(earlier, steps):
    truth = list(earlier)
    columns = ZoneColumns.from_base(TERM, {CUSTOMER: sum(truth)})
    before = 0
    for action, number, amount in steps:
        if action == 'serve':
            truth[number] += amount
        elif action == 'report':
            report(columns, OLD[number], truth[number])
        elif action == 'base':
            columns.add_base(CUSTOMER, sum(earlier))
        else:
            columns.settle()
        total = columns.of_members(CUSTOMER)
        assert before <= total <= sum(truth)
        before = total
