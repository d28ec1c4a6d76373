"""JSON answer of a router about where a request would be sent now.

``GET /explain`` on the metrics address returns a ``PlacementReport``, or with
status 400 a ``ParameterError``.
"""

import enum
from typing import Final, final

import msgspec

PLACEMENT_PATH: Final = '/explain'


@final
class Exclusion(enum.StrEnum):
    """Why an upstream can't get a request now."""

    draining = 'draining'
    zone_evacuated = 'zone_evacuated'
    left = 'left'
    failing_health = 'failing_health'
    leaving = 'leaving'
    paused = 'paused'
    at_request_limit = 'at_request_limit'
    other_region = 'other_region'
    other_version = 'other_version'
    cold_without_share = 'cold_without_share'
    no_slots = 'no_slots'
    no_memory = 'no_memory'


@final
class Verdict(enum.StrEnum):
    """What would happen to a request that arrived now."""

    placed = 'placed'
    waits = 'waits'
    refused = 'refused'


@final
class CandidateReport(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream of the pool.

    ``excluded`` is ``None`` if the upstream could get the request. ``running``
    counts requests of all routers. ``report_age_seconds`` is the age of the
    load that the upstream stated and ``work_time`` how long work takes there
    relative to 1 as usual; both are ``None`` without a current statement.
    ``expected_seconds`` is the time until the answer begins for model engines
    and until it is whole for plain services, ``None`` without room.
    """

    upstream: str
    zone: str
    version: str
    excluded: Exclusion | None
    running: int
    unprocessed_tokens: int
    memory_tokens: int
    is_cold: bool = False
    report_age_seconds: float | None = None
    work_time: float | None = None
    expected_seconds: float | None = None


@final
class PlacementReport(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request would be sent; ``chosen`` is empty if nowhere now."""

    pool: str
    verdict: Verdict
    reason: str
    chosen: str = ''
    candidates: tuple[CandidateReport, ...] = ()


@final
class ParameterError(msgspec.Struct, frozen=True, kw_only=True):
    """A refused query: the code, the parameter's name and the detail."""

    code: str
    parameter: str
    detail: str
