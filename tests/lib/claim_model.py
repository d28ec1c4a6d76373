"""A finite model of the claim protocol for one key, for a model checker.

The state holds the routers' views of the log, the attempts, the appends in
flight and the log itself. Time advances in ticks. Every step of a router, an
attempt or the log may happen at any time, or never. Verdicts come from the
production classes ``ClaimFold`` and ``ProtectedWindow``, so the rules are not
written twice.
"""

import dataclasses
import datetime as dt
import functools
from collections.abc import Iterator
from typing import Any, NamedTuple

import minicheck

from hickorymux._internal.state.claim_fold import (
    ClaimEntry,
    ClaimFold,
    ClaimResult,
    Entry,
    KeyState,
    OutcomeEntry,
    ProtectedWindow,
    ReleaseEntry,
    encode_entries,
)

KEY = b'key'
BODY = b'body'
START = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
TICK = dt.timedelta(seconds=1)
DECISION_TICKS = 1
NEVER_RAN = -1


@dataclasses.dataclass(frozen=True)
class Faults:
    """Ways to break the protocol, each of which the check must detect.

    ``claim_lapses``: another router may release a claim that was won.
    ``sends_after_lost_answer``: an attempt sends without a verdict.
    ``releases_after_send``: the key is released after the request was sent.
    ``sends_without_window_check``: a claim allows a send at any age.
    ``trusts_future_keys``: a key dated in the future is accepted.
    ``ignores_expiry``: a key is accepted although the log may have trimmed
    its claim. ``decides_without_time_limit``: a late verdict is used.
    ``others_release_claim``: another router releases a claim that has no
    verdict yet.
    """

    claim_lapses: bool = False
    sends_after_lost_answer: bool = False
    releases_after_send: bool = False
    sends_without_window_check: bool = False
    trusts_future_keys: bool = False
    ignores_expiry: bool = False
    decides_without_time_limit: bool = False
    others_release_claim: bool = False


@dataclasses.dataclass(frozen=True)
class Scope:
    """The limits within which the model is searched.

    ``routers`` holds the router of each attempt. ``last_tick`` is the end of
    time and ``retention`` the log's retention in ticks. ``created`` is the
    creation tick in the key, ``None`` for a key without a time. An attempt
    appends its claim ``max_claim_appends`` times at most.
    ``pauses_before_send`` lets time pass between the check of a claim and the
    send.
    """

    routers: tuple[int, ...] = (0, 1)
    last_tick: int = 0
    retention: int = 3
    created: int | None = None
    max_claim_appends: int = 2
    can_crash: bool = True
    pauses_before_send: bool = False
    faults: Faults = Faults()

    @property
    def window(self) -> ProtectedWindow:
        """Return the protected window at one second per tick."""
        return ProtectedWindow(
            self.retention * TICK,
            max_clock_skew=TICK,
            decision_timeout=DECISION_TICKS * TICK,
        )

    @property
    def protected_ticks(self) -> int:
        """Return for how many ticks a key is protected."""
        return self.window.length // TICK


class FoldView(NamedTuple):
    """An immutable copy of a ``ClaimFold`` that holds one key."""

    next_offset: int = 0
    has_gap: bool = False
    trimmed_until: dt.datetime = ClaimFold().trimmed_until
    retained: tuple[tuple[int, dt.datetime, bytes], ...] = ()
    key_state: tuple[Any, ...] = ()


class Attempt(NamedTuple):
    """One attempt to claim the key and to send the request.

    ``step`` names the method ``from_<step>`` that yields its next steps.
    ``appends`` counts the appends of its claim, ``ran_at`` is the tick of the
    send. ``refused_as_not_run`` is set if the caller got "not run".
    """

    step: str = 'idle'
    started: int = 0
    appends: int = 0
    ran_at: int = NEVER_RAN
    refused_as_not_run: bool = False


class State(NamedTuple):
    """The state of the whole system.

    An entry of ``log`` is the kind, the attempt and the tick of an append;
    one of ``in_flight`` lacks the tick. ``first_offset`` is the first that is
    not trimmed. ``views`` holds the fold of each router.
    """

    now: int
    first_offset: int
    log: tuple[tuple[str, int, int], ...]
    in_flight: tuple[tuple[str, int], ...]
    views: tuple[FoldView, ...]
    attempts: tuple[Attempt, ...]


def attempt_id(number: int) -> bytes:
    return bytes([number])


@functools.cache
def payload_of(kind: str, number: int) -> bytes:
    """Return the payload of a log record that holds one entry."""
    entry: Entry
    if kind == 'claim':
        entry = ClaimEntry(KEY, attempt_id(number), BODY)
    elif kind == 'release':
        entry = ReleaseEntry(KEY, attempt_id(number))
    else:
        entry = OutcomeEntry(KEY, attempt_id(number), 200)
    return encode_entries([entry])


def fold_from_view(view: FoldView) -> ClaimFold:
    fold = ClaimFold()
    fold.next_offset = view.next_offset
    fold.has_gap = view.has_gap
    fold.trimmed_until = view.trimmed_until
    fold.retained_entries.extend(view.retained)
    if view.key_state:
        fold.keys[KEY] = KeyState(*view.key_state)
    return fold


def view_from_fold(fold: ClaimFold) -> FoldView:
    state = fold.keys.get(KEY)
    fields = () if state is None else dataclasses.astuple(state)
    return FoldView(
        fold.next_offset,
        fold.has_gap,
        fold.trimmed_until,
        tuple(fold.retained_entries),
        fields,
    )


@functools.cache
def read_to_end(
    view: FoldView,
    first_offset: int,
    log: tuple[tuple[str, int, int], ...],
) -> FoldView:
    """Return the view of a router that has read the log to its end."""
    fold = fold_from_view(view)
    fold.trim(first_offset)
    for offset in range(fold.next_offset, len(log)):
        kind, number, tick = log[offset]
        fold.apply(offset, START + tick * TICK, payload_of(kind, number))
    return view_from_fold(fold)


def with_item(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    return items[:index] + (item,) + items[index + 1 :]


class ClaimModel:
    """Yields the transitions of the protocol within a scope."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope

    def protocol(self) -> Any:
        """Return the model in the form that the checker takes."""
        count = len(self.scope.routers)
        views = tuple(FoldView() for _ in range(max(self.scope.routers) + 1))
        initial = State(0, 0, (), (), views, (Attempt(),) * count)
        return minicheck.Protocol(
            name='claims',
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=lambda state: list(self.transitions(State(*state))),
            invariants={
                'at_most_once': self.runs_at_most_once,
                'not_run_is_true': not_run_is_true,
            },
        )

    def transitions(self, state: State) -> Iterator[tuple[str, State]]:
        yield from self.environment(state)
        for number, attempt in enumerate(state.attempts):
            step = getattr(self, f'from_{attempt.step}', None)
            if step is not None:
                yield from step(state, number, attempt)

    def environment(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the steps of the clock and the log, and router crashes."""
        if state.now < self.scope.last_tick:
            yield 'tick', state._replace(now=state.now + 1)
        for entry in dict.fromkeys(state.in_flight):
            in_flight = list(state.in_flight)
            in_flight.remove(entry)
            yield (
                f'append {entry}',
                state._replace(
                    in_flight=tuple(in_flight),
                    log=(*state.log, (*entry, state.now)),
                ),
            )
        if state.first_offset < len(state.log):
            age = state.now - state.log[state.first_offset][2]
            if age >= self.scope.retention:
                yield (
                    'trim',
                    state._replace(first_offset=state.first_offset + 1),
                )
        if self.scope.can_crash:
            yield from self.crashes(state)

    def crashes(self, state: State) -> Iterator[tuple[str, State]]:
        for router, view in enumerate(state.views):
            attempts = tuple(
                attempt._replace(step='crashed')
                if owner == router and attempt.step != 'idle'
                else attempt
                for owner, attempt in zip(self.scope.routers, state.attempts)
            )
            if attempts != state.attempts or view != FoldView():
                yield (
                    f'crash {router}',
                    state._replace(
                        views=with_item(state.views, router, FoldView()),
                        attempts=attempts,
                    ),
                )

    def from_idle(self, state: State, number: int, attempt: Attempt) -> Any:
        changed = Attempt(step='waiting', started=state.now, appends=1)
        yield f'ask {number}', with_entry_sent(state, 'claim', number, changed)

    def from_waiting(self, state: State, number: int, attempt: Attempt) -> Any:
        if attempt.appends < self.scope.max_claim_appends:
            again = attempt._replace(appends=attempt.appends + 1)
            yield (
                f'ask again {number}',
                with_entry_sent(state, 'claim', number, again),
            )
        yield f'give up {number}', with_refusal(state, number, attempt)
        if self.scope.faults.sends_after_lost_answer:
            won = attempt._replace(step='won')
            yield (
                f'win without verdict {number}',
                self.with_attempt(state, number, won),
            )
        can_others_release = self.scope.faults.others_release_claim
        if can_others_release and not was_appended(state, 'release', number):
            in_flight = with_append(state.in_flight, 'release', number)
            yield (
                f'release by another {number}',
                state._replace(in_flight=in_flight),
            )
        yield from self.read_verdict(state, number, attempt)

    def read_verdict(self, state: State, number: int, attempt: Attempt) -> Any:
        router = self.scope.routers[number]
        view = read_to_end(state.views[router], state.first_offset, state.log)
        seen = state._replace(views=with_item(state.views, router, view))
        verdict = fold_from_view(view).verdict_for(KEY, attempt_id(number))
        if verdict.result is ClaimResult.lost:
            lost = attempt._replace(step='lost')
            yield f'lose {number}', self.with_attempt(seen, number, lost)
        if verdict.result is not ClaimResult.won:
            return
        if self.is_key_acceptable(verdict.claimed_at, verdict.trimmed_until):
            won = attempt._replace(step='verdict')
            yield f'win {number}', self.with_attempt(seen, number, won)
        else:
            yield f'expire {number}', with_refusal(seen, number, attempt)

    def is_key_acceptable(
        self, claimed_at: dt.datetime, trimmed_until: dt.datetime
    ) -> bool:
        if self.scope.created is None:
            return True
        created = START + self.scope.created * TICK
        faults = self.scope.faults
        is_from_future = self.scope.window.is_from_future(created, claimed_at)
        if is_from_future and not faults.trusts_future_keys:
            return False
        is_expired = self.scope.window.is_expired(created, trimmed_until)
        return faults.ignores_expiry or not is_expired

    def from_verdict(self, state: State, number: int, attempt: Attempt) -> Any:
        is_late = state.now > attempt.started + DECISION_TICKS
        if is_late and not self.scope.faults.decides_without_time_limit:
            yield f'too late {number}', with_refusal(state, number, attempt)
        else:
            won = attempt._replace(step='won')
            yield f'decide {number}', self.with_attempt(state, number, won)

    def from_won(self, state: State, number: int, attempt: Attempt) -> Any:
        yield f'release {number}', with_refusal(state, number, attempt)
        is_valid = state.now < attempt.started + self.scope.protected_ticks
        if is_valid or self.scope.faults.sends_without_window_check:
            checked = attempt._replace(step='checked')
            if not self.scope.pauses_before_send:
                checked = attempt._replace(step='sent', ran_at=state.now)
            yield f'check {number}', self.with_attempt(state, number, checked)

    def from_checked(self, state: State, number: int, attempt: Attempt) -> Any:
        sent = attempt._replace(step='sent', ran_at=state.now)
        yield f'send {number}', self.with_attempt(state, number, sent)

    def from_sent(self, state: State, number: int, attempt: Attempt) -> Any:
        done = attempt._replace(step='done')
        yield (
            f'outcome {number}',
            with_entry_sent(state, 'outcome', number, done),
        )
        if self.scope.faults.releases_after_send:
            yield (
                f'release {number}',
                with_entry_sent(state, 'release', number, done),
            )

    def with_attempt(
        self, state: State, number: int, attempt: Attempt
    ) -> State:
        attempts = with_item(state.attempts, number, attempt)
        changed = state._replace(attempts=attempts)
        if not self.scope.faults.claim_lapses or attempt.step != 'won':
            return changed
        # To let a claim lapse, its release may reach the log at any time.
        return changed._replace(
            in_flight=with_append(changed.in_flight, 'release', number)
        )

    def runs_at_most_once(self, fields: dict[str, Any]) -> bool:
        """Return whether the request ran at most once where it must.

        With a key without a time a second run is allowed, if its attempt
        started after the protected window of the first and after the first
        send.
        """
        ran = [attempt for attempt in fields['attempts'] if did_run(attempt)]
        if len(ran) < 2:
            return True
        if self.scope.created is not None:
            return False
        ran.sort(key=lambda attempt: attempt.started)
        is_after = ran[1].started >= ran[0].started + self.scope.protected_ticks
        return is_after and ran[0].ran_at <= ran[1].started


def did_run(attempt: Attempt) -> bool:
    return attempt.ran_at != NEVER_RAN


def with_append(
    in_flight: tuple[tuple[str, int], ...], kind: str, number: int
) -> tuple[tuple[str, int], ...]:
    """Return the appends in flight with one more, sorted."""
    return tuple(sorted((*in_flight, (kind, number))))


def was_appended(state: State, kind: str, number: int) -> bool:
    entry = (kind, number)
    return entry in state.in_flight or entry in {row[:2] for row in state.log}


def with_entry_sent(
    state: State, kind: str, number: int, attempt: Attempt
) -> State:
    return state._replace(
        in_flight=with_append(state.in_flight, kind, number),
        attempts=with_item(state.attempts, number, attempt),
    )


def with_refusal(state: State, number: int, attempt: Attempt) -> State:
    """Return the state after a "not run" refusal that releases the key."""
    refused = attempt._replace(step='refused', refused_as_not_run=True)
    return with_entry_sent(state, 'release', number, refused)


def not_run_is_true(fields: dict[str, Any]) -> bool:
    return not any(
        did_run(attempt) and attempt.refused_as_not_run
        for attempt in fields['attempts']
    )


def check(scope: Scope, max_states: int = 400_000) -> dict[str, Any]:
    """Search all states of a scope and return the checker's result."""
    result: dict[str, Any] = minicheck.check_safety(
        ClaimModel(scope).protocol(), max_states=max_states
    )
    return result
