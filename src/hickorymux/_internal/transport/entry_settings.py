"""The settings of an entry process."""

import dataclasses
import datetime as dt
from collections.abc import Mapping
from typing import Final, Self

from hickorymux._internal.coordination.rollouts.orders import RolloutBounds
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.connection_policy import ConnectionSettings
from hickorymux._internal.transport.sockets import (
    MAX_UNREAD_ANSWER_BYTES,
    MAX_UNREAD_BYTES,
)


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


# The smallest host has these, so they hold wherever a host's are unknown.
DEFAULT_MEMORY_BYTES: Final = 150 << 20
DEFAULT_DESCRIPTORS: Final = 4096
# Descriptors that the host keeps for files.
RESERVED_DESCRIPTORS: Final = 200
# What an idle process uses (48 MB) with its tables and views of the fleet.
BASE_MEMORY_BYTES: Final = 56 << 20
# Share of the rest that bodies and buffers may use. A byte of a body costs
# about 1.2 bytes of resident memory, and freed blocks are not all returned to
# the host; the remainder is for connections and for requests at work.
BUFFER_SHARE: Final = 0.45
MIN_BUFFER_BYTES: Final = 8 << 20
# Share of the buffers that one customer or one address may use.
OWNER_SHARE: Final = 0.75
# Share of the descriptors for connections of callers. Each may need another
# one towards an upstream. The remainder is for the store, peers, metrics and
# connections that are refused.
CALLER_SHARE: Final = 0.35
# Shares of that remainder for links from other routers, for connections that
# are refused (in each of two ways), and for connections to the readiness and
# the metrics port (each).
LINK_SHARE: Final = 0.3
REFUSAL_SHARE: Final = 0.2
SERVICE_SHARE: Final = 0.08
MAX_LINKS: Final = 512
MAX_REFUSALS: Final = 500
MAX_SERVICE_CONNECTIONS: Final = 32
MIN_SERVICE_CONNECTIONS: Final = 4
# Share of the memory beside the base for connections at work. More of them take
# from the buffers, up to this share of those.
CONNECTION_MEMORY_SHARE: Final = 0.12
MAX_TAKEN_SHARE: Final = 0.9
# Share of the memory beside the base for connections that wait to be accepted.
BACKLOG_MEMORY_SHARE: Final = 0.08
LINK_MEMORY_SHARE: Final = 0.06
FRAME_MEMORY_SHARE: Final = 0.03
# Room for two frames of one address, and for others.
MIN_FRAME_BYTES: Final = 4 << 20
# What a connection of a caller, or one to an upstream while it is used, may
# cost beside what is buffered: an object, and what its socket holds.
CALLER_CONNECTION_BYTES: Final = (14 << 10) + MAX_UNREAD_BYTES
UPSTREAM_CONNECTION_BYTES: Final = (14 << 10) + MAX_UNREAD_ANSWER_BYTES
# What a link from another router may cost while its frame is incomplete: an
# object, what its socket holds, and what is read ahead of a large frame.
LINK_COST_BYTES: Final = (10 << 10) + MAX_UNREAD_BYTES + (32 << 10)
MAX_BACKLOG: Final = 1024
MIN_BACKLOG: Final = 64


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessLimits:
    """Limits of one process.

    ``buffer_bytes`` bounds the bodies and buffers of all requests, and
    ``owner_bytes`` those of one customer or, on a public route, one address.
    Connections at work may hold ``connection_bytes`` beside that; what they
    hold in excess takes from the buffers.
    ``max_callers`` and ``max_upstreams`` bound the connections from callers and
    to upstreams, and ``backlog`` those that wait to be accepted. ``max_links``
    bounds the links from other routers, ``frame_bytes`` the large frames that
    arrive on them at the same time, ``max_refusals`` the connections that
    are being refused, and ``max_service`` those to the readiness and to the
    metrics port, each.

    Example::

        limits = ProcessLimits.from_host(150 << 20, 4096)
    """

    buffer_bytes: int
    owner_bytes: int
    connection_bytes: int
    max_callers: int
    max_upstreams: int
    backlog: int
    max_links: int
    frame_bytes: int
    max_refusals: int
    max_service: int

    @classmethod
    def from_host(cls, memory_bytes: int, descriptors: int) -> Self:
        """Return the limits for a host's memory and descriptors."""
        memory = max(0, memory_bytes - BASE_MEMORY_BYTES)
        buffer_bytes = max(MIN_BUFFER_BYTES, int(memory * BUFFER_SHARE))
        open_files = max(1, descriptors - RESERVED_DESCRIPTORS)
        connection_bytes = int(memory * CONNECTION_MEMORY_SHARE)
        affordable = (
            connection_bytes + buffer_bytes * MAX_TAKEN_SHARE
        ) / CALLER_CONNECTION_BYTES
        callers = min(
            int(open_files * CALLER_SHARE),
            int(affordable),
        )
        others = open_files - 2 * callers
        waiting = memory * BACKLOG_MEMORY_SHARE / MAX_UNREAD_BYTES
        links = memory * LINK_MEMORY_SHARE / LINK_COST_BYTES
        return cls(
            buffer_bytes=buffer_bytes,
            owner_bytes=int(buffer_bytes * OWNER_SHARE),
            connection_bytes=connection_bytes,
            max_callers=max(1, callers),
            max_upstreams=max(1, callers),
            backlog=_between(MIN_BACKLOG, waiting, MAX_BACKLOG),
            max_links=_between(1, min(links, others * LINK_SHARE), MAX_LINKS),
            frame_bytes=max(MIN_FRAME_BYTES, int(memory * FRAME_MEMORY_SHARE)),
            max_refusals=_between(1, others * REFUSAL_SHARE, MAX_REFUSALS),
            max_service=_between(
                MIN_SERVICE_CONNECTIONS,
                others * SERVICE_SHARE,
                MAX_SERVICE_CONNECTIONS,
            ),
        )


def _between(least: int, number: float, most: int) -> int:
    """Return a number, or the bound that it exceeds."""
    return max(least, min(most, int(number)))


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """The settings of one entry process.

    ``callers``, ``readiness``, ``peers`` and ``metrics`` are the addresses on
    which it serves callers, readiness checks, other routers and metrics.
    ``store`` is the address of the store. ``fleet_key`` authenticates the
    messages between routers. Upstreams renew their entries about every
    ``upstream_renewal``. ``connections`` is for those to upstreams, and
    ``limits`` bound the memory and the number of connections.
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
    limits: ProcessLimits = dataclasses.field(
        default_factory=lambda: ProcessLimits.from_host(
            DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS
        )
    )
