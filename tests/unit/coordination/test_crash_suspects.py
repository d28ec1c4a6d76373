"""One request takes down two upstreams at most, and its neighbours run."""

import asyncio

import pytest
from lib.claim_fleet import LoopbackSender, StaticMemberView, YieldingClock

from hickorymux._internal.coordination.crash_suspects import CrashSuspects
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.exceptions import CrashSuspect, NoCapacity, Ran
from hickorymux._internal.protocol.thrift_codec import thrift_codec

KILLER = (1 << 64) - 1
NEIGHBOUR = 2
OTHER = 3
WAIT_SECONDS = 5


class SuspectFleet:
    """Two zones of three routers; messages cross the codec."""

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
            member.router_id: CrashSuspects.from_config(
                StaticMemberView(member, self.members),
                CodecSender(self, member.router_id),
                self.clock,
            )
            for member in self.members
        }
        self.routers = list(self.by_id.values())

    async def run(
        self, router: CrashSuspects, upstream: str, *fingerprints: int
    ) -> None:
        """Run requests side by side on one upstream; the killer crashes it."""
        admissions = [
            await router.admit(each, WAIT_SECONDS) for each in fingerprints
        ]
        if KILLER in fingerprints:
            self.crashed.append(upstream)
            await router.on_crash(upstream, 'i1', fingerprints)
        for admission in admissions:
            if KILLER not in fingerprints:
                router.on_finished(admission)
            router.end_admission(admission)

    async def run_pending_tasks(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0)


class CodecSender(LoopbackSender):
    """A link whose messages are encoded and decoded."""

    def send(self, router_id: str, message: object) -> bool:
        codec = thrift_codec()
        received = codec.decode(*codec.encode(message))
        assert received == message
        return super().send(router_id, received)


async def test_third_upstream_is_spared_whoever_resends() -> None:
    fleet = SuspectFleet()
    for router in fleet.routers * 2:
        try:
            await fleet.run(router, f'engine-{fleet.sent_count}', KILLER)
        except CrashSuspect as error:
            assert error.ran is Ran.not_run
    assert len(fleet.crashed) == 2


async def test_zone_knows_before_the_caller_hears_of_the_crash() -> None:
    fleet = SuspectFleet()
    first, *others = fleet.routers[:3]
    await first.on_crash('engine-1', 'i1', [KILLER])
    await first.on_crash('engine-2', 'i1', [KILLER])
    for router in others:
        with pytest.raises(CrashSuspect):
            await router.admit(KILLER, WAIT_SECONDS)


async def test_other_zone_hears_through_its_delegates() -> None:
    fleet = SuspectFleet()
    await fleet.routers[0].on_crash('engine-1', 'i1', [KILLER])
    await fleet.routers[1].on_crash('engine-2', 'i1', [KILLER])
    await fleet.run_pending_tasks()
    for router in fleet.routers[3:]:
        with pytest.raises(CrashSuspect):
            await router.admit(KILLER, WAIT_SECONDS)


async def test_neighbours_of_the_killer_run_and_are_cleared() -> None:
    fleet = SuspectFleet()
    first, second = fleet.routers[:2]
    await fleet.run(first, 'engine-1', KILLER, NEIGHBOUR, OTHER)
    await fleet.run(second, 'engine-2', NEIGHBOUR)
    await fleet.run(second, 'engine-2', KILLER)
    await fleet.run(first, 'engine-3', NEIGHBOUR)
    await fleet.run(second, 'engine-3', OTHER)
    await fleet.run_pending_tasks()
    for router in fleet.routers:
        with pytest.raises(CrashSuspect):
            await router.admit(KILLER, WAIT_SECONDS)
        admission = await router.admit(NEIGHBOUR, WAIT_SECONDS)
        assert not admission.is_suspect


async def test_suspects_run_one_at_a_time_in_the_fleet() -> None:
    fleet = SuspectFleet()
    first, second = fleet.routers[0], fleet.routers[2]
    await fleet.run(first, 'engine-1', KILLER, NEIGHBOUR)
    running = await first.admit(KILLER, WAIT_SECONDS)
    assert running.is_suspect
    waiting = asyncio.create_task(second.admit(NEIGHBOUR, WAIT_SECONDS))
    await fleet.run_pending_tasks()
    assert not waiting.done()
    await first.on_crash('engine-2', 'i1', [KILLER])
    first.end_admission(running)
    admission = await waiting
    assert admission.is_suspect


async def test_turn_of_a_router_that_is_gone_goes_on() -> None:
    fleet = SuspectFleet()
    first, second = fleet.routers[0], fleet.routers[2]
    await fleet.run(first, 'engine-1', KILLER, NEIGHBOUR)
    await first.admit(KILLER, WAIT_SECONDS)
    gone = first.members.myself
    fleet.members.remove(gone)
    admission = await second.admit(NEIGHBOUR, WAIT_SECONDS)
    assert admission.is_suspect


async def test_no_turn_in_time_is_refused_as_not_run() -> None:
    fleet = SuspectFleet()
    first, second = fleet.routers[0], fleet.routers[2]
    await fleet.run(first, 'engine-1', KILLER, NEIGHBOUR)
    await first.admit(KILLER, WAIT_SECONDS)
    with pytest.raises(NoCapacity) as caught:
        await second.admit(NEIGHBOUR, 0.01)
    assert caught.value.ran is Ran.not_run


async def test_one_crash_that_many_report_counts_once() -> None:
    fleet = SuspectFleet()
    for router in fleet.routers[:3]:
        await router.on_crash('engine-1', 'i1', [NEIGHBOUR])
    admission = await fleet.routers[0].admit(NEIGHBOUR, WAIT_SECONDS)
    assert admission.is_suspect


async def test_silent_router_does_not_hold_up_the_answer() -> None:
    fleet = SuspectFleet()
    fleet.silent_routers.add('msasani1')
    started = fleet.clock.now
    await fleet.routers[0].on_crash('engine-1', 'i1', [KILLER])
    assert fleet.clock.now - started < 0.3


async def test_suspicion_expires_and_memory_is_bounded() -> None:
    fleet = SuspectFleet()
    router = fleet.routers[0]
    limit = router.settings.max_entries
    await router.on_crash('engine-1', 'i1', range(limit + 100))
    assert len(router.table.entries) == limit
    fleet.clock.advance(router.settings.lifetime.total_seconds())
    admission = await router.admit(limit, WAIT_SECONDS)
    assert not admission.is_suspect
