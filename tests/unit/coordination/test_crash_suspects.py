"""Test that a crashing request takes down at most two upstreams.

Requests that were in flight beside it must still be served.
"""

import asyncio

import pytest
from lib.claim_fleet import LoopbackSender, StaticMemberView, YieldingClock

from hickorymux._internal.coordination.crash_suspects import (
    CrashSuspects,
    SuspectSettings,
)
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.exceptions import CrashSuspect, NoCapacity, Ran
from hickorymux._internal.protocol.thrift_codec import thrift_codec

CRASHING = (1 << 64) - 1
HARMLESS = 2
ALSO_HARMLESS = 3
PERMIT_TIMEOUT_SECONDS = 5


class SuspectFleet:
    """Two availability zones of three routers that exchange messages."""

    def __init__(self) -> None:
        self.clock = YieldingClock()
        self.silent_routers: set[str] = set()
        self.answers_to_lose = 0
        self.sent_count = 0
        self.crashed: list[str] = []
        self.members = [
            Member(f'{zone}{number}', 1, zone, '127.0.0.1', number)
            for zone in ('msasani', 'temeke')
            for number in range(3)
        ]
        self.by_id = {
            member.router_id: self.new_router(member) for member in self.members
        }
        self.routers = list(self.by_id.values())

    def new_router(self, member: Member) -> CrashSuspects:
        return CrashSuspects.from_config(
            StaticMemberView(member, self.members),
            CodecSender(self, member.router_id),
            self.clock,
        )

    async def run(
        self, router: CrashSuspects, upstream: str, *fingerprints: int
    ) -> None:
        """Run requests together on one upstream; ``CRASHING`` crashes it."""
        admissions = [
            await router.admit(fingerprint, PERMIT_TIMEOUT_SECONDS)
            for fingerprint in fingerprints
        ]
        if CRASHING in fingerprints:
            self.crashed.append(upstream)
            await router.on_crash(upstream, 'i1', fingerprints)
        for admission in admissions:
            if CRASHING not in fingerprints:
                router.on_answered(admission.fingerprint)
            router.end_admission(admission)

    async def run_pending_tasks(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0)


class CodecSender(LoopbackSender):
    """A sender that passes each message through the Thrift codec."""

    def send(self, router_id: str, message: object) -> bool:
        codec = thrift_codec()
        received = codec.decode(*codec.encode(message))
        assert received == message
        return super().send(router_id, received)


async def test_third_upstream_is_spared_whoever_resends() -> None:
    fleet = SuspectFleet()
    for router in fleet.routers * 2:
        try:
            await fleet.run(router, f'engine-{fleet.sent_count}', CRASHING)
        except CrashSuspect as error:
            assert error.ran is Ran.not_run
    assert len(fleet.crashed) == 2


async def test_zone_knows_the_crash_before_the_caller_is_answered() -> None:
    fleet = SuspectFleet()
    first, *others = fleet.routers[:3]
    await first.on_crash('engine-1', 'i1', [CRASHING])
    await first.on_crash('engine-2', 'i1', [CRASHING])
    for router in others:
        with pytest.raises(CrashSuspect):
            await router.admit(CRASHING, PERMIT_TIMEOUT_SECONDS)


async def test_other_zone_is_informed_through_its_delegates() -> None:
    fleet = SuspectFleet()
    await fleet.routers[0].on_crash('engine-1', 'i1', [CRASHING])
    await fleet.routers[1].on_crash('engine-2', 'i1', [CRASHING])
    await fleet.run_pending_tasks()
    for router in fleet.routers[3:]:
        with pytest.raises(CrashSuspect):
            await router.admit(CRASHING, PERMIT_TIMEOUT_SECONDS)


async def test_requests_beside_the_crashing_one_run_and_are_cleared() -> None:
    fleet = SuspectFleet()
    first, second = fleet.routers[:2]
    await fleet.run(first, 'engine-1', CRASHING, HARMLESS, ALSO_HARMLESS)
    await fleet.run(second, 'engine-2', HARMLESS)
    await fleet.run(second, 'engine-2', CRASHING)
    await fleet.run(first, 'engine-3', HARMLESS)
    await fleet.run(second, 'engine-3', ALSO_HARMLESS)
    await fleet.run_pending_tasks()
    for router in fleet.routers:
        with pytest.raises(CrashSuspect):
            await router.admit(CRASHING, PERMIT_TIMEOUT_SECONDS)
        admission = await router.admit(HARMLESS, PERMIT_TIMEOUT_SECONDS)
        assert not admission.is_suspect


async def test_suspects_run_one_at_a_time_in_the_fleet() -> None:
    fleet = SuspectFleet()
    first, second = fleet.routers[0], fleet.routers[2]
    await fleet.run(first, 'engine-1', CRASHING, HARMLESS)
    running = await first.admit(CRASHING, PERMIT_TIMEOUT_SECONDS)
    assert running.is_suspect
    waiting = asyncio.create_task(
        second.admit(HARMLESS, PERMIT_TIMEOUT_SECONDS)
    )
    await fleet.run_pending_tasks()
    assert not waiting.done()
    await first.on_crash('engine-2', 'i1', [CRASHING])
    first.end_admission(running)
    admission = await waiting
    assert admission.is_suspect


async def test_permit_of_a_router_that_left_is_granted_again() -> None:
    fleet = SuspectFleet()
    first, second = fleet.routers[0], fleet.routers[2]
    await fleet.run(first, 'engine-1', CRASHING, HARMLESS)
    await first.admit(CRASHING, PERMIT_TIMEOUT_SECONDS)
    left = first.members.myself
    fleet.members.remove(left)
    admission = await second.admit(HARMLESS, PERMIT_TIMEOUT_SECONDS)
    assert admission.is_suspect


async def test_no_permit_in_time_is_refused_as_not_run() -> None:
    fleet = SuspectFleet()
    first, second = fleet.routers[0], fleet.routers[2]
    await fleet.run(first, 'engine-1', CRASHING, HARMLESS)
    await first.admit(CRASHING, PERMIT_TIMEOUT_SECONDS)
    with pytest.raises(NoCapacity) as caught:
        await second.admit(HARMLESS, 0.01)
    assert caught.value.ran is Ran.not_run


async def test_one_crash_that_many_report_counts_once() -> None:
    fleet = SuspectFleet()
    for router in fleet.routers[:3]:
        await router.on_crash('engine-1', 'i1', [HARMLESS])
    admission = await fleet.routers[0].admit(HARMLESS, PERMIT_TIMEOUT_SECONDS)
    assert admission.is_suspect


async def test_silent_router_does_not_hold_up_the_answer() -> None:
    fleet = SuspectFleet()
    fleet.silent_routers.add('msasani1')
    started = fleet.clock.now
    await fleet.routers[0].on_crash('engine-1', 'i1', [CRASHING])
    assert fleet.clock.now - started < 0.3


async def test_suspicion_expires_and_memory_is_bounded() -> None:
    fleet = SuspectFleet()
    router = fleet.routers[0]
    limit = router.settings.max_entries
    await router.on_crash('engine-1', 'i1', range(limit + 100))
    assert len(router.table.entries) == limit
    fleet.clock.advance(router.settings.lifetime.total_seconds())
    admission = await router.admit(limit, PERMIT_TIMEOUT_SECONDS)
    assert not admission.is_suspect


class UnpermittedFleet(SuspectFleet):
    """Routers that run suspects without a permit, as entry processes do."""

    def new_router(self, member: Member) -> CrashSuspects:
        return CrashSuspects.from_config(
            StaticMemberView(member, self.members),
            CodecSender(self, member.router_id),
            self.clock,
            SuspectSettings(crashes_until_refused=3),
        )

    def restart(self, member: Member) -> CrashSuspects:
        """Replace a router by one that has just started."""
        router = self.new_router(member)
        self.routers[self.members.index(member)] = router
        self.by_id[member.router_id] = router
        return router

    def sends(self, router: CrashSuspects, fingerprint: int) -> bool:
        """Return whether the router sends a request on."""
        try:
            router.check(fingerprint)
        except CrashSuspect as error:
            assert error.retry_after
            return False
        return True

    async def crash(self, router: CrashSuspects, fingerprint: int) -> None:
        """Run a request that crashes a new upstream."""
        self.crashed.append(f'engine-{len(self.crashed)}')
        await router.on_crash(self.crashed[-1], 'i1', [fingerprint])
        await self.run_pending_tasks()


async def test_sound_request_at_three_crashes_is_refused_for_minutes() -> None:
    fleet = UnpermittedFleet()
    for router in fleet.routers[:3]:
        await fleet.crash(router, HARMLESS)
    assert not any(fleet.sends(router, HARMLESS) for router in fleet.routers)
    fleet.clock.advance(10)
    senders = [
        router for router in fleet.routers if fleet.sends(router, HARMLESS)
    ]
    assert len(senders) == 1
    senders[0].on_answered(HARMLESS)
    await fleet.run_pending_tasks()
    assert all(fleet.sends(router, HARMLESS) for router in fleet.routers)


async def test_trials_of_a_crashing_request_crash_many_upstreams() -> None:
    """The users' bound is three more runs after the third crash, in a day."""
    fleet = UnpermittedFleet()
    for _second in range(90):
        for router in fleet.routers:
            if fleet.sends(router, CRASHING):
                await fleet.crash(router, CRASHING)
        fleet.clock.advance(1)
    assert 3 < len(fleet.crashed) <= 6


async def test_router_that_starts_later_sends_what_others_refuse() -> None:
    fleet = UnpermittedFleet()
    for router in fleet.routers[:3]:
        await fleet.crash(router, CRASHING)
    late = fleet.restart(fleet.members[5])
    for router in fleet.routers[:5]:
        router.tick()
    await fleet.run_pending_tasks()
    assert not fleet.sends(late, CRASHING)


async def test_router_that_missed_an_answer_makes_others_refuse_again() -> None:
    fleet = UnpermittedFleet()
    for router in fleet.routers[:3]:
        await fleet.crash(router, HARMLESS)
    fleet.clock.advance(1)
    fleet.silent_routers.add(fleet.members[5].router_id)
    fleet.routers[0].on_answered(HARMLESS)
    fleet.silent_routers.clear()
    await fleet.run_pending_tasks()
    assert not fleet.sends(fleet.routers[5], HARMLESS)
    for _second in range(5):
        for router in fleet.routers:
            router.tick()
        await fleet.run_pending_tasks()
    assert all(fleet.sends(router, HARMLESS) for router in fleet.routers)


async def test_requests_that_many_routers_know_are_never_forgotten() -> None:
    """A router that learns of a crash late expires it when the others do."""
    fleet = UnpermittedFleet()
    for router in fleet.routers[:3]:
        await fleet.crash(router, CRASHING)
    lifetime = int(fleet.routers[0].settings.lifetime.total_seconds())
    for _minute in range(lifetime // 60 + 1):
        fleet.restart(fleet.members[5])
        for router in fleet.routers:
            router.tick()
        await fleet.run_pending_tasks()
        fleet.clock.advance(60)
    assert all(fleet.sends(router, CRASHING) for router in fleet.routers)
