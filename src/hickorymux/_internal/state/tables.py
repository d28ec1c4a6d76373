"""The two tables of the operators, routes and pools, as plain data.

Durations are ``timedelta``; slots are numbers of concurrent requests; weights
are dimensionless shares.
"""

import dataclasses
import datetime as dt
import enum
from collections.abc import Mapping


class PoolKind(enum.StrEnum):
    """What the upstreams of a pool speak."""

    model = 'model'
    service = 'service'


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where the work of customers goes.

    A request matches by ``model`` (chat completions) or by ``path_prefix``
    (plain services). ``customers`` is empty when every customer may use it.
    ``idempotent_methods`` lists the HTTP methods that may be repeated.
    """

    name: str
    pool: str
    model: str = ''
    path_prefix: str = ''
    customers: frozenset[str] = frozenset()
    idempotent_methods: frozenset[str] = frozenset(('GET', 'HEAD'))
    requires_key: bool = False
    queue_timeout: dt.timedelta = dt.timedelta(seconds=30)
    total_timeout: dt.timedelta = dt.timedelta(seconds=300)


@dataclasses.dataclass(slots=True, frozen=True)
class Upstream:
    """One server of a pool and what it can bear, in concurrent requests."""

    name: str
    zone: str
    address: str
    slots: int
    cold_slots: int = 1
    reports_load: bool = True
    checks_fence: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """A group of upstreams that serve the same work."""

    name: str
    kind: PoolKind
    upstreams: tuple[Upstream, ...]
    weights: Mapping[str, float] = dataclasses.field(default_factory=dict)
    default_weight: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Tables:
    """Both tables and the drains, as of one version of the configuration."""

    version: int = 0
    routes: Mapping[str, Route] = dataclasses.field(default_factory=dict)
    pools: Mapping[str, Pool] = dataclasses.field(default_factory=dict)
    drained_zones: frozenset[str] = frozenset()
    drained_upstreams: frozenset[str] = frozenset()

    def is_drained(self, upstream: Upstream) -> bool:
        """Return whether operators took the upstream or its zone out."""
        if upstream.zone in self.drained_zones:
            return True
        return upstream.name in self.drained_upstreams
