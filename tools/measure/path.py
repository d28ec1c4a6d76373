"""Compare a router with a bare pass-through, in one run over loopback.

Both forward to the same emulated model engine and service. The comparison
covers the processor time that each uses for a request and for a token, and the
latency that each adds for the caller.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import statistics
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, Final

import aiohttp
import psutil

from hickorymux_emulator.programs import Program, ProgramGroup

STREAMS: Final = 200
TOKENS: Final = 200
TOKEN_MS: Final = 40
SHORT_REQUESTS: Final = 3000
SHORT_CONCURRENCY: Final = 32
MEMORY_STREAMS: Final = (0, 250, 1000)
ENGINE_SLOTS: Final = 2000
API_KEY: Final = 'key-measure'
MS_PER_SECOND: Final = 1000
BYTES_PER_MB: Final = 1_000_000
MEMORY_TOKENS: Final = 300
RAMP_SECONDS: Final = 7

_HEADERS: Final = {'Authorization': f'Bearer {API_KEY}'}
_CUSTOMER: Final = 'measure'


@dataclasses.dataclass(slots=True, frozen=True)
class Reading:
    """The processor time of one server under a load, and the latencies.

    For streams, ``p50_ms`` and ``p99_ms`` are the times to the first byte; for
    short requests, those to the whole answer.
    """

    requests: int
    tokens: int
    processor_seconds: float
    wall_seconds: float
    p50_ms: float
    p99_ms: float

    @property
    def us_per_request(self) -> float:
        """Return the processor time for one request in microseconds."""
        return self.processor_seconds / self.requests * 1_000_000

    @property
    def us_per_token(self) -> float:
        """Return the processor time for one token in microseconds."""
        return self.processor_seconds / max(self.tokens, 1) * 1_000_000

    def as_json(self) -> dict[str, Any]:
        """Return the fields and derived values for the result file."""
        return {
            **dataclasses.asdict(self),
            'us_per_request': self.us_per_request,
            'us_per_token': self.us_per_token,
        }


class PathBenchmark:
    """Starts the processes of the comparison, the emulators first."""

    def __init__(self, programs: ProgramGroup, directory: Path) -> None:
        self.programs = programs
        self.directory = directory
        self.engine = programs.start_emulator(
            'engine',
            '--model=draft',
            f'--slots={ENGINE_SLOTS}',
            f'--token-ms={TOKEN_MS}',
        )
        self.service = programs.start_emulator(
            'service',
            '--name=ledger',
            f'--slots={ENGINE_SLOTS}',
            '--latency-ms=0',
        )
        self.log = programs.start_emulator('log-service')

    def start_router(self, name: str) -> Program:
        """Start a router without peers."""
        customers = self.directory / 'customers.toml'
        key_digest = hashlib.sha256(API_KEY.encode()).hexdigest()
        customers.write_text(
            f'[[customer]]\nname = "{_CUSTOMER}"\nkey_sha256 = "{key_digest}"\n',
        )
        router = self.programs.start(
            name,
            'hickorymux',
            [
                'router',
                f'--router-id={name}',
                '--zone=zone-a',
                f'--log={self.log.url}',
                f'--customers={customers}',
                '--fleet-key=measure-measure-measure',
                '--listen=127.0.0.1:0',
                '--admin-listen=127.0.0.1:0',
                '--peer-listen=127.0.0.1:0',
                '--drain-notice=0s',
                '--max-requests=8192',
                '--max-waiting=8192',
            ],
        )
        router.wait_listening()
        return router

    def start_pass_through(self) -> Program:
        """Start the pass-through that is the baseline."""
        program = self.programs.start(
            'pass-through',
            'tools.measure.pass_through',
            [self.engine.address, self.service.address],
        )
        program.wait_listening()
        return program

    def publish(self) -> None:
        """Publish tables with one pool for the engine and one for the service."""
        routes = self.directory / 'routes.toml'
        pools = self.directory / 'pools.toml'
        routes.write_text(
            '[[route]]\nname = "draft"\npool = "engines"\nmodel = "draft"\n'
            '[[route]]\nname = "records"\npool = "ledger"\n'
            'path_prefix = "/records/"\n',
        )
        pools.write_text(
            _pool('engines', 'model', self.engine.address)
            + _pool('ledger', 'service', self.service.address),
        )
        command = Program.start(
            'apply',
            'hickorymux',
            [
                'apply',
                f'--routes={routes}',
                f'--pools={pools}',
                f'--log={self.log.url}',
            ],
        )
        command.wait()


def _pool(name: str, kind: str, address: str) -> str:
    return (
        f'[[pool]]\nname = "{name}"\nkind = "{kind}"\n'
        f'[[pool.upstream]]\nname = "{name}-1"\nzone = "zone-a"\n'
        f'address = "{address}"\nslots = {ENGINE_SLOTS}\n'
    )


async def measure_path(directory: Path) -> dict[str, Any]:
    """Run all comparisons and return their figures."""
    with ProgramGroup() as programs:
        benchmark = PathBenchmark(programs, directory)
        router = benchmark.start_router('router-1')
        benchmark.publish()
        baseline = benchmark.start_pass_through()
        direct = Target(benchmark.engine.url, benchmark.engine)
        async with open_session() as session:
            await wait_until_served(session, router.url)
            await asyncio.sleep(RAMP_SECONDS)
            return {
                'streams': await _compare_streams(session, router, baseline),
                'short': await _compare_short(session, router, baseline),
                'direct': (await run_streams(session, direct)).as_json(),
                'memory_mb': await _measure_memory(session, benchmark),
            }


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """The URL that a load is sent to, and the process that is measured."""

    url: str
    program: Program


@contextlib.asynccontextmanager
async def open_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Open a client session without a limit on connections."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session


async def wait_until_served(session: aiohttp.ClientSession, url: str) -> None:
    """Wait until a request succeeds; raise ``TimeoutError`` after 30 s."""
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        async with session.post(
            f'{url}/v1/chat/completions',
            json=_chat(1),
            headers=_HEADERS,
        ) as response:
            await response.read()
            if response.ok:
                return
        await asyncio.sleep(0.2)
    raise TimeoutError('no request to the router succeeded within 30 s')


async def run_streams(
    session: aiohttp.ClientSession,
    target: Target,
    streams: int = STREAMS,
) -> Reading:
    """Request streams concurrently and return the reading of the process."""
    before = _processor_seconds(target.program)
    started = time.monotonic()
    delays: list[float] = []
    await asyncio.gather(
        *(_run_stream(session, target.url, delays) for _ in range(streams))
    )
    return Reading(
        requests=streams,
        tokens=streams * TOKENS,
        processor_seconds=_processor_seconds(target.program) - before,
        wall_seconds=time.monotonic() - started,
        p50_ms=statistics.median(delays) * MS_PER_SECOND,
        p99_ms=statistics.quantiles(delays, n=100)[98] * MS_PER_SECOND,
    )


async def _run_stream(
    session: aiohttp.ClientSession,
    url: str,
    delays: list[float],
) -> None:
    started = time.monotonic()
    async with session.post(
        f'{url}/v1/chat/completions',
        json=_chat(TOKENS),
        headers=_HEADERS,
    ) as response:
        response.raise_for_status()
        await response.content.readany()
        delays.append(time.monotonic() - started)
        await response.read()


async def run_short(
    session: aiohttp.ClientSession,
    target: Target,
    requests: int = SHORT_REQUESTS,
) -> Reading:
    """Send short requests with a fixed concurrency and return the reading."""
    before = _processor_seconds(target.program)
    started = time.monotonic()
    delays: list[float] = []
    numbers = iter(range(requests))

    async def work() -> None:  # noqa: WPS430 (shares the iterator)
        for number in numbers:
            sent_at = time.monotonic()
            async with session.get(
                f'{target.url}/records/{number}',
                headers=_HEADERS,
            ) as response:
                response.raise_for_status()
                await response.read()
            delays.append(time.monotonic() - sent_at)

    await asyncio.gather(*(work() for _ in range(SHORT_CONCURRENCY)))
    return Reading(
        requests=requests,
        tokens=0,
        processor_seconds=_processor_seconds(target.program) - before,
        wall_seconds=time.monotonic() - started,
        p50_ms=statistics.median(delays) * MS_PER_SECOND,
        p99_ms=statistics.quantiles(delays, n=100)[98] * MS_PER_SECOND,
    )


async def _compare_streams(
    session: aiohttp.ClientSession,
    router: Program,
    baseline: Program,
) -> dict[str, Any]:
    router_reading = await run_streams(session, Target(router.url, router))
    baseline_reading = await run_streams(
        session, Target(baseline.url, baseline)
    )
    return _comparison(router_reading, baseline_reading)


async def _compare_short(
    session: aiohttp.ClientSession,
    router: Program,
    baseline: Program,
) -> dict[str, Any]:
    router_reading = await run_short(session, Target(router.url, router))
    baseline_reading = await run_short(session, Target(baseline.url, baseline))
    return _comparison(router_reading, baseline_reading)


def _comparison(
    router_reading: Reading, baseline_reading: Reading
) -> dict[str, Any]:
    return {
        'router': router_reading.as_json(),
        'pass_through': baseline_reading.as_json(),
        'ratio': baseline_reading.processor_seconds
        / router_reading.processor_seconds,
        'added_p50_ms': router_reading.p50_ms - baseline_reading.p50_ms,
        'added_p99_ms': router_reading.p99_ms - baseline_reading.p99_ms,
    }


async def _measure_memory(
    session: aiohttp.ClientSession,
    benchmark: PathBenchmark,
) -> list[dict[str, float]]:
    """Return the resident memory of a new router for each number of streams."""
    readings: list[dict[str, float]] = []
    for streams in MEMORY_STREAMS:
        router = benchmark.start_router(f'memory-{streams}')
        await wait_until_served(session, router.url)
        await asyncio.sleep(2)
        tasks = [
            asyncio.create_task(_hold_stream(session, router.url))
            for _ in range(streams)
        ]
        await asyncio.sleep(4)
        resident_bytes = psutil.Process(router.process.pid).memory_info().rss
        readings.append(
            {
                'streams': streams,
                'resident_mb': resident_bytes / BYTES_PER_MB,
            }
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        router.stop()
    return readings


async def _hold_stream(session: aiohttp.ClientSession, url: str) -> None:
    async with session.post(
        f'{url}/v1/chat/completions',
        json=_chat(MEMORY_TOKENS),
        headers=_HEADERS,
    ) as response:
        await response.read()


def _processor_seconds(program: Program) -> float:
    times = psutil.Process(program.process.pid).cpu_times()
    return float(times.user + times.system)


def _chat(tokens: int) -> dict[str, Any]:
    return {
        'model': 'draft',
        'stream': True,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': 'measure'}],
    }
