"""Decodes the manifest, the platform's routing table.

Operators publish the manifest and the evacuated zones on one topic of the
store.
"""

import datetime as dt
from collections.abc import Iterable
from typing import Final

import msgspec

from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.state.routing import (
    Customer,
    EngineModel,
    HttpRoute,
    IngressLimits,
    PoolPolicy,
    PoolWeight,
    RequestKind,
    RoutingTable,
)

OPERATOR_TOPIC: Final = 'keyed.op'
MANIFEST_KEY: Final = 'config'
EVACUATION_PREFIX: Final = 'evacuate/'


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    # Time limit for the whole response.
    timeout_ms: float
    # A response that begins later than this is worth less to the caller.
    target_latency_ms: float = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    service: str = ''
    weighted_backends: list[_WeightedService] = msgspec.field(
        default_factory=list
    )
    # All regions are allowed if empty or absent.
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct, rename='camel'):
    slots: int
    kv_capacity_tokens: int


class _Service(msgspec.Struct, rename='camel'):
    name: str
    cold_start_s: float = 0
    # Requests per second, from all routers, that an upstream can serve shortly
    # after its start.
    cold_per_s: float = 0
    # Connections that an upstream accepts from all routers together.
    max_connections: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 5000
    idle_timeout_ms: float = 15000
    # Capacity of all engines together, in tokens per second. An input token
    # counts once, an output token twice.
    tokens_per_s: float = 0


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str]
    allowed_regions: list[str] | None = None


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_decoder = msgspec.json.Decoder(_Manifest)


def decode_manifest(text: bytes) -> RoutingTable:
    """Return the routing table of a manifest.

    Raises ``ConfigError`` with the path of the field if the text is invalid.
    """
    try:
        manifest = _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(str(error), where=MANIFEST_KEY) from error
    try:
        return _to_table(manifest)
    except OverflowError as error:
        # A time that no duration can hold.
        raise ConfigError(str(error), where=MANIFEST_KEY) from error


def _to_table(manifest: _Manifest) -> RoutingTable:
    return RoutingTable(
        version=manifest.version,
        routes_by_host=_group_by_host(manifest),
        pools={
            service.name: _to_pool(service) for service in manifest.services
        },
        customers_by_key=dict(_customers(manifest.tenants or ())),
        limits=_to_limits(manifest.limits),
        token_capacity=manifest.limits.tokens_per_s,
    )


def _group_by_host(manifest: _Manifest) -> dict[str, list[HttpRoute]]:
    by_host: dict[str, list[HttpRoute]] = {}
    # Without tenants there are no API keys, so all routes are public.
    has_no_keys = manifest.tenants is None
    for row in manifest.routes:
        by_host.setdefault(row.host, []).append(_to_route(row, has_no_keys))
    for routes in by_host.values():
        routes.sort(key=_prefix_length, reverse=True)
    return by_host


def _prefix_length(route: HttpRoute) -> int:
    return len(route.path_prefix)


def _to_route(row: _Route, has_no_keys: bool) -> HttpRoute:
    shares = tuple(
        PoolWeight(share.service, share.weight)
        for share in row.weighted_backends
    )
    return HttpRoute(
        name=row.name,
        host=row.host,
        path_prefix=row.path_prefix,
        kind=row.kind,
        pools=shares or (PoolWeight(row.service, 1),),
        timeout=dt.timedelta(milliseconds=row.timeout_ms),
        latency_objective=dt.timedelta(milliseconds=row.target_latency_ms),
        max_attempts=row.max_attempts,
        is_public=row.public or has_no_keys,
        is_resumable=row.resumable,
        regions=frozenset(row.allowed_regions or ()),
    )


def _to_pool(service: _Service) -> PoolPolicy:
    return PoolPolicy(
        name=service.name,
        cold_period=dt.timedelta(seconds=service.cold_start_s),
        cold_rate=service.cold_per_s,
        engine=_to_engine(service.engine),
        max_connections=max(0, service.max_connections),
    )


def _to_engine(engine: _Engine | None) -> EngineModel | None:
    if engine is None:
        return None
    return EngineModel(engine.slots, engine.kv_capacity_tokens)


def _customers(tenants: Iterable[_Tenant]) -> Iterable[tuple[str, Customer]]:
    for tenant in tenants:
        regions = frozenset(tenant.allowed_regions or ())
        customer = Customer(tenant.name, regions)
        for key in tenant.api_keys:
            yield key, customer


def _to_limits(limits: _Limits) -> IngressLimits:
    return IngressLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout=dt.timedelta(milliseconds=limits.header_timeout_ms),
        idle_timeout=dt.timedelta(milliseconds=limits.idle_timeout_ms),
    )
