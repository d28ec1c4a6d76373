"""Keeps prompt parts that crash engines from being sent to engines.

Routers tell each other which requests were lost in crashes and which suspect
parts were answered after all, and come to the same conclusions. A router that
missed a message, or has just started, learns of refused parts from its peers.

Example::

    is_trial = guard.admit(parts)
    ...
    guard.on_crash('engine-1#7', request, parts)
"""

import logging
import random
from collections.abc import Iterable, Sequence
from typing import Any, Final, final

import xxhash

from hickorymux._internal.coordination.membership import SendDatagram
from hickorymux._internal.coordination.ports import Member, MemberView
from hickorymux._internal.coordination.suspect_messages import (
    PartCrash,
    PartsCleared,
    PartsRefused,
    signed_fingerprint,
    unsigned_fingerprint,
)
from hickorymux._internal.coordination.trial_owner import is_trial_owner
from hickorymux._internal.exceptions import CrashSuspect
from hickorymux._internal.state.part_suspects import PartSuspects
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS

# Interval at which refused parts are sent to some peers, chosen at random.
GOSSIP_SECONDS: Final = 0.5
GOSSIP_PEERS: Final = 3
# Refused parts in one message; there are hardly ever more than one.
MAX_GOSSIPED_PARTS: Final = 64
RETRY_AFTER_SECONDS: Final = 5.0

_logger = logging.getLogger(__name__)


@final
class PartGuard:
    """Admits requests by the shared parts of their prompts.

    Parts are given by name. ``send`` sends a message to members, and may lose
    it.
    """

    __slots__ = ('clock', 'members', 'rng', 'send', 'table')

    def __init__(
        self,
        members: MemberView,
        send: SendDatagram,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.send = send
        self.clock = clock
        self.rng = rng
        self.table = PartSuspects()

    async def run(self) -> None:
        """Send refused parts to peers until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(GOSSIP_SECONDS)

    def tick(self) -> None:
        """Send the refused parts to some peers."""
        refused = self.table.all_refused()[-MAX_GOSSIPED_PARTS:]
        if refused:
            peers = self._peers()
            chosen = self.rng.sample(peers, min(GOSSIP_PEERS, len(peers)))
            self.send(
                chosen, PartsRefused(list(map(signed_fingerprint, refused)))
            )

    def admit(self, parts: Sequence[str]) -> bool:
        """Return whether a request is the one that tries a refused part.

        Most requests are no trial. One that is must be sent once only. Raises
        ``CrashSuspect`` if a part is refused and not to be tried now.
        """
        if not self.table.suspects:
            return False
        refused = self.table.refused(map(fingerprint_of, parts))
        if not refused:
            return False
        now = self.clock.monotonic()
        for part in refused:
            if not self._may_try(part, now):
                raise CrashSuspect(
                    f'prompt part {part:016x} has crashed upstreams',
                    retry_after=RETRY_AFTER_SECONDS,
                )
        for part in refused:
            self.table.postpone_trial(part, now)
        self._log('prompt_part_tried', refused, 'the trial interval has passed')
        return True

    def on_crash(self, crash: str, request: int, parts: Sequence[str]) -> None:
        """Record a request that was lost in a crash, and tell all peers.

        ``crash`` names the incarnation of the engine, and ``request`` is a
        fingerprint of the request.
        """
        fingerprints = [fingerprint_of(part) for part in parts]
        if not fingerprints:
            return
        self._add_crash(crash, request, fingerprints)
        signed = list(map(signed_fingerprint, fingerprints))
        self.send(
            self._peers(), PartCrash(crash, signed_fingerprint(request), signed)
        )

    def on_answer_begun(self, parts: Sequence[str]) -> None:
        """Clear parts that an engine is answering, here and at all peers."""
        fingerprints = [fingerprint_of(part) for part in parts]
        now = self.clock.monotonic()
        cleared = self.table.on_answer_begun(fingerprints, now)
        self._send_cleared(self._peers(), cleared)

    def on_message(self, sender_id: str, message: Any) -> None:
        """Handle a message of another router."""
        if isinstance(message, PartCrash):
            parts = list(map(unsigned_fingerprint, message.parts))
            self._add_crash(
                message.crash, unsigned_fingerprint(message.request), parts
            )
        elif isinstance(message, PartsCleared):
            self.table.clear(list(map(unsigned_fingerprint, message.parts)))
        elif isinstance(message, PartsRefused):
            parts = list(map(unsigned_fingerprint, message.parts))
            self._on_refused(sender_id, parts)

    def _add_crash(
        self, crash: str, request: int, parts: Sequence[int]
    ) -> None:
        now = self.clock.monotonic()
        refused = self.table.add_crash(crash, request, parts, now)
        if refused:
            self._log('prompt_part_refused', refused, 'in flight at crashes')

    def _on_refused(self, sender_id: str, parts: Iterable[int]) -> None:
        """Refuse what a peer refuses, or tell it of parts that are sound."""
        now = self.clock.monotonic()
        unknown = [part for part in parts if not self.table.refused((part,))]
        sound = [
            part
            for part in unknown
            if self.table.is_recently_answered(part, now)
        ]
        sender = [
            member
            for member in self.members.live()
            if member.router_id == sender_id
        ]
        self._send_cleared(sender, sound)
        refused = [part for part in unknown if part not in sound]
        for part in refused:
            self.table.refuse(part, now)
        if refused:
            self._log('prompt_part_refused', refused, 'refused by a peer')

    def _send_cleared(
        self, members: Iterable[Member], parts: Sequence[int]
    ) -> None:
        if parts:
            signed = list(map(signed_fingerprint, parts))
            self.send(members, PartsCleared(signed))

    def _may_try(self, part: int, now: float) -> bool:
        """Return whether this router may try a refused part with a request."""
        return self.table.is_trial_due(part, now) and is_trial_owner(
            part, self.members
        )

    def _peers(self) -> list[Member]:
        me = self.members.myself.router_id
        return [
            member for member in self.members.live() if member.router_id != me
        ]

    def _log(self, event: str, parts: Iterable[int], reason: str) -> None:
        _logger.warning(
            'prompt parts that crash upstreams',
            extra={
                FIELDS: {
                    'event': event,
                    'parts': [f'{part:016x}' for part in parts],
                    'reason': reason,
                }
            },
        )


def fingerprint_of(part: str) -> int:
    """Return the fingerprint by which routers know a prompt part."""
    return xxhash.xxh3_64_intdigest(part.encode())
