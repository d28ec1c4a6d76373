"""Connections to engines that are reused, and engines that drop them."""

import asyncio

from hickorymux._internal.transport.connection_policy import (
    ConnectionEvent,
    ConnectionPolicy,
)
from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_fleet import platform_fleet, route

READ = route('/read', 'idempotent', maxAttempts=2)
WRITE = route('/write', 'non_idempotent', maxAttempts=2)


async def answer_keep_alive(received):
    """Respond with a timeout for idle connections."""
    received.writer.write(
        received.head('200 OK', 'Content-Length: 2', 'Keep-Alive: timeout=20')
        + b'ok'
    )


async def answer_after_a_while(received):
    """Respond so late that requests sent together need own connections."""
    await asyncio.sleep(0.2)
    await answer_keep_alive(received)


async def status_of(fleet, method, path, number):
    headers = {'X-Request-Id': f'r{number}'}
    async with fleet.request(method, path, headers=headers) as response:
        await response.read()
        return response.status


async def test_connections_are_reused():
    """Guards against a connection of its own for each request."""
    async with platform_fleet(READ, WRITE) as fleet:
        engine = PlatformEngine('e1', answer_keep_alive)
        await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        # The engine has announced its timeout with the first response.
        assert await status_of(fleet, 'GET', '/read', 0) == 200
        await asyncio.sleep(2.0)
        for number in range(1, 6):
            assert await status_of(fleet, 'GET', '/read', number) == 200
            assert await status_of(fleet, 'POST', '/write', -number) == 200
        assert engine.connections == 1
        events = fleet.process.client.policy.events
        assert events['pool', ConnectionEvent.new] == 1
        assert events['pool', ConnectionEvent.reused] == 10


async def test_the_connection_used_last_is_reused_first():
    """Guards against idle connections that take turns and never expire."""
    async with platform_fleet(READ) as fleet:
        await fleet.add_engine(PlatformEngine('e1', answer_after_a_while))
        await fleet.wait_until_ready()
        reads = [status_of(fleet, 'GET', '/read', n) for n in range(3)]
        assert set(await asyncio.gather(*reads)) == {200}
        used_together = fleet.process.clock.monotonic()
        for number in range(3, 9):
            assert await status_of(fleet, 'GET', '/read', number) == 200
        (idle,) = fleet.process.client.session.connector._conns.values()
        used_since = [one for one, _ in idle if one.idle_since > used_together]
        assert (len(idle), len(used_since)) == (3, 1)


async def test_silently_dropped_connections_cost_no_request():
    """Guards against failures, and engines marked as failed, after drops."""
    async with platform_fleet(READ, WRITE) as fleet:
        engine = PlatformEngine('e1', answer_keep_alive)
        engine.drops_idle_after = 1.2
        await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        numbers = iter(range(100))
        for _ in range(2):
            reads = [
                status_of(fleet, 'GET', '/read', next(numbers))
                for _ in range(4)
            ]
            assert set(await asyncio.gather(*reads)) == {200}
            await asyncio.sleep(1.4)
        # The oldest connections are beyond the idle time of requests that may
        # run only once, so these use a new one.
        assert await status_of(fleet, 'POST', '/write', next(numbers)) == 200
        assert 1 <= engine.dropped <= 4
        events = fleet.process.client.policy.events
        assert events['pool', ConnectionEvent.reset_on_reuse] == engine.dropped
        dropped = engine.dropped
        await asyncio.sleep(1.4)
        assert await status_of(fleet, 'GET', '/read', next(numbers)) == 200
        assert engine.dropped == dropped


async def test_a_burst_at_one_router_does_not_hoard_connections(monkeypatch):
    """Guards against new connections for each burst, and against keeping them.

    The router's share is one idle connection, and a tenth of the 100 that the
    pool states for a while.
    """
    monkeypatch.setattr(ConnectionPolicy, 'idle_share', lambda *_: 1)
    async with platform_fleet(READ) as fleet:
        engine = PlatformEngine('e1', answer_after_a_while)
        await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        assert await status_of(fleet, 'GET', '/read', 99) == 200
        for burst in range(2):
            numbers = range(burst * 10, burst * 10 + 10)
            reads = [status_of(fleet, 'GET', '/read', n) for n in numbers]
            assert set(await asyncio.gather(*reads)) == {200}
        assert engine.connections == 10
        await asyncio.sleep(3.5)
        (idle,) = fleet.process.client.session.connector._conns.values()
        assert len(idle) == 1
