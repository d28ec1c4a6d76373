"""A stream that breaks off inside an event goes on without repeating any."""

import asyncio
import itertools

import aiohttp
import pytest

from tests.lib.event_forms import (
    FORMS,
    WITH_EVENTS_AFTER_ID,
    events_of,
    read_events,
    rest_after_block,
    rest_after_event,
)
from tests.lib.platform_engine import (
    PlatformEngine,
    ReceivedRequest,
    reset_connection,
)
from tests.lib.platform_fleet import platform_fleet, route

STREAM = route('/stream/', 'streaming', resumable=True, maxAttempts=3)
EVENT_STREAM = 'Content-Type: text/event-stream'
CHUNKED = 'Transfer-Encoding: chunked'
PIECES = (5, 61, 10_000)
# Where the answers to one stream break off, each as a share of what is left.
CUTS = ((0.55,), (0.3, 0.48))


def script_for(form: str, size: int, cuts):
    """Return a script whose answers to a stream break off at the cuts."""
    left = list(cuts)
    rest_after = (
        rest_after_block if form in WITH_EVENTS_AFTER_ID else rest_after_event
    )

    async def send(received: ReceivedRequest) -> None:
        after = received.headers.get('last-event-id', '')
        sent = rest_after(events_of(form), after)
        is_cut = bool(left)
        if is_cut:
            sent = sent[: int(len(sent) * left.pop(0))]
        write = received.writer.write
        write(received.head('200 OK', EVENT_STREAM, CHUNKED))
        for start in range(0, len(sent), size):
            piece = sent[start : start + size]
            write(b'%x\r\n%s\r\n' % (len(piece), piece))
            await asyncio.sleep(0)
        if is_cut:
            # The router would not get bytes that a reset overtakes.
            await asyncio.sleep(0.03)
            reset_connection(received)
        else:
            write(b'0\r\n\r\n')

    return send


async def read_stream(fleet) -> tuple[bytes, bool]:
    """Return the body of a stream and whether it ended as complete."""
    body = b''
    try:
        async with fleet.request('POST', '/stream/x', data=b'1') as answer:
            assert answer.status == 200
            async for chunk in answer.content.iter_any():
                body += chunk
    except aiohttp.ClientError:
        return body, False
    return body, True


@pytest.mark.parametrize('form', FORMS)
async def test_events_come_twice_after_an_engine_breaks_off(form):
    expected = read_events(b''.join(events_of(form)))
    async with platform_fleet(STREAM) as fleet:
        for number in range(4):
            await fleet.add_engine(PlatformEngine(f'e{number}'))
        await fleet.wait_until_ready()
        for cuts, size in itertools.product(CUTS, PIECES):
            script = script_for(form, size, cuts)
            for engine in fleet.engines:
                engine.script = script
            body, is_complete = await read_stream(fleet)
            assert is_complete, (cuts, size)
            assert read_events(body) == expected, (cuts, size)


async def test_stream_without_ids_is_joined_from_two_runs():
    async with platform_fleet(STREAM) as fleet:

        async def break_off(received: ReceivedRequest) -> None:
            received.writer.write(received.head('200 OK', EVENT_STREAM))
            received.writer.write(b'data: paid: 1\n\ndata: id: 2\n\ndata: 3')
            received.writer.close()

        engines = [PlatformEngine(f'e{number}', break_off) for number in (1, 2)]
        for engine in engines:
            await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        body, is_complete = await read_stream(fleet)
        assert (read_events(body), is_complete) == (['paid: 1', 'id: 2'], False)
        assert sum(len(engine.received) for engine in engines) == 1
