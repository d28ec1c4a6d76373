"""Runs an entry process in the event loop of a test, with emulators."""

import contextlib
import errno
import socket
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from yarl import URL

from hickorymux._internal.transport.entry_process import EntryProcess
from hickorymux.platform.deployment import PlatformDeployment
from hickorymux.platform.settings import decode_settings
from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_store import PlatformStore

MAX_START_ATTEMPTS = 5
HOST = 'api.example'
KEY = 'key-of-ann'
REVOKE_MS = 5000
GRACE_SECONDS = 8

SETTINGS = """
node = "{node}"
zone = "z1"
region = "r1"
ip = "{ip}"
internalPortRange = [{peer}, {peer}]
[zones]
z1 = "r1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
maxFds = 4096
[bounds]
graceS = {grace}
strictRevocation = true
revokeMs = {revoke_ms}
exposureShare = 0.1
exposureSlack = 50
rollbackMs = 5000
[platform]
address = "{store}"
"""


def free_port() -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port


def route(prefix: str, kind: str, **changes: object) -> dict[str, object]:
    """Return a manifest route to the pool for a path prefix."""
    return {
        'name': prefix,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 2000,
        'targetLatencyMs': 500,
        'service': 'pool',
        'maxAttempts': 1,
        'public': False,
        **changes,
    }


def manifest(version: int, *routes: dict[str, object]) -> dict[str, object]:
    """Return a manifest with one pool and one customer."""
    return {
        'version': version,
        'routes': list(routes),
        'services': [{'name': 'pool', 'maxConnections': 100}],
        'limits': {'maxBodyBytes': 10000},
        'tenants': [{'name': 'ann', 'apiKeys': [KEY]}],
    }


class PlatformFleet:
    """Entry processes with an emulated store and emulated engines.

    ``process`` is the first of them; ``add_router`` starts further ones.
    """

    def __init__(self, process: EntryProcess, store: PlatformStore) -> None:
        self.process = process
        self.store = store
        self.engines: list[PlatformEngine] = []
        self.routers = [process]
        self.router_count = 1
        self.session = aiohttp.ClientSession()

    async def add_engine(
        self, engine: PlatformEngine, **changes: object
    ) -> None:
        """Start an engine and register it."""
        await engine.start()
        self.engines.append(engine)
        await self.store.put(
            'keyed.servers', engine.engine_id, engine.entry(**changes)
        )

    async def remove_engine(self, engine: PlatformEngine) -> None:
        """Remove an engine's entry; wait until no router sends to it."""
        self.engines.remove(engine)
        await self.store.put('keyed.servers', engine.engine_id, None)
        for process in self.routers:
            while engine.engine_id in process.view.registry.upstreams:
                await process.clock.sleep(0.02)
        await engine.close()

    async def add_router(self) -> EntryProcess:
        """Start another entry process of the fleet."""
        self.router_count += 1
        node = self.names[-1]
        process = await _start(self.store, REVOKE_MS, GRACE_SECONDS, node)
        self.routers.append(process)
        return process

    async def lose_all_routers(self) -> None:
        """End all processes at once and start others in their places."""
        for process in self.routers:
            await process.close()
        self.routers = []
        while len(self.routers) < len(self.names):
            name = self.names[len(self.routers)]
            self.routers.append(
                await _start(self.store, REVOKE_MS, GRACE_SECONDS, name)
            )
        self.process = self.routers[0]

    @property
    def names(self) -> list[str]:
        """Return the names of all routers that were started."""
        return [f'front-{number + 1}' for number in range(self.router_count)]

    async def wait_until_ready(self) -> None:
        """Wait until all processes are ready and know engines and peers."""
        wanted = {engine.engine_id for engine in self.engines}
        for process in self.routers:
            while not (
                process.check_readiness()
                and wanted <= process.view.registry.upstreams.keys()
                and len(process.membership.live()) >= len(self.routers)
            ):
                await process.clock.sleep(0.02)

    def request(
        self,
        method: str,
        path: str,
        router: EntryProcess | None = None,
        **options: Any,
    ) -> Any:
        """Send a request with the customer's key, to the first router if none.

        Empty headers are left out.
        """
        callers = (router or self.process).settings.callers
        headers = {
            'Host': HOST,
            'X-Key': KEY,
            'X-Request-Id': 'r1',
            'X-Request-Deadline': '2000',
            **options.pop('headers', {}),
        }
        headers = {name: text for name, text in headers.items() if text}
        return self.session.request(
            method,
            URL(f'http://{callers}{path}', encoded=True),
            headers=headers,
            **options,
        )


@contextlib.asynccontextmanager
async def platform_fleet(
    *routes: dict[str, object],
    revoke_ms: int = REVOKE_MS,
    grace: float = GRACE_SECONDS,
) -> AsyncIterator[PlatformFleet]:
    """Run an entry process with these routes, without a manifest if none."""
    store = PlatformStore()
    await store.start()
    if routes:
        await store.put('keyed.op', 'config', manifest(1, *routes))
    process = await _start(store, revoke_ms, grace)
    fleet = PlatformFleet(process, store)
    try:
        yield fleet
    finally:
        store.mode = ''
        await fleet.session.close()
        for router in fleet.routers:
            await router.close()
        for engine in fleet.engines:
            await engine.close()
        await store.close()


async def _start(
    store: PlatformStore,
    revoke_ms: int,
    grace: float,
    node: str = 'front-1',
) -> EntryProcess:
    """Start a process.

    Retries, as another program may bind a free port first.
    """
    for _ in range(MAX_START_ATTEMPTS):
        text = SETTINGS.format(
            node=node,
            ip='127.0.0.1',
            front=free_port(),
            ready=free_port(),
            peer=free_port(),
            store=store.address,
            revoke_ms=revoke_ms,
            grace=grace,
        )
        settings = decode_settings(text.encode(), where='test')
        settings = _with_metrics_port(settings, free_port())
        process = EntryProcess.from_config(settings, PlatformDeployment())
        try:
            await process.start()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            await process.close()
        else:
            return process
    raise RuntimeError('no free ports')


def _with_metrics_port(settings: Any, port: int) -> Any:
    import dataclasses

    metrics = dataclasses.replace(settings.metrics, port=port)
    return dataclasses.replace(settings, metrics=metrics)
