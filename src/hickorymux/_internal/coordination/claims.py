"""Run a request with an idempotency key at most once in the whole fleet.

Before it sends such a request, a router appends a claim with a fresh attempt
id to a stream of the log and reads the stream back. Only the attempt whose
claim comes first in offset order may send, and only once. An attempt that does
not read back its winning claim in time never sends, so an error that says
"not run" is true whatever happened at the log.

Example::

    claim = await claimer.claim('armor', 'register', key, body_digest)
    claim.mark_sent(clock.monotonic())
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

from hickorymux._internal.coordination.claim_lane import (
    ClaimBatcher,
    PendingEntry,
)
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
    ClaimResult,
    Entry,
    OutcomeEntry,
    ReleaseEntry,
    Verdict,
    decode_entries,
    digest,
    uuid7_time,
)
from hickorymux._internal.utils.clock import Clock

logger = logging.getLogger(__name__)

STREAM_PREFIX = 'claims-'
MAX_KEY_CHARS = 255
MAX_PEER_TASKS = 1024
_ATTEMPT_BYTES = 16
_PARTITION_BYTES = 8


class ClaimPhase(enum.Enum):
    """Whether a claim is unused, its request was sent or it was released."""

    held = 'held'
    sent = 'sent'
    released = 'released'


@final
class Claim:
    """The right of one attempt to send the request with a key once.

    ``valid_until`` is the time on the monotonic clock, in seconds, until which
    the request may be sent, unless the log was restored from a copy since. It
    had been restored ``restores`` times when the claim began.
    """

    __slots__ = (
        'attempt',
        'batcher',
        'key',
        'phase',
        'restores',
        'valid_until',
    )

    def __init__(
        self,
        batcher: ClaimBatcher,
        key: bytes,
        attempt: bytes,
        valid_until: float,
        restores: int,
    ) -> None:
        self.batcher = batcher
        self.key = key
        self.attempt = attempt
        self.valid_until = valid_until
        self.restores = restores
        self.phase = ClaimPhase.held

    def mark_sent(self, now: float) -> None:
        """Mark the request as sent; call this right before the send.

        Raises ``ClaimSpent`` after a first send, after a release, and when the
        claim is so old that the log may have trimmed it or may be lost by a
        restore of the log. ``now`` is the time on the monotonic clock, in
        seconds.
        """
        if self.phase is ClaimPhase.sent:
            raise ClaimSpent(
                'the request was already sent under this claim',
                ran=Ran.unknown,
            )
        if self.phase is ClaimPhase.released:
            raise ClaimSpent('the claim was already released')
        if now >= self.valid_until:
            raise ClaimSpent('the claim is older than the protected window')
        if self.restores != self.batcher.stream.restores:
            raise ClaimSpent('the log was restored after the claim')
        self.phase = ClaimPhase.sent

    def mark_unsent(self) -> None:
        """Undo ``mark_sent`` if no byte of the request has left the router."""
        if self.phase is ClaimPhase.sent:
            self.phase = ClaimPhase.held

    def release(self) -> None:
        """Let other attempts claim the key, unless the request was sent."""
        if self.phase is not ClaimPhase.held:
            return
        self.phase = ClaimPhase.released
        self.batcher.submit_unawaited(ReleaseEntry(self.key, self.attempt))

    def record_outcome(self, status: int) -> None:
        """Record that the request was executed, and its HTTP status."""
        if self.phase is ClaimPhase.sent:
            self.batcher.submit_unawaited(
                OutcomeEntry(self.key, self.attempt, status)
            )


@dataclasses.dataclass(slots=True, frozen=True)
class _ClaimRequest:
    """One attempt to claim a key.

    ``key_created_at`` is the time within a UUIDv7 key. ``started_at`` is the
    time on the monotonic clock, in seconds, at which the attempt began, and
    ``restores`` the number of restores of the log that were known then.
    """

    entry: ClaimEntry
    key_created_at: dt.datetime | None
    started_at: float
    restores: int


@final
class Claimer:
    """Claims idempotency keys on the claim streams of the log."""

    def __init__(
        self,
        batchers: tuple[ClaimBatcher, ...],
        clock: Clock,
        settings: ClaimSettings,
        relay: ClaimRelay | None,
    ) -> None:
        self.batchers = batchers
        self.clock = clock
        self.settings = settings
        self.relay = relay
        self.peer_tasks: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(
        cls,
        log: LogClient,
        clock: Clock,
        settings: ClaimSettings,
        members: MemberView | None = None,
        sender: PeerSender | None = None,
    ) -> 'Claimer':
        """Return a claimer whose streams are read when they are first used.

        Without ``members`` and ``sender`` it never asks another router and
        appends all claims to the log itself.
        """
        relay = None
        if members is not None and sender is not None:
            relay = ClaimRelay(members, sender, clock, settings)
        batchers = [
            ClaimBatcher(
                number,
                ClaimStream(f'{STREAM_PREFIX}{number}', log, clock, settings),
                clock,
                settings,
                relay,
            )
            for number in range(settings.partitions)
        ]
        return cls(tuple(batchers), clock, settings, relay)

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
        """Claim a key for a new attempt and return the claim.

        ``deadline`` is a time on the monotonic clock, in seconds.

        Raises ``DuplicateRequest`` if another attempt owns the key,
        ``KeyReused`` if it owns the key with another request body,
        ``KeyExpired`` if the log may have trimmed an earlier claim of the key,
        ``KeyInvalid`` for a key that lacks a required UUIDv7 or is dated in
        the future, ``BadRequest`` for a key of the wrong length, and
        ``ClaimUnavailable`` if there is no verdict in time; nothing ran then.
        """
        created = _creation_time(key, requires_uuid7=requires_uuid7)
        entry = ClaimEntry(
            digest(customer.encode(), route.encode(), key.encode()),
            secrets.token_bytes(_ATTEMPT_BYTES),
            body_digest,
        )
        batcher = self.batcher_for(customer, route, key)
        request = _ClaimRequest(
            entry, created, self.clock.monotonic(), batcher.stream.restores
        )
        await self._refuse_if_owned(batcher, request)
        verdict = await self._request_verdict(batcher, request, deadline)
        return self._claim_from_verdict(batcher, request, verdict)

    async def run(self) -> None:
        """Keep the streams that this router writes up to date.

        Streams that it neither writes nor stands by for are dropped from
        memory when idle. Runs until cancelled.
        """
        while True:
            for batcher in self.batchers:
                await self._follow(batcher)
            await self.clock.sleep(
                self.settings.follow_interval.total_seconds(),
            )

    def on_message(self, sender: str, message: ClaimAsk | ClaimAnswer) -> None:
        """Handle a message from another router."""
        if self.relay is None:
            return
        if isinstance(message, ClaimAnswer):
            self.relay.on_answer(message)
            return
        if message.partition >= len(self.batchers):
            return
        if len(self.peer_tasks) < MAX_PEER_TASKS:
            task = asyncio.create_task(self._answer_peer(sender, message))
            self.peer_tasks.add(task)
            task.add_done_callback(self.peer_tasks.discard)

    def batcher_for(self, customer: str, route: str, key: str) -> ClaimBatcher:
        """Return the batcher of the partition that a key belongs to."""
        key_digest = digest(customer.encode(), route.encode(), key.encode())
        number = int.from_bytes(key_digest[:_PARTITION_BYTES], 'big')
        return self.batchers[number % len(self.batchers)]

    async def close(self) -> None:
        """Stop the tasks of all partitions and of requests from peers."""
        for task in self.peer_tasks:
            task.cancel()
        await asyncio.gather(*(batcher.close() for batcher in self.batchers))

    async def _follow(self, batcher: ClaimBatcher) -> None:
        stream = batcher.stream
        if self.relay is None or self.relay.is_writer_or_standby(
            batcher.partition
        ):
            try:
                await stream.follow()
            except LogError as error:
                logger.info(
                    'claim stream could not be read',
                    extra={'reason': str(error)},
                )
            return
        idle_seconds = self.clock.monotonic() - stream.last_read_at
        if idle_seconds > self.settings.fold_idle_timeout.total_seconds():
            await stream.discard_fold()

    async def _answer_peer(self, sender: str, message: ClaimAsk) -> None:
        """Append the entries of another router and send it the verdicts."""
        batcher = self.batchers[message.partition]
        entries = decode_entries(message.entries)
        try:
            async with asyncio.timeout(
                self.settings.decision_timeout.total_seconds()
            ):
                verdicts = await asyncio.gather(
                    *(_append_for_peer(batcher, entry) for entry in entries),
                )
        except (ClaimUnavailable, TimeoutError):
            verdicts = []
        rows = [encode_verdict(verdict) for verdict in verdicts]
        if self.relay is not None:
            self.relay.sender.send(sender, ClaimAnswer(message.number, rows))

    async def _refuse_if_owned(
        self, batcher: ClaimBatcher, request: _ClaimRequest
    ) -> None:
        """Refuse a key that is known to have an owner, without an append.

        The stream is read again first, as the owner may have released the key
        or recorded an outcome.
        """
        if batcher.known_refusal(request.entry) is None:
            return
        try:
            await batcher.stream.refresh()
        except LogError as error:
            logger.info(
                'claim stream could not be read',
                extra={'reason': str(error)},
            )
        refusal = batcher.known_refusal(request.entry)
        if refusal is not None:
            self._raise_refusal(request, refusal)

    async def _request_verdict(
        self,
        batcher: ClaimBatcher,
        request: _ClaimRequest,
        deadline: float | None,
    ) -> Verdict:
        verdict_deadline = (
            request.started_at + self.settings.decision_timeout.total_seconds()
        )
        if deadline is not None:
            verdict_deadline = min(verdict_deadline, deadline)
        pending = batcher.submit(request.entry)
        try:
            return await self._await_verdict(batcher, pending, verdict_deadline)
        except BaseException:
            batcher.abandon(pending)
            raise

    async def _await_verdict(
        self,
        batcher: ClaimBatcher,
        pending: PendingEntry,
        verdict_deadline: float,
    ) -> Verdict:
        remaining = verdict_deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                verdict = await pending.verdict
        except TimeoutError as error:
            raise batcher.unavailable_error(
                'no verdict on the claim in time'
            ) from error
        # The process may have been paused between the verdict and this line.
        if self.clock.monotonic() > verdict_deadline:
            raise batcher.unavailable_error(
                'the verdict on the claim came after its deadline'
            )
        return verdict

    def _claim_from_verdict(
        self, batcher: ClaimBatcher, request: _ClaimRequest, verdict: Verdict
    ) -> Claim:
        entry = request.entry
        if verdict.result is ClaimResult.lost:
            self._raise_refusal(request, verdict)
        if verdict.result is ClaimResult.unseen:
            batcher.submit_unawaited(ReleaseEntry(entry.key, entry.attempt))
            raise batcher.unavailable_error(
                'the claim was not found on its log stream'
            )
        claim = self._new_claim(batcher, request)
        try:
            self._check_creation_time(request, verdict)
        except (KeyExpired, KeyInvalid):
            claim.release()
            raise
        return claim

    def _raise_refusal(
        self, request: _ClaimRequest, verdict: Verdict
    ) -> NoReturn:
        if not verdict.status:
            self._check_expiry(request, verdict)
        raise _refusal_error(verdict, request.entry)

    def _new_claim(
        self, batcher: ClaimBatcher, request: _ClaimRequest
    ) -> Claim:
        window = self.settings.protected_window.length.total_seconds()
        valid_until = request.started_at + window
        return Claim(
            batcher,
            request.entry.key,
            request.entry.attempt,
            valid_until,
            request.restores,
        )

    def _check_creation_time(
        self, request: _ClaimRequest, verdict: Verdict
    ) -> None:
        window = self.settings.protected_window
        created = request.key_created_at
        if created and window.is_from_future(created, verdict.claimed_at):
            raise KeyInvalid("the key's creation time is in the future")
        self._check_expiry(request, verdict)

    def _check_expiry(self, request: _ClaimRequest, verdict: Verdict) -> None:
        window = self.settings.protected_window
        created = request.key_created_at
        if created and window.is_expired(created, verdict.trimmed_until):
            raise KeyExpired(
                'the key is older than the claims that the log retains',
                ran=Ran.unknown,
            )


async def _append_for_peer(batcher: ClaimBatcher, entry: Entry) -> Verdict:
    refusal = batcher.known_refusal(entry)
    if refusal is not None:
        return refusal
    return await batcher.submit(entry, is_from_peer=True).verdict


def _creation_time(key: str, *, requires_uuid7: bool) -> dt.datetime | None:
    if not key or len(key) > MAX_KEY_CHARS:
        raise BadRequest(
            f'the key must have 1 to {MAX_KEY_CHARS} characters',
            where='Idempotency-Key',
        )
    created = uuid7_time(key)
    if created is None and requires_uuid7:
        raise KeyInvalid(
            'the route requires a UUID of version 7 as the key',
            where='Idempotency-Key',
        )
    return created


def _refusal_error(
    verdict: Verdict,
    entry: ClaimEntry,
) -> DuplicateRequest | KeyReused:
    if verdict.owner_body and verdict.owner_body != entry.body:
        return KeyReused('the key was used with another request body')
    if verdict.status:
        return DuplicateRequest(
            'another attempt with this key was executed, '
            f'with HTTP status {verdict.status}',
            ran=Ran.executed,
        )
    return DuplicateRequest(
        'another attempt owns the key and its outcome is unknown',
        ran=Ran.unknown,
        hint='send the request again with the same key',
    )
