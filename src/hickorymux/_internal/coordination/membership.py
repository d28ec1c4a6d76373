"""Tracks the live routers: heartbeats in a zone, digests between zones.

Every router sends heartbeats to the routers of its own availability zone. The
zone delegate, which is the live router with the lowest id, sends a digest of
its zone's members to the delegates of the other zones and relays their
digests in its own zone. The member rows are sent only when the digest has
changed. So the traffic of a router grows with the size of its zone and the
number of zones, not with the number of routers.

Each start of a router has its own incarnation number; heartbeats of a lower
incarnation are ignored.
"""

import dataclasses
import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import singledispatchmethod
from typing import Any, final

import xxhash

from hickorymux._internal.coordination.membership_messages import (
    DigestRequest,
    Heartbeat,
    ZoneDigest,
)
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.utils.clock import Clock

HEARTBEAT_INTERVAL_SECONDS = 0.5
MEMBER_TIMEOUT_SECONDS = 2.5
DIGEST_INTERVAL_SECONDS = 2
DIGEST_TIMEOUT_SECONDS = 10
MIN_RELAY_INTERVAL_SECONDS = 4

# Makes a 64-bit hash fit into the signed 64-bit field of the message.
_DIGEST_BITS_SHIFT = 1

_logger = logging.getLogger(__name__)

SendDatagram = Callable[[Iterable[Member], Any], None]


@dataclasses.dataclass(slots=True)
class _ReceivedHeartbeat:
    """The last heartbeat of a router.

    ``received_at`` is monotonic time in seconds.
    """

    member: Member
    received_at: float


@dataclasses.dataclass(slots=True)
class _RemoteZone:
    """The last digest of another zone.

    ``confirmed_at`` and ``relayed_at`` are when the digest was last received
    and last passed on in the own zone, in seconds of monotonic time.
    """

    digest: int
    members: tuple[Member, ...]
    confirmed_at: float
    relayed_at: float


@final
class Membership:
    """The live routers as this router sees them; a ``MemberView``.

    ``seeds`` are the routers to contact first, live or not.
    """

    __slots__ = (
        'clock',
        'next_digest_at',
        'me',
        'remote_zones',
        'seeds',
        'send',
        'last_heartbeats',
    )

    def __init__(self, me: Member, clock: Clock, send: SendDatagram) -> None:
        self.me = me
        self.clock = clock
        self.send = send
        self.seeds: dict[str, Member] = {}
        self.last_heartbeats: dict[str, _ReceivedHeartbeat] = {}
        self.remote_zones: dict[str, _RemoteZone] = {}
        self.next_digest_at = clock.monotonic()

    @property
    def myself(self) -> Member:
        """Return this router."""
        return self.me

    def replace_seeds(self, members: Iterable[Member]) -> None:
        """Replace the routers that the platform or the settings list.

        Seeds are addresses to send heartbeats and digests to. They don't
        count as live until a heartbeat of theirs arrives.
        """
        self.seeds = {
            member.router_id: member
            for member in members
            if member.router_id != self.me.router_id
        }

    def update_myself(self, **changes: Any) -> None:
        """Replace fields of this router's own row."""
        self.me = dataclasses.replace(self.me, **changes)

    def live(self) -> Sequence[Member]:
        """Return all live routers, this one included, ordered by id."""
        zones = {self.me.zone, *self.remote_zones}
        members = [
            member for zone in zones for member in self.live_in_zone(zone)
        ]
        return sorted(members, key=lambda member: member.router_id)

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        """Return the live routers of one availability zone, ordered by id."""
        if zone == self.me.zone:
            return self._live_in_own_zone()
        remote = self.remote_zones.get(zone)
        if remote is None:
            return ()
        staleness = self.clock.monotonic() - remote.confirmed_at
        return () if staleness > DIGEST_TIMEOUT_SECONDS else remote.members

    def find(self, router_id: str) -> Member | None:
        """Return what is known of a router, ``None`` if nothing is.

        The router may no longer be live, or may be known as a seed only.
        """
        heartbeat = self.last_heartbeats.get(router_id)
        if heartbeat is not None:
            return heartbeat.member
        for remote in self.remote_zones.values():
            for member in remote.members:
                if member.router_id == router_id:
                    return member
        return self.seeds.get(router_id)

    def contacts_by_zone(self) -> Mapping[str, Sequence[Member]]:
        """Return the other routers by zone.

        They are the live ones, or the seeds of a zone without any, as for a
        router that has just started.
        """
        zones = {seed.zone for seed in self.seeds.values()}
        contacts: dict[str, Sequence[Member]] = {}
        for zone in zones | {self.me.zone, *self.remote_zones}:
            live = [
                member
                for member in self.live_in_zone(zone)
                if member.router_id != self.me.router_id
            ]
            contacts[zone] = live or [
                seed for seed in self.seeds.values() if seed.zone == zone
            ]
        return contacts

    def zones(self) -> Sequence[str]:
        """Return the zones that have live routers, this one included."""
        return sorted({member.zone for member in self.live()})

    def is_delegate(self) -> bool:
        """Return whether this router is the zone delegate."""
        return self.zone_delegate().router_id == self.me.router_id

    def zone_delegate(self) -> Member:
        """Return the delegate of this zone, which may be this router."""
        return self.live_in_zone(self.me.zone)[0]

    async def run(self) -> None:
        """Send heartbeats and digests until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def tick(self) -> None:
        """Send a heartbeat, and a digest when the next one is due."""
        self._remove_silent()
        heartbeat = _to_heartbeat(self.me)
        self.send(self._heartbeat_recipients(), heartbeat)
        if self.clock.monotonic() >= self.next_digest_at:
            self.next_digest_at += DIGEST_INTERVAL_SECONDS
            self._send_digests()

    @singledispatchmethod
    def on_message(self, message: Any, sender_id: str) -> None:
        """Handle a message; ignore those that don't belong to membership."""

    @on_message.register
    def _on_heartbeat(self, message: Heartbeat, sender_id: str) -> None:
        if message.router_id in {'', self.me.router_id}:
            return
        if message.zone != self.me.zone or message.router_id != sender_id:
            return
        known = self.last_heartbeats.get(message.router_id)
        if known and known.member.incarnation > message.incarnation:
            return
        if known is None or known.member.incarnation != message.incarnation:
            _logger.info(
                'router joined',
                extra={
                    'event': 'member_joined',
                    'router': message.router_id,
                    'incarnation': message.incarnation,
                },
            )
        self.last_heartbeats[message.router_id] = _ReceivedHeartbeat(
            _to_member(message),
            self.clock.monotonic(),
        )

    @on_message.register
    def _on_digest(self, message: ZoneDigest, sender_id: str) -> None:
        if message.zone in {'', self.me.zone}:
            return
        now = self.clock.monotonic()
        known = self.remote_zones.get(message.zone)
        if known is not None and known.digest == message.digest:
            known.confirmed_at = now
            if now - known.relayed_at >= MIN_RELAY_INTERVAL_SECONDS:
                known.relayed_at = now
                self._relay(message, sender_id)
            return
        if not message.members:
            self._request_rows(message, sender_id)
            return
        members = tuple(_to_member(row) for row in message.members)
        self.remote_zones[message.zone] = _RemoteZone(
            message.digest,
            members,
            now,
            now,
        )
        self._relay(message, sender_id)

    @on_message.register
    def _on_digest_request(
        self,
        message: DigestRequest,
        sender_id: str,
    ) -> None:
        if message.zone == self.me.zone:
            self._reply(sender_id, self._own_digest(with_rows=True))
            return
        remote = self.remote_zones.get(message.zone)
        if remote is not None:
            rows = [_to_heartbeat(member) for member in remote.members]
            digest = ZoneDigest(message.zone, remote.digest, members=rows)
            self._reply(sender_id, digest)

    def _request_rows(self, message: ZoneDigest, sender_id: str) -> None:
        request = DigestRequest(zone=message.zone)
        sender = self.find(sender_id)
        if sender is None and message.speaker.router_id == sender_id:
            sender = _to_member(message.speaker)
        if sender is not None:
            self.send((sender,), request)

    def _relay(self, message: ZoneDigest, sender_id: str) -> None:
        """Pass another zone's digest on to the routers of the own zone.

        Only a digest that comes directly from its speaker is relayed. A rule
        that relays digests of all senders but the known members of the zone
        is not enough: two routers that have not received each other's
        heartbeats yet would relay a digest back and forth forever.
        """
        if sender_id != message.speaker.router_id:
            return
        self.send(self._heartbeat_recipients(), message)

    def _reply(self, router_id: str, message: Any) -> None:
        member = self.find(router_id)
        if member is not None:
            self.send((member,), message)

    def _live_in_own_zone(self) -> Sequence[Member]:
        oldest = self.clock.monotonic() - MEMBER_TIMEOUT_SECONDS
        members = [
            heartbeat.member
            for heartbeat in self.last_heartbeats.values()
            if heartbeat.received_at >= oldest
        ]
        members.append(self.me)
        return sorted(members, key=lambda member: member.router_id)

    def _heartbeat_recipients(self) -> Sequence[Member]:
        """Return the seeds of the own zone and the routers heard from."""
        peers = {
            seed.router_id: seed
            for seed in self.seeds.values()
            if seed.zone == self.me.zone
        }
        for heartbeat in self.last_heartbeats.values():
            peers[heartbeat.member.router_id] = heartbeat.member
        return tuple(peers.values())

    def _remove_silent(self) -> None:
        oldest = self.clock.monotonic() - MEMBER_TIMEOUT_SECONDS
        silent = [
            router_id
            for router_id, heartbeat in self.last_heartbeats.items()
            if heartbeat.received_at < oldest
        ]
        for router_id in silent:
            member = self.last_heartbeats.pop(router_id).member
            _logger.info(
                'router lost',
                extra={
                    'event': 'member_lost',
                    'router': router_id,
                    'incarnation': member.incarnation,
                },
            )

    def _own_digest(self, *, with_rows: bool) -> ZoneDigest:
        rows = [
            dataclasses.replace(_to_heartbeat(member), config_version=0)
            for member in self._live_in_own_zone()
        ]
        digest = (
            xxhash.xxh3_64_intdigest(repr(rows).encode()) >> _DIGEST_BITS_SHIFT
        )
        return ZoneDigest(
            self.me.zone,
            digest,
            _to_heartbeat(self.me),
            rows if with_rows else [],
        )

    def _send_digests(self) -> None:
        if not self.is_delegate():
            return
        digest = self._own_digest(with_rows=False)
        self.send(self._digest_recipients(), digest)

    def _digest_recipients(self) -> Sequence[Member]:
        """Return the delegate of each other zone, or its seeds if unknown."""
        recipients: list[Member] = []
        zones = {seed.zone for seed in self.seeds.values()} | set(
            self.remote_zones
        )
        for zone in sorted(zones - {self.me.zone}):
            live = self.live_in_zone(zone)
            if live:
                recipients.append(live[0])
                continue
            recipients.extend(
                seed for seed in self.seeds.values() if seed.zone == zone
            )
        return recipients


def _to_heartbeat(member: Member) -> Heartbeat:
    return Heartbeat(
        router_id=member.router_id,
        incarnation=member.incarnation,
        zone=member.zone,
        host=member.host,
        port=member.port,
        is_leaving=member.is_leaving,
        config_version=member.config_version,
    )


def _to_member(row: Heartbeat) -> Member:
    return Member(
        router_id=row.router_id,
        incarnation=row.incarnation,
        zone=row.zone,
        host=row.host,
        port=row.port,
        is_leaving=row.is_leaving,
        config_version=row.config_version,
    )
