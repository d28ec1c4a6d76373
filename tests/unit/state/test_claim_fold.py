"""Test that the offset order decides a verdict and that none changes."""

import datetime as dt
import itertools

import pytest

from hickorymux._internal.state.claim_fold import (
    ClaimEntry,
    ClaimFold,
    ClaimResult,
    Entry,
    OutcomeEntry,
    ProtectedWindow,
    ReleaseEntry,
    encode_entries,
    uuid7_time,
)

WALL = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
KEY = b'k' * 16


def claim(attempt: bytes) -> ClaimEntry:
    return ClaimEntry(KEY, attempt, b'body')


def fold_of(*entries: Entry) -> ClaimFold:
    fold = ClaimFold()
    for offset, entry in enumerate(entries):
        wall = WALL + dt.timedelta(seconds=offset)
        fold.apply(offset, wall, encode_entries([entry]))
    return fold


def result_for(fold: ClaimFold, attempt: bytes) -> ClaimResult:
    return fold.verdict_for(KEY, attempt).result


def test_first_claim_in_offset_order_wins() -> None:
    fold = fold_of(claim(b'a'), claim(b'b'), claim(b'a'))
    assert result_for(fold, b'a') is ClaimResult.won
    assert result_for(fold, b'b') is ClaimResult.lost


def test_batch_is_folded_in_its_own_order() -> None:
    fold = ClaimFold()
    fold.apply(0, WALL, encode_entries([claim(b'b'), claim(b'a')]))
    assert result_for(fold, b'b') is ClaimResult.won


def test_release_frees_the_key_for_later_claims_only() -> None:
    release = ReleaseEntry(KEY, b'a')
    fold = fold_of(claim(b'a'), claim(b'b'), release, claim(b'b'), claim(b'a'))
    assert result_for(fold, b'a') is ClaimResult.lost
    assert result_for(fold, b'b') is ClaimResult.lost
    fold.apply(5, WALL, encode_entries([claim(b'c')]))
    assert result_for(fold, b'c') is ClaimResult.won


def test_release_before_a_late_claim_keeps_it_from_winning() -> None:
    fold = fold_of(ReleaseEntry(KEY, b'a'), claim(b'a'))
    assert result_for(fold, b'a') is ClaimResult.lost


def test_outcome_is_reported_and_cannot_be_released() -> None:
    outcome = OutcomeEntry(KEY, b'a', 201)
    fold = fold_of(claim(b'a'), outcome, ReleaseEntry(KEY, b'a'), claim(b'b'))
    verdict = fold.verdict_for(KEY, b'b')
    assert verdict.result is ClaimResult.lost
    assert verdict.status == 201


def test_verdicts_never_change_over_all_short_streams() -> None:
    entries: list[Entry] = [claim(b'a'), claim(b'b'), claim(b'c')]
    entries += [ReleaseEntry(KEY, b'a'), ReleaseEntry(KEY, b'b')]
    for stream in itertools.product(entries, repeat=5):
        fold = ClaimFold()
        lost: set[bytes] = set()
        former: set[bytes] = set()
        last = b''
        for offset, entry in enumerate(stream):
            fold.apply(offset, WALL, encode_entries([entry]))
            for attempt in (b'a', b'b', b'c'):
                if result_for(fold, attempt) is ClaimResult.lost:
                    lost.add(attempt)
            owner = fold.owner_of(KEY)
            assert owner not in lost | former
            if owner != last:
                former.add(last)
            former.discard(b'')
            last = owner


def test_malformed_record_is_skipped() -> None:
    fold = ClaimFold()
    fold.apply(0, WALL, b'\xff junk')
    assert not fold.keys
    assert fold.next_offset == 1


def test_trim_forgets_keys_and_bounds_memory() -> None:
    fold = fold_of(claim(b'a'), claim(b'b'))
    fold.trim(1)
    assert result_for(fold, b'a') is ClaimResult.won
    fold.trim(2)
    assert not fold.keys
    assert not fold.retained_entries
    assert fold.trimmed_until == WALL + dt.timedelta(seconds=1)


@pytest.mark.parametrize(
    'text',
    ['', 'order-17', '919108f7-52d1-4320-9bac-f847db4148a8'],
)
def test_other_keys_carry_no_time(text: str) -> None:
    assert uuid7_time(text) is None


def test_uuid7_example_of_the_standard_carries_its_time() -> None:
    created = uuid7_time('017F22E2-79B0-7CC3-98C4-DC0C0C07398F')
    assert created == dt.datetime(2022, 2, 22, 19, 22, 22, tzinfo=dt.UTC)


def test_uuid7_far_in_the_future_is_still_a_time() -> None:
    created = uuid7_time('ffffffff-ffff-7000-8000-000000000000')
    assert created is not None
    assert created.year == 9999


def test_key_that_passes_the_window_is_not_forgotten() -> None:
    seconds = dt.timedelta(seconds=1)
    window = ProtectedWindow(100 * seconds, 10 * seconds, 5 * seconds)
    for created, claimed, trimmed in itertools.product(
        range(0, 60, 5), repeat=3
    ):
        made = WALL + created * seconds
        is_kept = claimed > trimmed
        if window.is_from_future(made, WALL + claimed * seconds):
            continue
        if not window.is_expired(made, WALL + trimmed * seconds):
            assert is_kept


def test_start_behind_trimmed_records_knows_what_it_missed() -> None:
    fold = ClaimFold()
    fold.trim(7)
    fold.apply(7, WALL, encode_entries([claim(b'a')]))
    assert fold.trimmed_until == WALL
    assert fold.verdict_for(KEY, b'a').trimmed_until == WALL
