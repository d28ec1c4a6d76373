"""Answers without a length or chunks, which end with their connection.

A stream that ends inside an event was broken off.
"""

import pytest

from tests.lib.platform_engine import PlatformEngine, ReceivedRequest
from tests.lib.platform_fleet import platform_fleet, route

READ = route('/read/', 'idempotent', maxAttempts=2)
STREAM = route('/stream/', 'streaming', resumable=True, maxAttempts=2)
ONE_STREAM = route('/once/', 'streaming')
EVENT_STREAM = 'Content-Type: text/event-stream'
EVENTS = [b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3)]


async def events_until_close(received: ReceivedRequest) -> None:
    """Send a whole stream that ends with its connection."""
    start = int(received.headers.get('last-event-id', 0))
    received.writer.write(received.head('200 OK', EVENT_STREAM))
    received.writer.write(b''.join(EVENTS[start:]))
    received.writer.close()


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
