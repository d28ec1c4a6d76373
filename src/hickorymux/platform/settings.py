"""Reads the settings file that the platform writes for each process."""

import dataclasses
import datetime as dt
from collections.abc import Mapping
from pathlib import Path
from typing import Final

import msgspec

from hickorymux._internal.coordination.rollouts.orders import RolloutBounds
from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.connection_policy import (
    ConnectionSettings,
    ReuseMode,
)
from hickorymux._internal.transport.entry_settings import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    EntrySettings,
    ProcessLimits,
    ServiceBounds,
)

SETTINGS_VARIABLE: Final = 'HICKORYMUX_CONFIG'
# Must match the metrics port in deploy/system.toml.
METRICS_PORT: Final = 9464
_MAX_IDLE_MS: Final = 3_600_000
_MB: Final = 1 << 20


class _Listen(msgspec.Struct):
    front: str
    # Address of the readiness check of the load balancer.
    ready: str


class _Store(msgspec.Struct):
    address: str


class _Bounds(msgspec.Struct, rename='camel'):
    # Milliseconds for which a draining upstream still accepts requests.
    drain_ms: float = 2000
    grace_s: float = 8
    # Whether a removed API key must stop working after revokeMs even on hosts
    # that cannot reach the store.
    strict_revocation: bool = True
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    cold_burst_factor: float = 1.5
    cold_slack: float = 5
    # Share of the requests of which a second copy may be sent; 0 for none.
    hedge_share: float = 0
    # Without a share there are no roll-outs.
    exposure_share: float | None = None
    exposure_slack: float = 0
    rollback_ms: float = 5000


class _Connections(msgspec.Struct, rename='camel'):
    # Where connections to upstreams are kept for long: "auto" is where the
    # upstreams announce a Keep-Alive timeout.
    reuse: ReuseMode = ReuseMode.auto
    max_idle_ms: float = 60_000
    unrepeatable_idle_ms: float = 1000
    stream_idle_ms: float = 5000


class _Limits(msgspec.Struct, rename='camel'):
    # Memory of the host in MB and its file descriptors. The other limits are
    # derived from these unless they are given.
    memory_mb: float = DEFAULT_MEMORY_BYTES / _MB
    max_fds: int = DEFAULT_DESCRIPTORS
    # Megabytes of the bodies and buffers of all requests, and of one customer
    # or address.
    buffer_mb: float | None = None
    owner_buffer_mb: float | None = None
    # Connections from callers and to upstreams.
    caller_connections: int | None = None
    upstream_connections: int | None = None


class _SettingsFile(msgspec.Struct, rename='camel'):
    node: str
    zone: str
    ip: str
    listen: _Listen
    platform: _Store
    internal_port_range: tuple[int, int]
    # Interval at which upstreams renew their entries.
    heartbeat_ms: float = 1200
    region: str = ''
    # Region by zone.
    zones: dict[str, str] = msgspec.field(default_factory=dict)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    connections: _Connections = msgspec.field(default_factory=_Connections)


def load_settings(environment: Mapping[str, str]) -> EntrySettings:
    """Return the settings of this process.

    The variable ``HICKORYMUX_CONFIG`` in ``environment`` holds the path of
    the file. Raises ``ConfigError`` if the variable, the file or a field is
    missing, or a field is invalid.
    """
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise ConfigError(
            'the environment variable is missing or empty',
            where=SETTINGS_VARIABLE,
            hint='set the variable to the path of a TOML file',
        )
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(str(error), where=path) from error
    return decode_settings(text, where=path)


def decode_settings(text: bytes, *, where: str) -> EntrySettings:
    """Return the settings from the text of a file; see ``load_settings``.

    ``where`` names the file in errors.
    """
    try:
        parsed = msgspec.toml.decode(text, type=_SettingsFile)
        return _to_settings(parsed)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise ConfigError(str(error), where=where) from error


def _to_settings(parsed: _SettingsFile) -> EntrySettings:
    first_port = parsed.internal_port_range[0]
    return EntrySettings(
        router_id=parsed.node,
        zone=parsed.zone,
        callers=_address(parsed.listen.front),
        readiness=_address(parsed.listen.ready),
        peers=Address(parsed.ip, first_port),
        metrics=Address(parsed.ip, METRICS_PORT),
        store=_address(parsed.platform.address),
        region_of_zone={**parsed.zones, parsed.zone: parsed.region},
        bounds=_to_bounds(parsed.bounds),
        fleet_key=_fleet_key(parsed.platform.address),
        upstream_renewal=dt.timedelta(milliseconds=parsed.heartbeat_ms),
        connections=_to_connections(parsed.connections),
        limits=_to_limits(parsed.limits),
    )


def _to_connections(parsed: _Connections) -> ConnectionSettings:
    times = (
        parsed.max_idle_ms,
        parsed.unrepeatable_idle_ms,
        parsed.stream_idle_ms,
    )
    if not all(0 <= milliseconds <= _MAX_IDLE_MS for milliseconds in times):
        raise ConfigError(
            f'idle times {times} ms must be 0 to {_MAX_IDLE_MS} ms',
            where='connections',
        )
    return ConnectionSettings(
        reuse=parsed.reuse,
        max_idle=dt.timedelta(milliseconds=parsed.max_idle_ms),
        unrepeatable_idle=dt.timedelta(
            milliseconds=parsed.unrepeatable_idle_ms
        ),
        stream_idle=dt.timedelta(milliseconds=parsed.stream_idle_ms),
    )


def _to_limits(parsed: _Limits) -> ProcessLimits:
    limits = ProcessLimits.from_host(
        int(parsed.memory_mb * _MB), parsed.max_fds
    )
    changes = {
        'buffer_bytes': _to_bytes(parsed.buffer_mb),
        'owner_bytes': _to_bytes(parsed.owner_buffer_mb),
        'max_callers': parsed.caller_connections,
        'max_upstreams': parsed.upstream_connections,
    }
    given = {
        name: number for name, number in changes.items() if number is not None
    }
    return dataclasses.replace(limits, **given)


def _to_bytes(megabytes: float | None) -> int | None:
    return None if megabytes is None else int(megabytes * _MB)


def _to_bounds(parsed: _Bounds) -> ServiceBounds:
    if not 0 <= parsed.hedge_share <= 1:
        raise ConfigError(
            f'hedgeShare is {parsed.hedge_share}, must be 0 to 1',
            where='bounds',
        )
    return ServiceBounds(
        shutdown=dt.timedelta(seconds=parsed.grace_s),
        key_revocation=(
            dt.timedelta(milliseconds=parsed.revoke_ms)
            if parsed.strict_revocation
            else None
        ),
        retry_share=parsed.retry_budget_ratio,
        retry_window=dt.timedelta(seconds=parsed.budget_window_s),
        retry_floor=parsed.budget_slack,
        cold_burst=parsed.cold_burst_factor,
        cold_floor=parsed.cold_slack,
        hedge_share=parsed.hedge_share,
        rollouts=_to_rollout_bounds(parsed),
    )


def _to_rollout_bounds(parsed: _Bounds) -> RolloutBounds | None:
    if parsed.exposure_share is None:
        return None
    return RolloutBounds(
        exposure_share=parsed.exposure_share,
        exposure_slack=parsed.exposure_slack,
        rollback=dt.timedelta(milliseconds=parsed.rollback_ms),
    )


def _fleet_key(store: str) -> bytes:
    """Return the key that keeps messages of other fleets out.

    It is not a secret: the settings have none, and only the platform has
    access to the internal network.
    """
    return f'hickorymux {store}'.encode()


def _address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
