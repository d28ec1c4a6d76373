"""Claims by way of writers: offset order decides, whoever appends."""

import asyncio
import datetime as dt

import pytest
from lib.claim_fleet import SETTINGS, ClaimFleet, View, claim_fleet, uuid7_at

from hickorymux._internal.coordination.claim_messages import (
    ClaimAnswer,
    ClaimAsk,
)
from hickorymux._internal.coordination.claim_relay import (
    decode_verdict,
    encode_verdict,
    writers_of,
)
from hickorymux._internal.coordination.claims import Claim, Claimer
from hickorymux._internal.exceptions import (
    ClaimUnavailable,
    DuplicateRequest,
    KeyExpired,
    Ran,
)
from hickorymux._internal.protocol.thrift_codec import thrift_codec
from hickorymux._internal.state.claim_fold import (
    ClaimEntry,
    Standing,
    Verdict,
    encode_entries,
)

KEY = 'order-1'


async def claim(router: Claimer, key: str = KEY) -> Claim:
    return await router.claim('jiko', 'ledger', key, b'body')


def ranked(fleet: ClaimFleet, key: str = KEY) -> list[str]:
    """Return all routers, the writer of the key's partition first."""
    lane = fleet.routers[0].lane_of('jiko', 'ledger', key)
    view = View(fleet.members[0], fleet.members)
    first = writers_of(lane.partition, view)
    return first + sorted(set(fleet.by_id) - set(first))


def others(fleet: ClaimFleet) -> list[Claimer]:
    return [fleet.by_id[router_id] for router_id in ranked(fleet)[2:]]


async def test_one_attempt_wins_and_the_writer_appends_for_all() -> None:
    async with claim_fleet(7, has_peers=True) as fleet:
        ends = await asyncio.gather(
            *(claim(router) for router in fleet.routers * 3),
            return_exceptions=True,
        )
        assert sum(isinstance(end, Claim) for end in ends) == 1
        assert sum(isinstance(end, DuplicateRequest) for end in ends) == 20
        assert fleet.log.append_count <= 3


async def test_outcome_reaches_the_duplicate_through_the_writer() -> None:
    async with claim_fleet(7, has_peers=True) as fleet:
        first, second = others(fleet)[:2]
        won = await claim(first)
        won.check(fleet.clock.now)
        won.record_outcome(201)
        await fleet.settle()
        with pytest.raises(DuplicateRequest) as caught:
            await claim(second)
        assert caught.value.ran is Ran.executed


@pytest.mark.parametrize('silent', [1, 2])
async def test_silent_writers_are_passed_over(silent: int) -> None:
    async with claim_fleet(7, has_peers=True) as fleet:
        fleet.silent.update(ranked(fleet)[:silent])
        first, second = others(fleet)[:2]
        await claim(first)
        with pytest.raises(DuplicateRequest):
            await claim(second)


async def test_verdict_lost_after_the_writer_appended() -> None:
    async with claim_fleet(7, has_peers=True) as fleet:
        fleet.lost_verdicts = 1
        first, second = others(fleet)[:2]
        won = await claim(first)
        won.check(fleet.clock.now)
        with pytest.raises(DuplicateRequest):
            await claim(second)


async def test_writer_does_not_release_the_attempt_of_another_router() -> None:
    async with claim_fleet(7, has_peers=True) as fleet:
        first, second = others(fleet)[:2]
        writer = fleet.by_id[ranked(fleet)[0]]
        lane = writer.lane_of('jiko', 'ledger', KEY)
        won = await claim(first)
        won.check(fleet.clock.now)
        # A late copy of the ask, whose appends land and are never answered.
        fleet.log.lost_answers = 500
        entry = ClaimEntry(won.key, won.attempt, b'body')
        ask = ClaimAsk(1, lane.partition, encode_entries([entry]))
        writer.on_message('r0', ask)
        for _ in range(20):
            await fleet.settle()
        fleet.log.lost_answers = 0
        for _ in range(20):
            await fleet.settle()
        with pytest.raises(DuplicateRequest):
            await claim(second)


async def test_outage_is_refused_as_not_run_through_the_writer() -> None:
    async with claim_fleet(7, has_peers=True) as fleet:
        fleet.log.is_down = True
        with pytest.raises(ClaimUnavailable) as caught:
            await claim(others(fleet)[0])
        assert caught.value.ran is Ran.not_run
        fleet.log.is_down = False
        await fleet.settle()
        await claim(others(fleet)[1])


async def test_writer_tells_what_the_log_has_forgotten() -> None:
    async with claim_fleet(7, has_peers=True) as fleet:
        key = uuid7_at(fleet.log.now)
        await claim(fleet.routers[0], key)
        fleet.pass_time(SETTINGS.retention + dt.timedelta(seconds=1))
        await fleet.follow()
        for router in fleet.routers:
            with pytest.raises(KeyExpired):
                await claim(router, key)


async def test_ask_for_an_unknown_partition_is_dropped() -> None:
    async with claim_fleet(2, has_peers=True) as fleet:
        fleet.routers[0].on_message('r1', ClaimAsk(1, 99, b''))
        assert not fleet.routers[0].served


def test_verdict_crosses_the_wire_and_never_knows_more() -> None:
    wall = dt.datetime(2026, 1, 1, 0, 0, 0, 1234, dt.UTC)
    verdict = Verdict(Standing.lost, b'body', 201, wall, wall)
    codec = thrift_codec()
    answer = ClaimAnswer(7, [encode_verdict(verdict)])
    received = codec.decode(*codec.encode(answer))
    assert received == answer
    decoded = decode_verdict(received.verdicts[0])
    assert decoded.trimmed_until >= wall
    assert decoded.status == 201
