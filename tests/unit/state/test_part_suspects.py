"""Tests of finding the prompt part that crashes engines."""

import itertools

import pytest

from hickorymux._internal.state.part_doubt import Doubt
from hickorymux._internal.state.part_suspects import (
    MIN_CRASHES,
    MIN_CRASHES_IF_ANSWERED,
    TRIAL_SECONDS,
    TRIAL_WAITS,
    PartSuspects,
)

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
    assert table.clear((DEADLY,), 40) == [DEADLY]
    assert not table.refused((DEADLY,))


def test_trials_come_at_growing_intervals():
    """Each trial of a part that is the cause costs one more engine."""
    table = PartSuspects()
    crash_repeatedly(table, (DEADLY,), MIN_CRASHES)
    crashed_at = MIN_CRASHES - 1
    for number, wait in enumerate(TRIAL_WAITS[Doubt.none :]):
        due_at = table.trial_due_at(DEADLY, Doubt.none)
        assert due_at == crashed_at + wait
        table.start_trial((DEADLY,), due_at)
        assert table.trial_due_at(DEADLY, Doubt.none) == due_at + wait
        crashed_at = due_at + 0.5
        table.add_crash(f't{number}#1', 90 + number, (DEADLY,), crashed_at)


def test_request_without_the_page_clears_the_document():
    """The document was refused in place of its page, which has its crashes."""
    table = PartSuspects()
    table.on_answer_begun((SYSTEM,), 0)
    crash_repeatedly(table, LOST, MIN_CRASHES, start=1)
    assert table.refused(LOST) == [SUBJECT, DEADLY]
    assert table.doubt_of(SUBJECT, LOST) is Doubt.none
    sound = (SYSTEM, SUBJECT)
    assert table.doubt_of(SUBJECT, sound) is Doubt.strong
    assert table.trial_due_at(SUBJECT, Doubt.strong) <= MIN_CRASHES
    table.start_trial((SUBJECT,), 5)
    assert table.trial_due_at(SUBJECT, Doubt.strong) == 5 + TRIAL_SECONDS
    assert SUBJECT in table.on_answer_begun(sound, 6)
    assert table.refused(LOST) == [DEADLY]
    assert table.doubt_of(DEADLY, (DEADLY,)) is Doubt.none


def test_trial_that_crashes_leaves_the_page_to_be_cleared():
    """With the document as the cause, its page must not stay refused."""
    table = PartSuspects()
    crash_repeatedly(table, (SUBJECT, DEADLY), MIN_CRASHES)
    table.start_trial((SUBJECT,), 5)
    table.add_crash('t#1', 90, (SUBJECT,), 6)
    assert table.doubt_of(SUBJECT, (SUBJECT,)) is Doubt.none
    assert table.doubt_of(DEADLY, (DEADLY,)) is Doubt.strong
    table.on_answer_begun((DEADLY,), 7)
    assert table.refused((SUBJECT, DEADLY)) == [SUBJECT]


def test_two_crashing_pages_of_a_document():
    """The document has the crashes of both pages, more than each of them."""
    table = PartSuspects()
    for number, page in enumerate((11, 12, 11, 12, 11, 12)):
        table.add_crash(f'e{number}#1', number, (SUBJECT, page), number)
    assert table.doubt_of(SUBJECT, (SUBJECT, 13)) is Doubt.strong
    assert table.doubt_of(SUBJECT, (SUBJECT, 11)) is Doubt.none
    table.on_answer_begun((SUBJECT, 13), 7)
    assert table.refused((SUBJECT, 11, 12, 13)) == [11, 12]


def test_pages_of_their_own_are_a_weak_explanation():
    """One document with fresh pages would be tried again and again."""
    table = PartSuspects()
    for number in range(MIN_CRASHES):
        table.add_crash(f'e{number}#1', number, (DEADLY, 50 + number), number)
        # The page's request was retried at the next engine that crashed.
        table.add_crash(f'e{number + 1}#1', number, (50 + number,), number)
    assert table.doubt_of(DEADLY, (DEADLY, 60)) is Doubt.weak


EVENTS = (
    *((f'e{number}#1', number) for number in range(MIN_CRASHES)),
    ('', 10),
)


@pytest.mark.parametrize('events', [*itertools.permutations(EVENTS)])
def test_conclusion_does_not_depend_on_the_order_of_messages(events):
    """A late report of a crash before an answer is no evidence."""
    table = PartSuspects()
    for crash, at in events:
        if crash:
            table.add_crashes({crash: at}, (at,), (SUBJECT, DEADLY), 20)
        else:
            table.clear((SUBJECT,), at)
    assert table.refused((SUBJECT, DEADLY)) == [DEADLY]


def test_two_crashes_implicate_a_part_that_was_cleared_by_mistake():
    """Each mistaken answer would cost five engines and all earlier trials."""
    table = PartSuspects()
    crash_repeatedly(table, (DEADLY,), MIN_CRASHES)
    table.start_trial((DEADLY,), 11)
    table.add_crash('t#1', 90, (DEADLY,), 11)
    table.on_answer_begun((DEADLY,), 12)
    assert not table.refused((DEADLY,))
    assert crash_repeatedly(table, (DEADLY,), 2, start=20) == [DEADLY]
    assert table.suspects[DEADLY].failed_trials == 1


def test_tables_are_bounded():
    table = PartSuspects()
    for part in range(9000):
        table.add_crash(f'e{part}#1', part, (part,), 0)
        table.on_answer_begun((100_000 + part,), 0)
    assert len(table.suspects) <= 4096
    assert len(table.answered_at) <= 8192
    table.add_crash('x#1', 1, (1,), 10_000)
    assert len(table.suspects) == 1
