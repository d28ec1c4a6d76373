"""Messages about requests that were in flight when an upstream crashed.

Fingerprints are unsigned 64-bit numbers, sent as signed ones.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReport:
    """The requests that a router had in flight on an upstream that crashed.

    ``crash`` names the crash by upstream and instance. A report that is
    ``for_zone`` is passed on by its receiver within its own zone.
    """

    number: int = 0
    crash: str = ''
    fingerprints: list[int] = dataclasses.field(default_factory=list)
    for_zone: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReceipt:
    """The receiver of a report knows of it."""

    number: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectCleared:
    """A suspect ran to its end without a crash."""

    fingerprint: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class TurnRequest:
    """Asks for the turn to run a suspect; sent again until it is given."""

    number: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class TurnGrant:
    """Gives the turn."""

    number: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class TurnEnd:
    """The turn is over, or no longer wanted."""

    number: int = 0
