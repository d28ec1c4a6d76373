"""The routing table: routes, pools, customers and limits.

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
    """The kind of a route's requests, which decides if they may be repeated.

    The answer to a streaming request is a sequence of events.
    """

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
    """The pools and limits for requests to one host and path prefix.

    ``timeout`` limits the whole answer; ``latency_objective`` is the time
    within which it should begin. ``max_attempts`` is the number of upstreams
    that one request may be sent to. ``regions`` is empty if any region will
    do.
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
    """The capacity of each model engine of a pool.

    ``slots`` is the number of requests, ``memory_tokens`` the number of tokens
    that an engine can hold.
    """

    slots: int
    memory_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class PoolPolicy:
    """The properties that all upstreams of a pool have in common.

    ``cold_period`` is how long an upstream is cold after its start, and
    ``cold_rate`` the requests per second that a cold upstream can serve.
    ``engine`` is ``None`` for plain services. ``max_connections`` is how many
    connections an upstream accepts from all routers together, 0 if unknown.
    """

    name: str
    cold_period: dt.timedelta
    cold_rate: float
    engine: EngineModel | None = None
    max_connections: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Customer:
    """The owner of an API key; ``regions`` is as for a route."""

    name: str
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class IngressLimits:
    """Limits on a caller's request: sizes in bytes, and timeouts."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout: dt.timedelta = dt.timedelta(seconds=5)
    idle_timeout: dt.timedelta = dt.timedelta(seconds=15)


@final
@dataclasses.dataclass(slots=True, frozen=True)
class RoutingTable:
    """One version of the routes, the pools and the customers.

    ``routes_by_host`` lists the routes of a host, longest prefix first.
    ``token_capacity`` is the number of tokens per second that all engines
    together can process; each generated token counts as two prompt tokens. It
    is 0 if unknown.
    """

    version: int
    routes_by_host: Mapping[str, Sequence[HttpRoute]]
    pools: Mapping[str, PoolPolicy]
    customers_by_key: Mapping[str, Customer]
    limits: IngressLimits = dataclasses.field(default_factory=IngressLimits)
    token_capacity: float = 0

    @property
    def longest_timeout(self) -> dt.timedelta:
        """Return the longest timeout of a route, zero without any route."""
        return max(
            (
                route.timeout
                for routes in self.routes_by_host.values()
                for route in routes
            ),
            default=dt.timedelta(),
        )

    def match(self, host: str, path: str) -> HttpRoute | None:
        """Return the route with the longest matching path prefix, if any."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
