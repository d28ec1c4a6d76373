"""The settings of an entry process."""

import dataclasses
import datetime as dt
from collections.abc import Mapping

from hickorymux._internal.transport.address import Address


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceBounds:
    """What the operators allow all routers together.

    ``key_revocation`` is the age at which a view of the customers' keys may
    no longer be used, ``None`` where any age will do. Retries of a pool are
    bounded by ``retry_share`` of its requests plus ``retry_floor`` in a
    ``retry_window``. A cold upstream gets at most its cold rate times
    ``cold_burst`` plus ``cold_floor`` requests in any second.
    """

    shutdown: dt.timedelta
    key_revocation: dt.timedelta | None
    retry_share: float
    retry_window: dt.timedelta
    retry_floor: float
    cold_burst: float
    cold_floor: float


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """Everything that an entry process is told at its start."""

    router_id: str
    zone: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    store: Address
    region_of_zone: Mapping[str, str]
    bounds: ServiceBounds
    fleet_key: bytes
