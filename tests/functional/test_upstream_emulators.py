"""The emulators of upstreams follow the interface in docs/platform.md."""

import asyncio
import json
from collections.abc import AsyncIterator, Iterator

import aiohttp
import pytest
from lib.processes import Program, ProgramGroup

from hickorymux_emulator.completions import answer_tokens

QUICK = ('--token-ms', '1')
SLOW = ('--token-ms', '50')


@pytest.fixture
def programs() -> Iterator[ProgramGroup]:
    with ProgramGroup() as group:
        yield group


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as opened:
        yield opened


def body_of(text: str, tokens: int = 4, **more: object) -> dict[str, object]:
    message = {'role': 'user', 'content': text}
    return {
        'model': 'default',
        'messages': [message],
        'max_tokens': tokens,
        **more,
    }


async def chat(session, engine: Program, request_id='r', **body) -> bytes:
    url = f'{engine.url}/v1/chat/completions'
    headers = {'X-Request-Id': request_id}
    async with session.post(url, json=body, headers=headers) as answer:
        assert answer.status == 200
        assert answer.headers['X-Request-Id'] == request_id
        return await answer.read()


def events_of(stream: bytes) -> list[str]:
    parts = stream.decode().split('\n\n')
    return [part.removeprefix('data: ') for part in parts if part]


def text_of(events: list[str]) -> str:
    chunks = [json.loads(event) for event in events if event != '[DONE]']
    choices = [chunk['choices'][0] for chunk in chunks if chunk['choices']]
    return ''.join(choice['delta'].get('content', '') for choice in choices)


async def get(session, program: Program, path: str):
    async with session.get(program.url + path) as answer:
        return await answer.json()


async def control(session, program: Program, **change: object) -> None:
    async with session.post(f'{program.url}/control', json=change) as answer:
        assert answer.status == 200


async def test_streamed_and_whole_answers_agree(programs, session) -> None:
    engine = programs.start_emulator('engine', *QUICK)
    options = {'stream': True, 'stream_options': {'include_usage': True}}
    stream = await chat(session, engine, **body_of('menu costs', **options))
    whole = json.loads(await chat(session, engine, **body_of('menu costs')))
    events = events_of(stream)
    assert text_of(events) == 'menu.0 costs.1 menu.2 costs.3 '
    assert text_of(events) == whole['choices'][0]['message']['content']
    assert json.loads(events[-2])['usage'] == whole['usage']
    assert events[-1] == '[DONE]'


async def test_cold_engine_crashes_above_its_limit(
    programs,
    session,
) -> None:
    flags = ('--cold-seconds', '60', '--cold-slots', '2', *SLOW)
    engine = programs.start_emulator('engine', *flags)
    calls = [
        chat(session, engine, f'r{number}', **body_of('x', 40, stream=True))
        for number in range(3)
    ]
    first = (await get(session, engine, '/load'))['instance']
    outcomes = await asyncio.gather(*calls, return_exceptions=True)
    assert all(isinstance(end, aiohttp.ClientError) for end in outcomes)
    runs = await get(session, engine, '/runs')
    assert [run['end'] for run in runs] == ['crashed'] * 3
    assert max(run['peak_running_cold'] for run in runs) == 3
    control_url = f'{engine.url}/control'
    async with session.post(control_url, json={}) as answer:
        assert (await answer.json())['instance'] != first


async def test_warm_engine_queues_over_its_slots(programs, session) -> None:
    engine = programs.start_emulator('engine', '--slots', '2', *QUICK)
    calls = [
        chat(session, engine, f'r{number}', **body_of('x', 20))
        for number in range(6)
    ]
    await asyncio.gather(*calls)
    runs = await get(session, engine, '/runs')
    assert [run['finished'] for run in runs] == [True] * 6
    assert max(run['peak_running'] for run in runs) == 2


async def test_cut_stream_is_resumed_after_a_chunk(programs, session) -> None:
    engine = programs.start_emulator('engine', *QUICK)
    url = f'{engine.url}/v1/chat/completions'
    asked = body_of('a b', 30, stream=True)
    headers = {'X-Request-Id': 'cut'}
    cut = await session.post(url, json=asked, headers=headers)
    first = await cut.content.readline()
    cut.close()
    path = '/v1/requests/cut/stream?after=1'
    async with session.get(engine.url + path) as answer:
        rest = events_of(await answer.read())
    whole = [first.decode().removeprefix('data: '), *rest]
    assert text_of(whole) == ''.join(answer_tokens('a b', 30))
    assert len(await get(session, engine, '/runs')) == 1


async def test_cancelled_run_ends_and_frees_its_slot(
    programs,
    session,
) -> None:
    engine = programs.start_emulator('engine', '--slots', '1', *SLOW)
    url = f'{engine.url}/v1/chat/completions'
    asked = body_of('x', 1000, stream=True)
    opened = await session.post(url, json=asked, headers={'X-Request-Id': 'c'})
    await session.post(f'{engine.url}/v1/requests/c/cancel')
    with pytest.raises(aiohttp.ClientError):
        await opened.read()
    await chat(session, engine, 'next', **body_of('x', 1))
    runs = await get(session, engine, '/runs')
    assert [run['end'] for run in runs] == ['cancelled', 'finished']


async def test_truncated_stream_has_no_end_mark(programs, session) -> None:
    engine = programs.start_emulator('engine', *QUICK)
    asked = body_of('x', stream=True)
    await control(session, engine, truncate_after=3)
    with pytest.raises(aiohttp.ClientPayloadError):
        await chat(session, engine, **asked)
    await control(session, engine, truncate_cleanly=True)
    assert len(events_of(await chat(session, engine, **asked))) == 3


async def test_request_with_the_marked_text_crashes(programs, session) -> None:
    engine = programs.start_emulator('engine', *QUICK)
    await control(session, engine, crash_on_text='poison')
    with pytest.raises(aiohttp.ClientError):
        await chat(session, engine, **body_of('some poison here'))
    await chat(session, engine, **body_of('harmless'))


async def test_load_is_reported_with_a_delay(programs, session) -> None:
    flags = ('--cold-seconds', '3600', '--load-lag-seconds', '3600')
    delayed = programs.start_emulator('engine', *flags)
    undelayed = programs.start_emulator('engine', '--load-lag-seconds', '0')
    for engine in (delayed, undelayed):
        await control(session, engine, cold_seconds=3600, turn_cold=True)
    old = await get(session, delayed, '/load')
    await control(session, delayed, crash=True)
    assert (await get(session, delayed, '/load'))['instance'] == old['instance']
    assert (await get(session, undelayed, '/load'))['state'] == 'cold'


@pytest.mark.parametrize(
    ('flags', 'status'), [((), 200), (('--checks-fence',), 409)]
)
async def test_old_fence(programs, session, flags, status) -> None:
    engine = programs.start_emulator('engine', *flags)
    url = f'{engine.url}/orders'
    new = {'fence': 7, 'action': 'load', 'model': 'm'}
    async with session.post(url, json=new) as answer:
        assert (await answer.json())['models'] == ['default', 'm']
    old = {'fence': 6, 'action': 'unload', 'model': 'm'}
    async with session.post(url, json=old) as answer:
        assert answer.status == status


@pytest.mark.parametrize(
    ('asked', 'status'),
    [(b'{', 400), (b'{"model":"x","messages":[]}', 400)],
)
async def test_bad_completion_is_refused(
    programs,
    session,
    asked,
    status,
) -> None:
    engine = programs.start_emulator('engine')
    url = f'{engine.url}/v1/chat/completions'
    async with session.post(url, data=asked) as answer:
        assert answer.status == status


async def test_service_records_each_write_once(programs, session) -> None:
    service = programs.start_emulator('service')
    headers = {'Idempotency-Key': 'k', 'X-Request-Id': 'q'}
    url = f'{service.url}/clearances/7'
    async with session.post(url, data=b'done', headers=headers) as answer:
        assert answer.headers['X-Request-Id'] == 'q'
    async with session.get(url) as answer:
        assert (await answer.json())['execution_count'] == 1
    await control(session, service, lose_answers=True)
    with pytest.raises(aiohttp.ClientError):
        await session.post(url, data=b'lost')
    made = await get(session, service, '/executions')
    assert [entry['idempotency_key'] for entry in made] == ['k', '']
    assert made[0]['path'] == '/clearances/7'
