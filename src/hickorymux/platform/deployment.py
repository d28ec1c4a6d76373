"""Implements the interface ``Deployment`` for the platform."""

import os
from typing import Final, final

from hickorymux._internal.coordination.rollouts.orders import RolloutFormat
from hickorymux._internal.protocol.upstream_http import Dialect
from hickorymux._internal.state.routing import RoutingTable
from hickorymux._internal.state.upstream_registry import RegisteredUpstream
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.entry_settings import EntrySettings
from hickorymux.platform import engine_entries, headers, manifest, rollouts
from hickorymux.platform.settings import load_settings
from hickorymux.platform.store import StoreClient

_DIALECT: Final[Dialect] = headers
_ROLLOUT_FORMAT: Final[RolloutFormat] = rollouts


@final
class PlatformDeployment:
    """The platform's store, settings, records and headers.

    Implements ``Deployment``.
    """

    __slots__ = (
        'dialect',
        'operator_topic',
        'rollout_format',
        'upstream_topic',
    )

    def __init__(self) -> None:
        self.operator_topic = manifest.OPERATOR_TOPIC
        self.upstream_topic = engine_entries.UPSTREAM_TOPIC
        self.dialect = _DIALECT
        self.rollout_format = _ROLLOUT_FORMAT

    def open_store(self, address: Address) -> StoreClient:
        """Return a client of the metadata store."""
        return StoreClient.from_config(address)

    def load_settings(self) -> EntrySettings:
        """Return the settings that the file has at the moment."""
        return load_settings(os.environ)

    def is_table_key(self, key: str) -> bool:
        """Return whether this operator key holds the manifest."""
        return key == manifest.MANIFEST_KEY

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that this operator key evacuates, or ``None``."""
        if key.startswith(manifest.EVACUATION_PREFIX):
            return key.removeprefix(manifest.EVACUATION_PREFIX)
        return None

    def decode_table(self, value: bytes) -> RoutingTable:
        """Return the routing table of a manifest."""
        return manifest.decode_manifest(value)

    def decode_upstream(
        self,
        upstream_id: str,
        value: bytes,
        now: float,
    ) -> RegisteredUpstream:
        """Return the upstream that an entry registers."""
        return engine_entries.decode_entry(upstream_id, value, now)
