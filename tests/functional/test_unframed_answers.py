"""Answers without a length or chunks, which end with their connection.

A stream that ends inside an event was broken off.
"""

import asyncio

import aiohttp
import pytest
import uvloop

from tests.lib.platform_engine import (
    PlatformEngine,
    ReceivedRequest,
    Script,
    reset_connection,
)
from tests.lib.platform_fleet import platform_fleet, route

READ = route('/read/', 'idempotent', maxAttempts=2)
STREAM = route('/stream/', 'streaming', resumable=True, maxAttempts=2)
ONE_STREAM = route('/once/', 'streaming')
EVENT_STREAM = 'Content-Type: text/event-stream'
EVENTS = [b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3)]
# What an engine sends of a stream before its connection ends.
PARTS = {
    'before the first event': b'',
    'between events': EVENTS[0],
    'inside an event': EVENTS[0] + EVENTS[1][:-3],
    'after the last event': b''.join(EVENTS),
}


@pytest.fixture(
    scope='module',
    params=(uvloop.EventLoopPolicy(), asyncio.DefaultEventLoopPolicy()),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run each test on uvloop, as the entry process does, and on asyncio."""
    return request.param


def stream_that_ends(part: str, *, is_reset: bool) -> Script:
    """Return a script that sends a part of a stream and ends the connection."""

    async def send(received: ReceivedRequest) -> None:
        start = int(received.headers.get('last-event-id', 0))
        sent = PARTS[part] if not start else b''
        received.writer.write(received.head('200 OK', EVENT_STREAM) + sent)
        await received.writer.drain()
        if is_reset:
            # Bytes that the router has not read yet would be lost.
            await asyncio.sleep(0.05)
            reset_connection(received)
        else:
            received.writer.close()
        await asyncio.sleep(0.1)

    return send


async def events_until_close(received: ReceivedRequest) -> None:
    """Send a whole stream that ends with its connection."""
    start = int(received.headers.get('last-event-id', 0))
    received.writer.write(received.head('200 OK', EVENT_STREAM))
    received.writer.write(b''.join(EVENTS[start:]))
    received.writer.close()


async def rest_with_length(received: ReceivedRequest) -> None:
    """Send the events after the last one that the caller has, with a length."""
    rest = b''.join(EVENTS[int(received.headers.get('last-event-id', 0)) :])
    length = f'Content-Length: {len(rest)}'
    received.writer.write(received.head('200 OK', EVENT_STREAM, length) + rest)


async def events_cut_inside_the_last(received: ReceivedRequest) -> None:
    """Close the connection of an unframed stream inside an event."""
    received.writer.write(received.head('200 OK', EVENT_STREAM))
    received.writer.write(b''.join(EVENTS[:2]) + EVENTS[2][:-3])
    received.writer.close()


async def body_until_close(received: ReceivedRequest) -> None:
    """Send a whole body that ends with its connection."""
    received.writer.write(received.head('200 OK') + b'ok')
    received.writer.close()


async def test_unframed_stream_is_relayed_as_complete():
    async with platform_fleet(ONE_STREAM) as fleet:
        await fleet.add_engine(PlatformEngine('e1', events_until_close))
        await fleet.wait_until_ready()
        async with fleet.request('POST', '/once/x', data=b'1') as answer:
            assert await answer.read() == b''.join(EVENTS)


async def test_unframed_answer_is_relayed_as_complete():
    async with platform_fleet(READ) as fleet:
        await fleet.add_engine(PlatformEngine('e1', body_until_close))
        await fleet.wait_until_ready()
        async with fleet.request('GET', '/read/x') as answer:
            assert await answer.read() == b'ok'


async def test_unframed_stream_that_ends_inside_an_event_counts_as_complete():
    async with platform_fleet(ONE_STREAM) as fleet:
        engine = PlatformEngine('e1', events_cut_inside_the_last)
        await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        with pytest.raises(Exception, match='(?i)not completed|disconnected'):
            async with fleet.request('POST', '/once/x', data=b'1') as answer:
                await answer.read()


async def test_unframed_stream_that_ends_inside_an_event_is_resumed():
    async with platform_fleet(STREAM) as fleet:
        engines = [
            PlatformEngine(f'e{number}', events_cut_inside_the_last)
            for number in (1, 2)
        ]
        for engine in engines:
            await fleet.add_engine(engine)
        await fleet.wait_until_ready()

        async def resume(received: ReceivedRequest) -> None:
            if 'last-event-id' in received.headers:
                await events_until_close(received)
            else:
                await events_cut_inside_the_last(received)

        for engine in engines:
            engine.script = resume
        async with fleet.request('POST', '/stream/x', data=b'1') as answer:
            assert await answer.read() == b''.join(EVENTS)


@pytest.mark.parametrize(
    ('part', 'is_reset'),
    [
        *((part, True) for part in PARTS),
        ('inside an event', False),
        ('before the first event', False),
    ],
)
async def test_stream_that_was_broken_off_looks_complete(part, is_reset):
    async with platform_fleet(ONE_STREAM) as fleet:
        script = stream_that_ends(part, is_reset=is_reset)
        await fleet.add_engine(PlatformEngine('e1', script))
        await fleet.wait_until_ready()
        status = 0
        with pytest.raises(aiohttp.ClientError):
            async with fleet.request('POST', '/once/x', data=b'1') as answer:
                status = answer.status
                answer.raise_for_status()
                await answer.read()
        assert status == (502 if not PARTS[part] else 200)


@pytest.mark.parametrize(
    ('part', 'is_reset'),
    [
        *((part, True) for part in PARTS),
        ('inside an event', False),
        ('before the first event', False),
    ],
)
async def test_stream_that_was_broken_off_is_not_resumed(part, is_reset):
    async with platform_fleet(STREAM) as fleet:
        engines = [PlatformEngine(f'e{number}') for number in (1, 2)]
        is_first = True

        async def cut_once(received: ReceivedRequest) -> None:
            nonlocal is_first
            if is_first:
                is_first = False
                await stream_that_ends(part, is_reset=is_reset)(received)
            else:
                await rest_with_length(received)

        for engine in engines:
            engine.script = cut_once
            await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        async with fleet.request('POST', '/stream/x', data=b'1') as answer:
            assert await answer.read() == b''.join(EVENTS)


@pytest.mark.parametrize('is_reset', [False, True])
async def test_resumed_stream_without_an_event_looks_complete(is_reset):
    async with platform_fleet(STREAM) as fleet:
        script = stream_that_ends('inside an event', is_reset=is_reset)
        for number in (1, 2):
            await fleet.add_engine(PlatformEngine(f'e{number}', script))
        await fleet.wait_until_ready()
        with pytest.raises(aiohttp.ClientError):
            async with fleet.request('POST', '/stream/x', data=b'1') as answer:
                await answer.read()


@pytest.mark.parametrize('sent_bytes', [0, 5, 70_000])
async def test_reset_answer_without_length_looks_complete(sent_bytes):
    async with platform_fleet(route('/read/', 'idempotent')) as fleet:

        async def body_then_reset(received: ReceivedRequest) -> None:
            received.writer.write(received.head() + b'x' * sent_bytes)
            await received.writer.drain()
            await asyncio.sleep(0.05)
            reset_connection(received)
            await asyncio.sleep(0.1)

        await fleet.add_engine(PlatformEngine('e1', body_then_reset))
        await fleet.wait_until_ready()
        async with fleet.request('GET', '/read/x') as answer:
            assert answer.status == 502


@pytest.mark.parametrize('coding', ['gzip', 'x-unchunked'])
async def test_transfer_coding_without_chunks_counts_as_a_length(coding):
    async with platform_fleet(ONE_STREAM) as fleet:

        async def end_before_the_first_event(received: ReceivedRequest) -> None:
            received.writer.write(
                received.head(
                    '200 OK', EVENT_STREAM, f'Transfer-Encoding: {coding}'
                )
            )
            received.writer.close()

        engine = PlatformEngine('e1', end_before_the_first_event)
        await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        async with fleet.request('POST', '/once/x', data=b'1') as answer:
            assert answer.status == 502
