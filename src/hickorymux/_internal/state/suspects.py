"""Record which requests were in flight when an upstream crashed.

Requests are known by their fingerprints. After one crash a fingerprint is a
suspect. Suspects run one at a time, so a second crash shows which of the
requests in flight at the first one was the cause. After two crashes a
fingerprint is refused. A request that is answered whole does not cause crashes, and is
cleared.

Example::

    table = SuspectTable(lifetime_seconds=600, max_entries=4096)
    table.add_crash(fingerprint, 'engine-1#i7', now=0)
    assert table.suspicion_of(fingerprint, now=1) is Suspicion.suspect
"""

import collections
import dataclasses
import enum
import itertools
from collections.abc import Sequence
from typing import final

from hickorymux._internal.state.trials import (
    FIRST_TRIAL_SECONDS,
    TrialSchedule,
)

CRASHES_UNTIL_REFUSED = 2
# Cleared fingerprints that are kept, so that routers that missed it are told.
MAX_CLEARED = 1024


class Suspicion(enum.Enum):
    """Whether a request runs freely, one suspect at a time or not at all."""

    clear = 'clear'
    suspect = 'suspect'
    refused = 'refused'


@dataclasses.dataclass(slots=True)
class Suspect:
    """The crashes at which a fingerprint was in flight.

    ``crashes`` names each crash by upstream and instance, so a crash that
    several routers report counts once. ``trial`` is set while the fingerprint
    is refused. ``last_crash_at`` is a time on this router's monotonic clock,
    in seconds.
    """

    last_crash_at: float
    crashes: frozenset[str] = frozenset()
    trial: TrialSchedule | None = None


@final
class SuspectTable:
    """The suspects that one router knows.

    Beyond ``max_entries``, the fingerprint whose last crash is the oldest is
    evicted. ``cleared_at`` is when a fingerprint was last found not to cause
    crashes, in monotonic seconds.
    """

    __slots__ = (
        'cleared_at',
        'crashes_until_refused',
        'entries',
        'lifetime_seconds',
        'max_entries',
    )

    def __init__(
        self,
        lifetime_seconds: float,
        max_entries: int,
        crashes_until_refused: int = CRASHES_UNTIL_REFUSED,
    ) -> None:
        self.crashes_until_refused = crashes_until_refused
        self.lifetime_seconds = lifetime_seconds
        self.max_entries = max_entries
        self.entries: collections.OrderedDict[int, Suspect]
        self.entries = collections.OrderedDict()
        self.cleared_at: collections.OrderedDict[int, float]
        self.cleared_at = collections.OrderedDict()

    def suspicion_of(self, fingerprint: int, now: float) -> Suspicion:
        """Return how a fingerprint may run.

        ``now`` is the time on the monotonic clock, in seconds.
        """
        entry = self._unexpired_entry(fingerprint, now)
        return (
            self._suspicion_from(entry)
            if entry is not None
            else Suspicion.clear
        )

    def add_crash(self, fingerprint: int, crash: str, now: float) -> None:
        """Record that the fingerprint was in flight at a crash."""
        entry = self._unexpired_entry(fingerprint, now) or Suspect(now)
        if crash not in entry.crashes:
            entry.crashes |= {crash}
            self._schedule_trial(entry, now)
        entry.last_crash_at = now
        self._store(fingerprint, entry)

    def merge(
        self,
        fingerprint: int,
        known: Suspect,
        now: float,
    ) -> bool:
        """Add the crashes that another router knows.

        Returns ``False`` and adds nothing if the fingerprint was cleared since
        the last of them.
        """
        cleared_at = self.cleared_at.get(fingerprint)
        if cleared_at is not None and cleared_at >= known.last_crash_at:
            return False
        entry = self._unexpired_entry(fingerprint, now)
        if entry is None:
            entry = Suspect(known.last_crash_at)
        if not known.crashes <= entry.crashes:
            entry.crashes |= known.crashes
            entry.last_crash_at = max(entry.last_crash_at, known.last_crash_at)
            entry.trial = entry.trial or known.trial
            if entry.trial is None:
                self._schedule_trial(entry, now)
            self._store(fingerprint, entry)
        return True

    def repeated(self, limit: int) -> Sequence[tuple[int, Suspect]]:
        """Return the newest fingerprints that were at several crashes."""
        rows = (
            (fingerprint, entry)
            for fingerprint, entry in reversed(self.entries.items())
            if len(entry.crashes) > 1
        )
        return list(itertools.islice(rows, limit))

    def trial_of(self, fingerprint: int) -> TrialSchedule | None:
        """Return when a refused fingerprint may run again, if it is refused."""
        entry = self.entries.get(fingerprint)
        return None if entry is None else entry.trial

    def clear(self, fingerprint: int, now: float) -> None:
        """Remove a request that was answered whole."""
        self.entries.pop(fingerprint, None)
        self.cleared_at[fingerprint] = now
        self.cleared_at.move_to_end(fingerprint)
        while len(self.cleared_at) > MAX_CLEARED:
            self.cleared_at.popitem(last=False)

    def _schedule_trial(self, entry: Suspect, now: float) -> None:
        """Schedule the next trial after a crash, if the entry is refused."""
        if entry.trial is not None:
            entry.trial.postpone(now)
        elif self._suspicion_from(entry) is Suspicion.refused:
            entry.trial = TrialSchedule(FIRST_TRIAL_SECONDS, now)

    def _suspicion_from(self, entry: Suspect) -> Suspicion:
        """Return the suspicion that the number of crashes amounts to."""
        if len(entry.crashes) >= self.crashes_until_refused:
            return Suspicion.refused
        return Suspicion.suspect

    def _unexpired_entry(self, fingerprint: int, now: float) -> Suspect | None:
        entry = self.entries.get(fingerprint)
        if entry is None or now - entry.last_crash_at < self.lifetime_seconds:
            return entry
        self.entries.pop(fingerprint)
        return None

    def _store(self, fingerprint: int, entry: Suspect) -> None:
        self.entries[fingerprint] = entry
        self.entries.move_to_end(fingerprint)
        while len(self.entries) > self.max_entries:
            self.entries.popitem(last=False)
