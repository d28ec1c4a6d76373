"""Upstreams that leave get no more requests, whatever their routers missed.

An upstream that leaves serves for a drain time after its entry says so.
"""

import asyncio
import time

from hickorymux._internal.transport.upstream_client import UpstreamClient
from tests.lib.platform_engine import PlatformEngine, answer_ok
from tests.lib.platform_fleet import platform_fleet, route

READ = route('/read/', 'idempotent')
DRAIN_SECONDS = 2.0


class RecordingEngine(PlatformEngine):
    """An engine that records when it gets requests, in monotonic seconds."""

    def __init__(self, engine_id: str) -> None:
        super().__init__(engine_id, self.record)
        self.received_at: list[float] = []

    async def record(self, received) -> None:
        """Record the time and answer."""
        self.received_at.append(time.monotonic())
        await answer_ok(received)


async def failures_within(fleet, seconds: float) -> list[str]:
    """Send requests one after the other; return the texts of failures."""
    failures = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        async with fleet.request('GET', '/read/x') as answer:
            text = await answer.text()
            if answer.status != 200:
                failures.append(f'{answer.status} {text}')
        await asyncio.sleep(0.01)
    return failures


async def test_upstream_that_left_while_the_store_was_cut_off_gets_requests():
    async with platform_fleet(READ) as fleet:
        engines = [RecordingEngine(f'e{number}') for number in range(3)]
        for engine in engines:
            await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        fleet.store.mode = 'busy'
        await asyncio.sleep(1)
        await fleet.store.put('keyed.servers', 'e0', None)
        left_at = time.monotonic()
        await asyncio.sleep(0.8)
        fleet.store.mode = ''
        assert not await failures_within(fleet, 3)
        last_received_at = max(engines[0].received_at, default=left_at)
        assert last_received_at - left_at <= DRAIN_SECONDS
        assert any(engine.received_at for engine in engines[1:])


async def test_all_upstreams_are_given_up_after_an_outage_of_the_store():
    """Their entries lapse meanwhile and come back soon after it."""
    async with platform_fleet(READ) as fleet:
        engines = [RecordingEngine(f'e{number}') for number in range(3)]
        for engine in engines:
            await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        fleet.store.mode = 'busy'
        await asyncio.sleep(1)
        for engine in engines:
            await fleet.store.put('keyed.servers', engine.engine_id, None)
        fleet.store.mode = ''
        assert not await failures_within(fleet, 1.5)
        for engine in engines:
            await fleet.store.put(
                'keyed.servers', engine.engine_id, engine.entry()
            )
        assert not await failures_within(fleet, 1.5)


async def leave(fleet, engine: PlatformEngine) -> None:
    """Set an upstream to draining; wait until the router knows."""
    entry = engine.entry(state='draining', seq=2)
    await fleet.store.put('keyed.servers', engine.engine_id, entry)
    upstreams = fleet.process.view.registry.upstreams
    while upstreams[engine.engine_id].is_ready:
        await asyncio.sleep(0.02)


async def test_request_is_sent_to_an_upstream_that_left_since_it_was_chosen(
    monkeypatch,
):
    """As when the connection to the upstream takes long."""
    open_attempt = UpstreamClient.open
    async with platform_fleet(READ) as fleet:
        engines = [RecordingEngine(f'e{number}') for number in range(2)]
        for engine in engines:
            await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        chosen = []

        async def open_late(client, attempt):
            if not chosen:
                chosen.extend(
                    engine
                    for engine in engines
                    if engine.address == attempt.address
                )
                await leave(fleet, chosen[0])
            return await open_attempt(client, attempt)

        monkeypatch.setattr(UpstreamClient, 'open', open_late)
        async with fleet.request('GET', '/read/x') as answer:
            assert await answer.text() == 'ok'
        assert not chosen[0].received
        health = fleet.process.allocator.health
        now = fleet.process.clock.monotonic()
        assert health.is_available(chosen[0].engine_id, now)
