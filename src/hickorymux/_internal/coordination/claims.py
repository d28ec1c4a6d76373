"""At most one execution of a keyed request, by claims on the log.

Before the send, a router appends a claim with a fresh attempt id and reads the
stream back. Only the attempt whose claim comes first in offset order may send,
and only once. An attempt that does not see its own victory within a bounded
time never sends, so a refusal with "not run" is true whatever the log did.

Example::

    claim = await claimer.claim('armor', 'register', key, body_digest)
    claim.check(clock.monotonic())
    status = await send()
    claim.record_outcome(status)
"""

import asyncio
import dataclasses
import datetime as dt
import enum
import logging
import secrets
from typing import NoReturn, final

from hickorymux._internal.coordination.claim_lane import ClaimLane, Pending
from hickorymux._internal.coordination.claim_messages import (
    ClaimAnswer,
    ClaimAsk,
)
from hickorymux._internal.coordination.claim_relay import (
    ClaimRelay,
    encode_verdict,
)
from hickorymux._internal.coordination.claim_settings import ClaimSettings
from hickorymux._internal.coordination.claim_stream import ClaimStream
from hickorymux._internal.coordination.ports import (
    LogClient,
    MemberView,
    PeerSender,
)
from hickorymux._internal.exceptions import (
    BadRequest,
    ClaimSpent,
    ClaimUnavailable,
    DuplicateRequest,
    KeyExpired,
    KeyInvalid,
    KeyReused,
    LogError,
    Ran,
)
from hickorymux._internal.state.claim_fold import (
    ClaimEntry,
    Entry,
    OutcomeEntry,
    ReleaseEntry,
    Standing,
    Verdict,
    decode_entries,
    digest,
    key_time,
)
from hickorymux._internal.utils.clock import Clock

logger = logging.getLogger(__name__)

STREAM_PREFIX = 'claims-'
MAX_KEY_CHARS = 255
MAX_SERVED_ASKS = 1024
_ATTEMPT_BYTES = 16
_PARTITION_BYTES = 8


class ClaimPhase(enum.Enum):
    """Where the request of a won claim stands."""

    held = 'held'
    sent = 'sent'
    released = 'released'


@final
class Claim:
    """A key that this attempt owns; it allows one send, until ``valid_until``.

    ``valid_until`` is a reading of the monotonic clock, in seconds.
    """

    __slots__ = ('attempt', 'key', 'lane', 'phase', 'valid_until')

    def __init__(
        self,
        lane: ClaimLane,
        key: bytes,
        attempt: bytes,
        valid_until: float,
    ) -> None:
        self.lane = lane
        self.key = key
        self.attempt = attempt
        self.valid_until = valid_until
        self.phase = ClaimPhase.held

    def check(self, now: float) -> None:
        """Take the one permission to send; call it right before the send.

        Raises ``ClaimSpent`` after a first send, after a release, and when the
        claim is so old that the log may have trimmed it. ``now`` is a reading
        of the monotonic clock, in seconds.
        """
        if self.phase is ClaimPhase.sent:
            raise ClaimSpent('the request was sent', ran=Ran.unknown)
        if self.phase is ClaimPhase.released:
            raise ClaimSpent('the claim was released')
        if now >= self.valid_until:
            raise ClaimSpent('the claim is older than the protected window')
        self.phase = ClaimPhase.sent

    def mark_unsent(self) -> None:
        """Take back ``check``: no byte of the request has left the router."""
        if self.phase is ClaimPhase.sent:
            self.phase = ClaimPhase.held

    def release(self) -> None:
        """Let others claim the key; does nothing once the request was sent."""
        if self.phase is not ClaimPhase.held:
            return
        self.phase = ClaimPhase.released
        self.lane.note(ReleaseEntry(self.key, self.attempt))

    def record_outcome(self, status: int) -> None:
        """Record that the request ran and the HTTP status of its answer."""
        if self.phase is ClaimPhase.sent:
            self.lane.note(OutcomeEntry(self.key, self.attempt, status))


@dataclasses.dataclass(slots=True, frozen=True)
class _Ask:
    """One attempt to claim: what is claimed, and since when."""

    entry: ClaimEntry
    created: dt.datetime | None
    started: float


@final
class Claimer:
    """Claims idempotency keys on the claim streams of the log."""

    def __init__(
        self,
        lanes: tuple[ClaimLane, ...],
        clock: Clock,
        settings: ClaimSettings,
        relay: ClaimRelay | None,
    ) -> None:
        self.lanes = lanes
        self.clock = clock
        self.settings = settings
        self.relay = relay
        self.served: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(
        cls,
        log: LogClient,
        clock: Clock,
        settings: ClaimSettings,
        members: MemberView | None = None,
        sender: PeerSender | None = None,
    ) -> 'Claimer':
        """Return a claimer; its streams are read when they are first used.

        Without ``members`` and ``sender`` it appends everything by itself.
        """
        relay = None
        if members is not None and sender is not None:
            relay = ClaimRelay(members, sender, clock, settings)
        lanes = [
            ClaimLane(
                number,
                ClaimStream(f'{STREAM_PREFIX}{number}', log, clock, settings),
                clock,
                settings,
                relay,
            )
            for number in range(settings.partitions)
        ]
        return cls(tuple(lanes), clock, settings, relay)

    async def claim(
        self,
        customer: str,
        route: str,
        key: str,
        body_digest: bytes,
        deadline: float | None = None,
        *,
        requires_uuid7: bool = False,
    ) -> Claim:
        """Win the key for a fresh attempt, or raise.

        ``deadline`` is a reading of the monotonic clock, in seconds. Raises
        ``DuplicateRequest`` when another attempt owns the key, ``KeyReused``
        when it does so with another body, ``KeyExpired`` when the log may no
        longer tell, ``KeyInvalid`` and ``ClaimUnavailable`` (nothing ran).
        """
        created = _created(key, requires_uuid7=requires_uuid7)
        entry = ClaimEntry(
            digest(customer.encode(), route.encode(), key.encode()),
            secrets.token_bytes(_ATTEMPT_BYTES),
            body_digest,
        )
        ask = _Ask(entry, created, self.clock.monotonic())
        lane = self.lane_of(customer, route, key)
        await self._refuse_known(lane, ask)
        verdict = await self._decide(lane, ask, deadline)
        return self._judge(lane, ask, verdict)

    async def run(self) -> None:
        """Follow the streams that this router writes, until cancelled."""
        while True:
            for lane in self.lanes:
                await self._follow(lane)
            await self.clock.sleep(
                self.settings.follow_interval.total_seconds(),
            )

    def on_message(self, sender: str, message: ClaimAsk | ClaimAnswer) -> None:
        """Take a message of another router."""
        if self.relay is None:
            return
        if isinstance(message, ClaimAnswer):
            self.relay.on_answer(message)
            return
        if message.partition >= len(self.lanes):
            return
        if len(self.served) < MAX_SERVED_ASKS:
            work = asyncio.create_task(self._serve(sender, message))
            self.served.add(work)
            work.add_done_callback(self.served.discard)

    def lane_of(self, customer: str, route: str, key: str) -> ClaimLane:
        """Return the lane of the partition that a key belongs to."""
        hashed = digest(customer.encode(), route.encode(), key.encode())
        number = int.from_bytes(hashed[:_PARTITION_BYTES], 'big')
        return self.lanes[number % len(self.lanes)]

    async def close(self) -> None:
        """Stop the tasks of all streams."""
        for work in self.served:
            work.cancel()
        await asyncio.gather(*(lane.close() for lane in self.lanes))

    async def _follow(self, lane: ClaimLane) -> None:
        stream = lane.stream
        if self.relay is None or self.relay.is_writer(lane.partition):
            try:
                await stream.follow()
            except LogError as error:
                logger.info('claims not read', extra={'reason': str(error)})
            return
        idle_seconds = self.clock.monotonic() - stream.used_at
        if idle_seconds > self.settings.forget_after.total_seconds():
            await stream.forget()

    async def _serve(self, sender: str, ask: ClaimAsk) -> None:
        """Settle the entries of another router and answer it."""
        lane = self.lanes[ask.partition]
        entries = decode_entries(ask.entries)
        try:
            async with asyncio.timeout(self.settings.decision.total_seconds()):
                verdicts = await asyncio.gather(
                    *(_settle_for_peer(lane, entry) for entry in entries),
                )
        except (ClaimUnavailable, TimeoutError):
            verdicts = []
        rows = [encode_verdict(verdict) for verdict in verdicts]
        if self.relay is not None:
            self.relay.sender.send(sender, ClaimAnswer(ask.number, rows))

    async def _refuse_known(self, lane: ClaimLane, ask: _Ask) -> None:
        """Refuse without an append a key that is known to have an owner."""
        if lane.known_refusal(ask.entry) is None:
            return
        try:
            await lane.stream.refresh()
        except LogError as error:
            logger.info('claims not read', extra={'reason': str(error)})
        refusal = lane.known_refusal(ask.entry)
        if refusal is not None:
            self._refuse(ask, refusal)

    async def _decide(
        self,
        lane: ClaimLane,
        ask: _Ask,
        deadline: float | None,
    ) -> Verdict:
        give_up_at = ask.started + self.settings.decision.total_seconds()
        if deadline is not None:
            give_up_at = min(give_up_at, deadline)
        pending = lane.submit(ask.entry)
        try:
            return await self._await_verdict(lane, pending, give_up_at)
        except BaseException:
            lane.abandon(pending)
            raise

    async def _await_verdict(
        self,
        lane: ClaimLane,
        pending: Pending,
        give_up_at: float,
    ) -> Verdict:
        remaining = give_up_at - self.clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                verdict = await pending.verdict
        except TimeoutError as error:
            raise lane.unavailable('no verdict in time') from error
        # The process may have been paused between the verdict and this line.
        if self.clock.monotonic() > give_up_at:
            raise lane.unavailable('the verdict came too late')
        return verdict

    def _judge(self, lane: ClaimLane, ask: _Ask, verdict: Verdict) -> Claim:
        entry = ask.entry
        if verdict.standing is Standing.lost:
            self._refuse(ask, verdict)
        if verdict.standing is Standing.unseen:
            lane.note(ReleaseEntry(entry.key, entry.attempt))
            raise lane.unavailable('the claim was not found on the log')
        claim = self._won(lane, ask)
        try:
            self._check_creation(ask, verdict)
        except (KeyExpired, KeyInvalid):
            claim.release()
            raise
        return claim

    def _refuse(self, ask: _Ask, verdict: Verdict) -> NoReturn:
        if not verdict.status:
            self._check_expiry(ask, verdict)
        raise _refusal(verdict, ask.entry)

    def _won(self, lane: ClaimLane, ask: _Ask) -> Claim:
        window = self.settings.window.length.total_seconds()
        valid_until = ask.started + window
        return Claim(lane, ask.entry.key, ask.entry.attempt, valid_until)

    def _check_creation(self, ask: _Ask, verdict: Verdict) -> None:
        window = self.settings.window
        created = ask.created
        if created and window.is_ahead(created, verdict.claimed_at):
            raise KeyInvalid('the key was created in the future')
        self._check_expiry(ask, verdict)

    def _check_expiry(self, ask: _Ask, verdict: Verdict) -> None:
        window = self.settings.window
        created = ask.created
        if created and window.is_expired(created, verdict.trimmed_until):
            raise KeyExpired(
                'the key is older than what the log retains',
                ran=Ran.unknown,
            )


async def _settle_for_peer(lane: ClaimLane, entry: Entry) -> Verdict:
    refusal = lane.known_refusal(entry)
    if refusal is not None:
        return refusal
    return await lane.submit(entry, is_direct=True).verdict


def _created(key: str, *, requires_uuid7: bool) -> dt.datetime | None:
    if not key or len(key) > MAX_KEY_CHARS:
        raise BadRequest(
            f'a key has 1 to {MAX_KEY_CHARS} characters',
            where='Idempotency-Key',
        )
    created = key_time(key)
    if created is None and requires_uuid7:
        raise KeyInvalid(
            'the route asks for a UUID of version 7',
            where='Idempotency-Key',
        )
    return created


def _refusal(
    verdict: Verdict,
    entry: ClaimEntry,
) -> DuplicateRequest | KeyReused:
    if verdict.owner_body and verdict.owner_body != entry.body:
        return KeyReused('the key was used with another body')
    if verdict.status:
        return DuplicateRequest(
            f'another attempt ran and was answered {verdict.status}',
            ran=Ran.executed,
        )
    return DuplicateRequest(
        'another attempt owns the key',
        ran=Ran.unknown,
        hint='ask again with the same key',
    )
