"""Fingerprints of requests that were in flight when an upstream crashed.

A fingerprint that was seen at one crash is a suspect; no two suspects run at
once, so that a second crash tells the cause from its neighbours. One that was
seen at two crashes is refused. Running to an end clears a suspect.

Example::

    table = SuspectTable(lifetime_seconds=600, max_entries=4096)
    table.add_crash(fingerprint, 'engine-1#i7', now=0)
    assert table.standing(fingerprint, now=1) is Suspicion.suspect
"""

import collections
import dataclasses
import enum
from typing import final

CRASHES_UNTIL_REFUSED = 2


class Suspicion(enum.Enum):
    """How a fingerprint may run."""

    clear = 'clear'
    suspect = 'suspect'
    refused = 'refused'


@dataclasses.dataclass(slots=True)
class Suspect:
    """The crashes that a fingerprint was in flight at.

    ``crashes`` names each crash by upstream and instance, so that routers
    that report the same crash count it once. ``expires_at`` is monotonic
    seconds of this router.
    """

    expires_at: float
    crashes: frozenset[str] = frozenset()


@final
class SuspectTable:
    """The suspects that one router knows of; the oldest make room."""

    __slots__ = (
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

    def suspicion_of(self, fingerprint: int, now: float) -> Suspicion:
        """Return how a fingerprint may run at a monotonic time."""
        entry = self._unexpired_entry(fingerprint, now)
        return (
            self._suspicion_from(entry)
            if entry is not None
            else Suspicion.clear
        )

    def add_crash(self, fingerprint: int, crash: str, now: float) -> None:
        """Note that the fingerprint was in flight at a crash."""
        entry = self._unexpired_entry(fingerprint, now) or Suspect(0)
        entry.crashes |= {crash}
        entry.expires_at = now + self.lifetime_seconds
        self.entries[fingerprint] = entry
        self.entries.move_to_end(fingerprint)
        while len(self.entries) > self.max_entries:
            self.entries.popitem(last=False)

    def clear_suspect(self, fingerprint: int) -> None:
        """Forget a suspect that ran to its end, unless refused."""
        entry = self.entries.get(fingerprint)
        if (
            entry is not None
            and self._suspicion_from(entry) is Suspicion.suspect
        ):
            self.entries.pop(fingerprint)

    def _suspicion_from(self, entry: Suspect) -> Suspicion:
        """Return what follows from the crashes."""
        if len(entry.crashes) >= self.crashes_until_refused:
            return Suspicion.refused
        return Suspicion.suspect

    def _unexpired_entry(self, fingerprint: int, now: float) -> Suspect | None:
        entry = self.entries.get(fingerprint)
        if entry is None or entry.expires_at > now:
            return entry
        self.entries.pop(fingerprint)
        return None
