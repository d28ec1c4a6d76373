"""Starts the system's processes by the run line of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

import messages as http
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'api.example'
LIMIT_SECONDS = 110
EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2

SETTINGS = """
node = "{node}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "dar-es-salaam"
internalPortRange = [{peer},{last_peer}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
kariakoo = "dar-es-salaam"
msasani = "dar-es-salaam"
temeke = "dar-es-salaam"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 150
maxFds = 4100
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
coldBurstFactor = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
[platform]
address = "{store}"
form = "log"
"""


def has_trouble() -> bool:
    return os.environ.get('TROUBLE', '1') != '0'


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def loopback_host() -> str:
    """Return a loopback address of our own, as the metrics port is fixed."""
    return f'127.{random.randint(10, 250)}.{random.randint(1, 250)}.1'


def route(name, path, kind, service, **changes):
    return {
        'name': name,
        'host': HOST_NAME,
        'pathPrefix': path,
        'kind': kind,
        'timeoutMs': 12000,
        'targetLatencyMs': 600,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        'sticky': kind == 'streaming',
        'resumable': False,
        **changes,
    }


def manifest(version, routes, tenants):
    services = sorted({row['service'] for row in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConnections': 100,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
            }
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
            'tokensPerS': 285000,
        },
        'tenants': [
            {'name': name, 'apiKeys': keys, 'priority': 1}
            for name, keys in tenants.items()
        ],
    }


class Router:
    """One process of the system."""

    def __init__(self, fleet, node, zone):
        self.fleet = fleet
        self.node = node
        self.zone = zone
        self.ip = loopback_host()
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.process = None
        self.settings = fleet.folder / f'{node}.toml'
        self.log = fleet.folder / f'{node}.log'

    async def start(self):
        peer = free_port(self.ip)
        self.settings.write_text(
            SETTINGS.format(
                node=self.node,
                ip=self.ip,
                zone=self.zone,
                peer=peer,
                last_peer=peer,
                front=self.front,
                ready=self.ready,
                control=free_port(self.ip),
                store=self.fleet.store.address,
            )
        )
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            words = tomllib.load(file)['roles']['router']['run'].split()
        names = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in names if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['HICKORYMUX_CONFIG'] = str(self.settings)
        output = self.log.open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=output, stderr=output
        )
        output.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        try:
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            answer = await http.read_answer(reader)
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def send_signal(self, number):
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Fleet:
    """The processes, the store and the record of a case."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.store = Store('127.0.0.1')
        self.routers = []
        self.engines = []
        self.started_at = time.monotonic()
        self.rows = []

    def record(self, text):
        at = time.monotonic() - self.started_at
        self.rows.append(f'{at:8.3f} {text}')

    async def start(self, table, routers=(('front-1', 'kariakoo'),)):
        await self.store.start()
        await self.put_manifest(table)
        for node, zone in routers:
            router = Router(self, node, zone)
            self.routers.append(router)
            await router.start()

    async def put_manifest(self, table):
        await self.store.put('keyed.op', 'config', table)
        self.record(f'operator: manifest {table["version"]} acknowledged')

    async def add_engine(self, engine):
        await engine.start()
        self.engines.append(engine)

    async def wait_until_ready(self, seconds=20):
        async with asyncio.timeout(seconds):
            for router in self.routers:
                while not await router.is_ready():
                    if router.process.returncode is not None:
                        raise RuntimeError('a process ended at its start')
                    await asyncio.sleep(0.1)

    async def end(self):
        for router in self.routers:
            await router.end()
        for engine in self.engines:
            if engine.heartbeat is not None:
                engine.heartbeat.cancel()


async def call(
    router, method, path, request_id, key, body=b'', on_chunk=None, **headers
):
    """Send one request on a new channel; return the answer or ``None``.

    ``None`` stands for a channel that ended without an answer.
    """
    writer = None
    try:
        reader, writer = await asyncio.open_connection(
            router.ip, router.front, limit=1 << 20
        )
        fields = {
            'Host': HOST_NAME,
            'X_Request_Id': request_id,
            'X_Request_Deadline': 12000,
            'X_Key': key,
            **headers,
        }
        if body or method == 'POST':
            fields['Content_Length'] = len(body)
        writer.write(http.head(f'{method} {path} HTTP/1.1', **fields) + body)
        return await http.read_answer(reader, on_chunk)
    except (OSError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


def main(case):
    """Run a case: ``await case(fleet)`` returns the broken rules."""
    here = pathlib.Path(sys.argv[0]).resolve().parent
    sys.exit(asyncio.run(_run(case, here)))


async def _run(case, here):
    broken = None
    if not (ROOT / 'target' / 'deps' / 'hickorymux').is_dir():
        print('cannot run: target/deps is not built')
        return EXIT_CANNOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder)
        fleet.record(f'disruption: {"on" if has_trouble() else "off"}')
        # A script that is stopped ends its processes too.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                broken = await case(fleet)
        except Exception as error:
            fleet.record(f'cannot run: {error!r}')
            print(f'cannot run: {error!r}')
        finally:
            await fleet.end()
            if os.environ.get('KEEP_LOGS'):
                for router in fleet.routers:
                    target = pathlib.Path(os.environ['KEEP_LOGS'])
                    (target / router.log.name).write_bytes(
                        router.log.read_bytes()
                    )
    for engine in fleet.engines:
        for at, request_id, request in engine.runs:
            after = request.headers.get('last-event-id', '')
            fleet.record(
                f'engine {engine.engine_id} ran {request_id} at'
                f' {at - fleet.started_at:.3f}'
                + (f' from after event {after}' if after else '')
            )
    if broken is not None:
        for text in broken:
            fleet.record(f'broken: {text}')
        verdict = 'broken' if broken else 'held'
        fleet.record(f'verdict: {verdict}')
        print(f'{verdict}: {len(broken)} violations', *broken[:3], sep='\n  ')
    (here / 'record.txt').write_text('\n'.join(fleet.rows) + '\n')
    if broken is None:
        return EXIT_CANNOT_RUN
    return EXIT_BROKEN if broken else EXIT_HELD
