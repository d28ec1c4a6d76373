"""The rows of the operators' tables as they are written and published.

A row holds plain JSON values, durations as text such as ``30s``. It is checked
before it becomes a ``Route``, a ``Pool`` or an ``Upstream``.
"""

import dataclasses
import enum
from typing import TypeAlias, final

import msgspec

from hickorymux._internal.state.tables import Pool, PoolKind, Route, Upstream
from hickorymux._internal.utils.durations import parse_duration


class RowKind(enum.StrEnum):
    """The tables of the configuration; drains count as tables too."""

    route = 'route'
    pool = 'pool'
    upstream = 'upstream'
    zone_drain = 'zone_drain'
    upstream_drain = 'upstream_drain'


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class RowKey:
    """Names one row of the configuration."""

    kind: RowKind
    name: str

    def __str__(self) -> str:
        """Return the key as an operator reads it."""
        return f'{self.kind.replace("_", " ")} "{self.name}"'


@final
class RouteRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A row of the routes table."""

    name: str
    pool: str
    model: str = ''
    path_prefix: str = ''
    customers: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')
    requires_key: bool = False
    queue_timeout: str = '30s'
    total_timeout: str = '300s'

    def to_route(self) -> Route:
        """Return the checked row as a route."""
        return Route(
            name=self.name,
            pool=self.pool,
            model=self.model,
            path_prefix=self.path_prefix,
            customers=frozenset(self.customers),
            idempotent_methods=frozenset(self.idempotent_methods),
            requires_key=self.requires_key,
            queue_timeout=parse_duration(self.queue_timeout),
            total_timeout=parse_duration(self.total_timeout),
        )


@final
class PoolRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A row of the pools table, without its upstreams."""

    name: str
    kind: PoolKind
    weights: dict[str, float] = {}
    default_weight: float = 1.0

    def to_pool(self, upstreams: tuple[Upstream, ...]) -> Pool:
        """Return the checked row as a pool with the given upstreams."""
        return Pool(
            name=self.name,
            kind=self.kind,
            upstreams=upstreams,
            weights=self.weights,
            default_weight=self.default_weight,
        )


@final
class UpstreamRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """One upstream and the pool that it belongs to."""

    pool: str
    name: str
    zone: str
    address: str
    slots: int
    cold_slots: int = 1
    reports_load: bool = True
    checks_fence: bool = False

    def to_upstream(self) -> Upstream:
        """Return the checked row as an upstream."""
        return Upstream(
            name=self.name,
            zone=self.zone,
            address=self.address,
            slots=self.slots,
            cold_slots=self.cold_slots,
            reports_load=self.reports_load,
            checks_fence=self.checks_fence,
        )


@final
class DrainRow(msgspec.Struct, frozen=True):
    """Says that a zone or an upstream is taken out of service."""


Row: TypeAlias = RouteRow | PoolRow | UpstreamRow | DrainRow
