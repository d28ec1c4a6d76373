"""A router that gets SIGTERM completes the requests that it has begun.

If it closed its connections at once, each restart would cut streams and leave
callers without the outcome of their writes.
"""

import asyncio
import time

import aiohttp
import pytest
from lib.single_router import (
    SingleRouter,
    open_single_router,
    expected_text,
    streamed_text,
)

from demo.traffic import uuid7

pytestmark = pytest.mark.processes

REFUSED = 'refused'
WHOLE = 'whole'


async def ask(single_router: SingleRouter, text: str, tokens: int) -> str:
    """Send a stream request; return whether it was answered or refused."""
    try:
        answer = await single_router.chat(text, tokens)
    except aiohttp.ClientConnectorError:
        return REFUSED
    async with answer:
        if answer.status == 200:
            assert streamed_text(await answer.read()) == expected_text(
                text, tokens
            )
            return WHOLE
        problem = await answer.json(content_type=None)
        assert (problem['code'], problem['ran']) == ('not_ready', 'no')
        assert 'Retry-After' in answer.headers
        return REFUSED


async def keep_asking(single_router: SingleRouter, name: str) -> list[str]:
    """Send one stream request after the other until one is refused."""
    ends = []
    while ends[-1:] != [REFUSED]:
        ends.append(await ask(single_router, f'{name} {len(ends)}', 20))
    return ends


async def test_stop_under_load_cuts_no_request() -> None:
    """Streams and a write are in progress when the router gets SIGTERM."""
    async with open_single_router() as single_router:
        asking = [
            asyncio.create_task(keep_asking(single_router, f'load {number}'))
            for number in range(8)
        ]
        long = asyncio.create_task(ask(single_router, 'long', 300))
        await single_router.control(single_router.services(), latency_ms=3000)
        await asyncio.sleep(1)
        order = asyncio.create_task(single_router.order('a loaf', uuid7()))
        await asyncio.sleep(0.3)
        single_router.router.terminate()
        ends = await asyncio.gather(*asking)
        assert await long == WHOLE
        assert (await order).status == 200
        assert await asyncio.to_thread(single_router.router.wait) == 0
    assert all(set(each[:-1]) == {WHOLE} for each in ends)
    assert next(single_router.router.events('drain_ended'))['cut_requests'] == 0


async def test_second_signal_ends_at_once_and_says_what_was_cut() -> None:
    """Operators end a drain that takes too long with a second SIGTERM."""
    async with open_single_router() as single_router:
        async with single_router.chat('long', 4000) as answer:
            await answer.content.readany()
            single_router.router.terminate()
            await asyncio.to_thread(
                single_router.router.wait_event, 'drain_started'
            )
            asked_at = time.monotonic()
            single_router.router.terminate()
            with pytest.raises(aiohttp.ClientError):
                await answer.read()
        assert await asyncio.to_thread(single_router.router.wait) == 0
    assert time.monotonic() - asked_at < 5
    assert next(single_router.router.events('drain_ended'))['cut_requests'] == 1
