"""Upstreams that stop in the middle of an answer's head and close."""

import asyncio

import aiohttp
import pytest
import uvloop

from tests.lib.platform_engine import PlatformEngine, reset_connection
from tests.lib.platform_fleet import platform_fleet, route

BODY = b'{"cleared": true}'
EVENT = b'id: 1\ndata: x\n\n'
STREAM = b'%x\r\n%s\r\n0\r\n\r\n' % (len(EVENT), EVENT)


@pytest.fixture(
    params=(uvloop.EventLoopPolicy(), asyncio.DefaultEventLoopPolicy()),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run each test on uvloop, as the entry process does, and on asyncio."""
    return request.param


def whole_answer(received, framing):
    lines = {
        'length': ('Content-Type: a/b', f'Content-Length: {len(BODY)}'),
        'chunks': (
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ),
        'close': ('Content-Type: a/b', 'Connection: close'),
    }[framing]
    body = STREAM if framing == 'chunks' else BODY
    head = received.head('200 OK', *lines)
    return head, head + body


class CuttingEngine:
    """Sends a growing part of an answer's head, then closes or resets."""

    def __init__(self, framing, *, resets):
        self.framing = framing
        self.resets = resets
        self.sent = 0
        self.head_size = 0

    async def script(self, received):
        head, _ = whole_answer(received, self.framing)
        self.head_size = len(head)
        received.writer.write(head[: self.sent])
        await received.writer.drain()
        await asyncio.sleep(0.002)
        if self.resets:
            reset_connection(received)
        else:
            received.writer.close()


async def answer_to(fleet, path, request_id):
    """Return the status and body, ``None`` for an answer that is cut."""
    try:
        async with fleet.request(
            'POST',
            path,
            headers={'X-Request-Id': request_id},
            data=b'x',
        ) as answer:
            return answer.status, await answer.read()
    except aiohttp.ClientError:
        return None


@pytest.mark.parametrize('resets', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize('framing', ['length', 'chunks', 'close'])
async def test_head_cut_anywhere_is_not_passed_on_as_an_answer(framing, resets):
    kind = 'streaming' if framing == 'chunks' else 'non_idempotent'
    engine = CuttingEngine(framing, resets=resets)
    async with platform_fleet(route('/s/', kind)) as fleet:
        await fleet.add_engine(PlatformEngine('i-1', engine.script))
        await fleet.wait_until_ready()
        health = fleet.process.allocator.health
        while not engine.head_size or engine.sent < engine.head_size:
            # The engine is not avoided for its former failures.
            health.__init__()
            fleet.process.allocator.clear_candidate_cache()
            found = await answer_to(fleet, '/s/', f'r-{engine.sent}')
            if found and found[1].startswith(b'not_ready'):
                # This process was too busy; the engine got nothing.
                continue
            assert found is None or found[0] == 502, (engine.sent, found)
            engine.sent += 1
