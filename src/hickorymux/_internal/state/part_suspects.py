"""Finds the prompt parts that crash the engines that answer them.

Requests with such a part differ in all else, so only the part recurs from crash
to crash. A part is a suspect from the first crash of an engine that was about
to answer a request with it. It is refused after ``MIN_CRASHES`` crashes with
``MIN_REQUESTS`` different requests, unless an answer to another request with
it has begun since: a part that crashes engines lets no answer begin. So parts
that many sound requests share are cleared all the time.

A crash that a refused part explains does not count against the other parts of
the requests that were lost in it. A refused part is tried again with one
request at growing intervals, so that a wrong conclusion does not last.

Example::

    table.add_crash('engine-1#7', request=1, parts=(system, report), now=0)
    table.add_crash('engine-2#4', request=1, parts=(system, report), now=1)
    table.on_answer_begun((system,), now=1)
    table.add_crash('engine-3#9', request=2, parts=(system, report), now=2)
    assert table.refused((system, report)) == [report]
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final, final

from hickorymux._internal.state.trials import (
    FIRST_TRIAL_SECONDS,
    TrialSchedule,
)

# With fewer, a part may have been at the crashing engines by coincidence.
MIN_CRASHES: Final = 3
# A request that is tried at several engines is evidence against its parts only
# together with another request.
MIN_REQUESTS: Final = 2
# The crashes after which a part is refused though answers with it had begun
# before the first of them. Many sound requests share such a part, so it is
# often at several engines that crash for another reason.
MIN_CRASHES_IF_ANSWERED: Final = 5
# How long after the last crash a refused part is first tried again if it had
# been answered before.
FIRST_TRIAL_SECONDS_IF_ANSWERED: Final = 1.0
# How long a suspect is kept after its last crash.
LIFETIME_SECONDS: Final = 600.0
# An answer that began at most this long ago shows that a part is sound.
RECENT_ANSWER_SECONDS: Final = 10.0
MAX_SUSPECTS: Final = 4096
MAX_ANSWERED_PARTS: Final = 8192
MAX_EXPLAINED_CRASHES: Final = 1024


@dataclasses.dataclass(slots=True)
class PartSuspect:
    """What is known of one suspect.

    ``crashes`` names engine incarnations, ``requests`` has the fingerprints of
    the requests that were lost in them. ``trial`` is set while the part is
    refused. ``expires_at`` is in monotonic seconds.
    """

    expires_at: float
    crashes: set[str] = dataclasses.field(default_factory=set)
    requests: set[int] = dataclasses.field(default_factory=set)
    trial: TrialSchedule | None = None


@final
class PartSuspects:
    """The suspect and refused parts that one router knows.

    Parts are known by fingerprints, 64-bit integers. ``answered_at`` is when an
    engine last began to answer a request with a part, in monotonic seconds.
    """

    __slots__ = ('answered_at', 'explained_crashes', 'suspects')

    def __init__(self) -> None:
        self.suspects: collections.OrderedDict[int, PartSuspect]
        self.suspects = collections.OrderedDict()
        self.answered_at: collections.OrderedDict[int, float]
        self.answered_at = collections.OrderedDict()
        # An ordered set, oldest first.
        self.explained_crashes: collections.OrderedDict[str, None]
        self.explained_crashes = collections.OrderedDict()

    def add_crash(
        self, crash: str, request: int, parts: Iterable[int], now: float
    ) -> Sequence[int]:
        """Record a request that was lost when an engine crashed.

        Returns the parts that are refused from now on.
        """
        self._expire(now)
        known = [part for part in parts if self._is_refused(part)]
        if known:
            self._explain(crash)
            for part in known:
                self._delay_trial(part, crash, now)
            return ()
        if crash in self.explained_crashes:
            return ()
        for part in parts:
            self._add_suspect(part, crash, request, now)
        return self._refuse_all(parts, now)

    def on_answer_begun(
        self, parts: Sequence[int], now: float
    ) -> Sequence[int]:
        """Record that an engine answers a request with these parts.

        Returns the former suspects among them, which are cleared.
        """
        cleared = self.clear(parts)
        for part in parts:
            self.answered_at[part] = now
            self.answered_at.move_to_end(part)
        while len(self.answered_at) > MAX_ANSWERED_PARTS:
            self.answered_at.popitem(last=False)
        return cleared

    def clear(self, parts: Iterable[int]) -> Sequence[int]:
        """Remove parts from the suspects; return those that were among them."""
        cleared = [part for part in parts if part in self.suspects]
        for part in cleared:
            self.suspects.pop(part)
        return cleared

    def refused(self, parts: Iterable[int]) -> Sequence[int]:
        """Return the refused ones among the parts."""
        return [part for part in parts if self._is_refused(part)]

    def all_refused(self) -> Sequence[int]:
        """Return all refused parts."""
        return self.refused(self.suspects)

    def refuse(self, part: int, now: float) -> None:
        """Refuse a part, as another router does."""
        suspect = self.suspects.setdefault(part, PartSuspect(0))
        if suspect.trial is None:
            self._refuse(part, suspect, now)

    def is_recently_answered(self, part: int, now: float) -> bool:
        """Return whether an answer with the part began a short time ago."""
        answered_at = self.answered_at.get(part)
        if answered_at is None:
            return False
        return now - answered_at <= RECENT_ANSWER_SECONDS

    def is_trial_due(self, part: int, now: float) -> bool:
        """Return whether a refused part may be tried again."""
        trial = self.suspects[part].trial
        return trial is not None and trial.is_due(now)

    def postpone_trial(self, part: int, now: float) -> None:
        """Postpone the next trial of a refused part, as one is started."""
        trial = self.suspects[part].trial
        if trial is not None:
            trial.postpone(now)

    def _is_refused(self, part: int) -> bool:
        suspect = self.suspects.get(part)
        return suspect is not None and suspect.trial is not None

    def _add_suspect(
        self, part: int, crash: str, request: int, now: float
    ) -> None:
        suspect = self.suspects.setdefault(part, PartSuspect(0))
        suspect.crashes.add(crash)
        suspect.requests.add(request)
        suspect.expires_at = now + LIFETIME_SECONDS
        self.suspects.move_to_end(part)
        while len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)

    def _refuse_all(self, parts: Iterable[int], now: float) -> Sequence[int]:
        """Refuse the parts with enough evidence against them.

        Parts that had never been answered come first, as they explain crashes
        that others were in by coincidence.
        """
        refused = []
        for part in sorted(parts, key=self.answered_at.__contains__):
            suspect = self.suspects.get(part)
            if suspect is not None and self._has_evidence(part, suspect):
                self._refuse(part, suspect, now)
                refused.append(part)
        return refused

    def _has_evidence(self, part: int, suspect: PartSuspect) -> bool:
        minimum = (
            MIN_CRASHES_IF_ANSWERED if part in self.answered_at else MIN_CRASHES
        )
        return (
            len(suspect.crashes) >= minimum
            and len(suspect.requests) >= MIN_REQUESTS
        )

    def _refuse(self, part: int, suspect: PartSuspect, now: float) -> None:
        suspect.expires_at = now + LIFETIME_SECONDS
        first_interval = FIRST_TRIAL_SECONDS
        if part in self.answered_at:
            first_interval = FIRST_TRIAL_SECONDS_IF_ANSWERED
        suspect.trial = TrialSchedule(first_interval, now)
        for crash in suspect.crashes:
            self._explain(crash)

    def _explain(self, crash: str) -> None:
        """Stop counting a crash against parts that are not refused."""
        self.explained_crashes[crash] = None
        while len(self.explained_crashes) > MAX_EXPLAINED_CRASHES:
            self.explained_crashes.popitem(last=False)
        for part, suspect in tuple(self.suspects.items()):
            if suspect.trial is None and crash in suspect.crashes:
                suspect.crashes.discard(crash)
                if not suspect.crashes:
                    self.suspects.pop(part)

    def _delay_trial(self, part: int, crash: str, now: float) -> None:
        """Postpone the next trial of a refused part after one more crash."""
        suspect = self.suspects[part]
        suspect.expires_at = now + LIFETIME_SECONDS
        if crash not in suspect.crashes:
            suspect.crashes.add(crash)
            self.postpone_trial(part, now)

    def _expire(self, now: float) -> None:
        while self.suspects:
            part, suspect = next(iter(self.suspects.items()))
            if suspect.expires_at > now:
                return
            self.suspects.pop(part)
