"""A claim is won by one attempt, and a refusal never sends."""

import asyncio
import contextlib
import datetime as dt
import uuid

import pytest

from hickorymux._internal.coordination.claims import Claimer
from hickorymux._internal.coordination.claim_lane import ClaimSettings
from hickorymux._internal.exceptions import (
    ClaimSpent,
    ClaimUnavailable,
    DuplicateRequest,
    KeyExpired,
    KeyInvalid,
    KeyReused,
    Ran,
)
from lib.claim_log import AppendFault, ClaimLog

SETTINGS = ClaimSettings(
    partitions=4,
    decision=dt.timedelta(seconds=5),
    retry_after=dt.timedelta(milliseconds=20),
)


class StepClock:
    """Monotonic time that moves only by hand; sleeping yields the loop."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> dt.datetime:
        return dt.datetime(2026, 1, 1, tzinfo=dt.UTC)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(0)
        self.now += seconds


def uuid7_at(moment: dt.datetime) -> str:
    milliseconds = int(moment.timestamp() * 1000)
    number = (milliseconds << 80) | (7 << 76) | (2 << 62) | 1
    return str(uuid.UUID(int=number))


class Fleet:
    """Routers that share one log."""

    def __init__(self, size: int = 2) -> None:
        self.log = ClaimLog()
        self.clock = StepClock()
        self.routers = [self.start() for _ in range(size)]

    def start(self) -> Claimer:
        return Claimer.from_config(self.log, self.clock, SETTINGS)

    async def settle(self) -> None:
        for _ in range(50):
            await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def fleet_of(size: int = 2):
    fleet = Fleet(size)
    try:
        yield fleet
    finally:
        for router in fleet.routers:
            await router.close()


async def claim(router: Claimer, key: str = 'order-1', body: bytes = b'b'):
    return await router.claim('jiko', 'ledger', key, body)


async def test_one_of_many_concurrent_attempts_wins() -> None:
    async with fleet_of(5) as fleet:
        attempts = [claim(router) for router in fleet.routers * 3]
        ends = await asyncio.gather(*attempts, return_exceptions=True)
        lost = [end for end in ends if isinstance(end, DuplicateRequest)]
        assert len(lost) == len(ends) - 1
        assert {error.ran for error in lost} == {Ran.unknown}


async def test_duplicate_is_told_the_outcome_also_after_a_restart() -> None:
    async with fleet_of(1) as fleet:
        won = await claim(fleet.routers[0])
        won.check(fleet.clock.now)
        won.record_outcome(201)
        await fleet.settle()
        fleet.routers.append(fleet.start())
        for router in fleet.routers:
            with pytest.raises(DuplicateRequest) as caught:
                await claim(router)
            assert caught.value.ran is Ran.executed


async def test_other_body_under_the_key_has_its_own_error() -> None:
    async with fleet_of() as fleet:
        await claim(fleet.routers[0])
        with pytest.raises(KeyReused):
            await claim(fleet.routers[1], body=b'other')


async def test_released_key_can_be_claimed_again() -> None:
    async with fleet_of() as fleet:
        first = await claim(fleet.routers[0])
        first.release()
        with pytest.raises(ClaimSpent):
            first.check(fleet.clock.now)
        await fleet.settle()
        second = await claim(fleet.routers[1])
        second.check(fleet.clock.now)


async def test_claim_allows_one_send_and_no_release_after_it() -> None:
    async with fleet_of() as fleet:
        won = await claim(fleet.routers[0])
        won.check(fleet.clock.now)
        with pytest.raises(ClaimSpent):
            won.check(fleet.clock.now)
        won.release()
        await fleet.settle()
        with pytest.raises(DuplicateRequest):
            await claim(fleet.routers[1])
        won.mark_unsent()
        won.check(fleet.clock.now)


async def test_paused_winner_may_not_send_after_the_window() -> None:
    async with fleet_of() as fleet:
        won = await claim(fleet.routers[0])
        fleet.clock.now += SETTINGS.window.length.total_seconds()
        with pytest.raises(ClaimSpent) as caught:
            won.check(fleet.clock.now)
        assert caught.value.ran is Ran.not_run


@pytest.mark.parametrize(
    'fault',
    [AppendFault.answer_lost, AppendFault.lost],
)
async def test_lost_append_answer_is_settled_by_the_log(
    fault: AppendFault,
) -> None:
    async with fleet_of() as fleet:
        fleet.log.faults.append(fault)
        won = await claim(fleet.routers[0])
        won.check(fleet.clock.now)
        with pytest.raises(DuplicateRequest):
            await claim(fleet.routers[1])


async def test_lost_answers_without_end_refuse_and_free_the_key() -> None:
    async with fleet_of() as fleet:
        fleet.log.faults.extend([AppendFault.answer_lost] * 200)
        with pytest.raises(ClaimUnavailable) as caught:
            await claim(fleet.routers[0])
        assert caught.value.ran is Ran.not_run
        fleet.log.faults.clear()
        await fleet.settle()
        won = await claim(fleet.routers[1])
        won.check(fleet.clock.now)


async def test_log_outage_refuses_at_once_and_says_when_to_return() -> None:
    async with fleet_of() as fleet:
        fleet.log.is_down = True
        started = fleet.clock.now
        with pytest.raises(ClaimUnavailable) as caught:
            await claim(fleet.routers[0])
        assert caught.value.ran is Ran.not_run
        assert caught.value.retry_after
        assert fleet.clock.now - started < 0.1
        fleet.log.is_down = False
        await fleet.settle()
        await claim(fleet.routers[0])


async def test_verdict_that_comes_late_is_not_used() -> None:
    async with fleet_of() as fleet:
        attempt = asyncio.create_task(claim(fleet.routers[0]))
        await asyncio.sleep(0)
        fleet.clock.now += SETTINGS.decision.total_seconds() + 1
        with pytest.raises(ClaimUnavailable):
            await attempt
        await fleet.settle()
        await claim(fleet.routers[1])


async def test_cancelled_claim_frees_the_key() -> None:
    async with fleet_of() as fleet:
        attempt = asyncio.create_task(claim(fleet.routers[0]))
        while not fleet.log.appends:
            await asyncio.sleep(0)
        attempt.cancel()
        with pytest.raises(asyncio.CancelledError):
            await attempt
        await fleet.settle()
        await claim(fleet.routers[1])


async def test_uuid7_key_is_refused_once_the_log_may_have_forgotten() -> None:
    async with fleet_of() as fleet:
        key = uuid7_at(fleet.log.wall)
        won = await claim(fleet.routers[0], key)
        won.check(fleet.clock.now)
        fleet.log.wall += SETTINGS.retention + dt.timedelta(seconds=1)
        fleet.log.trim(fleet.log.wall - SETTINGS.retention)
        for router in (*fleet.routers, fleet.start()):
            with pytest.raises(KeyExpired) as caught:
                await claim(router, key)
            assert caught.value.ran is Ran.unknown


async def test_uuid7_key_from_the_future_is_refused() -> None:
    async with fleet_of() as fleet:
        ahead = fleet.log.wall + SETTINGS.skew + dt.timedelta(seconds=1)
        with pytest.raises(KeyInvalid):
            await claim(fleet.routers[0], uuid7_at(ahead))


async def test_route_may_demand_uuid7() -> None:
    async with fleet_of() as fleet:
        with pytest.raises(KeyInvalid):
            await fleet.routers[0].claim(
                'jiko', 'ledger', 'order-1', b'b', requires_uuid7=True
            )


async def test_trimmed_records_leave_memory() -> None:
    async with fleet_of(1) as fleet:
        router = fleet.routers[0]
        for number in range(100):
            await claim(router, f'order-{number}')
        fleet.log.wall += SETTINGS.retention * 2
        fleet.log.trim(fleet.log.wall)
        for lane in router.lanes:
            await lane.refresh()
            assert not lane.fold.keys
