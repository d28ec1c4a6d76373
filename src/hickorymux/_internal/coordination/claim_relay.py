"""Send claims to the router that writes their stream and await its verdicts.

In a large fleet the log service could not take the appends of every router,
so one router appends for all. For each partition the live routers are ranked
by rendezvous hash; the first is the writer and the second its standby. Several
routers may write at the same time without harm: the offset order on the log
decides, and an entry that is appended twice changes nothing.
"""

import asyncio
import datetime as dt
import itertools
from typing import final

import xxhash

from hickorymux._internal.coordination.claim_messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimVerdict,
)
from hickorymux._internal.coordination.claim_settings import ClaimSettings
from hickorymux._internal.coordination.ports import (
    Member,
    MemberView,
    PeerSender,
)
from hickorymux._internal.state.claim_fold import NEVER, ClaimResult, Verdict
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.ids import new_incarnation

WRITERS_PER_PARTITION = 2
_EPOCH = dt.datetime(1970, 1, 1, tzinfo=dt.UTC)
_MILLISECOND = dt.timedelta(milliseconds=1)


def _score(member: Member, partition: int) -> int:
    text = f'{partition}/{member.router_id}'
    return xxhash.xxh3_64_intdigest(text.encode())


def writers_of(partition: int, members: MemberView) -> list[str]:
    """Return the router ids of a partition's writer and standby, in order."""
    candidates = [member for member in members.live() if not member.is_leaving]
    ranked = sorted(
        candidates,
        key=lambda member: _score(member, partition),
        reverse=True,
    )
    return [member.router_id for member in ranked[:WRITERS_PER_PARTITION]]


def _to_ms(wall: dt.datetime) -> int:
    if wall == NEVER:
        return 0
    return (wall - _EPOCH) // _MILLISECOND


def _from_ms(milliseconds: int) -> dt.datetime:
    if not milliseconds:
        return NEVER
    return _EPOCH + milliseconds * _MILLISECOND


def encode_verdict(verdict: Verdict) -> ClaimVerdict:
    """Return the message that carries a verdict.

    ``trimmed_until`` is rounded up to the next millisecond. Rounded down, it
    would present the newest trimmed claim as still known.
    """
    trimmed_until_ms = _to_ms(verdict.trimmed_until)
    return ClaimVerdict(
        verdict.result.value,
        verdict.owner_body,
        verdict.status,
        _to_ms(verdict.claimed_at),
        trimmed_until_ms + 1 if trimmed_until_ms else 0,
    )


def decode_verdict(message: ClaimVerdict) -> Verdict:
    """Return the verdict that a message carries.

    Raises ``ValueError`` if ``standing`` is not a value of ``ClaimResult``.
    """
    return Verdict(
        ClaimResult(message.standing),
        message.owner_body,
        message.status,
        _from_ms(message.claimed_at_ms),
        _from_ms(message.trimmed_until_ms),
    )


@final
class ClaimRelay:
    """Asks writers for verdicts and backs off from those that time out."""

    __slots__ = (
        'backed_off_until',
        'clock',
        'members',
        'pending_answers',
        'request_numbers',
        'sender',
        'settings',
    )

    def __init__(
        self,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        settings: ClaimSettings,
    ) -> None:
        self.members = members
        self.sender = sender
        self.clock = clock
        self.settings = settings
        self.request_numbers = itertools.count(new_incarnation())
        self.backed_off_until: dict[str, float] = {}
        self.pending_answers: dict[int, asyncio.Future[ClaimAnswer]] = {}

    def is_writer_or_standby(self, partition: int) -> bool:
        """Return whether this router is a partition's writer or standby."""
        my_id = self.members.myself.router_id
        return my_id in writers_of(partition, self.members)

    def is_first_writer(self, partition: int) -> bool:
        """Return whether this router is a partition's writer.

        Also true if no live router can be the writer.
        """
        writers = writers_of(partition, self.members)
        return not writers or writers[0] == self.members.myself.router_id

    async def request_verdicts(
        self, partition: int, entries: bytes
    ) -> list[Verdict]:
        """Return a verdict for each entry, or none if no writer answers.

        This router does not ask itself: as the standby it returns none once
        the writer has not answered. Without a verdict the entries may still
        have been appended.
        """
        for router_id in writers_of(partition, self.members):
            if router_id == self.members.myself.router_id:
                return []
            verdicts = await self._request_from(router_id, partition, entries)
            if verdicts:
                return verdicts
        return []

    def on_answer(self, answer: ClaimAnswer) -> None:
        """Deliver an answer to its request, or drop it if that timed out."""
        future = self.pending_answers.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _request_from(
        self,
        router_id: str,
        partition: int,
        entries: bytes,
    ) -> list[Verdict]:
        if self.clock.monotonic() < self.backed_off_until.get(router_id, 0):
            return []
        number = next(self.request_numbers)
        future = asyncio.get_running_loop().create_future()
        self.pending_answers[number] = future
        try:
            if not self.sender.send(
                router_id, ClaimAsk(number, partition, entries)
            ):
                return []
            async with asyncio.timeout(self._writer_timeout):
                return _decode_verdicts(await future)
        except TimeoutError:
            self._back_off_writer(router_id)
            return []
        finally:
            self.pending_answers.pop(number)

    @property
    def _writer_timeout(self) -> float:
        return self.settings.writer_timeout.total_seconds()

    def _back_off_writer(self, router_id: str) -> None:
        now = self.clock.monotonic()
        self.backed_off_until = {
            known: until
            for known, until in self.backed_off_until.items()
            if until > now
        }
        pause = self.settings.writer_back_off.total_seconds()
        self.backed_off_until[router_id] = now + pause


def _decode_verdicts(answer: ClaimAnswer) -> list[Verdict]:
    try:
        return [decode_verdict(message) for message in answer.verdicts]
    except ValueError:
        return []
