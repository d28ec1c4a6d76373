"""Routers that claim keys on an in-memory log and exchange messages."""

import asyncio
import contextlib
import dataclasses
import datetime as dt
import uuid
from collections.abc import AsyncIterator, Sequence
from typing import Any

from hickorymux._internal.coordination.claim_messages import ClaimAnswer
from hickorymux._internal.coordination.claim_settings import ClaimSettings
from hickorymux._internal.coordination.claims import Claimer
from hickorymux._internal.coordination.ports import Member
from lib.fake_log import FakeLog
from lib.manual_clock import ManualClock

SETTINGS = ClaimSettings(
    decision_timeout=dt.timedelta(seconds=5),
    retry_after=dt.timedelta(milliseconds=20),
    append_interval=dt.timedelta(0),
)


def uuid7_at(moment: dt.datetime) -> str:
    """Return a UUID of version 7 with this creation time."""
    milliseconds = int(moment.timestamp() * 1000)
    number = (milliseconds << 80) | (7 << 76) | (2 << 62) | 1
    return str(uuid.UUID(int=number))


class YieldingClock(ManualClock):
    """A manual clock whose sleep lets other tasks run."""

    async def sleep(self, seconds: float) -> None:
        await super().sleep(seconds)
        await asyncio.sleep(0)


@dataclasses.dataclass
class StaticMemberView:
    """A ``MemberView`` over a list of members that the test changes."""

    myself: Member
    members: list[Member]

    def live(self) -> Sequence[Member]:
        return self.members

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        return [member for member in self.members if member.zone == zone]


class ClaimFleet:
    """Routers, each with a ``Claimer``, that share one log.

    With ``uses_writers`` they send claims to the writers of the partitions;
    otherwise each router appends to the log itself. Messages to
    ``silent_routers`` are lost, and so are the next ``answers_to_lose``
    answers of writers.
    """

    def __init__(self, size: int, *, uses_writers: bool = False) -> None:
        self.log = FakeLog()
        self.clock = YieldingClock()
        self.members = [
            Member(f'r{number}', 1, 'msasani', '127.0.0.1', number)
            for number in range(size)
        ]
        self.uses_writers = uses_writers
        self.silent_routers: set[str] = set()
        self.answers_to_lose = 0
        self.sent_count = 0
        self.routers: list[Claimer] = []
        self.by_id: dict[str, Claimer] = {}
        for member in self.members:
            self.start(member)

    def start(self, member: Member) -> Claimer:
        """Start a router; it replaces an earlier one with the same id."""
        view = (
            StaticMemberView(member, self.members)
            if self.uses_writers
            else None
        )
        sender = (
            LoopbackSender(self, member.router_id)
            if self.uses_writers
            else None
        )
        router = Claimer.from_config(
            self.log, self.clock, SETTINGS, view, sender
        )
        self.routers.append(router)
        self.by_id[member.router_id] = router
        return router

    def advance_time(self, span: dt.timedelta) -> None:
        """Advance the clocks of routers and log, and trim old records."""
        self.clock.advance(span.total_seconds())
        self.log.now += span
        for stream, records in self.log.streams.items():
            oldest = self.log.now - SETTINGS.retention
            old = sum(record.appended_at < oldest for record in records)
            self.log.trim(stream, self.log.first[stream] + old)

    async def follow(self) -> None:
        """Update all streams of all routers once."""
        for router in self.routers:
            for batcher in router.batchers:
                await batcher.stream.follow()

    async def run_pending_tasks(self) -> None:
        """Run the event loop until the pending work is done."""
        for _ in range(100):
            await asyncio.sleep(0)


class LoopbackSender:
    """A ``PeerSender`` that delivers on the next iteration of the loop."""

    def __init__(self, fleet: Any, router_id: str) -> None:
        self.fleet = fleet
        self.router_id = router_id

    def send(self, router_id: str, message: Any) -> bool:
        self.fleet.sent_count += 1
        if router_id in self.fleet.silent_routers:
            return True
        if isinstance(message, ClaimAnswer) and self.fleet.answers_to_lose:
            self.fleet.answers_to_lose -= 1
            return True
        target = self.fleet.by_id[router_id]
        loop = asyncio.get_running_loop()
        loop.call_soon(target.on_message, self.router_id, message)
        return True


@contextlib.asynccontextmanager
async def claim_fleet(
    size: int = 2, *, uses_writers: bool = False
) -> AsyncIterator[ClaimFleet]:
    """Yield a fleet and stop its tasks when the test ends."""
    fleet = ClaimFleet(size, uses_writers=uses_writers)
    try:
        yield fleet
    finally:
        for router in fleet.routers:
            await router.close()
