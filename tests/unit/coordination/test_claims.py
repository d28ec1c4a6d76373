"""Test that one attempt wins a key and that a refused one never sends.

Attempts at several routers may claim the same key at once, an answer of the
log may be lost, and a router may be paused between its claim and its send. In
each case a second send would execute the write twice.
"""

import asyncio
import datetime as dt

import pytest

from hickorymux._internal.coordination.claims import Claimer
from hickorymux._internal.exceptions import (
    ClaimSpent,
    ClaimUnavailable,
    DuplicateRequest,
    KeyExpired,
    KeyInvalid,
    KeyReused,
    Ran,
)
from hickorymux._internal.state.claim_fold import (
    ClaimEntry,
    digest,
    encode_entries,
)
from lib.claim_fleet import SETTINGS, claim_fleet, uuid7_at
from lib.fake_log import EPOCH


async def claim(router: Claimer, key: str = 'order-1', body: bytes = b'b'):
    return await router.claim('jiko', 'ledger', key, body)


async def test_one_of_many_concurrent_attempts_wins() -> None:
    async with claim_fleet(5) as fleet:
        attempts = [claim(router) for router in fleet.routers * 3]
        results = await asyncio.gather(*attempts, return_exceptions=True)
        lost = [
            result for result in results if isinstance(result, DuplicateRequest)
        ]
        assert len(lost) == len(results) - 1
        assert {error.ran for error in lost} == {Ran.unknown}


async def test_duplicate_gets_the_outcome_also_after_a_restart() -> None:
    async with claim_fleet(1) as fleet:
        won = await claim(fleet.routers[0])
        won.mark_sent(fleet.clock.now)
        won.record_outcome(201)
        await fleet.run_pending_tasks()
        fleet.start(fleet.members[0])
        for router in fleet.routers:
            with pytest.raises(DuplicateRequest) as caught:
                await claim(router)
            assert caught.value.ran is Ran.executed


async def test_other_body_under_the_key_has_its_own_error() -> None:
    async with claim_fleet() as fleet:
        await claim(fleet.routers[0])
        with pytest.raises(KeyReused):
            await claim(fleet.routers[1], body=b'other')


async def test_released_key_can_be_claimed_again() -> None:
    async with claim_fleet() as fleet:
        first = await claim(fleet.routers[0])
        first.release()
        with pytest.raises(ClaimSpent):
            first.mark_sent(fleet.clock.now)
        await fleet.run_pending_tasks()
        second = await claim(fleet.routers[1])
        second.mark_sent(fleet.clock.now)


async def test_claim_allows_one_send_and_no_release_after_it() -> None:
    async with claim_fleet() as fleet:
        won = await claim(fleet.routers[0])
        won.mark_sent(fleet.clock.now)
        with pytest.raises(ClaimSpent):
            won.mark_sent(fleet.clock.now)
        won.release()
        await fleet.run_pending_tasks()
        with pytest.raises(DuplicateRequest):
            await claim(fleet.routers[1])
        won.mark_unsent()
        won.mark_sent(fleet.clock.now)


async def test_paused_winner_may_not_send_after_the_window() -> None:
    async with claim_fleet() as fleet:
        won = await claim(fleet.routers[0])
        fleet.clock.now += SETTINGS.protected_window.length.total_seconds()
        with pytest.raises(ClaimSpent) as caught:
            won.mark_sent(fleet.clock.now)
        assert caught.value.ran is Ran.not_run


@pytest.mark.parametrize('fault', ['lost_answers', 'lost_appends'])
async def test_lost_append_answer_is_settled_by_the_log(fault: str) -> None:
    async with claim_fleet() as fleet:
        setattr(fleet.log, fault, 1)
        won = await claim(fleet.routers[0])
        won.mark_sent(fleet.clock.now)
        with pytest.raises(DuplicateRequest):
            await claim(fleet.routers[1])


async def test_lost_answers_without_end_refuse_and_free_the_key() -> None:
    async with claim_fleet() as fleet:
        fleet.log.lost_answers = 200
        with pytest.raises(ClaimUnavailable) as caught:
            await claim(fleet.routers[0])
        assert caught.value.ran is Ran.not_run
        fleet.log.lost_answers = 0
        await fleet.run_pending_tasks()
        won = await claim(fleet.routers[1])
        won.mark_sent(fleet.clock.now)


async def test_log_outage_refuses_at_once_and_says_when_to_return() -> None:
    async with claim_fleet() as fleet:
        fleet.log.is_down = True
        started = fleet.clock.now
        with pytest.raises(ClaimUnavailable) as caught:
            await claim(fleet.routers[0])
        assert caught.value.ran is Ran.not_run
        assert caught.value.retry_after
        assert fleet.clock.now - started < 0.1
        fleet.log.is_down = False
        await fleet.run_pending_tasks()
        await claim(fleet.routers[0])


async def test_verdict_that_comes_late_is_not_used() -> None:
    async with claim_fleet() as fleet:
        attempt = asyncio.create_task(claim(fleet.routers[0]))
        await asyncio.sleep(0)
        fleet.clock.now += SETTINGS.decision_timeout.total_seconds() + 1
        with pytest.raises(ClaimUnavailable):
            await attempt
        await fleet.run_pending_tasks()
        await claim(fleet.routers[1])


async def test_cancelled_claim_frees_the_key() -> None:
    async with claim_fleet() as fleet:
        attempt = asyncio.create_task(claim(fleet.routers[0]))
        while not fleet.log.append_count:
            await asyncio.sleep(0)
        attempt.cancel()
        with pytest.raises(asyncio.CancelledError):
            await attempt
        await fleet.run_pending_tasks()
        await claim(fleet.routers[1])


async def test_uuid7_key_is_refused_once_the_log_may_have_trimmed_it() -> None:
    async with claim_fleet() as fleet:
        key = uuid7_at(fleet.log.now)
        won = await claim(fleet.routers[0], key)
        won.mark_sent(fleet.clock.now)
        fleet.advance_time(SETTINGS.retention + dt.timedelta(seconds=1))
        fleet.start(fleet.members[0])
        for router in fleet.routers:
            with pytest.raises(KeyExpired) as caught:
                await claim(router, key)
            assert caught.value.ran is Ran.unknown


async def test_uuid7_key_from_the_future_is_refused() -> None:
    async with claim_fleet() as fleet:
        ahead = (
            fleet.log.now + SETTINGS.max_clock_skew + dt.timedelta(seconds=1)
        )
        with pytest.raises(KeyInvalid):
            await claim(fleet.routers[0], uuid7_at(ahead))


async def test_route_may_demand_uuid7() -> None:
    async with claim_fleet() as fleet:
        with pytest.raises(KeyInvalid):
            await fleet.routers[0].claim(
                'jiko', 'ledger', 'order-1', b'b', requires_uuid7=True
            )


async def test_trimmed_records_leave_memory() -> None:
    async with claim_fleet(1) as fleet:
        router = fleet.routers[0]
        for number in range(100):
            await claim(router, f'order-{number}')
        fleet.advance_time(SETTINGS.retention * 2)
        for batcher in router.batchers:
            await batcher.stream.refresh()
            assert not batcher.stream.fold.keys


async def test_log_that_keeps_less_than_stated_expires_keys_earlier() -> None:
    async with claim_fleet() as fleet:
        key = uuid7_at(fleet.log.now)
        await claim(fleet.routers[0], key)
        for stream in fleet.log.streams:
            fleet.log.trim(stream, 1)
        fleet.start(fleet.members[0])
        for router in fleet.routers:
            with pytest.raises(KeyExpired):
                await claim(router, key)


async def test_stream_with_empty_records_accepts_keys_after_idle_time() -> None:
    async with claim_fleet() as fleet:
        for number in range(64):
            await claim(fleet.routers[0], f'order-{number}')
        for _ in range(16):
            await fleet.follow()
            fleet.advance_time(SETTINGS.empty_record_interval)
        late = fleet.start(fleet.members[1])
        won = await claim(late, uuid7_at(fleet.log.now))
        won.mark_sent(fleet.clock.now)


async def test_known_outage_is_refused_without_asking_the_log() -> None:
    async with claim_fleet(1) as fleet:
        for batcher in fleet.routers[0].batchers:
            batcher.is_log_down = True
            batcher.next_probe_at = fleet.clock.now + 1
        with pytest.raises(ClaimUnavailable):
            await claim(fleet.routers[0])
        assert not fleet.log.append_count
        fleet.clock.advance(1)
        await claim(fleet.routers[0])


def stream_of(fleet, key: str = 'order-1'):
    return fleet.routers[0].batcher_for('jiko', 'ledger', key).stream


def neighbor(fleet, key: str = 'order-1') -> str:
    """Return another key whose claims are in the same stream."""
    others = (f'{key}-{number}' for number in range(1000))
    stream = stream_of(fleet, key)
    return next(name for name in others if stream_of(fleet, name) is stream)


def restore_log(fleet, key: str) -> None:
    """Lose the claim of a stream; another router claims a key in its place."""
    name = stream_of(fleet, key).name
    fleet.log.restore(name, 0)
    fleet.log.now = EPOCH + dt.timedelta(seconds=1)
    claimed = digest(b'jiko', b'ledger', key.encode())
    entry = ClaimEntry(claimed, b'other-attempt', b'b')
    fleet.log.put(name, encode_entries([entry]))


async def test_claim_in_a_log_that_has_its_old_length_again_runs_twice() -> (
    None
):
    """The router would never read what was written in between."""
    async with claim_fleet(1) as fleet:
        await claim(fleet.routers[0])
        other = neighbor(fleet)
        restore_log(fleet, other)
        with pytest.raises(DuplicateRequest):
            await claim(fleet.routers[0], other)


async def test_claim_that_a_restore_lost_is_granted_again() -> None:
    async with claim_fleet(1) as fleet:
        won = await claim(fleet.routers[0])
        won.mark_sent(fleet.clock.now)
        restore_log(fleet, neighbor(fleet))
        with pytest.raises(DuplicateRequest):
            await claim(fleet.routers[0])


async def test_claim_from_before_a_restore_may_still_send() -> None:
    """Another attempt may own the key by now."""
    async with claim_fleet(1) as fleet:
        held = await claim(fleet.routers[0])
        restore_log(fleet, 'order-1')
        await stream_of(fleet).refresh()
        with pytest.raises(ClaimSpent):
            held.mark_sent(fleet.clock.now)


async def test_key_from_before_a_restore_is_granted() -> None:
    """Its claim may be among those that were lost and never read here."""
    async with claim_fleet(1) as fleet:
        key = uuid7_at(fleet.clock.wall())
        other = neighbor(fleet, key)
        await claim(fleet.routers[0], other)
        restore_log(fleet, other)
        await stream_of(fleet, key).refresh()
        with pytest.raises(KeyExpired):
            await claim(fleet.routers[0], key)
