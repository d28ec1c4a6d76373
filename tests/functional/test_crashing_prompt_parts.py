"""A prompt part crashes each engine that is about to answer a request with it.

The requests differ in all else. Sound requests share their customer and their
other parts and must be served throughout.
"""

import asyncio

import pytest

from tests.lib.platform_engine import (
    PlatformEngine,
    ReceivedRequest,
    reset_connection,
)
from tests.lib.platform_fleet import PlatformFleet, platform_fleet, route

STREAM = route('/stream/', 'streaming', resumable=True, maxAttempts=2)
DEADLY = 'bad'
# Requests with the part that may reach engines before it is known.
MAX_DEADLY_SENT = 4
EVENTS = b''.join(b'id: %d\ndata: xx\n\n' % number for number in (1, 2))
STREAM_HEADERS = (
    'Content-Type: text/event-stream',
    f'Content-Length: {len(EVENTS)}',
)


class CrashingEngines:
    """Engines that crash on the deadly part and come back on a new port."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.deadly_sent = 0
        self.started = 0

    async def start(self) -> None:
        """Start one more engine."""
        self.started += 1
        engine = PlatformEngine(f'e{self.started}')

        async def respond(received: ReceivedRequest) -> None:
            if DEADLY in received.headers['x-prompt-prefix']:
                await self._crash(engine, received)
            else:
                received.writer.write(
                    received.head('200 OK', *STREAM_HEADERS) + EVENTS
                )

        engine.script = respond
        await self.fleet.add_engine(engine)

    async def _crash(
        self, engine: PlatformEngine, received: ReceivedRequest
    ) -> None:
        self.deadly_sent += 1
        await engine.close()
        await self.fleet.store.put_raw('keyed.servers', engine.engine_id, b'')
        self.fleet.engines.remove(engine)
        await self.start()
        reset_connection(received)
        await asyncio.sleep(1)


async def status_of(fleet: PlatformFleet, *parts: str, own: str = 'own') -> int:
    """Send a request with these prompt parts; return its status."""
    prefix = ','.join(f'{part}:50' for part in (*parts, own))
    headers = {
        'X-Model': 'm',
        'X-Token-Count': '200,20',
        'X-Prompt-Prefix': prefix,
    }
    async with fleet.request(
        'POST', '/stream/x', data=prefix.encode(), headers=headers
    ) as answer:
        await answer.read()
        return answer.status


@pytest.mark.parametrize('position', ['first', 'second', 'third'])
async def test_prompt_part_crashes_engine_after_engine(position):
    async with platform_fleet(STREAM) as fleet:
        engines = CrashingEngines(fleet)
        for _ in range(6):
            await engines.start()
        await fleet.wait_until_ready()
        statuses = []
        for number in range(8):
            parts = ['system', f'subject-{number}']
            parts.insert(('first', 'second', 'third').index(position), DEADLY)
            assert await status_of(fleet, *parts) >= 500
            for subject in (number, number + 100):
                statuses.append(
                    await status_of(fleet, 'system', f'subject-{subject}')
                )
        assert engines.deadly_sent <= MAX_DEADLY_SENT
        assert statuses == [200] * len(statuses)


async def test_document_with_a_page_that_crashes_engines():
    """The document was refused in place of the page, with all its requests."""
    async with platform_fleet(STREAM) as fleet:
        engines = CrashingEngines(fleet)
        for _ in range(6):
            await engines.start()
        await fleet.wait_until_ready()
        assert await status_of(fleet, 'system', 'other') == 200
        lost = ('system', 'document', DEADLY)
        for number in range(4):
            assert await status_of(fleet, *lost, own=f'own-{number}') >= 500
        for _ in range(4):
            assert await status_of(fleet, 'system', 'document') == 200
        assert await status_of(fleet, *lost, own='own-4') == 503
        assert engines.deadly_sent <= MAX_DEADLY_SENT


async def test_error_answer_clears_a_suspect_part():
    """An engine that fails without an answer proves nothing about a part."""

    async def fail(received: ReceivedRequest) -> None:
        received.writer.write(
            received.head('500 Internal Server Error', 'Content-Length: 0')
        )

    async with platform_fleet(route('/stream/', 'streaming')) as fleet:
        await fleet.add_engine(PlatformEngine('e1', fail))
        await fleet.wait_until_ready()
        assert await status_of(fleet, 'system') >= 500
        assert not fleet.process.part_guard.table.answered_at
