"""The settings of an entry process."""

import dataclasses
import datetime as dt
from collections.abc import Mapping

from hickorymux._internal.coordination.rollouts.orders import RolloutBounds
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.connection_policy import ConnectionSettings


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceBounds:
    """Limits of the operators; they hold for all routers together.

    ``shutdown`` is the time between the stop signal and the end of a process.
    ``key_revocation`` is the staleness from which a view of the customers'
    keys may no longer be used, ``None`` for no limit. Retries of a pool are
    limited to ``retry_share`` of its requests plus ``retry_floor`` within a
    ``retry_window``. A cold upstream gets at most its cold rate times
    ``cold_burst`` plus ``cold_floor`` requests in any second. At most
    ``hedge_share`` of the requests of a pool are sent to a second upstream
    because the first is slow. ``rollouts``
    is ``None`` if the deployment has no roll-outs.
    """

    shutdown: dt.timedelta
    key_revocation: dt.timedelta | None
    retry_share: float
    retry_window: dt.timedelta
    retry_floor: float
    cold_burst: float
    cold_floor: float
    hedge_share: float = 0
    rollouts: RolloutBounds | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """The settings of one entry process.

    ``callers``, ``readiness``, ``peers`` and ``metrics`` are the addresses on
    which it serves callers, readiness checks, other routers and metrics.
    ``store`` is the address of the store. ``fleet_key`` authenticates the
    messages between routers. Upstreams renew their entries about every
    ``upstream_renewal``. ``connections`` is for those to upstreams.
    """

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
    upstream_renewal: dt.timedelta
    connections: ConnectionSettings = ConnectionSettings()
