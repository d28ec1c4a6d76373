"""Rows of the routing tables, as operators write and publish them.

The same structs are read from TOML files, carried by changes on the log and
stored in snapshots. Fields hold plain JSON values; durations are text such as
``30s``. A row is checked by ``row_checks`` before it is converted to a
``Route``, a ``Pool`` or an ``Upstream``.
"""

import dataclasses
import enum
from typing import TypeAlias, final

import msgspec

from hickorymux._internal.state.tables import Pool, PoolKind, Route, Upstream
from hickorymux._internal.utils.durations import parse_duration


class RowKind(enum.StrEnum):
    """Kinds of configuration rows; each drain is a row of its own."""

    route = 'route'
    pool = 'pool'
    upstream = 'upstream'
    zone_drain = 'zone_drain'
    upstream_drain = 'upstream_drain'


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class RowKey:
    """Identifies one row of the configuration by its kind and name."""

    kind: RowKind
    name: str

    def __str__(self) -> str:
        """Return the key for messages, as in ``zone drain "bzh-a"``."""
        return f'{self.kind.replace("_", " ")} "{self.name}"'


@final
class RouteRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A row of the routes table; see ``Route`` for the fields."""

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
        """Return the row as a route; the row must have passed the checks."""
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
    """A row of the pools table; its upstreams are rows of their own."""

    name: str
    kind: PoolKind
    weights: dict[str, float] = {}
    default_weight: float = 1.0

    def to_pool(self, upstreams: tuple[Upstream, ...]) -> Pool:
        """Return the row as a pool with the given upstreams.

        The row must have passed the checks.
        """
        return Pool(
            name=self.name,
            kind=self.kind,
            upstreams=upstreams,
            weights=self.weights,
            default_weight=self.default_weight,
        )


@final
class UpstreamRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """An upstream and the name of the pool that it belongs to."""

    pool: str
    name: str
    zone: str
    address: str
    slots: int
    cold_slots: int = 1
    reports_load: bool = True
    checks_fence: bool = False

    def to_upstream(self) -> Upstream:
        """Return the row as an upstream.

        The row must have passed the checks.
        """
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
    """Marks a zone or an upstream as out of service.

    The ``RowKey`` of the row names the zone or the upstream.
    """


Row: TypeAlias = RouteRow | PoolRow | UpstreamRow | DrainRow
