"""The real programs as processes, with a store and engines around them."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

import aiohttp

from tests.lib.platform_engine import (
    PlatformEngine,
    ReceivedRequest,
    reset_connection,
)
from tests.lib.platform_fleet import SETTINGS, free_port, route
from tests.lib.platform_store import PlatformStore
from tests.soak.judge import EVENTS, Run, body_of, events_of
from tests.soak.loopback_proxy import LoopbackProxy

ROUTERS = 3
ENGINES = 4
REVOKE_SECONDS = 3.0
GRACE_SECONDS = 4
READY_SECONDS = 20.0
CUSTOMER_OF_KEY = {'key-of-ann': 'ann', 'key-of-bob': 'bob'}
ROUTES = (
    route('/read/', 'idempotent', maxAttempts=2),
    route('/write/', 'non_idempotent'),
    route('/stream/', 'streaming', resumable=True, maxAttempts=2),
)


class Router:
    """One router's process; it can be ended and started again."""

    def __init__(self, number: int, folder: pathlib.Path, store: str) -> None:
        ip = f'127.0.{random.SystemRandom().randint(1, 250)}.{number + 1}'
        self.node = f'front-{number}'
        front, ready = free_port(), free_port()
        self.callers = f'{ip}:{front}'
        self.readiness = f'{ip}:{ready}'
        self.settings = folder / f'{self.node}.toml'
        self.settings.write_text(
            SETTINGS.format(
                node=self.node,
                ip=ip,
                peer=free_port(),
                front=front,
                ready=ready,
                grace=GRACE_SECONDS,
                revoke_ms=int(REVOKE_SECONDS * 1000),
                store=store,
            )
        )
        self.log = folder / f'{self.node}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.own_exits = 0
        self.is_told_to_end = False
        self.was_frozen = False

    def start(self) -> None:
        """Start the process, adding to its log."""
        self.is_told_to_end = False
        self.was_frozen = False
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                (sys.executable, '-m', 'hickorymux.platform'),
                env={**os.environ, 'HICKORYMUX_CONFIG': str(self.settings)},
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        if self.is_running():
            self.is_told_to_end |= number in {signal.SIGTERM, signal.SIGKILL}
            self.was_frozen |= number is signal.SIGSTOP
            assert self.process is not None
            self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process is there; count ends of its own."""
        if self.process is None:
            return False
        if self.process.poll() is None:
            return True
        if not self.is_told_to_end:
            self.own_exits += 1
        self.process = None
        return False

    def end(self) -> None:
        """End the process for good."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class World:
    """Store, engines and routers of one run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.store = PlatformStore()
        self.store_proxy = LoopbackProxy('')
        self.engines: list[PlatformEngine] = []
        self.engine_proxies: list[LoopbackProxy] = []
        self.routers: list[Router] = []
        self.runs: list[Run] = []
        self.moods: dict[str, str] = {}
        self.version = 0
        self.keys = dict(CUSTOMER_OF_KEY)

    async def start(self) -> None:
        """Start everything and wait until all routers are ready."""
        await self.store.start()
        self.store_proxy.target = self.store.address
        await self.store_proxy.start()
        await self.publish()
        for number in range(ENGINES):
            engine = PlatformEngine(f'e{number}', self._answer_by(number))
            await engine.start()
            proxy = LoopbackProxy(engine.address)
            await proxy.start()
            engine.address = proxy.address
            self.engines.append(engine)
            self.engine_proxies.append(proxy)
            await self.register(engine)
        for number in range(ROUTERS):
            router = Router(number, self.folder, self.store_proxy.address)
            self.routers.append(router)
            router.start()
        await self.wait_until_ready()

    async def close(self) -> None:
        """End whatever this run started."""
        for router in self.routers:
            router.end()
        for proxy in (*self.engine_proxies, self.store_proxy):
            await proxy.close()
        for engine in self.engines:
            await engine.close()
        await self.store.close()

    async def register(self, engine: PlatformEngine, **changes: object) -> None:
        """Write an engine's entry."""
        await self.store.put(
            'keyed.servers', engine.engine_id, engine.entry(**changes)
        )

    async def publish(self) -> None:
        """Write the manifest with the keys that are valid now."""
        self.version += 1
        await self.store.put(
            'keyed.op',
            'config',
            {
                'version': self.version,
                'routes': list(ROUTES),
                'services': [{'name': 'pool', 'maxConnections': 100}],
                'limits': {'maxBodyBytes': 10000},
                'tenants': [
                    {'name': owner, 'apiKeys': [key]}
                    for key, owner in self.keys.items()
                ],
            },
        )

    async def wait_until_ready(self) -> None:
        """Wait for all routers; raises ``TimeoutError`` if one stays away."""
        async with (
            asyncio.timeout(READY_SECONDS),
            aiohttp.ClientSession() as session,
        ):
            for router in self.routers:
                while not await _is_ready(session, router):
                    await asyncio.sleep(0.05)

    def _answer_by(self, number: int):
        name = f'e{number}'

        async def answer(received: ReceivedRequest) -> None:
            mood = self.moods.get(name, '')
            if mood == 'refuse':
                received.writer.write(
                    received.head(
                        '503 Service Unavailable',
                        'X-Not-Executed: 1',
                        'Content-Length: 0',
                    )
                )
                return
            self.runs.append(
                Run(
                    received.request_id,
                    name,
                    received.headers.get('x-tenant', ''),
                    time.monotonic(),
                )
            )
            await asyncio.sleep(0.4 if mood == 'slow' else 0.01)
            await _write_answer(received, mood)

        return answer


async def _write_answer(received: ReceivedRequest, mood: str) -> None:
    writer = received.writer
    if received.path.startswith('/stream/'):
        first = int(received.headers.get('last-event-id', -1)) + 1
        text = events_of(received.request_id, first)
        lines = (
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        )
        writer.write(received.head('200 OK', *lines))
        events = [f'{event}\n\n' for event in text.split('\n\n') if event]
        for number, event in enumerate(events):
            await asyncio.sleep(0.02)
            if mood == 'cut' and number == EVENTS // 2:
                reset_connection(received)
                await asyncio.sleep(1)
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
        writer.write(b'0\r\n\r\n')
        return
    body = body_of(received.request_id).encode()
    writer.write(received.head('200 OK', f'Content-Length: {len(body)}'))
    if mood == 'cut':
        writer.write(body[: len(body) // 2])
        await asyncio.sleep(0.01)
        reset_connection(received)
        await asyncio.sleep(1)
    writer.write(body + (b'late extra octets' if mood == 'extra' else b''))


async def _is_ready(session: aiohttp.ClientSession, router: Router) -> bool:
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with session.get(
            f'http://{router.readiness}/v1/ready',
            timeout=aiohttp.ClientTimeout(total=0.5),
        ) as answer:
            return answer.status == 200
    return False
