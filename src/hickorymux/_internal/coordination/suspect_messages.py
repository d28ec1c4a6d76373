"""Messages about crash suspects, requests in flight when an upstream crashed.

Fingerprints are unsigned 64-bit integers that are sent as signed ones, as
Thrift has no unsigned type.
"""

import dataclasses
from typing import Final

_UNSIGNED_BITS: Final = 64


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReport:
    """The requests that a router had in flight on an upstream that crashed.

    ``number`` identifies the report in its receipt. ``crash`` names the
    upstream and its instance, as in ``engine-1#i7``. With ``for_zone`` the
    receiver forwards the report to the routers of its zone.
    """

    number: int = 0
    crash: str = ''
    fingerprints: list[int] = dataclasses.field(default_factory=list)
    for_zone: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReceipt:
    """Confirms that a ``CrashReport`` was recorded."""

    number: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectCleared:
    """Reports that a crash suspect ran to completion without a crash."""

    fingerprint: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectKnown:
    """The crashes of a request that was at several of them.

    ``age_ms`` is how long ago the sender recorded the last one.
    ``trial_interval_ms`` is the interval until the next trial of a request
    that the sender refuses, 0 if it does not refuse it.
    """

    fingerprint: int = 0
    crashes: list[str] = dataclasses.field(default_factory=list)
    age_ms: int = 0
    trial_interval_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class TurnRequest:
    """Requests the permit to run a crash suspect; repeated until granted."""

    number: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class TurnGrant:
    """Grants the permit to run a crash suspect."""

    number: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class TurnEnd:
    """Releases the permit, or withdraws the request for it."""

    number: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class PartCrash:
    """A request that was lost when an upstream crashed, and its prompt parts.

    ``crash`` names the upstream and its instance, as in ``engine-1#i7``.
    ``request`` and ``parts`` are fingerprints.
    """

    crash: str = ''
    request: int = 0
    parts: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class PartsCleared:
    """Prompt parts with which an upstream has begun an answer.

    ``ages_ms`` is how long ago it began, in the order of the parts. Absent ages
    stand for 0.
    """

    parts: list[int] = dataclasses.field(default_factory=list)
    ages_ms: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class PartsRefused:
    """Prompt parts that the sender refuses, and the crashes that they were in.

    ``ages_ms`` is how long ago the crashes were recorded. ``requests`` are
    some of the requests that were lost in them, and ``failed_trials`` is how
    many trials of the parts crashed an upstream. ``rivals`` are other suspect
    parts of the same crashes; the bits of ``rival_crashes`` tell which ones,
    the lowest bit stands for the first.
    """

    parts: list[int] = dataclasses.field(default_factory=list)
    crashes: list[str] = dataclasses.field(default_factory=list)
    ages_ms: list[int] = dataclasses.field(default_factory=list)
    requests: list[int] = dataclasses.field(default_factory=list)
    failed_trials: int = 0
    rivals: list[int] = dataclasses.field(default_factory=list)
    rival_crashes: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class PartsTried:
    """Refused prompt parts of which the sender starts a trial.

    ``doubt`` is the number of the ``Doubt`` in which it does.
    """

    parts: list[int] = dataclasses.field(default_factory=list)
    doubt: int = 0


def signed_fingerprint(fingerprint: int) -> int:
    """Return the signed integer with the same 64 bits."""
    if fingerprint >> (_UNSIGNED_BITS - 1):
        return fingerprint - (1 << _UNSIGNED_BITS)
    return fingerprint


def unsigned_fingerprint(number: int) -> int:
    """Return the unsigned integer with the same 64 bits."""
    return number % (1 << _UNSIGNED_BITS)
