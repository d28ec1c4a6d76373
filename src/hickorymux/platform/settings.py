"""Decodes the settings file that the platform writes for each process."""

import datetime as dt
from collections.abc import Mapping
from pathlib import Path
from typing import Final

import msgspec

from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.entry_settings import (
    EntrySettings,
    ServiceBounds,
)

SETTINGS_VARIABLE: Final = 'HICKORYMUX_CONFIG'
# The port that deploy/system.toml names for metrics.
METRICS_PORT: Final = 9464


class _Listen(msgspec.Struct):
    front: str
    # Where the balancer asks whether this host takes new connections.
    ready: str


class _Store(msgspec.Struct):
    address: str


class _Bounds(msgspec.Struct, rename='camel'):
    # How long a drained upstream still takes requests.
    drain_ms: float = 2000
    grace_s: float = 8
    # Whether a withdrawn key must stop working after revokeMs even on hosts
    # that cannot reach the store.
    strict_revocation: bool = True
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    cold_burst_factor: float = 1.5
    cold_slack: float = 5


class _SettingsFile(msgspec.Struct, rename='camel'):
    node: str
    zone: str
    ip: str
    listen: _Listen
    platform: _Store
    internal_port_range: tuple[int, int]
    region: str = ''
    # Region by zone.
    zones: dict[str, str] = msgspec.field(default_factory=dict)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_settings(environment: Mapping[str, str]) -> EntrySettings:
    """Return the settings of this process.

    Raises ``ConfigError`` with the place when the variable or the file is
    missing, or a field is missing or of another type.
    """
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise ConfigError(
            'no settings file is named',
            where=SETTINGS_VARIABLE,
            hint='set the variable to the path of a TOML file',
        )
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(str(error), where=path) from error
    return decode_settings(text, where=path)


def decode_settings(text: bytes, *, where: str) -> EntrySettings:
    """Return the settings from the text of a file; see ``load_settings``."""
    try:
        given = msgspec.toml.decode(text, type=_SettingsFile)
        return _to_settings(given)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise ConfigError(str(error), where=where) from error


def _to_settings(given: _SettingsFile) -> EntrySettings:
    first_port = given.internal_port_range[0]
    return EntrySettings(
        router_id=given.node,
        zone=given.zone,
        callers=_address(given.listen.front),
        readiness=_address(given.listen.ready),
        peers=Address(given.ip, first_port),
        metrics=Address(given.ip, METRICS_PORT),
        store=_address(given.platform.address),
        region_of_zone={**given.zones, given.zone: given.region},
        bounds=_to_bounds(given.bounds),
        fleet_key=_fleet_key(given.platform.address),
    )


def _to_bounds(given: _Bounds) -> ServiceBounds:
    return ServiceBounds(
        shutdown=dt.timedelta(seconds=given.grace_s),
        key_revocation=(
            dt.timedelta(milliseconds=given.revoke_ms)
            if given.strict_revocation
            else None
        ),
        retry_share=given.retry_budget_ratio,
        retry_window=dt.timedelta(seconds=given.budget_window_s),
        retry_floor=given.budget_slack,
        cold_burst=given.cold_burst_factor,
        cold_floor=given.cold_slack,
    )


def _fleet_key(store: str) -> bytes:
    """Return what tells this fleet's messages from another fleet's.

    The settings hold no secret; the internal network is the platform's own.
    """
    return f'hickorymux {store}'.encode()


def _address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
