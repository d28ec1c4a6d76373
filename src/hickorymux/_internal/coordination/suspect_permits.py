"""Grant the permit to run a crash suspect, one at a time in the fleet.

One live router, chosen by rendezvous hash, is the coordinator that grants the
permit. The messages call the permit a turn. When the coordinator changes, two
suspects may run at once for a moment. If an upstream crashes then, a harmless
suspect may be refused together with the one that caused the crash, but no
additional upstream crashes.
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

PERMIT_REQUEST_INTERVAL_SECONDS = 0.5
# A permit held for longer may be granted to the next request.
MAX_PERMIT_SECONDS = 300
MAX_QUEUED_REQUESTS = 1024

PermitRequest = tuple[str, int]


def _score(member: Member) -> int:
    # All routers must hash the same text to choose the same coordinator.
    return xxhash.xxh3_64_intdigest(f'turns/{member.router_id}'.encode())


@final
class SuspectPermits:
    """Requests permits, and grants them when this router is coordinator.

    A ``PermitRequest`` is the id of the requesting router and the number that
    this router gave to the request.
    """

    __slots__ = (
        'clock',
        'members',
        'pending_grants',
        'permit_expires_at',
        'permit_holder',
        'queue',
        'request_numbers',
        'sender',
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
        self.request_numbers = itertools.count(new_incarnation())
        self.pending_grants: dict[int, asyncio.Event] = {}
        self.queue: collections.deque[PermitRequest] = collections.deque()
        self.permit_holder: PermitRequest | None = None
        self.permit_expires_at = float('-inf')

    async def acquire(self, seconds: float) -> int:
        """Wait for a permit and return its number for ``release``.

        Raises ``TimeoutError`` if it is not granted within ``seconds``.
        """
        number = next(self.request_numbers)
        granted = asyncio.Event()
        self.pending_grants[number] = granted
        try:
            async with asyncio.timeout(seconds):
                while not granted.is_set():
                    self._send_to_coordinator(TurnRequest(number))
                    await _wait_for_grant(granted)
        except BaseException:
            self.release(number)
            raise
        return number

    def release(self, number: int) -> None:
        """Release a permit, or withdraw the request for one."""
        self.pending_grants.pop(number, None)
        self._send_to_coordinator(TurnEnd(number))

    def on_message(
        self,
        sender_id: str,
        message: TurnRequest | TurnGrant | TurnEnd,
    ) -> None:
        """Handle a message from another router or from this one."""
        if isinstance(message, TurnGrant):
            self._on_grant(sender_id, message)
            return
        request = (sender_id, message.number)
        if isinstance(message, TurnRequest):
            self._on_request(request)
            return
        with contextlib.suppress(ValueError):
            self.queue.remove(request)
        if request == self.permit_holder:
            self.permit_holder = None
        self._grant_next()

    def _on_grant(self, sender_id: str, grant: TurnGrant) -> None:
        granted = self.pending_grants.get(grant.number)
        if granted is None:
            self.sender.send(sender_id, TurnEnd(grant.number))
            return
        granted.set()

    def _on_request(self, request: PermitRequest) -> None:
        if request == self.permit_holder:
            self.sender.send(request[0], TurnGrant(request[1]))
            return
        if request not in self.queue and len(self.queue) < MAX_QUEUED_REQUESTS:
            self.queue.append(request)
        self._grant_next()

    def _grant_next(self) -> None:
        now = self.clock.monotonic()
        live = {member.router_id for member in self.members.live()}
        if (
            self.permit_holder
            and self.permit_holder[0] in live
            and now < self.permit_expires_at
        ):
            return
        self.permit_holder = None
        while self.queue and self.permit_holder is None:
            request = self.queue.popleft()
            if request[0] in live:
                self.permit_holder = request
                self.permit_expires_at = now + MAX_PERMIT_SECONDS
                self.sender.send(request[0], TurnGrant(request[1]))

    def _send_to_coordinator(self, message: TurnRequest | TurnEnd) -> None:
        coordinator = max(self.members.live(), key=_score)
        self.sender.send(coordinator.router_id, message)


async def _wait_for_grant(granted: asyncio.Event) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PERMIT_REQUEST_INTERVAL_SECONDS):
            await granted.wait()
