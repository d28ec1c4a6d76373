"""An answer reaches its caller complete, or visibly cut.

Upstreams truncate their answers, crash, or answer another request. A caller
must never take such an answer for a complete answer to its own request.
"""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web
from lib.single_router import (
    SingleRouter,
    open_single_router,
    expected_text,
    streamed_text,
)

from demo.traffic import uuid7

pytestmark = pytest.mark.processes

WAIT_SECONDS = 20


@pytest.fixture
async def single_router() -> AsyncIterator[SingleRouter]:
    async with open_single_router() as single_router:
        yield single_router


async def read_until_cut(answer: aiohttp.ClientResponse) -> bytes:
    """Return what arrived of an answer that must end with an error."""
    received = b''
    with pytest.raises(aiohttp.ClientError):
        async for chunk in answer.content.iter_any():
            received += chunk
    return received


async def wait_for(check, expected) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while await check() != expected:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize('cleanly', [False, True])
async def test_truncated_answer_never_ends_as_if_whole(
    single_router, cleanly
) -> None:
    """An engine cuts its stream, with a proper end of the body or without."""
    await single_router.control(
        single_router.engines(), truncate_after=5, truncate_cleanly=cleanly
    )
    async with single_router.chat('menu costs') as answer:
        received = await read_until_cut(answer)
    assert received.count(b'\n\n') == 5
    assert b'[DONE]' not in received


@pytest.mark.parametrize('cleanly', [False, True])
async def test_cut_stream_is_resumed_without_gap_or_double(
    single_router, cleanly
) -> None:
    """A cut stream continues after the last event that arrived."""
    await single_router.control(
        single_router.engines(),
        truncate_after=5,
        truncate_cleanly=cleanly,
        truncate_resumed=False,
    )
    async with single_router.chat('menu costs') as answer:
        assert streamed_text(await answer.read()) == expected_text('menu costs')
    assert len(await single_router.fetch_runs('menu costs')) == 1
    assert len(list(single_router.router.events('resumed'))) == 1


async def test_same_request_id_of_two_callers_is_not_crossed(
    single_router,
) -> None:
    """Streams that are resumed by the callers' id alone would be mixed up."""
    await single_router.control(
        single_router.engines(), truncate_after=5, truncate_resumed=False
    )

    async def ask(text: str, key: str) -> str:
        headers = {'Authorization': f'Bearer {key}', 'X-Request-Id': 'a/b?c'}
        async with single_router.chat(text, 40, **headers) as answer:
            assert answer.headers['X-Request-Id'] == 'a/b?c'
            return streamed_text(await answer.read())

    texts = [f'asked {number}' for number in range(6)]
    keys = ['key-small-1', 'key-large-1'] * 3
    found = await asyncio.gather(*map(ask, texts, keys))
    assert found == [expected_text(text, 40) for text in texts]


async def test_caller_that_leaves_cancels_its_work(single_router) -> None:
    """Work whose caller has left would hold a slot to its end."""
    async with single_router.chat('left early', 4000) as answer:
        await answer.content.readany()
    left_at = asyncio.get_running_loop().time()

    async def run_ends() -> list[str]:
        return [
            run['end'] for run in await single_router.fetch_runs('left early')
        ]

    await wait_for(run_ends, ['cancelled'])
    # Without a cancel request, an engine ends a run without a reader after 5 s.
    assert asyncio.get_running_loop().time() - left_at < 4


async def test_write_to_a_crashing_service_is_sent_once(single_router) -> None:
    """A service that sends no answer may have executed the write."""
    await single_router.control(single_router.services(), lose_answers=True)
    async with single_router.order('two loaves', uuid7()) as answer:
        problem = await answer.json(content_type=None)
    assert answer.status == 502
    assert problem['ran'] == 'unknown'
    assert (
        len(
            await single_router.fetch_records(
                single_router.services(), '/executions'
            )
        )
        == 1
    )


async def test_answer_to_another_request_is_never_delivered(
    single_router,
) -> None:
    """An engine mixes up connections and answers with another request's id."""
    calls = []

    async def answer_with_other_id(request: web.Request) -> web.Response:
        if request.path == '/load':
            return web.json_response(
                {
                    'instance': 'i',
                    'state': 'warm',
                    'slots': 4,
                    'cold_slots': 1,
                    'running': 0,
                    'waiting': 0,
                    'models': ['demo'],
                    'reported_at': '2026-01-01T00:00:00Z',
                }
            )
        calls.append(request.path)
        headers = {'X-Request-Id': 'another', 'X-Engine-Instance': 'i'}
        return web.Response(text='of another caller', headers=headers)

    app = web.Application()
    app.router.add_route('*', '/{tail:.*}', answer_with_other_id)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    fleet = single_router.fleet
    addresses = {
        name: f'{host}:{port}' if 'engine' in name else address
        for name, address in fleet.platform.addresses.items()
    }
    fleet.deployment.write_pools(fleet.directory / 'pools.toml', addresses)
    await fleet.apply()
    await asyncio.sleep(2)
    async with single_router.chat('mine') as answer:
        body = await answer.read()
    await runner.cleanup()
    assert b'of another' not in body
    assert answer.status == 502
    assert '/v1/chat/completions' in calls
