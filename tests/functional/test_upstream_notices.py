"""Upstreams that say in their answers that they leave, or want a pause."""

import asyncio

import pytest

from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_fleet import platform_fleet, route

LEAVING = 'Server-Leaving: 1'
SSE = 'Content-Type: text/event-stream'
PLAIN = route('/q/', 'idempotent', maxAttempts=2, timeoutMs=3000)
STREAM = route('/s/', 'streaming', resumable=True, maxAttempts=2)


def answering(*lines, status='200 OK', body=b'ok'):
    async def script(received):
        received.writer.write(
            received.head(status, *lines, f'Content-Length: {len(body)}') + body
        )

    return script


def refusing(*lines):
    return answering('X-Not-Executed: 1', *lines, status='503 Full', body=b'')


async def streaming_until(received, ended, *lines):
    received.writer.write(
        received.head('200 OK', SSE, 'Transfer-Encoding: chunked', *lines)
    )
    for number in (1, 2):
        event = f'id: {number}\ndata: x\n\n'.encode()
        received.writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await received.writer.drain()
        if number == 1:
            await ended.wait()
    received.writer.write(b'0\r\n\r\n')


async def status_of(fleet, request_id, path='/q/', router=None):
    async with fleet.request(
        'POST',
        path,
        router,
        headers={'X-Request-Id': request_id},
        data=b'x',
    ) as answer:
        await answer.read()
        return answer.status, answer.headers.get('Retry-After')


async def ask(fleet, count, name, router=None):
    return [
        (await status_of(fleet, f'{name}-{number}', router=router))[0]
        for number in range(count)
    ]


@pytest.fixture
async def fleet():
    async with platform_fleet(PLAIN, STREAM) as fleet:
        yield fleet


async def add(fleet, *engines):
    for engine in engines:
        await fleet.add_engine(engine)
    await fleet.wait_until_ready()


@pytest.mark.parametrize(
    'script',
    [
        answering(LEAVING),
        answering(LEAVING, status='404 Not Found'),
        refusing(LEAVING),
        refusing(LEAVING, 'Retry-After: 0.1'),
    ],
    ids=['success', 'error', 'refusal', 'refusal with a pause'],
)
async def test_leaving_upstream_gets_no_more_requests(fleet, script):
    leaving = PlatformEngine('i-1', script)
    await add(fleet, leaving)
    await ask(fleet, 1, 'first')
    staying = PlatformEngine('i-2')
    await add(fleet, staying)
    # A view that is not up to date names it as before.
    await fleet.store.put('keyed.servers', 'i-1', leaving.entry(seq=2))
    await asyncio.sleep(1)
    assert await ask(fleet, 10, 'then') == [200] * 10
    assert len(leaving.received) == 1
    assert len(staying.received) == 10


async def test_upstream_that_leaves_is_known_while_its_stream_runs(fleet):
    ended = asyncio.Event()

    async def script(received):
        await streaming_until(received, ended, LEAVING)

    leaving = PlatformEngine('i-1', script)
    await add(fleet, leaving)
    async with fleet.request('POST', '/s/', data=b'x') as stream:
        await stream.content.readuntil(b'\n\n')
        assert await ask(fleet, 5, 'then') == [503] * 5
        ended.set()
        assert b'id: 2' in await stream.content.read()
    assert len(leaving.received) == 1


async def test_next_incarnation_of_an_upstream_that_left_is_used(fleet):
    engine = PlatformEngine('i-1', answering(LEAVING))
    await add(fleet, engine)
    await ask(fleet, 1, 'first')
    refused = await status_of(fleet, 'second')
    assert (refused[0], float(refused[1]) > 0) == (503, True)
    engine.script = answering()
    await fleet.store.put('keyed.servers', 'i-1', engine.entry(born=2, seq=1))
    async with asyncio.timeout(5):
        while (await status_of(fleet, 'third'))[0] != 200:
            await asyncio.sleep(0.05)


async def test_leaving_is_remembered_while_the_store_is_silent(fleet):
    leaving = PlatformEngine('i-1', answering(LEAVING))
    await add(fleet, leaving)
    await ask(fleet, 1, 'first')
    fleet.store.mode = 'silent'
    await asyncio.sleep(1)
    await ask(fleet, 5, 'then')
    assert len(leaving.received) == 1


async def test_paused_upstream_is_left_alone_by_those_that_wait(fleet):
    """Twenty requests wait for the upstream when it asks for a pause."""
    pausing = PlatformEngine('i-1', refusing('Retry-After: 1.2'))
    await add(fleet, pausing)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    found = await asyncio.gather(
        *(status_of(fleet, f'r-{number}') for number in range(20))
    )
    assert loop.time() - started_at < 1
    assert {status for status, _ in found} == {503}
    first = len(pausing.received)
    while loop.time() - started_at < 1.1:
        await status_of(fleet, f'more-{loop.time()}')
        await asyncio.sleep(0.02)
    assert len(pausing.received) - first <= 2
    pausing.script = answering()
    await asyncio.sleep(0.6)
    assert await ask(fleet, 3, 'back') == [200] * 3


async def test_pool_that_pauses_whole_names_the_earliest_return(fleet):
    for number, seconds in ((1, 5), (2, 3)):
        script = refusing(f'Retry-After: {seconds}')
        await add(fleet, PlatformEngine(f'i-{number}', script))
    await ask(fleet, 2, 'first')
    status, retry_after = await status_of(fleet, 'then')
    assert status == 503
    assert 2 < float(retry_after) < 4
    assert sum(len(engine.received) for engine in fleet.engines) == 2


@pytest.mark.parametrize(
    'lines',
    [
        ('Retry-After: -1',),
        ('Retry-After: soon',),
        ('Retry-After: nan',),
        ('Retry-After: inf',),
        ('Retry-After: 1e999',),
        ('Retry-After: 7', 'Retry-After: 9'),
        ('Retry-After: Fri, 04 Dec 2026 10:00:00 GMT',),
        ('Server-Leaving: 0',),
        ('Server-Leaving: yes',),
    ],
)
async def test_notice_that_cannot_be_read_changes_nothing(fleet, lines):
    engine = PlatformEngine('i-1', refusing(*lines))
    await add(fleet, engine)
    await ask(fleet, 1, 'first')
    engine.script = answering()
    async with asyncio.timeout(2):
        while (await status_of(fleet, 'then'))[0] != 200:
            await asyncio.sleep(0.05)


async def test_pause_in_an_answer_to_another_request_is_ignored(fleet):
    async def script(received):
        received.writer.write(
            b'HTTP/1.1 503 Full\r\nX-Request-Id: other\r\nX-Not-Executed: 1\r\n'
            b'Retry-After: 60\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n'
        )

    engine = PlatformEngine('i-1', script)
    await add(fleet, engine)
    await ask(fleet, 1, 'first')
    engine.script = answering()
    async with asyncio.timeout(5):
        while (await status_of(fleet, 'then'))[0] != 200:
            await asyncio.sleep(0.05)


async def test_each_of_three_routers_keeps_what_it_was_told(fleet):
    await fleet.add_router()
    await fleet.add_router()
    leaving = PlatformEngine('i-1', answering(LEAVING))
    await add(fleet, leaving)
    for router in fleet.routers:
        await ask(fleet, 1, 'first', router)
    assert len(leaving.received) == 3
    for router in fleet.routers:
        await ask(fleet, 3, 'then', router)
    assert len(leaving.received) == 3
