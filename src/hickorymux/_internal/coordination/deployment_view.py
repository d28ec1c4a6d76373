"""The routing table and the upstreams, as last read from the store.

Operators publish the routing table and the evacuated zones on one topic of
the store; upstreams register themselves on another. The view applies the
records of each topic in order. A routing table that can't be decoded is
ignored and the previous one stays in force. An upstream whose entry can't be
decoded is removed.
"""

import logging
from collections.abc import Callable
from typing import Final, Protocol, final

from hickorymux._internal.coordination.ports import KeyedRecord
from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.state.routing import RoutingTable
from hickorymux._internal.state.upstream_registry import (
    LAPSE_GRACE_SECONDS,
    RegisteredUpstream,
    UpstreamRegistry,
)
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS

_logger: Final = logging.getLogger(__name__)


class RecordDecoder(Protocol):
    """Decodes the records of a deployment's topics.

    Each deployment has its own record formats and keys.
    """

    def is_table_key(self, key: str) -> bool:
        """Return whether this operator key holds the routing table."""

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that this operator key evacuates, or ``None``."""

    def decode_table(self, value: bytes) -> RoutingTable:
        """Return the routing table.

        Raises ``ConfigError`` when the record is invalid.
        """

    def decode_upstream(
        self,
        upstream_id: str,
        value: bytes,
        now: float,
    ) -> RegisteredUpstream:
        """Return the upstream that an entry registers.

        ``now`` is monotonic time in seconds. Raises ``ConfigError`` when the
        entry is invalid.
        """


@final
class DeploymentView:
    """The routing table in force and the registered upstreams.

    ``table`` is ``None`` until the first one is read.
    ``has_upstream_listing`` tells whether all upstreams were listed at least
    once. ``on_change`` runs after each change of the table or an upstream.

    A store that was restored from a copy may list what was newer before, until
    its writers have written it again. So a table never goes back to a former
    version, an entry of an upstream not within the grace period of the
    registry, and an evacuation that the first listing lacks holds until
    ``zones_held_until``, in monotonic seconds.
    """

    __slots__ = (
        'clock',
        'evacuated_zones',
        'has_upstream_listing',
        'on_change',
        'decoder',
        'registry',
        'table',
        'unlisted_zones',
        'zones_held_until',
    )

    def __init__(
        self,
        decoder: RecordDecoder,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.decoder = decoder
        self.clock = clock
        self.on_change = on_change
        self.registry = UpstreamRegistry()
        self.table: RoutingTable | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self.unlisted_zones: frozenset[str] = frozenset()
        self.zones_held_until: float = 0
        self.has_upstream_listing = False

    def apply_operator_record(self, record: KeyedRecord) -> None:
        """Apply a routing table, or start or end the evacuation of a zone."""
        zone = self.decoder.evacuated_zone(record.key)
        if zone is not None:
            changed = {zone}
            self.unlisted_zones -= changed
            zones = self.evacuated_zones - changed
            self._set_evacuated_zones(
                zones | changed if record.value else zones
            )
        elif self.decoder.is_table_key(record.key) and record.value:
            self._apply_table(record)

    def apply_operator_listing(self, keys: frozenset[str]) -> None:
        """End the evacuation of zones that a full listing lacks."""
        zones = {self.decoder.evacuated_zone(key) for key in keys}
        self.unlisted_zones = self.evacuated_zones - zones
        self._end_unlisted_evacuations()

    def hold_evacuations(self) -> None:
        """Keep evacuations that the next listing lacks for a grace period."""
        self.zones_held_until = self.clock.monotonic() + LAPSE_GRACE_SECONDS

    def apply_upstream_record(self, record: KeyedRecord) -> None:
        """Add, update or remove an upstream."""
        now = self.clock.monotonic()
        if not record.value:
            self._remove(record.key, now)
            return
        try:
            upstream = self.decoder.decode_upstream(
                record.key,
                record.value,
                now,
            )
        except ConfigError as error:
            _report('entry_unreadable', str(error), upstream=record.key)
            self._remove(record.key, now)
            return
        known = self.registry.upstreams.get(record.key)
        if known is not None and now < self.registry.grace_until:
            if upstream.is_older_than(known):
                return
        self.registry.put(upstream)
        if known is None or known.is_ready != upstream.is_ready:
            _report(
                'upstream_changed',
                'entry',
                upstream=record.key,
                pool=upstream.pool,
                zone=upstream.zone,
                is_ready=upstream.is_ready,
                offset=record.offset,
            )
        self.on_change()

    def apply_upstream_listing(self, keys: frozenset[str]) -> None:
        """Remove the upstreams that a full listing lacks."""
        self.registry.keep_only(keys, self.clock.monotonic())
        self.has_upstream_listing = True
        self.on_change()

    def expire_held(self) -> None:
        """Remove the upstreams and evacuations that did not come back."""
        self._end_unlisted_evacuations()
        lapsed = self.registry.expire(self.clock.monotonic())
        for upstream_id in lapsed:
            _report(
                'upstream_changed',
                'the entry did not come back',
                upstream=upstream_id,
                is_held=False,
            )
        if lapsed:
            self.on_change()

    def _end_unlisted_evacuations(self) -> None:
        if self.clock.monotonic() >= self.zones_held_until:
            zones = self.evacuated_zones - self.unlisted_zones
            self.unlisted_zones = frozenset()
            self._set_evacuated_zones(zones)

    def _remove(self, upstream_id: str, now: float) -> None:
        if upstream_id in self.registry.upstreams:
            self.registry.remove(upstream_id, now)
            _report(
                'upstream_changed',
                'entry removed',
                upstream=upstream_id,
                is_held=upstream_id in self.registry.pending_removals,
            )
            self.on_change()

    def _set_evacuated_zones(self, zones: frozenset[str]) -> None:
        if zones == self.evacuated_zones:
            return
        self.evacuated_zones = zones
        self.registry.update_evacuated_zones(zones, self.clock.monotonic())
        _report('zones_evacuated', 'operators', zones=sorted(zones))
        self.on_change()

    def _apply_table(self, record: KeyedRecord) -> None:
        try:
            table = self.decoder.decode_table(record.value)
        except ConfigError as error:
            _report('table_unreadable', str(error), offset=record.offset)
            return
        known = self.table
        if known is not None and table.version <= known.version:
            return
        self.table = table
        _report(
            'table_in_force',
            'operators',
            version=table.version,
            former_version=known and known.version,
            offset=record.offset,
        )
        self.on_change()


def _report(event: str, reason: str, **fields: object) -> None:
    line = {'event': event, 'reason': reason, **fields}
    _logger.info(event, extra={FIELDS: line})
