"""Keeps prompt parts that crash engines from being sent to engines.

Routers tell each other which requests were lost in crashes, which suspect parts
were answered and which refused parts are being tried, and come to the same
conclusions. A router that missed a message, or has just started, gets the
evidence against refused parts from its peers.

Example::

    is_trial = guard.admit(parts)
    ...
    guard.on_crash('engine-1#7', request, parts)
"""

import itertools
import logging
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, final

import xxhash

from hickorymux._internal.coordination.membership import SendDatagram
from hickorymux._internal.coordination.ports import Member, MemberView
from hickorymux._internal.coordination.suspect_messages import (
    PartCrash,
    PartsCleared,
    PartsRefused,
    PartsTried,
    signed_fingerprint,
    unsigned_fingerprint,
)
from hickorymux._internal.coordination.trial_owner import trial_rank
from hickorymux._internal.exceptions import CrashSuspect
from hickorymux._internal.state.part_doubt import Doubt, Rival
from hickorymux._internal.state.part_suspects import PartSuspects
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS

# Interval at which refused parts are sent to some peers, chosen at random.
GOSSIP_SECONDS: Final = 0.5
GOSSIP_PEERS: Final = 3
# Messages about refused parts in one interval; hardly ever more than two.
MAX_GOSSIPED_GROUPS: Final = 8
# Other suspects in one message, so that it fits into a datagram.
MAX_GOSSIPED_RIVALS: Final = 16
# Routers that tell a peer at once of parts that it seems not to know of.
INFORMING_ROUTERS: Final = 3
# A trial starts at one router after the other, so that each can hear of the
# former one's. A message takes less time.
TRIAL_RANK_SECONDS: Final = 0.25
MAX_LOGGED_RIVALS: Final = 4
# Up to this wait any router may start the trial of a part in strong doubt: in
# their order, few requests that tell it from its rivals would arrive in time.
MAX_URGENT_WAIT_SECONDS: Final = 1.0
RETRY_AFTER_SECONDS: Final = 5.0
# While another request may show within moments that the part is sound.
DOUBTFUL_RETRY_AFTER_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000

_logger = logging.getLogger(__name__)


@final
class PartGuard:
    """Admits requests by the shared parts of their prompts.

    Parts are given by name. ``send`` sends a message to members, and may lose
    it.
    """

    __slots__ = ('clock', 'informed', 'members', 'rng', 'send', 'table')

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
        # The incarnations of the peers at the last time that evidence was sent,
        # so that one that has started since gets it at once.
        self.informed: dict[str, int] = {}

    async def run(self) -> None:
        """Send the evidence against refused parts to peers until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(GOSSIP_SECONDS)

    def tick(self) -> None:
        """Send the evidence against refused parts to some peers."""
        if not self.table.implicated:
            return
        peers = self._peers()
        chosen = self.rng.sample(peers, min(GOSSIP_PEERS, len(peers)))
        chosen += [
            peer
            for peer in peers
            if peer.incarnation != self.informed.get(peer.router_id)
            and peer not in chosen
        ]
        self.informed = {peer.router_id: peer.incarnation for peer in peers}
        for parts in self.table.implicated_groups()[-MAX_GOSSIPED_GROUPS:]:
            self.send(chosen, self._evidence_against(parts))

    def admit(self, parts: Sequence[str]) -> bool:
        """Return whether a request is the one that tries refused parts.

        Most requests are no trial. One that is must be sent once only. Raises
        ``CrashSuspect`` if a part is refused and not to be tried now.
        """
        if not self.table.implicated:
            return False
        fingerprints = [fingerprint_of(part) for part in parts]
        refused = self.table.refused(fingerprints)
        if not refused:
            return False
        now = self.clock.monotonic()
        doubt = self.table.doubt_of_all(refused, fingerprints)
        for part in refused:
            if not self._may_try(part, doubt, now):
                raise _refusal(part, doubt)
        self.table.start_trial(refused, now, doubt)
        signed = list(map(signed_fingerprint, refused))
        self.send(self._peers(), PartsTried(signed, doubt))
        self._log('prompt_part_tried', refused, f'{doubt.name} doubt of it')
        return True

    def on_crash(self, crash: str, request: int, parts: Sequence[str]) -> None:
        """Record a request that was lost in a crash, and tell all peers.

        ``crash`` names the incarnation of the engine, and ``request`` is a
        fingerprint of the request.
        """
        fingerprints = [fingerprint_of(part) for part in parts]
        if not fingerprints:
            return
        self._add_crashes(
            {crash: self.clock.monotonic()}, [request], fingerprints
        )
        signed = list(map(signed_fingerprint, fingerprints))
        self.send(
            self._peers(), PartCrash(crash, signed_fingerprint(request), signed)
        )

    def on_answer_begun(self, parts: Sequence[str]) -> None:
        """Clear parts that an engine is answering, here and at all peers."""
        fingerprints = [fingerprint_of(part) for part in parts]
        now = self.clock.monotonic()
        cleared = self._clear(fingerprints, now, 'an answer with it has begun')
        self._send_cleared(self._peers(), dict.fromkeys(cleared, now))

    def on_message(self, sender_id: str, message: Any) -> None:
        """Handle a message of another router."""
        parts = list(map(unsigned_fingerprint, message.parts))
        now = self.clock.monotonic()
        if isinstance(message, PartCrash):
            self._on_peer_crash(sender_id, parts, message)
        elif isinstance(message, PartsCleared):
            ages = itertools.chain(message.ages_ms, itertools.repeat(0))
            for part, age_ms in zip(parts, ages, strict=False):
                at = now - age_ms / _MS_PER_SECOND
                self._clear((part,), at, 'cleared by a peer')
        elif isinstance(message, PartsRefused):
            self._on_refused(sender_id, parts, message)
        elif isinstance(message, PartsTried):
            doubt = min(max(message.doubt, Doubt.strong), Doubt.none)
            self.table.start_trial(parts, now, Doubt(doubt))

    def _on_peer_crash(
        self, sender_id: str, parts: Sequence[int], message: PartCrash
    ) -> None:
        """Record a peer's lost request.

        A peer that sent on a request with a part that is refused here and not
        being tried may not know of it, and would retry the request.
        """
        now = self.clock.monotonic()
        untold = [
            part
            for part in self.table.refused(parts)
            if self._is_to_inform(part)
        ]
        request = unsigned_fingerprint(message.request)
        self._add_crashes({message.crash: now}, [request], parts)
        sender = self._peer(sender_id)
        for known in self.table.refused(untold):
            self.send(sender, self._evidence_against((known,)))

    def _is_to_inform(self, part: int) -> bool:
        return (
            not self.table.suspects[part].open_trials
            and trial_rank(part, self.members) < INFORMING_ROUTERS
        )

    def _on_refused(
        self, sender_id: str, parts: Sequence[int], message: PartsRefused
    ) -> None:
        """Add a peer's evidence, or tell it of answers with its parts."""
        now = self.clock.monotonic()
        times = {
            crash: now - age_ms / _MS_PER_SECOND
            for crash, age_ms in zip(
                message.crashes, message.ages_ms, strict=False
            )
        }
        requests = list(map(unsigned_fingerprint, message.requests))
        for rival, bits in zip(
            message.rivals, message.rival_crashes, strict=False
        ):
            selected = {
                crash: at
                for number, (crash, at) in enumerate(times.items())
                if bits >> number & 1
            }
            # A rival of one crash is sent though it may be in one request only.
            known = requests if len(selected) > 1 else ()
            self._add_crashes(selected, known, [unsigned_fingerprint(rival)])
        self._add_crashes(times, requests, parts)
        self.table.note_failed_trials(parts, message.failed_trials)
        answered = {
            part: self.table.answered_at[part]
            for part in parts
            if part in self.table.answered_at
            and not self.table.refused((part,))
        }
        self._send_cleared(self._peer(sender_id), answered)

    def _add_crashes(
        self,
        crashes: Mapping[str, float],
        requests: Sequence[int],
        parts: Sequence[int],
    ) -> None:
        now = self.clock.monotonic()
        implicated = self.table.add_crashes(crashes, requests, parts, now)
        if implicated:
            self._log('prompt_part_refused', implicated, 'in flight at crashes')

    def _clear(
        self, parts: Sequence[int], answered_at: float, reason: str
    ) -> Sequence[int]:
        refused = self.table.refused(parts)
        evidence = {part: self._crashes_of(part) for part in refused}
        cleared = self.table.clear(parts, answered_at)
        admitted = [part for part in refused if part in cleared]
        if admitted:
            self._log('prompt_part_cleared', admitted, reason, evidence)
        return cleared

    def _evidence_against(self, parts: Sequence[int]) -> PartsRefused:
        """Return the evidence against parts that were at the same crashes."""
        suspect = self.table.suspects[parts[0]]
        now = self.clock.monotonic()
        crashes = list(suspect.crashes)
        rivals = [
            rival
            for rival in self.table.rivals_of(parts[0])
            if rival.part not in parts
            and (rival.has_requests or len(rival.crashes) == 1)
        ][:MAX_GOSSIPED_RIVALS]
        return PartsRefused(
            parts=list(map(signed_fingerprint, parts)),
            crashes=crashes,
            ages_ms=[
                int((now - at) * _MS_PER_SECOND)
                for at in suspect.crashes.values()
            ],
            requests=list(
                map(signed_fingerprint, sorted(suspect.requests)[:2])
            ),
            failed_trials=suspect.failed_trials,
            rivals=[signed_fingerprint(rival.part) for rival in rivals],
            rival_crashes=[
                sum(
                    1 << number
                    for number, crash in enumerate(crashes)
                    if crash in rival.crashes
                )
                for rival in rivals
            ],
        )

    def _send_cleared(
        self, members: Iterable[Member], answered_at: Mapping[int, float]
    ) -> None:
        if not answered_at:
            return
        now = self.clock.monotonic()
        signed = list(map(signed_fingerprint, answered_at))
        ages_ms = [
            int((now - at) * _MS_PER_SECOND) for at in answered_at.values()
        ]
        self.send(members, PartsCleared(signed, ages_ms))

    def _may_try(self, part: int, doubt: Doubt, now: float) -> bool:
        """Return whether this router may try a refused part with a request."""
        due_at = self.table.trial_due_at(part, doubt)
        wait = self.table.trial_wait(part, doubt)
        is_urgent = doubt is Doubt.strong and wait <= MAX_URGENT_WAIT_SECONDS
        if now < due_at or is_urgent:
            return now >= due_at
        rank = trial_rank(part, self.members)
        return now >= due_at + rank * TRIAL_RANK_SECONDS

    def _crashes_of(self, part: int) -> Sequence[str]:
        suspect = self.table.suspects.get(part)
        return list(suspect.crashes) if suspect is not None else ()

    def _peers(self) -> list[Member]:
        me = self.members.myself.router_id
        return [
            member for member in self.members.live() if member.router_id != me
        ]

    def _peer(self, router_id: str) -> list[Member]:
        return [
            member for member in self._peers() if member.router_id == router_id
        ]

    def _log(
        self,
        event: str,
        parts: Sequence[int],
        reason: str,
        evidence: Mapping[int, Sequence[str]] | None = None,
    ) -> None:
        """Log a decision with the crashes that each part was in."""
        if evidence is None:
            evidence = {part: self._crashes_of(part) for part in parts}
        _logger.warning(
            'prompt parts that crash upstreams',
            extra={
                FIELDS: {
                    'event': event,
                    'parts': [f'{part:016x}' for part in parts],
                    'reason': reason,
                    'crashes': [evidence[part] for part in parts],
                    'rivals': [
                        [f'{rival.part:016x}' for rival in rivals]
                        for rivals in map(self._rivals_to_log, parts)
                    ],
                }
            },
        )

    def _rivals_to_log(self, part: int) -> Sequence[Rival]:
        if part not in self.table.suspects:
            return ()
        return self.table.rivals_of(part)[:MAX_LOGGED_RIVALS]


def fingerprint_of(part: str) -> int:
    """Return the fingerprint by which routers know a prompt part."""
    return xxhash.xxh3_64_intdigest(part.encode())


def _refusal(part: int, doubt: Doubt) -> CrashSuspect:
    """Return the refusal of a request for one of its parts."""
    retry_after = RETRY_AFTER_SECONDS
    if doubt is not Doubt.none:
        retry_after = DOUBTFUL_RETRY_AFTER_SECONDS
    return CrashSuspect(
        f'prompt part {part:016x} has crashed upstreams',
        retry_after=retry_after,
    )
