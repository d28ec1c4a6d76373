"""Runs real routers and a service that records which writes it executes."""

import asyncio
import dataclasses
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import aiohttp

from hickorymux._internal.state.customers import key_digest
from lib.command_line import run_command
from lib.processes import Program, ProgramGroup, free_port

PATH = '/stock/orders'
CUSTOMER_KEY = 'key-one'
READY_TIMEOUT_SECONDS = 15
CUSTOMERS_TOML = f"""
[[customer]]
name = "one"
key_sha256 = "{key_digest(CUSTOMER_KEY)}"
"""
ROUTES_TOML = """
[[route]]
name = "ledger"
pool = "ledger"
path_prefix = "/stock"
requires_key = true
"""
POOLS_TOML = """
[[pool]]
name = "ledger"
kind = "service"

[[pool.upstream]]
name = "ledger-1"
zone = "msasani"
address = "{address}"
slots = 16
"""
MODEL_ROUTE_TOML = """
[[route]]
name = "drafting"
pool = "drafting"
model = "draft"
"""
MODEL_POOL_TOML = """
[[pool]]
name = "drafting"
kind = "model"
"""
ENGINE_TOML = """
[[pool.upstream]]
name = "engine-{number}"
zone = "msasani"
address = "{address}"
slots = 8
cold_slots = 8
"""


@dataclasses.dataclass(frozen=True)
class Answer:
    """The response to a caller; ``status`` 0 means that none came.

    ``code`` and ``ran`` are the fields of an error body, ``seconds`` is the
    response time of an order.
    """

    status: int
    code: str = ''
    ran: str = ''
    seconds: float = 0


class WriteFleet:
    """The log, one plain service, model engines and the routers of one zone."""

    def __init__(
        self,
        programs: ProgramGroup,
        path: Path,
        router_count: int,
        engine_count: int = 0,
    ) -> None:
        self.programs = programs
        self.path = path
        self.log = programs.start_emulator('log-service')
        self.service = programs.start_emulator('service')
        (path / 'customers.toml').write_text(CUSTOMERS_TOML)
        self.engines = [
            programs.start_emulator(
                'engine', '--model=draft', '--slots=8', '--cold-slots=8'
            )
            for _ in range(engine_count)
        ]
        routes = ROUTES_TOML
        pools = POOLS_TOML.format(address=self.service.address)
        if engine_count:
            routes += MODEL_ROUTE_TOML
            pools += MODEL_POOL_TOML
        for number, engine in enumerate(self.engines):
            pools += ENGINE_TOML.format(number=number, address=engine.address)
        (path / 'routes.toml').write_text(routes)
        (path / 'pools.toml').write_text(pools)
        result = run_command(
            'apply',
            f'--routes={path}/routes.toml',
            f'--pools={path}/pools.toml',
            f'--log={self.log.url}',
        )
        assert result.returncode == 0, result.stderr
        self.seed_peers: dict[str, str] = {}
        self.peer_ports: dict[str, int] = {}
        self.caller_urls: dict[str, str] = {}
        self.admin_urls: dict[str, str] = {}
        self.routers: dict[str, Program] = {}
        for number in range(router_count):
            self.start_router(f'r{number}')

    def start_router(self, name: str) -> Program:
        """Start a router, or start it again after it was killed."""
        flags = [
            f'--router-id={name}',
            '--zone=msasani',
            f'--log={self.log.url}',
            f'--customers={self.path}/customers.toml',
            '--fleet-key=a-key-for-tests-only',
            '--listen=127.0.0.1:0',
            '--admin-listen=127.0.0.1:0',
            f'--peer-listen=127.0.0.1:{self.peer_ports.setdefault(name, free_port())}',
            '--log-level=warning',
        ]
        if self.seed_peers:
            flags += ['--peer', *self.seed_peers.values()]
        router = self.programs.start(name, 'hickorymux', ['router', *flags])
        listening = router.wait_event('listening')
        self.caller_urls[name] = f'http://{listening["address"]}'
        self.admin_urls[name] = f'http://{listening["admin"]}'
        self.seed_peers[name] = f'{name}@msasani={listening["peers"]}'
        self.routers[name] = router
        return router


@dataclasses.dataclass
class Caller:
    """Sends orders, which are keyed writes, and model requests to routers."""

    fleet: WriteFleet
    session: aiohttp.ClientSession

    async def wait_until_ready(self) -> None:
        """Wait until every router is ready."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        for url in self.fleet.admin_urls.values():
            while not await self._is_ready(url):
                assert time.monotonic() < deadline
                await asyncio.sleep(0.05)

    async def order(
        self, router: str, key: str, body: bytes = b'fish'
    ) -> Answer:
        """Send an order with an idempotency key once."""
        started = time.monotonic()
        headers = {
            'Authorization': f'Bearer {CUSTOMER_KEY}',
            'Idempotency-Key': key,
        }
        url = f'{self.fleet.caller_urls[router]}{PATH}'
        try:
            async with self.session.post(
                url, data=body, headers=headers
            ) as response:
                fields = await response.json(content_type=None)
                seconds = time.monotonic() - started
                code, ran = fields.get('code', ''), fields.get('ran', '')
                return Answer(response.status, code, ran, seconds)
        except (aiohttp.ClientError, TimeoutError):
            return Answer(0, seconds=time.monotonic() - started)

    async def draft(self, router: str, text: str) -> Answer:
        """Send a model request that is not streamed."""
        url = f'{self.fleet.caller_urls[router]}/v1/chat/completions'
        body = {
            'model': 'draft',
            'messages': [{'role': 'user', 'content': text}],
        }
        headers = {'Authorization': f'Bearer {CUSTOMER_KEY}'}
        try:
            async with self.session.post(
                url, json=body, headers=headers
            ) as response:
                fields = await response.json(content_type=None)
                code, ran = fields.get('code', ''), fields.get('ran', '')
                return Answer(response.status, code, ran)
        except (aiohttp.ClientError, TimeoutError):
            return Answer(0)

    async def engine_instances(self) -> list[str]:
        """Return the instance id of each engine; it changes with a crash."""
        found = []
        for engine in self.fleet.engines:
            async with self.session.get(f'{engine.url}/load') as response:
                found.append((await response.json())['instance'])
        return found

    async def order_until_settled(self, router: str, key: str) -> Answer:
        """Resend an order until its status is not 503, or time is up."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while True:
            answer = await self.order(router, key)
            if answer.status != 503 or time.monotonic() > deadline:
                return answer
            await asyncio.sleep(0.2)

    async def order_until_known(self, router: str, key: str) -> Answer:
        """Resend an order until the router knows whether it ran."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while True:
            answer = await self.order(router, key)
            if answer.ran != 'unknown' or time.monotonic() > deadline:
                return answer
            await asyncio.sleep(0.1)

    async def executions(self, key: str) -> int:
        """Return how often the service executed the order with a key."""
        url = f'{self.fleet.service.url}/executions'
        async with self.session.get(url) as response:
            rows: list[dict[str, Any]] = await response.json()
        return sum(row['idempotency_key'] == key for row in rows)

    async def control(self, program: Program, **change: object) -> None:
        """Change the behaviour of an emulator."""
        url = f'{program.url}/control'
        async with self.session.post(url, json=change) as response:
            response.raise_for_status()

    async def _is_ready(self, url: str) -> bool:
        try:
            async with self.session.get(f'{url}/readyz') as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


@contextmanager
def write_fleet(
    path: Path, router_count: int, engine_count: int = 0
) -> Iterator[WriteFleet]:
    """Start a fleet; its processes end with the block."""
    with ProgramGroup() as programs:
        yield WriteFleet(programs, path, router_count, engine_count)
