"""Tests of finding the prompt part that crashes engines."""

from hickorymux._internal.state.part_suspects import (
    MIN_CRASHES,
    MIN_CRASHES_IF_ANSWERED,
    PartSuspects,
)
from hickorymux._internal.state.trials import FIRST_TRIAL_SECONDS

DEADLY, SYSTEM, SUBJECT = 1, 2, 3
LOST = (SYSTEM, SUBJECT, DEADLY)


def crash_repeatedly(table, parts, count, *, answered=(), start=0):
    """Record crashes with different requests; return the refused parts."""
    refused = []
    for number in range(start, start + count):
        refused += table.add_crash(f'e{number}#1', number, parts, now=number)
        table.on_answer_begun(answered, number)
    return refused


def test_part_of_all_crashes_is_refused_and_the_shared_ones_are_not():
    table = PartSuspects()
    refused = crash_repeatedly(table, LOST, 4, answered=(SYSTEM, SUBJECT))
    assert refused == [DEADLY]
    assert table.refused(LOST) == [DEADLY]


def test_sound_part_refused_though_another_explains_the_crashes():
    table = PartSuspects()
    table.on_answer_begun((SYSTEM, SUBJECT), 0)
    assert crash_repeatedly(table, LOST, MIN_CRASHES_IF_ANSWERED + 3) == [
        DEADLY
    ]
    # Another router lost a request without the deadly part in each crash.
    for number in range(9):
        table.add_crash(f'e{number}#1', 90 + number, (SYSTEM,), 10)
    assert table.refused((SYSTEM, SUBJECT)) == []


def test_one_request_at_several_engines_is_no_evidence():
    table = PartSuspects()
    for number in range(MIN_CRASHES + 2):
        assert not table.add_crash(f'e{number}#1', 7, LOST, now=0)


def test_crash_that_several_requests_report_counts_once():
    table = PartSuspects()
    for request in range(9):
        assert not table.add_crash('e1#1', request, LOST, now=0)


def test_answer_clears_a_suspect_and_a_refused_part():
    table = PartSuspects()
    crash_repeatedly(table, (DEADLY,), MIN_CRASHES - 1)
    assert table.on_answer_begun((DEADLY,), 5) == [DEADLY]
    assert not crash_repeatedly(table, (DEADLY,), 1, start=20)
    crash_repeatedly(table, (DEADLY,), MIN_CRASHES_IF_ANSWERED, start=30)
    assert table.refused((DEADLY,)) == [DEADLY]
    assert table.clear((DEADLY,)) == [DEADLY]
    assert not table.refused((DEADLY,))


def test_trials_come_at_growing_intervals():
    table = PartSuspects()
    table.refuse(DEADLY, 0)
    assert not table.is_trial_due(DEADLY, FIRST_TRIAL_SECONDS - 0.1)
    assert table.is_trial_due(DEADLY, FIRST_TRIAL_SECONDS)
    table.postpone_trial(DEADLY, FIRST_TRIAL_SECONDS)
    assert not table.is_trial_due(DEADLY, 2.9 * FIRST_TRIAL_SECONDS)
    assert table.is_trial_due(DEADLY, 3 * FIRST_TRIAL_SECONDS)


def test_tables_are_bounded():
    table = PartSuspects()
    for part in range(9000):
        table.add_crash(f'e{part}#1', part, (part,), 0)
        table.on_answer_begun((100_000 + part,), 0)
    assert len(table.suspects) <= 4096
    assert len(table.answered_at) <= 8192
    table.add_crash('x#1', 1, (1,), 10_000)
    assert len(table.suspects) == 1
