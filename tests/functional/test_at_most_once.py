"""A write with an idempotency key is executed at most once.

A caller that gets no answer resends its write to another router. If that one
doesn't know that the write has been sent already, the service executes it
twice. The tests kill or pause a router at each step of a write, or cut the log
that records the claims.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import aiohttp
import pytest
from lib.write_fleet import Caller, WriteFleet, write_fleet

pytestmark = pytest.mark.processes

ROUTER_COUNT = 3
KILL_DELAYS_MS = (10, 30, 50, 70, 90, 120)
LONGER_THAN_ANY_LEASE_SECONDS = 5
MAX_REFUSAL_SECONDS = 1


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[WriteFleet]:
    with write_fleet(tmp_path, ROUTER_COUNT) as started:
        yield started


@contextlib.asynccontextmanager
async def open_caller(fleet: WriteFleet) -> AsyncIterator[Caller]:
    timeout = aiohttp.ClientTimeout(total=20)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        caller = Caller(fleet, session)
        await caller.wait_until_ready()
        yield caller


async def test_resends_to_all_routers_run_once(fleet: WriteFleet) -> None:
    """A write that is sent to all routers at once must run only once."""
    async with open_caller(fleet) as caller:
        names = list(fleet.routers) * 4
        answers = await asyncio.gather(
            *(caller.order(name, 'order-1') for name in names)
        )
        assert sorted(answer.status for answer in answers)[:2] == [200, 409]
        assert await caller.executions('order-1') == 1
        for name in fleet.routers:
            resent = await caller.order_until_known(name, 'order-1')
            assert (resent.code, resent.ran) == ('duplicate_request', 'yes')
            other = await caller.order(name, 'order-1', b'rice')
            assert (other.code, other.ran) == ('key_reused', 'no')
        assert await caller.executions('order-1') == 1


async def test_router_killed_at_any_moment(fleet: WriteFleet) -> None:
    """A router dies before or after it has sent the write to the service.

    The next router must not run the write again, and must not say that it
    has not run when it may have.
    """
    async with open_caller(fleet) as caller:
        await caller.control(fleet.service, latency_ms=60)
        await caller.control(fleet.log, append_delay_ms=20)
        for delay_ms in KILL_DELAYS_MS:
            key = f'killed-{delay_ms}'
            warm_up = await caller.order_until_settled('r0', f'warm-{delay_ms}')
            assert warm_up.status == 200
            order = asyncio.create_task(caller.order('r0', key))
            await asyncio.sleep(delay_ms / 1000)
            fleet.routers['r0'].kill()
            first = await order
            resent = await caller.order_until_settled('r1', key)
            count = await caller.executions(key)
            assert count <= 1, (delay_ms, first, resent)
            if resent.status == 200:
                assert count == 1
            else:
                assert resent.code == 'duplicate_request'
                assert resent.ran != 'no'
            fleet.start_router('r0')
            await caller.wait_until_ready()


async def test_router_frozen_for_longer_than_any_lease(
    fleet: WriteFleet,
) -> None:
    """A router is paused amid its writes until its leases have expired.

    Meanwhile another router settles the same writes. The first one must not
    send them when it resumes.
    """
    async with open_caller(fleet) as caller:
        await caller.control(fleet.service, latency_ms=100)
        await caller.control(fleet.log, append_delay_ms=50)
        orders = []
        for delay_ms in (0, 20, 40, 60, 90, 130):
            key = f'frozen-{delay_ms}'
            orders.append(asyncio.create_task(caller.order('r0', key)))
            await asyncio.sleep(0.01)
        fleet.routers['r0'].pause()
        keys = [f'frozen-{delay_ms}' for delay_ms in (0, 20, 40, 60, 90, 130)]
        resent = [await caller.order_until_settled('r1', key) for key in keys]
        await asyncio.sleep(LONGER_THAN_ANY_LEASE_SECONDS)
        fleet.routers['r0'].resume()
        first = await asyncio.gather(*orders)
        for key, early, late in zip(keys, first, resent, strict=True):
            count = await caller.executions(key)
            assert count <= 1, (key, early, late)
            answered = [early.status, late.status].count(200)
            assert answered <= count


@pytest.mark.parametrize('outage', ['refuse', 'hang'])
async def test_log_outage_is_refused_truthfully(
    fleet: WriteFleet, outage: str
) -> None:
    """Without the log no write can be claimed, so none may be sent.

    After a first failure, routers refuse at once instead of waiting for the
    log with each write.
    """
    async with open_caller(fleet) as caller:
        await caller.control(fleet.log, outage=outage)
        for name in fleet.routers:
            refused = await caller.order(name, 'order-1')
            assert (refused.code, refused.ran) == ('claim_unavailable', 'no')
            second = await caller.order(name, 'order-2')
            assert (second.code, second.ran) == ('claim_unavailable', 'no')
            assert second.seconds < MAX_REFUSAL_SECONDS
        assert await caller.executions('order-1') == 0
        await caller.control(fleet.log, outage='off')
        for key in ('order-1', 'order-2'):
            settled = await caller.order_until_settled('r2', key)
            assert settled.status in {200, 409}
            assert await caller.executions(key) <= 1
        fresh = await caller.order_until_settled('r1', 'order-3')
        assert fresh.status == 200


async def test_lost_append_answers(fleet: WriteFleet) -> None:
    """The log records claims, but the router never learns that it did."""
    async with open_caller(fleet) as caller:
        await caller.control(fleet.log, lose_append_answers=True)
        orders = (caller.order(name, 'order-1') for name in fleet.routers)
        refused = await asyncio.gather(*orders)
        assert {answer.ran for answer in refused} <= {'no', 'unknown'}
        assert await caller.executions('order-1') == 0
        await caller.control(fleet.log, lose_append_answers=False)
        settled = await caller.order_until_settled('r1', 'order-1')
        assert settled.status in {200, 409}
        assert await caller.executions('order-1') <= 1
