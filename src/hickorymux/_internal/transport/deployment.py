"""What an entry process needs from the deployment that it runs in."""

from collections.abc import Callable
from typing import Protocol

from hickorymux._internal.coordination.deployment_view import RecordDecoder
from hickorymux._internal.coordination.ports import HostEntry, KeyedLog
from hickorymux._internal.coordination.rollouts.orders import RolloutFormat
from hickorymux._internal.coordination.rollouts.status_log import (
    ConditionalLog,
)
from hickorymux._internal.coordination.stream_archive import ArchiveLog
from hickorymux._internal.protocol.upstream_http import Dialect
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.entry_settings import EntrySettings


class EntryStore(KeyedLog, ArchiveLog, ConditionalLog, Protocol):
    """Client of the store, which holds topics and the list of routers."""

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the routers; raises ``HostListUnavailable``."""

    async def announce(self, host: HostEntry) -> None:
        """Add this router to the list; raises ``LogUnavailable``."""

    def add_era_handler(self, on_era_change: Callable[[int], None]) -> None:
        """Call a function with the new era when the store was restored."""

    async def close(self) -> None:
        """Close all connections."""


class Deployment(RecordDecoder, Protocol):
    """The parts of an entry process that differ between deployments."""

    operator_topic: str
    upstream_topic: str
    dialect: Dialect
    rollout_format: RolloutFormat

    def open_store(self, address: Address) -> EntryStore:
        """Return a client of the store."""

    def load_settings(self) -> EntrySettings:
        """Read the settings; raises ``ConfigError``."""
