"""A request that crashes engines is refused after it has crashed two.

Callers resend a request whose engine crashed, each time to another router.
Unless the routers share what they saw, each resend crashes one more engine.
"""

import asyncio
from pathlib import Path

import aiohttp
import pytest
from lib.write_fleet import Caller, write_fleet

pytestmark = pytest.mark.processes

ENGINE_COUNT = 4
OTHER_REQUESTS = 6
CRASHING_TEXT = 'poison menu'
SETTLE_SECONDS = 2


async def draft_until_whole(caller: Caller, router: str, text: str) -> int:
    """Resend a harmless request until it is answered; return the last status."""
    for _ in range(20):
        answer = await caller.draft(router, text)
        assert answer.code != 'crash_suspect'
        if answer.status == 200:
            break
        await asyncio.sleep(0.5)
    return answer.status


async def test_third_engine_is_spared_whoever_resends(tmp_path: Path) -> None:
    timeout = aiohttp.ClientTimeout(total=20)
    with write_fleet(tmp_path, 3, ENGINE_COUNT) as fleet:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            caller = Caller(fleet, session)
            await caller.wait_until_ready()
            for engine in fleet.engines:
                await caller.control(engine, crash_on_text='poison')
            for name in fleet.routers:
                await draft_until_whole(caller, name, 'warm up')
            before = await caller.engine_instances()
            other_requests = [
                asyncio.create_task(
                    draft_until_whole(caller, name, f'menu {number} {name}')
                )
                for number in range(OTHER_REQUESTS // 3)
                for name in fleet.routers
            ]
            await asyncio.sleep(0.05)
            answers = []
            for _ in range(3):
                for name in fleet.routers:
                    answers.append(await caller.draft(name, CRASHING_TEXT))
            await asyncio.sleep(SETTLE_SECONDS)
            after = await caller.engine_instances()
            crashed = sum(
                old != new for old, new in zip(before, after, strict=True)
            )
            assert crashed == 2, answers
            assert answers[-1].code == 'crash_suspect'
            assert set(await asyncio.gather(*other_requests)) == {200}
