"""Models of the configuration for the model checker.

The checker tries all orders in which records, snapshots and answers can
arrive. The effect of a record or a snapshot is computed by the production
code.

``PublishModel``: operators append changes. Answers and appends are lost or
delayed, records are appended again, and a rejected change is repeated with a
new base.

``FollowModel``: routers read a given log, restart without state, and adopt
snapshots from the log and from peers while the log is trimmed.
"""

import functools
from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

from lib.config_samples import base_operations, change
from lib.fake_log import FakeLog
from lib.manual_clock import ManualClock
from minicheck import Protocol, check_safety

from hickorymux._internal.coordination.config_follower import ConfigFollower
from hickorymux._internal.state.config_changes import Operation
from hickorymux._internal.state.config_fold import (
    Accepted,
    ConfigFold,
    Rejected,
    RejectCode,
)

# A record on the log: the id and the base of its change.
Entry: TypeAlias = tuple[str, int]
Log: TypeAlias = tuple[Entry, ...]

FIRST: Entry = ('first', 0)
MAX_APPENDS = 2
MAX_STATES = 400_000

READY, WAITING, ACCEPTED, REJECTED = 'ready', 'waiting', 'accepted', 'rejected'


def violated_invariants(protocol: Protocol) -> set[str]:
    """Return the names of the invariants for which a counterexample exists.

    Fails if the search ends before an invariant is decided.
    """
    verdict = check_safety(protocol, max_states=MAX_STATES)
    properties = verdict['properties']
    undecided = [
        name for name, each in properties.items() if each['holds'] is None
    ]
    assert not undecided, verdict
    return {name for name, each in properties.items() if not each['holds']}


class FoldTable:
    """Numbers the states of the fold, to keep the states of a model small."""

    def __init__(self, operations: Mapping[str, tuple[Operation, ...]]) -> None:
        self.operations = {'first': base_operations(), **operations}
        self.states = [ConfigFold().snapshot()]
        self.numbers = {self.states[0]: 0}
        self.apply = functools.cache(self._apply)

    def payload(self, entry: Entry) -> bytes:
        """Return the payload of a log record."""
        change_id, base = entry
        return change(base, *self.operations[change_id], id=change_id)

    def number(self, snapshot: bytes) -> int:
        """Return the number of a state, given as a snapshot."""
        if snapshot not in self.numbers:
            self.numbers[snapshot] = len(self.states)
            self.states.append(snapshot)
        return self.numbers[snapshot]

    @functools.cache
    def fold(self, number: int) -> ConfigFold:
        """Return the fold of a state; it is cached and must not be changed."""
        return ConfigFold.from_snapshot(self.states[number])

    def _apply(
        self, number: int, entry: Entry
    ) -> tuple[int, Accepted | Rejected]:
        fold = ConfigFold.from_snapshot(self.states[number])
        outcome = fold.apply_record(fold.next_offset, self.payload(entry))
        return self.number(fold.snapshot()), outcome

    def decisions(self, log: Log) -> dict[str, list[bool]]:
        """Return, for each id, which of its records took effect, in order.

        Records rejected as duplicates are left out.
        """
        decisions: dict[str, list[bool]] = {}
        number = 0
        for entry in log:
            number, outcome = self.apply(number, entry)
            if isinstance(outcome, Accepted):
                decisions.setdefault(entry[0], []).append(True)
            elif outcome.code is not RejectCode.duplicate:
                decisions.setdefault(entry[0], []).append(False)
        return decisions

    def version(self, log: Log) -> int:
        """Return the version in force at the end of a log."""
        number = 0
        for entry in log:
            number, _ = self.apply(number, entry)
        return self.fold(number).version


class PublishModel:
    """Operators that change the configuration concurrently on one log.

    The state of an operator is (id of its change, base, phase, number of
    appends). ``rebased`` maps a change to the one that replaces it with a new
    base after a rejection. In the state of the model, ``late`` holds the
    appends that have not taken effect yet, and ``reported`` the outcomes that
    operators have seen.
    """

    def __init__(
        self,
        operations: Mapping[str, tuple[Operation, ...]],
        operators: tuple[str, ...],
        rebased: Mapping[str, str],
    ) -> None:
        self.folds = FoldTable(operations)
        self.operators = operators
        self.rebased = rebased
        self.logs: set[Log] = set()
        self.decide = functools.cache(self.folds.decisions)

    def protocol(self) -> Protocol:
        states = tuple((name, 1, READY, 0) for name in self.operators)
        return Protocol(
            name='config-publish',
            candidate=False,
            fields=('log', 'late', 'operators', 'reported'),
            initial=((FIRST,), (), states, ()),
            transitions=self.transitions,
            invariants={
                'decided_once': self.is_decided_once,
                'outcome_reported_correctly': self.is_outcome_correct,
                'one_accepted': self.has_one_accepted,
            },
        )

    def transitions(self, state: tuple) -> list[tuple[str, tuple]]:
        log, late, operators, reported = state
        self.logs.add(log)
        successors = list(self._apply_late(state))
        for index, operator in enumerate(operators):
            for (
                label,
                successor,
                log_now,
                late_now,
                reported_now,
            ) in self._operate(operator, log, late, reported):
                changed = (
                    *operators[:index],
                    successor,
                    *operators[index + 1 :],
                )
                successors.append(
                    (label, (log_now, late_now, changed, reported_now))
                )
        return successors

    def _apply_late(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        """Yield the states after one of the late appends takes effect."""
        log, late, operators, reported = state
        for entry in set(late):
            rest = list(late)
            rest.remove(entry)
            yield (
                f'{entry[0]} takes effect',
                ((*log, entry), tuple(rest), operators, reported),
            )

    def _operate(self, operator, log, late, reported):
        """Yield the possible next steps of an operator."""
        name, base, phase, appends = operator
        entry = (name, base)
        if phase == READY and appends < MAX_APPENDS:
            sent = (name, base, WAITING, appends + 1)
            yield f'{name} is appended', sent, (*log, entry), late, reported
            yield f'{name} is lost', sent, log, late, reported
            yield (
                f'{name} is late',
                sent,
                log,
                tuple(sorted((*late, entry))),
                reported,
            )
        elif phase == WAITING:
            yield from self._read_back(operator, log, late, reported)
        elif phase == REJECTED and name in self.rebased:
            version = self.folds.version(log)
            successor = (self.rebased[name], version, READY, 0)
            yield (
                f'{name} is repeated with a new base',
                successor,
                log,
                late,
                reported,
            )

    def _read_back(self, operator, log, late, reported):
        """Yield the step in which an operator reads the log to its end."""
        name, base, _, appends = operator
        decisions = self.decide(log).get(name)
        if decisions is None:
            again = (name, base, READY, appends)
            yield f'{name} is not there', again, log, late, reported
            return
        phase = ACCEPTED if decisions[0] else REJECTED
        ended = (name, base, phase, appends)
        now = tuple(sorted({*reported, (name, decisions[0])}))
        yield f'{name} is read back', ended, log, late, now

    def is_decided_once(self, state: Mapping[str, tuple]) -> bool:
        """Return whether each change on the log was decided exactly once."""
        decisions = self.decide(state['log'])
        return all(len(each) == 1 for each in decisions.values())

    def is_outcome_correct(self, state: Mapping[str, tuple]) -> bool:
        """Return whether operators have seen the final decisions."""
        decisions = self.decide(state['log'])
        return all(
            decisions[name][-1] is reported
            for name, reported in state['reported']
        )

    def has_one_accepted(self, state: Mapping[str, tuple]) -> bool:
        """Return whether one of the concurrent changes was accepted.

        The changes ``a`` and ``b`` have the same base and change the same
        row.
        """
        decisions = self.decide(state['log'])
        same_base = {entry[0] for entry in state['log'] if entry[1] == 1}
        concurrent = same_base & set(self.operators) & {'a', 'b'}
        accepted = [name for name in concurrent if any(decisions.get(name, ()))]
        return len(accepted) == bool(concurrent)


class FollowModel:
    """Two routers that follow a given log and adopt snapshots.

    ``snapshots`` in the state are those on the log. The state of a router is
    the number of its fold in the ``FoldTable``.
    """

    def __init__(self, folds: FoldTable, log: Log) -> None:
        self.folds = folds
        self.log = log
        self.adopted = functools.cache(
            self._after_adoption(
                lambda follower, fold: follower.adopt_peer_snapshot(
                    fold.snapshot()
                )
            )
        )
        self.loaded = functools.cache(
            self._after_adoption(
                lambda follower, fold: follower.adopt_log_snapshot(fold)
            )
        )

    def protocol(self) -> Protocol:
        return Protocol(
            name='config-follow',
            candidate=False,
            fields=('first', 'end', 'snapshots', 'routers', 'decreased'),
            initial=(0, 1, frozenset(), (0, 0), False),
            transitions=self.transitions,
            invariants={
                'version_never_decreases': lambda state: not state['decreased'],
                'same_tables': self.has_same_tables,
            },
        )

    def transitions(self, state: tuple) -> list[tuple[str, tuple]]:
        first, end, snapshots, routers, decreased = state
        successors = []
        if end < len(self.log):
            successors.append(
                ('grow', (first, end + 1, snapshots, routers, decreased))
            )
        if first < end:
            successors.append(
                ('trim', (first + 1, end, snapshots, routers, decreased))
            )
        for index, number in enumerate(routers):
            for label, successor, snapshots_now in self._follow(
                number, routers[1 - index], state
            ):
                changed = list(routers)
                changed[index] = successor
                has_decreased = decreased or self._decreases_version(
                    label, number, successor
                )
                successors.append(
                    (
                        f'router {index}: {label}',
                        (
                            first,
                            end,
                            snapshots_now,
                            tuple(changed),
                            has_decreased,
                        ),
                    )
                )
        return successors

    def _follow(self, number: int, peer: int, state: tuple):
        """Yield the possible next steps of a router."""
        first, end, snapshots, _, _ = state
        offset = self.folds.fold(number).next_offset
        if first <= offset < end:
            successor, _ = self.folds.apply(number, self.log[offset])
            yield 'read', successor, snapshots
        yield 'restart', 0, snapshots
        if number:
            yield 'snapshot', number, snapshots | {number}
        for snapshot in snapshots:
            yield 'load', self.loaded(number, snapshot), snapshots
        # A delayed offer may be as old as any snapshot ever written.
        for offer in snapshots | {peer}:
            yield 'adopt', self.adopted(number, offer), snapshots

    def _after_adoption(
        self, adopt: Callable[[ConfigFollower, ConfigFold], bool]
    ) -> Callable[[int, int], int]:
        """Return a function from two states to the state after adoption."""

        def after(number: int, offered: int) -> int:
            follower = ConfigFollower(FakeLog(), ManualClock(), router_id='r')
            follower.fold = self.folds.fold(number)
            adopt(follower, self.folds.fold(offered))
            return self.folds.number(follower.fold.snapshot())

        return after

    def _decreases_version(self, label: str, before: int, after: int) -> bool:
        if label == 'restart':
            return False
        return self.folds.fold(after).version < self.folds.fold(before).version

    def has_same_tables(self, state: Mapping[str, tuple]) -> bool:
        """Return whether all folds at the same offset are equal."""
        numbers = {*state['routers'], *state['snapshots']}
        offsets = {self.folds.fold(each).next_offset for each in numbers}
        return len(offsets) == len(numbers)
