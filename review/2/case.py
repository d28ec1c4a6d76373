"""A model engine crashes while it answers streams that may be resumed."""

import asyncio
import random
import re

from engine import Engine
from fleet import call, has_trouble, main, manifest, route

SERVICE, KEY = 'costing-assistant', 'key-of-ann'
ZONES = ('kariakoo', 'kariakoo', 'msasani', 'msasani', 'temeke', 'temeke')
EVENTS = 40
EVENTS_IN_STEP = 2
STEP_SECONDS = 0.1
STREAMS = 60
DOWN_SECONDS = 4.5
# Text as an assistant writes it that reviews invoices.
PHRASES = (
    'the supplier delivered on time and in full',
    'total paid: 1,240',
    'two crates of tilapia at the agreed price',
    'VAT id: 40-118-220',
    'the price of onions rose by 4 %',
    'unpaid: 60',
    'please check line 7 against the order',
)


def events_of(path: str) -> list[bytes]:
    """Return all events of an answer, the same at each engine."""
    rng = random.Random(path)
    return [
        f'id: {number}\ndata: {rng.choice(PHRASES)} ({number})\n\n'.encode()
        for number in range(1, EVENTS + 1)
    ]


async def answer(engine, request, writer):
    events = events_of(request.words[1])
    done = int(request.headers.get('last-event-id', 0))
    writer.write(
        engine.answer_head(
            request,
            Content_Type='text/event-stream',
            Transfer_Encoding='chunked',
            X_Weight_Versions=1,
        )
    )
    # Each step of the engine brings the next two events.
    for start in range(done, EVENTS, EVENTS_IN_STEP):
        step = b''.join(events[start : start + EVENTS_IN_STEP])
        writer.write(b'%x\r\n%s\r\n' % (len(step), step))
        await writer.drain()
        await asyncio.sleep(STEP_SECONDS)
    writer.write(b'0\r\n\r\n')


async def case(fleet):
    routes = [
        route('review', '/review/', 'streaming', SERVICE, resumable=True)
    ]
    await fleet.start(manifest(1, routes, {'ann': [KEY]}))
    for number, zone in enumerate(ZONES):
        engine = Engine(
            fleet.store, f'i-{number}', SERVICE, zone, '127.0.0.1', answer, 64
        )
        await fleet.add_engine(engine)
    await fleet.wait_until_ready()
    await asyncio.sleep(3)
    tasks = []
    for number in range(STREAMS):
        tasks.append(asyncio.create_task(one_stream(fleet, number)))
        await asyncio.sleep(0.05)
        if number == STREAMS * 2 // 3 and has_trouble():
            asyncio.get_running_loop().create_task(crash(fleet))
    found = await asyncio.gather(*tasks)
    return [text for text in found if text]


async def crash(fleet):
    engine = max(fleet.engines, key=lambda one: one.running)
    fleet.record(
        f'engine {engine.engine_id} crashes at work on {engine.running}'
    )
    engine.crash()
    await asyncio.sleep(DOWN_SECONDS)
    await engine.start()
    fleet.record(f'engine {engine.engine_id} is back')


async def one_stream(fleet, number):
    path, request_id = f'/review/{number}', f'stream-{number}'
    fleet.record(f'client sent {request_id}')
    result = await call(
        fleet.routers[0],
        'POST',
        path,
        request_id,
        KEY,
        b'{"invoice": 1}',
    )
    if result is None:
        fleet.record(f'client got no answer to {request_id}')
        return ''
    ids = [int(found) for found in re.findall(rb'(?m)^id: (\d+)$', result.body)]
    fleet.record(
        f'client got {result.status} for {request_id}, complete:'
        f' {result.is_whole}, events {ids}'
    )
    if result.status != 200 or ids == list(range(1, len(ids) + 1)):
        if not result.is_whole or result.status != 200 or len(ids) == EVENTS:
            return ''
        return f'ORDER {request_id}: complete with {len(ids)} of {EVENTS} events'
    repeated = sorted({one for one in ids if ids.count(one) > 1})
    return f'ORDER {request_id}: events {repeated} came twice'


main(case)
