"""A router that was out of step joins no stream from two software versions.

While engines of a new version join or take the places of others, one router is
paused, or cut off from the others. Streams that began through another router
break, and their callers resume them there.
"""

import asyncio
import contextlib
import signal

import aiohttp
import pytest
from yarl import URL

from tests.functional.test_stream_versions import (
    Stream,
    VersionedEngine,
    read,
    renew_entries,
)
from tests.lib.platform_fleet import HOST, KEY, manifest, platform_fleet, route
from tests.lib.platform_store import PlatformStore
from tests.soak.fleet import Router

# A route without keys, as keys that were last confirmed before a pause are
# refused for a moment.
RESUMED_BY_CALLER = route('/stream/', 'streaming', resumable=True, public=True)
STREAM_COUNT = 12
ROUTER_COUNT = 3
PAUSE_SECONDS = 2.0
# The routers notice that the one which reads the store for them is paused, and
# read the entries of new engines themselves.
DISCOVERY_SECONDS = 2.0
# A router that was paused refuses requests for a moment, as its loop lagged.
MAX_RESUMES = 100
READY_SECONDS = 20


class ProcessFleet:
    """Router processes with an emulated store and emulated engines."""

    def __init__(self, folder) -> None:
        self.store = PlatformStore()
        self.folder = folder
        self.engines: list[VersionedEngine] = []
        self.routers: list[Router] = []
        self.session = aiohttp.ClientSession()

    async def start(self) -> None:
        await self.store.start()
        await self.store.put(
            'keyed.op', 'config', manifest(1, RESUMED_BY_CALLER)
        )
        for version in ('v1', 'v1', 'v1', 'v1'):
            await self.add_engine(version)
        await renew_entries(self, *self.engines)
        for number in range(ROUTER_COUNT):
            router = Router(number, self.folder, self.store.address)
            self.routers.append(router)
            router.start()
        async with asyncio.timeout(READY_SECONDS):
            for router in self.routers:
                while not await self.is_ready(router):
                    await asyncio.sleep(0.1)
        # The routers get to know each other.
        await asyncio.sleep(1.5)

    async def is_ready(self, router: Router) -> bool:
        url = f'http://{router.readiness_address}/v1/ready'
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.get(url) as answer:
                return answer.status == 200
        return False

    async def add_engine(self, version: str) -> VersionedEngine:
        engine = VersionedEngine(len(self.engines), version)
        await engine.start()
        self.engines.append(engine)
        await self.store.put('keyed.servers', engine.engine_id, engine.entry())
        return engine

    async def restart_engine(self, engine: VersionedEngine, version: str):
        """Start an engine again under its id and address."""
        engine.version = version
        entry = engine.entry(born=2)
        await self.store.put('keyed.servers', engine.engine_id, entry)

    def request(self, method, path, router=None, **options):
        headers = {'Host': HOST, 'X-Key': KEY, **options.pop('headers')}
        address = (router or self.routers[0]).caller_address
        return self.session.request(
            method, URL(f'http://{address}{path}'), headers=headers, **options
        )

    async def close(self) -> None:
        await self.session.close()
        for router in self.routers:
            router.stop()
        for engine in self.engines:
            await engine.close()
        await self.store.close()


@contextlib.asynccontextmanager
async def process_fleet(folder):
    fleet = ProcessFleet(folder)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()


async def begin(fleet, router, version: str) -> list[Stream]:
    """Begin streams at engines of a version, which hold them after a part."""
    for engine in fleet.engines:
        engine.gate.clear()
    streams = [Stream(f's{number}') for number in range(STREAM_COUNT)]
    tasks = [
        asyncio.create_task(read(fleet, each, f'{each.name}-1', router))
        for each in streams
    ]
    async with asyncio.timeout(5):
        while not all(each.versions for each in streams):
            await asyncio.sleep(0.02)
    return [
        stream for stream in streams if stream.versions[0] == version
    ], tasks


async def resume(fleet, stream: Stream, router) -> None:
    """Resume a stream as soon as the router takes it."""
    for number in range(2, 2 + MAX_RESUMES):
        await read(fleet, stream, f'{stream.name}-{number}', router)
        if stream.refusal != 'not_ready':
            return
        await asyncio.sleep(0.02)


async def break_off(fleet, tasks) -> None:
    for engine in fleet.engines:
        engine.gate.set()
    await asyncio.gather(*tasks)


@pytest.mark.processes
@pytest.mark.parametrize('paused', [0, 2])
@pytest.mark.parametrize('change', ['joins', 'replaces'])
async def test_router_that_was_paused_resumes_at_another_version(
    tmp_path, change, paused
):
    async with process_fleet(tmp_path) as fleet:
        router = fleet.routers[paused]
        other = fleet.routers[1]
        if change == 'replaces':
            streams, tasks = await begin(fleet, other, 'v1')
        router.signal(signal.SIGSTOP)
        if change == 'joins':
            for _ in range(4):
                await fleet.add_engine('v2')
            await asyncio.sleep(DISCOVERY_SECONDS)
            streams, tasks = await begin(fleet, other, 'v2')
        else:
            for engine in fleet.engines[:3]:
                await fleet.restart_engine(engine, 'v2')
        await break_off(fleet, tasks)
        await asyncio.sleep(PAUSE_SECONDS)
        assert streams
        resumed = [
            asyncio.create_task(resume(fleet, each, router)) for each in streams
        ]
        await asyncio.sleep(0.1)
        router.signal(signal.SIGCONT)
        await asyncio.gather(*resumed)
        assert not [each for each in streams if each.is_mixed]
        assert sum(each.went_on for each in streams) > len(streams) / 2


@pytest.mark.parametrize('change', ['joins', 'replaces'])
async def test_router_that_is_cut_off_resumes_at_another_version(change):
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        for number in range(4):
            await fleet.add_engine(VersionedEngine(number, 'v1'))
        await renew_entries(fleet, *fleet.engines)
        cut_off = await fleet.add_router()
        await fleet.wait_until_ready()
        if change == 'replaces':
            streams, tasks = await begin(fleet, fleet.process, 'v1')
        for process in fleet.routers:
            process.network.handler = lambda _sender_id, _message: None
        if change == 'joins':
            for number in range(4, 8):
                await fleet.add_engine(VersionedEngine(number, 'v2'))
            await asyncio.sleep(0.8)
            streams, tasks = await begin(fleet, fleet.process, 'v2')
        else:
            for engine in fleet.engines[:3]:
                engine.version = 'v2'
                await fleet.store.put(
                    'keyed.servers', engine.engine_id, engine.entry(born=2)
                )
        await break_off(fleet, tasks)
        assert streams
        await asyncio.gather(
            *(read(fleet, each, f'{each.name}-2', cut_off) for each in streams)
        )
        assert not [each for each in streams if each.is_mixed]
        assert sum(each.went_on for each in streams) > len(streams) / 2


async def test_answer_goes_on_at_an_engine_that_another_version_replaced():
    resumed = route(
        '/stream/', 'streaming', resumable=True, public=True, maxAttempts=4
    )
    async with platform_fleet(resumed) as fleet:
        for number in range(4):
            await fleet.add_engine(VersionedEngine(number, 'v1'))
        await fleet.wait_until_ready()
        streams, tasks = await begin(fleet, fleet.process, 'v1')
        for engine in fleet.engines[:3]:
            engine.version = 'v2'
            entry = engine.entry(born=2)
            await fleet.store.put('keyed.servers', engine.engine_id, entry)
        await break_off(fleet, tasks)
        assert not [each for each in streams if each.is_mixed]
        assert sum(each.went_on for each in streams) > len(streams) / 2
