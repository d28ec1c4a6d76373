"""The routing table: where requests go, who may send them, within what limits.

A table is one version of what the operators published. It is replaced as a
whole and never changed in place.

Example::

    route = table.match('api.example', '/drafts/7')
    customer = table.customers_by_key.get(key)
"""

import dataclasses
import datetime as dt
import enum
from collections.abc import Mapping, Sequence
from typing import Final, final

DEFAULT_MAX_HEADER_BYTES: Final = 16384
DEFAULT_MAX_BODY_BYTES: Final = 4 << 20


class RequestKind(enum.StrEnum):
    """What may be repeated; streams are events that arrive one by one."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclasses.dataclass(slots=True, frozen=True)
class PoolWeight:
    """A pool and its share of a route's requests, relative to the others."""

    pool: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class HttpRoute:
    """Where requests for one host and path prefix go, and within what limits.

    ``timeout`` bounds the whole answer; ``latency_objective`` is the time
    within which it should begin. ``max_attempts`` counts the upstreams that
    one request may be sent to. ``regions`` is empty where any region will do.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    pools: tuple[PoolWeight, ...]
    timeout: dt.timedelta
    latency_objective: dt.timedelta
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.streaming:
            return self.is_resumable
        return self.kind is RequestKind.idempotent


@dataclasses.dataclass(slots=True, frozen=True)
class EngineModel:
    """What the model engines of a pool can hold: requests and tokens."""

    slots: int
    memory_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class PoolPolicy:
    """What all upstreams of a pool have in common.

    ``cold_rate`` is the requests a second that one cold upstream bears.
    ``engine`` is absent for plain services.
    """

    name: str
    cold_period: dt.timedelta
    cold_rate: float
    engine: EngineModel | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Customer:
    """Who a key belongs to; ``regions`` as for a route."""

    name: str
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class IngressLimits:
    """What a caller may send, in octets, and how long it may take."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout: dt.timedelta = dt.timedelta(seconds=5)
    idle_timeout: dt.timedelta = dt.timedelta(seconds=15)


@final
@dataclasses.dataclass(slots=True, frozen=True)
class RoutingTable:
    """One version of the routes, the pools and the customers.

    ``routes_by_host`` lists the routes of a host, longest prefix first.
    ``token_capacity`` is what all engines together produce in a second, a
    token that is read counted once and one that is written twice; 0 when
    unknown.
    """

    version: int
    routes_by_host: Mapping[str, Sequence[HttpRoute]]
    pools: Mapping[str, PoolPolicy]
    customers_by_key: Mapping[str, Customer]
    limits: IngressLimits = dataclasses.field(default_factory=IngressLimits)
    token_capacity: float = 0

    def match(self, host: str, path: str) -> HttpRoute | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
