"""Finds out at which software version a stream began, across all routers.

The router that relays the first event of a stream replicates its origin to a
few others before it sends the event on, so that the fleet knows the version
also when this router is gone. The replicas are chosen by rendezvous hashing
(Thaler and Ravishankar, 1998): some in the zone of the router, where the caller
is likely to come back, and one in each of some other zones, for the loss of a
zone. A router that is to resume a stream that it does not know queries those
that may be replicas.

If none of them knows the stream, or none answers within a short time, it began
at the only version that was registered lately. If there were more, or the view
of the upstreams had gaps, the store is asked, to which the origins of such pools
are appended as well (`stream_archive`). A stream that it has no origin of is
unknown.

Example::

    origin = StreamOrigin('drafting', 'v1.2')
    directory.record(key, origin, lifetime_seconds=15)
    ...
    origin = await directory.find(key, ('drafting',))
"""

import asyncio
import dataclasses
import itertools
import math
from collections.abc import Iterable, Mapping, Sequence
from functools import partial, singledispatchmethod
from typing import Any, Final, Protocol, final

import xxhash

from hickorymux._internal.coordination.membership import SendDatagram
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.coordination.stream_archive import StreamArchive
from hickorymux._internal.coordination.stream_messages import (
    StreamBegun,
    StreamQuery,
    StreamReply,
)
from hickorymux._internal.coordination.suspect_messages import (
    signed_fingerprint,
    unsigned_fingerprint,
)
from hickorymux._internal.coordination.version_history import VersionHistory
from hickorymux._internal.state.stream_origins import (
    StreamOrigin,
    StreamOriginTable,
)
from hickorymux._internal.utils.clock import Clock

REPLICAS_IN_OWN_ZONE: Final = 2
# Other zones with one replica each.
REPLICA_ZONES: Final = 2
# A query goes to one router and one zone more than there are replicas. The router
# that chose the replicas left out itself and its own zone, which the router that
# queries may rank among them.
QUERIED_IN_OWN_ZONE: Final = REPLICAS_IN_OWN_ZONE + 1
QUERIED_IN_OTHER_ZONE: Final = 2
QUERIED_ZONES: Final = REPLICA_ZONES + 1
# A query is repeated once after this, as datagrams may be lost.
QUERY_REPEAT_SECONDS: Final = 0.1
# Routers under load answer within some tens of milliseconds.
QUERY_TIMEOUT_SECONDS: Final = 0.3
MAX_LIFETIME_SECONDS: Final = 600.0
# How long the list of routers is reused, as long as one heartbeat holds.
CONTACTS_SECONDS: Final = 0.5
_MS_PER_SECOND: Final = 1000


class ContactView(Protocol):
    """The routers that may be contacted, as far as this router knows."""

    @property
    def myself(self) -> Member:
        """Return this router."""

    def contacts_by_zone(self) -> Mapping[str, Sequence[Member]]:
        """Return the other routers by zone.

        They are the live ones, or the listed ones of a zone without any.
        """

    def find(self, router_id: str) -> Member | None:
        """Return what is known of a router, ``None`` if nothing is."""

    def zone_delegate(self) -> Member:
        """Return the delegate of this zone, which may be this router."""


@dataclasses.dataclass(slots=True, eq=False)
class _Query:
    """A query, the routers that have not answered it, and its result."""

    pending: dict[str, Member]
    result: 'asyncio.Future[StreamOrigin | None]'


@final
class StreamDirectory:
    """The origins of streams that this router and its peers know.

    ``send`` sends a message to members, and may lose it. ``mixed_pools`` had
    upstreams of several versions when it was last looked at.
    """

    __slots__ = (
        'archive',
        'clock',
        'contacts',
        'history',
        'mixed_pools',
        'queries',
        'query_numbers',
        'send',
        'table',
        'zones',
        'zones_read_at',
    )

    def __init__(
        self,
        contacts: ContactView,
        send: SendDatagram,
        history: VersionHistory,
        archive: StreamArchive,
        clock: Clock,
    ) -> None:
        self.archive = archive
        self.mixed_pools: frozenset[str] = frozenset()
        self.contacts = contacts
        self.send = send
        self.clock = clock
        self.table = StreamOriginTable()
        self.history = history
        self.zones: Mapping[str, Sequence[Member]] = {}
        self.zones_read_at = -math.inf
        self.queries: dict[int, _Query] = {}
        self.query_numbers = itertools.count(1)

    def record(
        self, key: int, origin: StreamOrigin, lifetime_seconds: float
    ) -> None:
        """Record where a stream began, and replicate that.

        ``lifetime_seconds`` is for how long the caller may resume it.
        """
        lifetime = min(lifetime_seconds, MAX_LIFETIME_SECONDS)
        self._put(key, origin, lifetime)
        recipients = self._replicas(key)
        if origin.pool in self.mixed_pools:
            delegate = self.contacts.zone_delegate()
            if delegate.router_id == self.contacts.myself.router_id:
                self.archive.add(key, origin)
            elif delegate not in recipients:
                recipients.append(delegate)
        self.send(
            recipients,
            StreamBegun(
                signed_fingerprint(key),
                origin.pool,
                origin.version,
                int(lifetime * _MS_PER_SECOND),
            ),
        )

    def observe_versions(self) -> None:
        """Archive the streams of pools that have got a second version.

        Call this at short intervals.
        """
        self.history.observe()
        mixed_pools = self.history.mixed_pools()
        added_pools = mixed_pools - self.mixed_pools
        self.mixed_pools = mixed_pools
        if not added_pools:
            return
        now = self.clock.monotonic()
        for key, origin in self.table.items(now):
            if origin.pool in added_pools:
                self.archive.add(key, origin)

    async def find(self, key: int, pools: Sequence[str]) -> StreamOrigin | None:
        """Return where a stream began, ``None`` if that is unknown.

        ``pools`` are the names of the pools at which it may have begun.
        """
        known = self.table.get(key, self.clock.monotonic())
        if known is None:
            known = await self._query_replicas(key)
        if known is None:
            known = await self._only_origin(pools)
        return await self.archive.find(key) if known is None else known

    async def _only_origin(self, pools: Sequence[str]) -> StreamOrigin | None:
        """Return the only possible origin of streams, ``None`` if several."""
        if len(pools) > 1:
            return None
        version = await self.history.only_version(pools[0])
        return None if version is None else StreamOrigin(pools[0], version)

    async def _query_replicas(self, key: int) -> StreamOrigin | None:
        pending = {
            member.router_id: member for member in self._possible_replicas(key)
        }
        if not pending:
            return None
        number = next(self.query_numbers)
        result: asyncio.Future[StreamOrigin | None]
        result = asyncio.get_running_loop().create_future()
        query = _Query(pending, result)
        self.queries[number] = query
        message = StreamQuery(number, signed_fingerprint(key))
        try:
            return await self._await_result(query, message)
        finally:
            self.queries.pop(number)

    @singledispatchmethod
    def on_message(self, message: Any, sender_id: str) -> None:
        """Handle a message; ignore those that are not about streams."""

    @on_message.register
    def _on_begun(self, message: StreamBegun, sender_id: str) -> None:
        key = unsigned_fingerprint(message.key)
        origin = StreamOrigin(message.pool, message.version)
        self._put(key, origin, message.lifetime_ms / _MS_PER_SECOND)
        if origin.pool in self.mixed_pools and self._is_delegate_of(sender_id):
            self.archive.add(key, origin)

    @on_message.register
    def _on_query(self, message: StreamQuery, sender_id: str) -> None:
        key = unsigned_fingerprint(message.key)
        now = self.clock.monotonic()
        origin = self.table.get(key, now)
        reply = StreamReply(message.number)
        if origin is not None:
            left = self.table.seconds_left(key, now)
            reply = StreamReply(
                message.number,
                origin.pool,
                origin.version,
                max(1, int(left * _MS_PER_SECOND)),
            )
        sender = self.contacts.find(sender_id)
        if sender is not None:
            self.send((sender,), reply)

    @on_message.register
    def _on_reply(self, message: StreamReply, sender_id: str) -> None:
        query = self.queries.get(message.number)
        if query is None or query.result.done():
            return
        query.pending.pop(sender_id, None)
        if message.lifetime_ms:
            query.result.set_result(StreamOrigin(message.pool, message.version))
        elif not query.pending:
            query.result.set_result(None)

    def _put(self, key: int, origin: StreamOrigin, lifetime: float) -> None:
        now = self.clock.monotonic()
        self.table.put(key, origin, now + lifetime, now)

    def _is_delegate_of(self, router_id: str) -> bool:
        """Return whether this router is the zone delegate of another one."""
        me = self.contacts.myself
        sender = self.contacts.find(router_id)
        if sender is None or sender.zone != me.zone:
            return False
        return self.contacts.zone_delegate().router_id == me.router_id

    async def _await_result(
        self, query: _Query, message: StreamQuery
    ) -> StreamOrigin | None:
        """Send a query, repeat it once, and return its result."""
        for wait_seconds in (
            QUERY_REPEAT_SECONDS,
            QUERY_TIMEOUT_SECONDS - QUERY_REPEAT_SECONDS,
        ):
            self.send(tuple(query.pending.values()), message)
            done, _ = await asyncio.wait((query.result,), timeout=wait_seconds)
            if done:
                return query.result.result()
        return None

    def _replicas(self, key: int) -> list[Member]:
        own, zones = self._own_and_other_zones()
        chosen = _highest(_staying(own), key, REPLICAS_IN_OWN_ZONE)
        for zone in _ranked_zones(zones, key)[:REPLICA_ZONES]:
            chosen.extend(_highest(_staying(zones[zone]), key, 1))
        return chosen

    def _possible_replicas(self, key: int) -> list[Member]:
        """Return the routers that may have the origin of a stream."""
        own, zones = self._own_and_other_zones()
        chosen = _highest(own, key, QUERIED_IN_OWN_ZONE)
        for zone in _ranked_zones(zones, key)[:QUERIED_ZONES]:
            chosen.extend(_highest(zones[zone], key, QUERIED_IN_OTHER_ZONE))
        return chosen

    def _own_and_other_zones(
        self,
    ) -> tuple[Sequence[Member], Mapping[str, Sequence[Member]]]:
        """Return the other routers of this zone, and those of other zones."""
        now = self.clock.monotonic()
        if now - self.zones_read_at >= CONTACTS_SECONDS:
            self.zones_read_at = now
            self.zones = self.contacts.contacts_by_zone()
        own_zone = self.contacts.myself.zone
        others = {
            zone: members
            for zone, members in self.zones.items()
            if zone != own_zone
        }
        return self.zones.get(own_zone, ()), others


def _staying(members: Iterable[Member]) -> list[Member]:
    """Return the members that are not shutting down."""
    return [member for member in members if not member.is_leaving]


def _ranked_zones(zones: Iterable[str], key: int) -> list[str]:
    return sorted(zones, key=partial(_rank, key), reverse=True)


def _highest(members: Iterable[Member], key: int, count: int) -> list[Member]:
    """Return the members that rank highest for a stream."""
    ranked = sorted(
        members,
        key=lambda member: _rank(key, member.router_id),
        reverse=True,
    )
    return ranked[:count]


def _rank(key: int, name: str) -> int:
    # All routers must hash the same text to choose the same replicas.
    return xxhash.xxh3_64_intdigest(f'{key:016x}/{name}'.encode())
