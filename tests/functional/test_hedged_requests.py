"""Second copies of slow requests, through an entry process."""

import asyncio
import dataclasses

import pytest

from hickorymux._internal.coordination.engines.hedging import HedgeEvent
from tests.lib.platform_engine import PlatformEngine, answer_ok
from tests.lib.platform_fleet import platform_fleet, route

READ = route('/read', 'idempotent', maxAttempts=2)
WRITE = route('/write', 'non_idempotent', maxAttempts=2)
STREAM = route('/stream', 'streaming', resumable=True, maxAttempts=2)
FAST_READS = 30
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
STREAM_HEADERS = (
    'Content-Type: text/event-stream',
    f'Content-Length: {len(EVENTS)}',
)


async def stall(received):
    """Never respond."""
    await asyncio.sleep(60)


async def stall_stream(received):
    """Begin a stream and send no event."""
    received.writer.write(received.head('200 OK', *STREAM_HEADERS))
    await stall(received)


async def answer_stream(received):
    """Respond with a complete stream."""
    received.writer.write(received.head('200 OK', *STREAM_HEADERS) + EVENTS)


async def start_engines(fleet, path='/read', script=answer_ok):
    """Start two engines, and let the process learn how fast they respond."""
    bounds = dataclasses.replace(fleet.process.settings.bounds, hedge_share=0.1)
    fleet.process.settings = dataclasses.replace(
        fleet.process.settings, bounds=bounds
    )
    fleet.process.hedging.share = 0.1
    engines = [PlatformEngine(f'e{number}', script) for number in range(2)]
    for engine in engines:
        await fleet.add_engine(engine)
    await fleet.wait_until_ready()
    answered = number = 0
    while answered < FAST_READS:
        number += 1
        headers = {'X-Request-Id': f'fast{number}'}
        async with fleet.request('GET', path, headers=headers) as response:
            # The router refuses requests while other programs delay it.
            assert response.status in {200, 503}, await response.text()
            answered += response.status == 200
    # Some of these may have been hedged, on a busy machine.
    fleet.process.hedging.events.clear()
    fleet.process.hedging.credits['pool'] = 1.0
    return engines


async def send_to_stalled(
    fleet, engines, method, path, stalled=stall, script=answer_ok
):
    """Send a request while the engine that gets it first does not respond."""
    slow: list[PlatformEngine] = []

    async def stall_first(received):
        if not slow:
            slow.extend(one for one in engines if received in one.received)
        is_slow = received in slow[0].received
        await (stalled if is_slow else script)(received)

    for engine in engines:
        engine.script = stall_first
    async with fleet.request(method, path) as response:
        return response.status, await response.read(), slow[0]


@pytest.mark.parametrize(
    ('path', 'stalled', 'script', 'whole'),
    [
        ('/read', stall, answer_ok, b'ok'),
        ('/stream', stall_stream, answer_stream, EVENTS),
    ],
)
async def test_slow_request_is_answered_by_another_engine(
    path, stalled, script, whole
):
    """Guards against a caller that waits for one slow engine."""
    async with platform_fleet(READ, STREAM) as fleet:
        engines = await start_engines(fleet, path, script)
        former = sum(len(engine.received) for engine in engines)
        status, body, slow = await send_to_stalled(
            fleet, engines, 'GET', path, stalled, script
        )
        assert (status, body) == (200, whole)
        async with asyncio.timeout(0.5):
            while not slow.closed:
                await asyncio.sleep(0.01)
        received = sum(len(engine.received) for engine in engines) - former
        assert received == 2
        events = fleet.process.hedging.events
        assert events['pool', HedgeEvent.sent] == 1
        assert events['pool', HedgeEvent.won] == 1
        for engine in engines:
            load = fleet.process.allocator.load_tracker.total_load(
                engine.engine_id
            )
            assert load.running == 0


async def test_request_that_may_run_once_has_no_copy():
    """Guards against a write that runs at two engines."""
    async with platform_fleet(WRITE) as fleet:
        engines = await start_engines(fleet, '/write')
        status, _, _ = await send_to_stalled(fleet, engines, 'POST', '/write')
        assert status == 504
        received = [one for engine in engines for one in engine.received]
        assert sum(one.request_id == 'r1' for one in received) == 1
