"""Test claims that one router appends to the log for other routers.

The writer may give no answer, or its verdict may be lost after it has appended
a claim. A key must still be won once, and a claim that surely was not appended
must be refused as not run.
"""

import asyncio
import datetime as dt

import pytest
from lib.claim_fleet import (
    SETTINGS,
    ClaimFleet,
    StaticMemberView,
    claim_fleet,
    uuid7_at,
)

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
    ClaimResult,
    Verdict,
    encode_entries,
)

KEY = 'order-1'


async def claim(router: Claimer, key: str = KEY) -> Claim:
    return await router.claim('jiko', 'ledger', key, b'body')


def writers_first(fleet: ClaimFleet, key: str = KEY) -> list[str]:
    """Return all router ids, first the key's writer and its standby."""
    batcher = fleet.routers[0].batcher_for('jiko', 'ledger', key)
    view = StaticMemberView(fleet.members[0], fleet.members)
    writers = writers_of(batcher.partition, view)
    return writers + sorted(set(fleet.by_id) - set(writers))


def non_writers(fleet: ClaimFleet) -> list[Claimer]:
    return [fleet.by_id[router_id] for router_id in writers_first(fleet)[2:]]


async def test_one_attempt_wins_and_the_writer_appends_for_all() -> None:
    async with claim_fleet(7, uses_writers=True) as fleet:
        results = await asyncio.gather(
            *(claim(router) for router in fleet.routers * 3),
            return_exceptions=True,
        )
        assert sum(isinstance(result, Claim) for result in results) == 1
        assert (
            sum(isinstance(result, DuplicateRequest) for result in results)
            == 20
        )
        assert fleet.log.append_count <= 3


async def test_outcome_reaches_the_duplicate_through_the_writer() -> None:
    async with claim_fleet(7, uses_writers=True) as fleet:
        first, second = non_writers(fleet)[:2]
        won = await claim(first)
        won.mark_sent(fleet.clock.now)
        won.record_outcome(201)
        await fleet.run_pending_tasks()
        with pytest.raises(DuplicateRequest) as caught:
            await claim(second)
        assert caught.value.ran is Ran.executed


@pytest.mark.parametrize('silent', [1, 2])
async def test_silent_writers_are_passed_over(silent: int) -> None:
    async with claim_fleet(7, uses_writers=True) as fleet:
        fleet.silent_routers.update(writers_first(fleet)[:silent])
        first, second = non_writers(fleet)[:2]
        await claim(first)
        with pytest.raises(DuplicateRequest):
            await claim(second)


async def test_verdict_lost_after_the_writer_appended() -> None:
    async with claim_fleet(7, uses_writers=True) as fleet:
        fleet.answers_to_lose = 1
        first, second = non_writers(fleet)[:2]
        won = await claim(first)
        won.mark_sent(fleet.clock.now)
        with pytest.raises(DuplicateRequest):
            await claim(second)


async def test_writer_does_not_release_the_attempt_of_another_router() -> None:
    async with claim_fleet(7, uses_writers=True) as fleet:
        first, second = non_writers(fleet)[:2]
        writer = fleet.by_id[writers_first(fleet)[0]]
        batcher = writer.batcher_for('jiko', 'ledger', KEY)
        won = await claim(first)
        won.mark_sent(fleet.clock.now)
        # The writer gets a late copy of the request. Its appends take effect
        # and their answers are lost, so it gives up on the entry.
        fleet.log.lost_answers = 500
        entry = ClaimEntry(won.key, won.attempt, b'body')
        ask = ClaimAsk(1, batcher.partition, encode_entries([entry]))
        writer.on_message('r0', ask)
        for _ in range(20):
            await fleet.run_pending_tasks()
        fleet.log.lost_answers = 0
        for _ in range(20):
            await fleet.run_pending_tasks()
        with pytest.raises(DuplicateRequest):
            await claim(second)


async def test_outage_is_refused_as_not_run_through_the_writer() -> None:
    async with claim_fleet(7, uses_writers=True) as fleet:
        fleet.log.is_down = True
        with pytest.raises(ClaimUnavailable) as caught:
            await claim(non_writers(fleet)[0])
        assert caught.value.ran is Ran.not_run
        fleet.log.is_down = False
        await fleet.run_pending_tasks()
        await claim(non_writers(fleet)[1])


async def test_writer_reports_that_claims_were_trimmed() -> None:
    async with claim_fleet(7, uses_writers=True) as fleet:
        key = uuid7_at(fleet.log.now)
        await claim(fleet.routers[0], key)
        fleet.advance_time(SETTINGS.retention + dt.timedelta(seconds=1))
        await fleet.follow()
        for router in fleet.routers:
            with pytest.raises(KeyExpired):
                await claim(router, key)


async def test_ask_for_an_unknown_partition_is_dropped() -> None:
    async with claim_fleet(2, uses_writers=True) as fleet:
        fleet.routers[0].on_message('r1', ClaimAsk(1, 99, b''))
        assert not fleet.routers[0].peer_tasks


def test_encoded_verdict_rounds_the_trim_time_up() -> None:
    appended_at = dt.datetime(2026, 1, 1, 0, 0, 0, 1234, dt.UTC)
    verdict = Verdict(ClaimResult.lost, b'body', 201, appended_at, appended_at)
    codec = thrift_codec()
    answer = ClaimAnswer(7, [encode_verdict(verdict)])
    received = codec.decode(*codec.encode(answer))
    assert received == answer
    decoded = decode_verdict(received.verdicts[0])
    assert decoded.trimmed_until >= appended_at
    assert decoded.status == 201
