"""Finds the prompt parts that crash the engines that answer them.

Requests with such a part differ in all else, so only the part recurs from crash
to crash. A part is a suspect from the first crash of an engine that was about
to answer a request with it. Any answer to a request with the part that begins
after a crash shows that the part did not cause it.

A part is implicated after ``MIN_CRASHES`` crashes with ``MIN_REQUESTS``
different requests. Sequential group testing narrows the implicated parts down:
a document and its page that have the same crashes are both implicated, a
request with the document and without the page is a trial of the document, and
its answer clears the document. How long a trial has to wait depends on how well
other suspects, which the request does not have, explain the crashes
(``Doubt``). At most one trial of a part runs at a time. A trial that crashes
an engine makes the next one wait longer, so the number of crashes is bounded.

The state is a function of the crashes and of the answers with their times, so
routers that exchange both come to the same conclusions in any order.

Example::

    for number, crash in enumerate(('e1#7', 'e2#4', 'e3#9')):
        table.add_crash(crash, number, (document, page), now=number)
    assert table.refused((document,)) == [document]
    assert table.doubt_of(document, (document,)) is Doubt.strong
    table.on_answer_begun((document,), now=4)
    assert table.refused((document, page)) == [page]
"""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, final

from hickorymux._internal.state.part_doubt import Doubt, Rival, doubt_from

# With fewer, a part may have been at the crashing engines by coincidence.
MIN_CRASHES: Final = 3
# A request that is tried at several engines is evidence against its parts only
# together with another request.
MIN_REQUESTS: Final = 2
# The crashes that implicate a part though answers with it had begun before the
# first of them. Many sound requests share such a part, so it is often at
# several engines that crash for another reason.
MIN_CRASHES_IF_ANSWERED: Final = 5
# Crashes of an answered part that no implicated new part was in.
MIN_UNEXPLAINED_IF_ANSWERED: Final = 2
# The crashes that implicate a part again that was implicated, then answered.
MIN_CRASHES_IF_IMPLICATED_BEFORE: Final = 2
# How long after the last crash or trial a part is tried again, in seconds. The
# degree of doubt gives the first entry to use, and each failed trial leads to
# the next one: a rule of the operators allows three crashes after the first ones.
TRIAL_WAITS: Final = (0, 1.0, 8.0, 32.0, 128.0, 300.0)
# How long a trial is waited for: it may be queued, and its prompt is processed
# before its answer begins.
TRIAL_SECONDS: Final = 2.0
# How long a suspect is kept after its last crash.
LIFETIME_SECONDS: Final = 600.0
MAX_SUSPECTS: Final = 4096
MAX_ANSWERED_PARTS: Final = 8192
MAX_KNOWN_CRASHES: Final = 1024
MAX_CRASHES_PER_PART: Final = 16
MAX_REQUESTS_PER_PART: Final = 16
MAX_RIVALS: Final = 64


@dataclasses.dataclass(slots=True)
class PartSuspect:
    """What is known of one suspect.

    ``crashes`` has the crashes since the last answer, by engine incarnation,
    and when each was recorded. ``requests`` has fingerprints of requests that
    were lost in them. ``tried_at`` is when the last trial was started, and
    ``open_trials`` counts those whose outcome is unknown: routers that have not
    heard of each other's may start one each. ``trial_doubt`` is the doubt in
    which the last one was started. Times are monotonic seconds.
    """

    crashes: dict[str, float] = dataclasses.field(default_factory=dict)
    requests: set[int] = dataclasses.field(default_factory=set)
    tried_at: float = -math.inf
    open_trials: int = 0
    trial_doubt: Doubt = Doubt.none
    failed_trials: int = 0

    @property
    def last_crash_at(self) -> float:
        """Return when the last crash was recorded."""
        return max(self.crashes.values())


@final
class PartSuspects:
    """The suspect and implicated parts that one router knows.

    Parts are known by fingerprints, 64-bit integers. ``answered_at`` is when an
    engine last began to answer a request with a part, in monotonic seconds.
    ``crashed_at`` is when a crash was first heard of. ``implicated`` parts are
    refused except in trials; ``acquitted`` ones were, until they were answered.
    """

    __slots__ = (
        'acquitted',
        'answered_at',
        'crashed_at',
        'implicated',
        'parts_by_crash',
        'rivals',
        'suspects',
    )

    def __init__(self) -> None:
        self.suspects: collections.OrderedDict[int, PartSuspect]
        self.suspects = collections.OrderedDict()
        self.answered_at: collections.OrderedDict[int, float]
        self.answered_at = collections.OrderedDict()
        self.crashed_at: collections.OrderedDict[str, float]
        self.crashed_at = collections.OrderedDict()
        self.parts_by_crash: dict[str, set[int]] = {}
        self.implicated: frozenset[int] = frozenset()
        # Their failed trials, oldest first.
        self.acquitted: dict[int, int] = {}
        # Recomputed after each change of the evidence.
        self.rivals: dict[int, Sequence[Rival]] = {}

    def add_crash(
        self, crash: str, request: int, parts: Iterable[int], now: float
    ) -> Sequence[int]:
        """Record a request that was lost when an engine crashed.

        Returns the parts that are implicated by it.
        """
        return self.add_crashes({crash: now}, (request,), parts, now)

    def add_crashes(
        self,
        crashes: Mapping[str, float],
        requests: Iterable[int],
        parts: Iterable[int],
        now: float,
    ) -> Sequence[int]:
        """Record crashes with their times, at all of which parts were.

        A crash before the last answer with a part is no evidence against it,
        also if the crash is heard of later. Returns the parts that are
        implicated from now on.
        """
        self._expire(now)
        times = {
            crash: self._first_time(crash, at) for crash, at in crashes.items()
        }
        parts = tuple(parts)
        self._note_failed_trial(parts, times)
        has_changed = False
        for part in parts:
            has_changed |= self._add_evidence(part, times, requests)
        while len(self.suspects) > MAX_SUSPECTS:
            self._drop(next(iter(self.suspects)))
        return self._implicate() if has_changed else ()

    def on_answer_begun(
        self, parts: Sequence[int], now: float
    ) -> Sequence[int]:
        """Record that an engine answers a request with these parts.

        Returns the former suspects among them, which are cleared.
        """
        return self.clear(parts, now)

    def clear(self, parts: Iterable[int], answered_at: float) -> Sequence[int]:
        """Record answers at a time; return the suspects that these clear.

        A part with crashes after its answer remains a suspect.
        """
        cleared = []
        has_changed = False
        for part in parts:
            is_known = part in self.answered_at
            self._note_answer(part, answered_at)
            if part in self.suspects:
                has_changed |= not is_known
                if self._drop_crashes(part, answered_at):
                    cleared.append(part)
        if has_changed or cleared:
            self._implicate()
        return cleared

    def refused(self, parts: Iterable[int]) -> Sequence[int]:
        """Return the implicated ones among the parts."""
        return [part for part in parts if part in self.implicated]

    def implicated_groups(self) -> Sequence[Sequence[int]]:
        """Return the implicated parts, those with the same crashes together."""
        groups: dict[frozenset[str], list[int]] = {}
        for part in sorted(self.implicated):
            crashes = frozenset(self.suspects[part].crashes)
            groups.setdefault(crashes, []).append(part)
        return list(groups.values())

    def doubt_of(self, part: int, request_parts: Iterable[int]) -> Doubt:
        """Return how uncertain it is that a part will crash an engine.

        ``request_parts`` are the parts of the request that would show it.
        """
        known = frozenset(request_parts)
        rivals = [
            rival for rival in self.rivals_of(part) if rival.part not in known
        ]
        return doubt_from(self.suspects[part].crashes, rivals)

    def doubt_of_all(
        self, refused: Sequence[int], request_parts: Iterable[int]
    ) -> Doubt:
        """Return the doubt of all the implicated parts of a request.

        Its crash would not tell which of several parts is the cause, so these
        are in doubt only if implicated parts without the request explain the
        crashes of each.
        """
        known = frozenset(request_parts)
        if len(refused) == 1:
            return self.doubt_of(refused[0], known)
        others = self.implicated - known
        doubts = (
            doubt_from(
                self.suspects[part].crashes,
                [one for one in self.rivals_of(part) if one.part in others],
            )
            for part in refused
        )
        is_strong = all(doubt is Doubt.strong for doubt in doubts)
        return Doubt.strong if is_strong else Doubt.none

    def rivals_of(self, part: int) -> Sequence[Rival]:
        """Return the other suspects that were at crashes of a part."""
        if part not in self.rivals:
            crashes = self.suspects[part].crashes
            others = set().union(
                *(self.parts_by_crash[crash] for crash in crashes)
            )
            found = [
                self._rival(other, part, crashes)
                for other in others
                if other != part
            ]
            found.sort(key=lambda rival: (-len(rival.crashes), rival.part))
            self.rivals[part] = found[:MAX_RIVALS]
        return self.rivals[part]

    def trial_wait(self, part: int, doubt: Doubt) -> float:
        """Return how long to wait after the last crash or trial, in seconds."""
        if part in self.answered_at:
            doubt = min(doubt, Doubt.weak)
        step = doubt + self.suspects[part].failed_trials
        return TRIAL_WAITS[min(step, len(TRIAL_WAITS) - 1)]

    def trial_due_at(self, part: int, doubt: Doubt) -> float:
        """Return from when on a request may try an implicated part."""
        suspect = self.suspects[part]
        wait = self.trial_wait(part, doubt)
        return max(
            suspect.last_crash_at + wait,
            suspect.tried_at + max(wait, TRIAL_SECONDS),
        )

    def start_trial(
        self, parts: Iterable[int], now: float, doubt: Doubt = Doubt.none
    ) -> None:
        """Record that a request with these parts is tried."""
        for part in self.refused(parts):
            suspect = self.suspects[part]
            if suspect.tried_at + TRIAL_SECONDS < now:
                suspect.open_trials = 0
            suspect.open_trials += 1
            suspect.tried_at = now
            suspect.trial_doubt = doubt

    def note_failed_trials(
        self, parts: Iterable[int], failed_trials: int
    ) -> None:
        """Record how many trials of parts another router knows to fail."""
        for part in self.refused(parts):
            suspect = self.suspects[part]
            suspect.failed_trials = max(suspect.failed_trials, failed_trials)

    def _first_time(self, crash: str, at: float) -> float:
        """Return when a crash was, by the first report of it."""
        first_at = min(at, self.crashed_at.get(crash, at))
        self.crashed_at[crash] = first_at
        while len(self.crashed_at) > MAX_KNOWN_CRASHES:
            self.crashed_at.popitem(last=False)
        return first_at

    def _add_evidence(
        self, part: int, times: Mapping[str, float], requests: Iterable[int]
    ) -> bool:
        """Add crashes of a part; return whether any evidence is new."""
        answered_at = self.answered_at.get(part, -math.inf)
        counted = {crash: at for crash, at in times.items() if at > answered_at}
        if not counted:
            return False
        if part not in self.suspects:
            # If the answer was mistaken, the trials go on where they were.
            failed_trials = self.acquitted.get(part, 0)
            self.suspects[part] = PartSuspect(failed_trials=failed_trials)
        suspect = self.suspects[part]
        added = counted.keys() - suspect.crashes.keys()
        suspect.crashes.update(counted)
        for crash in added:
            self.parts_by_crash.setdefault(crash, set()).add(part)
        while len(suspect.crashes) > MAX_CRASHES_PER_PART:
            oldest = min(suspect.crashes, key=suspect.crashes.__getitem__)
            self._drop_crash(part, oldest)
        former_requests = len(suspect.requests)
        if former_requests < MAX_REQUESTS_PER_PART:
            suspect.requests.update(requests)
        if added:
            self.suspects.move_to_end(part)
        return bool(added) or len(suspect.requests) > former_requests

    def _note_failed_trial(
        self, parts: Sequence[int], times: Mapping[str, float]
    ) -> None:
        """Count the crash of a request whose implicated parts are all tried.

        Other requests with these parts may have been sent before. One with a
        rival that the trial's request does not have is not the trial's.
        """
        refused = self.refused(parts)
        if not refused:
            return
        doubt = self.doubt_of_all(refused, parts)
        tried = [self.suspects[part] for part in refused]
        for suspect in tried:
            added = times.keys() - suspect.crashes.keys()
            last = max((times[crash] for crash in added), default=-math.inf)
            is_open = suspect.open_trials and last >= suspect.tried_at
            if not is_open or doubt > suspect.trial_doubt:
                return
        for suspect in tried:
            suspect.open_trials -= 1
            suspect.failed_trials += 1

    def _note_answer(self, part: int, at: float) -> None:
        self.answered_at[part] = max(at, self.answered_at.get(part, at))
        self.answered_at.move_to_end(part)
        while len(self.answered_at) > MAX_ANSWERED_PARTS:
            self.answered_at.popitem(last=False)

    def _drop_crashes(self, part: int, until: float) -> bool:
        """Drop the crashes before an answer; return whether none is left."""
        suspect = self.suspects[part]
        for crash, at in tuple(suspect.crashes.items()):
            if at <= until:
                self._drop_crash(part, crash)
        if suspect.crashes:
            return False
        if part in self.implicated:
            self.acquitted[part] = suspect.failed_trials
            while len(self.acquitted) > MAX_KNOWN_CRASHES:
                self.acquitted.pop(next(iter(self.acquitted)))
        self._drop(part)
        return True

    def _drop_crash(self, part: int, crash: str) -> None:
        self.suspects[part].crashes.pop(crash)
        parts = self.parts_by_crash[crash]
        parts.discard(part)
        if not parts:
            self.parts_by_crash.pop(crash)

    def _drop(self, part: int) -> None:
        for crash in tuple(self.suspects[part].crashes):
            self._drop_crash(part, crash)
        self.suspects.pop(part)

    def _implicate(self) -> Sequence[int]:
        """Conclude from the evidence; return the newly implicated parts."""
        self.rivals.clear()
        repeated = [
            (part, suspect)
            for part, suspect in self.suspects.items()
            if len(suspect.crashes) > 1
            and len(suspect.requests) >= MIN_REQUESTS
        ]
        implicated = {
            part
            for part, suspect in repeated
            if part not in self.answered_at
            and len(suspect.crashes) >= MIN_CRASHES
        }
        # Parts that had never been answered come first, as they explain crashes
        # that others were in by coincidence.
        explained = {
            crash
            for part in implicated
            for crash in self.suspects[part].crashes
        }
        implicated.update(
            part
            for part, suspect in repeated
            if part in self.answered_at
            and self._is_implicated_again(part, suspect, explained)
        )
        added = [part for part in implicated if part not in self.implicated]
        self.implicated = frozenset(implicated)
        return added

    def _is_implicated_again(
        self, part: int, suspect: PartSuspect, explained: set[str]
    ) -> bool:
        minimum = MIN_CRASHES_IF_ANSWERED
        if part in self.acquitted:
            minimum = MIN_CRASHES_IF_IMPLICATED_BEFORE
        unexplained = suspect.crashes.keys() - explained
        return (
            len(suspect.crashes) >= minimum
            and len(unexplained) >= MIN_UNEXPLAINED_IF_ANSWERED
        )

    def _rival(
        self, other: int, part: int, crashes: Mapping[str, float]
    ) -> Rival:
        suspect = self.suspects[other]
        return Rival(
            other,
            frozenset(suspect.crashes.keys() & crashes.keys()),
            has_requests=len(suspect.requests) >= MIN_REQUESTS,
            # An answered part is the cause less likely than a new one.
            is_likely=other not in self.answered_at or part in self.answered_at,
        )

    def _expire(self, now: float) -> None:
        """Drop the suspects with no crash in the last ``LIFETIME_SECONDS``."""
        while self.suspects:
            part, suspect = next(iter(self.suspects.items()))
            if suspect.last_crash_at + LIFETIME_SECONDS > now:
                return
            self._drop(part)
