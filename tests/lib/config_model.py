"""Models of the configuration for the model checker.

The models move records, snapshots and answers about in every order; what a
record or a snapshot does is decided by the functions of the program itself.

``PublishModel``: operators append changes, answers and appends are lost or
late, records are appended again, and a rejected change is based anew.

``FollowModel``: routers read a given log, restart with no memory, and take
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

# A record on the log: the id of its change and the base of that.
Entry: TypeAlias = tuple[str, int]
Log: TypeAlias = tuple[Entry, ...]

FIRST: Entry = ('first', 0)
MAX_APPENDS = 2
MAX_STATES = 400_000

READY, WAITING, ACCEPTED, REJECTED = 'ready', 'waiting', 'accepted', 'rejected'


def refuted(protocol: Protocol) -> set[str]:
    """Return the invariants with a counterexample; the search must end."""
    verdict = check_safety(protocol, max_states=MAX_STATES)
    properties = verdict['properties']
    undecided = [
        name for name, each in properties.items() if each['holds'] is None
    ]
    assert not undecided, verdict
    return {name for name, each in properties.items() if not each['holds']}


class FoldTable:
    """The states of the fold as numbers, so that the models stay small."""

    def __init__(self, operations: Mapping[str, tuple[Operation, ...]]) -> None:
        self.operations = {'first': base_operations(), **operations}
        self.states = [ConfigFold().snapshot()]
        self.numbers = {self.states[0]: 0}
        self.apply = functools.cache(self._apply)

    def payload(self, entry: Entry) -> bytes:
        change_id, base = entry
        return change(base, *self.operations[change_id], id=change_id)

    def number(self, snapshot: bytes) -> int:
        if snapshot not in self.numbers:
            self.numbers[snapshot] = len(self.states)
            self.states.append(snapshot)
        return self.numbers[snapshot]

    @functools.cache
    def fold(self, number: int) -> ConfigFold:
        """Return a fold that must not be changed."""
        return ConfigFold.from_snapshot(self.states[number])

    def _apply(
        self, number: int, entry: Entry
    ) -> tuple[int, Accepted | Rejected]:
        fold = ConfigFold.from_snapshot(self.states[number])
        outcome = fold.apply_record(fold.next_offset, self.payload(entry))
        return self.number(fold.snapshot()), outcome

    def decisions(self, log: Log) -> dict[str, list[bool]]:
        """Return for each id whether its records took effect, in order."""
        found: dict[str, list[bool]] = {}
        number = 0
        for entry in log:
            number, outcome = self.apply(number, entry)
            if isinstance(outcome, Accepted):
                found.setdefault(entry[0], []).append(True)
            elif outcome.code is not RejectCode.duplicate:
                found.setdefault(entry[0], []).append(False)
        return found

    def version(self, log: Log) -> int:
        number = 0
        for entry in log:
            number, _ = self.apply(number, entry)
        return self.fold(number).version


class PublishModel:
    """Operators that race on one log.

    An operator is (id, base, phase, appends made). ``rebased`` names the
    change with which an operator tries again after a rejection. ``late``
    holds appends that have not taken effect yet.
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
            fields=('log', 'late', 'operators', 'told'),
            initial=((FIRST,), (), states, ()),
            transitions=self.transitions,
            invariants={
                'decided_once': self.is_decided_once,
                'told_the_truth': self.is_told_truth,
                'one_winner': self.has_one_winner,
            },
        )

    def transitions(self, state: tuple) -> list[tuple[str, tuple]]:
        log, late, operators, told = state
        self.logs.add(log)
        moves = list(self._land(state))
        for index, operator in enumerate(operators):
            for label, moved, log_now, late_now, told_now in self._operate(
                operator, log, late, told
            ):
                changed = (
                    *operators[:index],
                    moved,
                    *operators[index + 1 :],
                )
                moves.append((label, (log_now, late_now, changed, told_now)))
        return moves

    def _land(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        """A late append takes effect."""
        log, late, operators, told = state
        for entry in set(late):
            rest = list(late)
            rest.remove(entry)
            yield (
                f'{entry[0]} lands',
                ((*log, entry), tuple(rest), operators, told),
            )

    def _operate(self, operator, log, late, told):
        name, base, phase, appends = operator
        entry = (name, base)
        if phase == READY and appends < MAX_APPENDS:
            sent = (name, base, WAITING, appends + 1)
            yield f'{name} is appended', sent, (*log, entry), late, told
            yield f'{name} is lost', sent, log, late, told
            yield (
                f'{name} is late',
                sent,
                log,
                tuple(sorted((*late, entry))),
                told,
            )
        elif phase == WAITING:
            yield from self._read_back(operator, log, late, told)
        elif phase == REJECTED and name in self.rebased:
            version = self.folds.version(log)
            moved = (self.rebased[name], version, READY, 0)
            yield f'{name} is based anew', moved, log, late, told

    def _read_back(self, operator, log, late, told):
        name, base, _, appends = operator
        found = self.decide(log).get(name)
        if found is None:
            again = (name, base, READY, appends)
            yield f'{name} is not there', again, log, late, told
            return
        phase = ACCEPTED if found[0] else REJECTED
        ended = (name, base, phase, appends)
        now = tuple(sorted({*told, (name, found[0])}))
        yield f'{name} is read back', ended, log, late, now

    def is_decided_once(self, state: Mapping[str, tuple]) -> bool:
        found = self.decide(state['log'])
        return all(len(each) == 1 for each in found.values())

    def is_told_truth(self, state: Mapping[str, tuple]) -> bool:
        found = self.decide(state['log'])
        return all(found[name][-1] is told for name, told in state['told'])

    def has_one_winner(self, state: Mapping[str, tuple]) -> bool:
        """Of the changes of one row on one base at most one is accepted."""
        found = self.decide(state['log'])
        same_base = {entry[0] for entry in state['log'] if entry[1] == 1}
        racing = same_base & set(self.operators) & {'a', 'b'}
        won = [name for name in racing if any(found.get(name, ()))]
        return len(won) == bool(racing)


class FollowModel:
    """Two routers that follow a given log, and what may reach them."""

    def __init__(self, folds: FoldTable, log: Log) -> None:
        self.folds = folds
        self.log = log
        self.adopted = functools.cache(
            self._taken(lambda follower, fold: follower.adopt(fold.snapshot()))
        )
        self.loaded = functools.cache(
            self._taken(lambda follower, fold: follower.take_fold(fold))
        )

    def protocol(self) -> Protocol:
        return Protocol(
            name='config-follow',
            candidate=False,
            fields=('first', 'end', 'kept', 'routers', 'went_back'),
            initial=(0, 1, frozenset(), (0, 0), False),
            transitions=self.transitions,
            invariants={
                'never_back': lambda state: not state['went_back'],
                'same_tables': self.has_same_tables,
            },
        )

    def transitions(self, state: tuple) -> list[tuple[str, tuple]]:
        first, end, kept, routers, went_back = state
        moves = []
        if end < len(self.log):
            moves.append(('grow', (first, end + 1, kept, routers, went_back)))
        if first < end:
            moves.append(('trim', (first + 1, end, kept, routers, went_back)))
        for index, number in enumerate(routers):
            for label, moved, kept_now in self._follow(
                number, routers[1 - index], state
            ):
                changed = list(routers)
                changed[index] = moved
                back = went_back or self._is_back(label, number, moved)
                moves.append(
                    (
                        f'router {index}: {label}',
                        (first, end, kept_now, tuple(changed), back),
                    )
                )
        return moves

    def _follow(self, number: int, peer: int, state: tuple):
        first, end, kept, _, _ = state
        offset = self.folds.fold(number).next_offset
        if first <= offset < end:
            moved, _ = self.folds.apply(number, self.log[offset])
            yield 'read', moved, kept
        yield 'restart', 0, kept
        if number:
            yield 'snapshot', number, kept | {number}
        for snapshot in kept:
            yield 'load', self.loaded(number, snapshot), kept
        # An offer may be as old as any snapshot that was ever kept.
        for offer in kept | {peer}:
            yield 'adopt', self.adopted(number, offer), kept

    def _taken(
        self, take: Callable[[ConfigFollower, ConfigFold], bool]
    ) -> Callable[[int, int], int]:
        def after(number: int, offered: int) -> int:
            follower = ConfigFollower(FakeLog(), ManualClock(), router_id='r')
            follower.fold = self.folds.fold(number)
            take(follower, self.folds.fold(offered))
            return self.folds.number(follower.fold.snapshot())

        return after

    def _is_back(self, label: str, before: int, after: int) -> bool:
        if label == 'restart':
            return False
        return self.folds.fold(after).version < self.folds.fold(before).version

    def has_same_tables(self, state: Mapping[str, tuple]) -> bool:
        held = {*state['routers'], *state['kept']}
        offsets = {self.folds.fold(each).next_offset for each in held}
        return len(offsets) == len(held)
