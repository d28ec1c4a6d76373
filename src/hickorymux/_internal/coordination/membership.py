"""Which routers are live: heartbeats in a zone, digests between zones.

Every router sends a heartbeat to the routers of its own availability zone.
The zone's delegate, the live router with the lowest id, names a digest of the
zone's members to the delegates of the other zones and passes theirs on in its
own zone; the rows travel only when the digest changed. So the traffic of a
node grows with the size of its zone and the number of zones, not with the
number of routers.

An incarnation number tells two lives of a router apart; the higher one wins.
"""

import dataclasses
import logging
from collections.abc import Callable, Iterable, Sequence
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
RELAY_SECONDS = 4

_DIGEST_BITS_SHIFT = 1

_logger = logging.getLogger(__name__)

SendDatagram = Callable[[Iterable[Member], Any], None]


@dataclasses.dataclass(slots=True)
class _Sighting:
    """The last heartbeat of a router and when it was heard, in seconds."""

    member: Member
    heard_at: float


@dataclasses.dataclass(slots=True)
class _RemoteZone:
    """The last digest of another zone, when it was confirmed and passed on."""

    digest: int
    members: tuple[Member, ...]
    confirmed_at: float
    relayed_at: float


@final
class Membership:
    """The live routers as this router sees them; a ``MemberView``."""

    __slots__ = (
        'clock',
        'digest_due',
        'me',
        'remote',
        'seeds',
        'send',
        'sightings',
    )

    def __init__(self, me: Member, clock: Clock, send: SendDatagram) -> None:
        self.me = me
        self.clock = clock
        self.send = send
        self.seeds: dict[str, Member] = {}
        self.sightings: dict[str, _Sighting] = {}
        self.remote: dict[str, _RemoteZone] = {}
        self.digest_due = clock.monotonic()

    @property
    def myself(self) -> Member:
        """Return this router."""
        return self.me

    def replace_seeds(self, members: Iterable[Member]) -> None:
        """Take the hosts that the platform or the settings name.

        Seeds are addresses to try. They are not taken to be live.
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
        zones = {self.me.zone, *self.remote}
        members = [
            member for zone in zones for member in self.live_in_zone(zone)
        ]
        return sorted(members, key=lambda member: member.router_id)

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        """Return the live routers of one availability zone, ordered by id."""
        if zone == self.me.zone:
            return self._live_at_home()
        remote = self.remote.get(zone)
        if remote is None:
            return ()
        age = self.clock.monotonic() - remote.confirmed_at
        return () if age > DIGEST_TIMEOUT_SECONDS else remote.members

    def find(self, router_id: str) -> Member | None:
        """Return where a router can be reached: live, or named as a seed."""
        sighting = self.sightings.get(router_id)
        if sighting is not None:
            return sighting.member
        for remote in self.remote.values():
            for member in remote.members:
                if member.router_id == router_id:
                    return member
        return self.seeds.get(router_id)

    def zones(self) -> Sequence[str]:
        """Return the zones that have live routers, this one included."""
        return sorted({member.zone for member in self.live()})

    def is_delegate(self) -> bool:
        """Return whether this router speaks for its zone."""
        return self.live_in_zone(self.me.zone)[0].router_id == (
            self.me.router_id
        )

    async def run(self) -> None:
        """Send heartbeats and digests until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def tick(self) -> None:
        """Send what is due."""
        self._forget_silent()
        beat = _to_row(self.me)
        self.send(self._zone_peers(), beat)
        if self.clock.monotonic() >= self.digest_due:
            self.digest_due += DIGEST_INTERVAL_SECONDS
            self._send_digests()

    @singledispatchmethod
    def on_message(self, message: Any, sender_id: str) -> None:
        """Take a message of the membership; others are not for this part."""

    @on_message.register
    def _on_heartbeat(self, message: Heartbeat, sender_id: str) -> None:
        if message.router_id in {'', self.me.router_id}:
            return
        if message.zone != self.me.zone or message.router_id != sender_id:
            return
        known = self.sightings.get(message.router_id)
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
        self.sightings[message.router_id] = _Sighting(
            _to_member(message),
            self.clock.monotonic(),
        )

    @on_message.register
    def _on_digest(self, message: ZoneDigest, sender_id: str) -> None:
        if message.zone in {'', self.me.zone}:
            return
        now = self.clock.monotonic()
        known = self.remote.get(message.zone)
        if known is not None and known.digest == message.digest:
            known.confirmed_at = now
            if now - known.relayed_at >= RELAY_SECONDS:
                known.relayed_at = now
                self._relay(message, sender_id)
            return
        if not message.members:
            self._ask_for_rows(message, sender_id)
            return
        members = tuple(_to_member(row) for row in message.members)
        self.remote[message.zone] = _RemoteZone(
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
            self._answer(sender_id, self._own_digest(with_rows=True))
            return
        remote = self.remote.get(message.zone)
        if remote is not None:
            rows = [_to_row(member) for member in remote.members]
            digest = ZoneDigest(message.zone, remote.digest, members=rows)
            self._answer(sender_id, digest)

    def _ask_for_rows(self, message: ZoneDigest, sender_id: str) -> None:
        request = DigestRequest(zone=message.zone)
        sender = self.find(sender_id)
        if sender is None and message.speaker.router_id == sender_id:
            sender = _to_member(message.speaker)
        if sender is not None:
            self.send((sender,), request)

    def _relay(self, message: ZoneDigest, sender_id: str) -> None:
        """Pass another zone's digest on inside the own zone.

        Only what the speaker itself sent is passed on. Whether the sender is
        known must not decide: two routers that have not heard each other yet
        would pass a digest to and fro without end.
        """
        if sender_id != message.speaker.router_id:
            return
        self.send(self._zone_peers(), message)

    def _answer(self, router_id: str, message: Any) -> None:
        member = self.find(router_id)
        if member is not None:
            self.send((member,), message)

    def _live_at_home(self) -> Sequence[Member]:
        oldest = self.clock.monotonic() - MEMBER_TIMEOUT_SECONDS
        members = [
            sighting.member
            for sighting in self.sightings.values()
            if sighting.heard_at >= oldest
        ]
        members.append(self.me)
        return sorted(members, key=lambda member: member.router_id)

    def _zone_peers(self) -> Sequence[Member]:
        """Return whom to send heartbeats: seeds and routers that were heard."""
        peers = {
            seed.router_id: seed
            for seed in self.seeds.values()
            if seed.zone == self.me.zone
        }
        for sighting in self.sightings.values():
            peers[sighting.member.router_id] = sighting.member
        return tuple(peers.values())

    def _forget_silent(self) -> None:
        oldest = self.clock.monotonic() - MEMBER_TIMEOUT_SECONDS
        silent = [
            router_id
            for router_id, sighting in self.sightings.items()
            if sighting.heard_at < oldest
        ]
        for router_id in silent:
            member = self.sightings.pop(router_id).member
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
            dataclasses.replace(_to_row(member), config_version=0)
            for member in self._live_at_home()
        ]
        digest = (
            xxhash.xxh3_64_intdigest(repr(rows).encode()) >> _DIGEST_BITS_SHIFT
        )
        return ZoneDigest(
            self.me.zone,
            digest,
            _to_row(self.me),
            rows if with_rows else [],
        )

    def _send_digests(self) -> None:
        if not self.is_delegate():
            return
        digest = self._own_digest(with_rows=False)
        self.send(self._other_delegates(), digest)

    def _other_delegates(self) -> Sequence[Member]:
        """Return one router of each other zone, or its seeds if unknown."""
        targets: list[Member] = []
        zones = {seed.zone for seed in self.seeds.values()} | set(self.remote)
        for zone in sorted(zones - {self.me.zone}):
            live = self.live_in_zone(zone)
            if live:
                targets.append(live[0])
                continue
            targets.extend(
                seed for seed in self.seeds.values() if seed.zone == zone
            )
        return targets


def _to_row(member: Member) -> Heartbeat:
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
