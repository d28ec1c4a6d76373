"""Lets one suspect run at a time in the fleet.

One router, chosen by rendezvous hash over the live ones, hands out the turn.
A change of that router may let two suspects run at once for a moment; then an
innocent one may be refused with the cause, but no further upstream crashes.
"""

import asyncio
import collections
import contextlib
import itertools
from typing import final

import xxhash

from hickorymux._internal.coordination.ports import (
    Member,
    MemberView,
    PeerSender,
)
from hickorymux._internal.coordination.suspect_messages import (
    TurnEnd,
    TurnGrant,
    TurnRequest,
)
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.ids import new_incarnation

ASK_AGAIN_SECONDS = 0.5
MAX_TURN_SECONDS = 300
MAX_QUEUED_TURNS = 1024

Turn = tuple[str, int]


def _score(member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f'turns/{member.router_id}'.encode())


@final
class SuspectTurns:
    """Asks for turns, and hands them out when this router is chosen."""

    __slots__ = (
        'clock',
        'given_until',
        'holder',
        'members',
        'numbers',
        'queue',
        'sender',
        'waiting',
    )

    def __init__(
        self,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
    ) -> None:
        self.members = members
        self.sender = sender
        self.clock = clock
        self.numbers = itertools.count(new_incarnation())
        self.waiting: dict[int, asyncio.Event] = {}
        self.queue: collections.deque[Turn] = collections.deque()
        self.holder: Turn | None = None
        self.given_until = float('-inf')

    async def take(self, seconds: float) -> int:
        """Wait for the turn; return its number for ``end``.

        Raises ``TimeoutError`` when it does not come in time.
        """
        number = next(self.numbers)
        granted = asyncio.Event()
        self.waiting[number] = granted
        try:
            async with asyncio.timeout(seconds):
                while not granted.is_set():
                    self._send(TurnRequest(number))
                    await _wait_briefly(granted)
        except BaseException:
            self.end(number)
            raise
        return number

    def end(self, number: int) -> None:
        """Give the turn back."""
        self.waiting.pop(number, None)
        self._send(TurnEnd(number))

    def on_message(
        self,
        sender_id: str,
        message: TurnRequest | TurnGrant | TurnEnd,
    ) -> None:
        """Take a message about turns."""
        if isinstance(message, TurnGrant):
            self._on_grant(sender_id, message)
            return
        turn = (sender_id, message.number)
        if isinstance(message, TurnRequest):
            self._on_request(turn)
            return
        with contextlib.suppress(ValueError):
            self.queue.remove(turn)
        if turn == self.holder:
            self.holder = None
        self._give_next()

    def _on_grant(self, sender_id: str, grant: TurnGrant) -> None:
        granted = self.waiting.get(grant.number)
        if granted is None:
            self.sender.send(sender_id, TurnEnd(grant.number))
            return
        granted.set()

    def _on_request(self, turn: Turn) -> None:
        if turn == self.holder:
            self.sender.send(turn[0], TurnGrant(turn[1]))
            return
        if turn not in self.queue and len(self.queue) < MAX_QUEUED_TURNS:
            self.queue.append(turn)
        self._give_next()

    def _give_next(self) -> None:
        now = self.clock.monotonic()
        live = {member.router_id for member in self.members.live()}
        if self.holder and self.holder[0] in live and now < self.given_until:
            return
        self.holder = None
        while self.queue and self.holder is None:
            turn = self.queue.popleft()
            if turn[0] in live:
                self.holder = turn
                self.given_until = now + MAX_TURN_SECONDS
                self.sender.send(turn[0], TurnGrant(turn[1]))

    def _send(self, message: TurnRequest | TurnEnd) -> None:
        chosen = max(self.members.live(), key=_score)
        self.sender.send(chosen.router_id, message)


async def _wait_briefly(granted: asyncio.Event) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ASK_AGAIN_SECONDS):
            await granted.wait()
