"""A request of an idempotent method crashes each engine that runs it.

The HTTP library may repeat such a request by itself. How that ends must not
hide that the engine was lost after it had got the request.
"""

import asyncio

import pytest
import uvloop

from tests.lib.platform_engine import (
    PlatformEngine,
    ReceivedRequest,
    Script,
    answer_ok,
)
from tests.lib.platform_fleet import PlatformFleet, platform_fleet, route

READ = route('/read/', 'idempotent')
RETRIED = route('/read/', 'idempotent', maxAttempts=2)
WRITE = route('/write/', 'non_idempotent')
METHODS = ('GET', 'PUT', 'POST')
DEADLY = '/read/deadly'
SOUND = '/read/sound'
# Engines that the fleet may lose before all routers refuse the request.
MAX_CRASHES = 3


@pytest.fixture(
    scope='module',
    params=(uvloop.EventLoopPolicy(), asyncio.DefaultEventLoopPolicy()),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run each test on uvloop, as the entry process does, and on asyncio."""
    return request.param


def crash_on(path: str, engine: PlatformEngine, *, is_silent: bool) -> Script:
    """Return a script that crashes the engine on a path."""

    async def respond(received: ReceivedRequest) -> None:
        if received.path != path:
            await answer_ok(received)
            return
        engine.crash(received, is_silent=is_silent)
        await asyncio.sleep(1)

    return respond


async def add_crashing_engine(
    fleet: PlatformFleet,
    name: str,
    *,
    path: str = DEADLY,
    is_silent: bool = False,
) -> PlatformEngine:
    engine = PlatformEngine(name)
    engine.script = crash_on(path, engine, is_silent=is_silent)
    await fleet.add_engine(engine)
    return engine


async def status_of(fleet, method, path, router=None) -> int:
    async with fleet.request(method, path, router) as answer:
        await answer.read()
        return answer.status


def crash_counts(fleet: PlatformFleet) -> list[int]:
    """Return the number of crashes of each request the router suspects."""
    entries = fleet.process.suspects.table.entries.values()
    return [len(entry.crashes) for entry in entries]


@pytest.mark.parametrize('is_silent', (False, True), ids=('refuses', 'silent'))
@pytest.mark.parametrize('is_kept', (False, True), ids=('new', 'kept'))
@pytest.mark.parametrize('method', METHODS)
async def test_crash_of_an_engine_is_not_counted(method, is_kept, is_silent):
    async with platform_fleet(READ) as fleet:
        await add_crashing_engine(fleet, 'e1', is_silent=is_silent)
        await fleet.wait_until_ready()
        if is_kept:
            assert await status_of(fleet, 'GET', SOUND) == 200
        assert await status_of(fleet, method, DEADLY) == 502
        assert crash_counts(fleet) == [1]


@pytest.mark.parametrize('method', ('GET', 'POST'))
async def test_request_crashes_engine_after_engine(method):
    async with platform_fleet(RETRIED) as fleet:
        await fleet.add_router()
        engines = [
            await add_crashing_engine(fleet, f'e{number}')
            for number in range(2 * MAX_CRASHES)
        ]
        await fleet.wait_until_ready()
        for router in fleet.routers * MAX_CRASHES:
            assert await status_of(fleet, method, DEADLY, router) >= 500
        crashed = [engine for engine in engines if engine.held_sockets]
        assert len(crashed) == MAX_CRASHES
        for router in fleet.routers:
            assert await status_of(fleet, method, DEADLY, router) == 503
            assert await status_of(fleet, method, SOUND, router) == 200


@pytest.mark.parametrize('method', METHODS)
async def test_cut_without_a_crash_makes_a_suspect(method):
    async def close(received: ReceivedRequest) -> None:
        received.writer.close()
        await asyncio.sleep(0.1)

    async with platform_fleet(READ) as fleet:
        engine = PlatformEngine('e1', close)
        await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        assert await status_of(fleet, method, SOUND) == 502
        assert not crash_counts(fleet)
        assert len(engine.received) == 1
        # One for the request, one to see whether the engine still listens.
        assert engine.connections <= 2


@pytest.mark.parametrize('method', METHODS)
async def test_request_that_ran_is_refused_as_not_run(method):
    async with platform_fleet(WRITE) as fleet:
        engine = PlatformEngine('e1')

        async def crash(received: ReceivedRequest) -> None:
            engine.crash(received, is_silent=False)
            await asyncio.sleep(1)

        engine.script = crash
        await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        assert await status_of(fleet, method, '/write/x') == 502
        assert len(engine.received) == 1


async def test_sound_request_that_many_send_is_refused_after_crashes():
    """Its answers between the crashes show that it does not cause them."""
    async with platform_fleet(READ) as fleet:
        for number in range(MAX_CRASHES):
            await add_crashing_engine(fleet, f'e{number}', path=SOUND)
            await fleet.wait_until_ready()
            assert await status_of(fleet, 'GET', SOUND) == 502
            sound = PlatformEngine(f'sound{number}')
            await fleet.add_engine(sound)
            await fleet.wait_until_ready()
            assert await status_of(fleet, 'GET', SOUND) == 200
            await fleet.remove_engine(sound)
        assert not crash_counts(fleet)
