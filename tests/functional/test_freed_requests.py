"""Requests that leave work behind for the garbage collector."""

import asyncio
import gc

import pytest
import uvloop

from hickorymux._internal.transport.entry_call import EntryCall
from hickorymux._internal.transport.entry_process import UPSTREAM_KEEP_ALIVE
from tests.lib.platform_engine import PlatformEngine, answer_ok
from tests.lib.platform_fleet import platform_fleet, route

REQUESTS = 10


async def stream(received):
    received.writer.write(
        received.head(
            '200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        )
    )
    for number in range(3):
        event = f'id: {number + 1}\ndata: x\n\n'.encode()
        received.writer.write(b'%x\r\n%s\r\n' % (len(event), event))
    received.writer.write(b'0\r\n\r\n')


@pytest.fixture
def event_loop_policy():
    """Run on uvloop, as a router does; asyncio keeps ended timers for long."""
    return uvloop.EventLoopPolicy()


@pytest.fixture
def garbage():
    """Return a function that returns the requests only a collection frees."""
    gc.collect()
    gc.disable()

    def collect():
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        gc.set_debug(0)
        found = [each for each in gc.garbage if isinstance(each, EntryCall)]
        gc.garbage.clear()
        return found

    yield collect
    gc.enable()


@pytest.mark.parametrize(
    ('script', 'kind'),
    [(stream, 'streaming'), (answer_ok, 'idempotent'), (None, 'streaming')],
    ids=['stream', 'plain', 'no upstream'],
)
async def test_request_stays_in_memory_until_a_collection(
    garbage, script, kind
):
    async with platform_fleet(route('/s/', kind, timeoutMs=300)) as fleet:
        if script is not None:
            await fleet.add_engine(PlatformEngine('i-1', script))
        await fleet.wait_until_ready()
        for number in range(REQUESTS):
            headers = {'X-Request-Id': f'r-{number}'}
            async with fleet.request(
                'POST', '/s/', headers=headers, data=b'x' * 1000
            ) as answer:
                await answer.read()
                assert answer.status == (200 if script else 503)
        await asyncio.sleep(UPSTREAM_KEEP_ALIVE.total_seconds() + 0.2)
        assert not garbage()
