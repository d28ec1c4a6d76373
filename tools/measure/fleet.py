"""Measure the traffic, processor time and memory of a fleet of routers.

Each router is a process on this machine. Its bytes and frames are read from
its metrics page, its processor time and memory from the operating system. The
figures can be compared with a prediction from the slopes in
``docs/measurements/slopes.json`` and the message rates below.

Usage::

    PYTHONPATH=src python -m tools.measure.fleet --zones 4 --routers-in-zone 6
"""

import argparse
import asyncio
import dataclasses
import hashlib
import json
import re
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import aiohttp
import psutil

from hickorymux_emulator.programs import Program, ProgramGroup

API_KEY: Final = 'key-fleet'
SETTLE_SECONDS: Final = 12
WINDOW_SECONDS: Final = 30
HEARTBEATS_PER_SECOND: Final = 2
DIGESTS_PER_SECOND: Final = 0.5
RENEWALS_PER_SECOND: Final = 1
ENGINE_SLOTS: Final = 4
BYTES_PER_MB: Final = 1_000_000
PERCENT: Final = 100
STREAM_TOKENS: Final = 20
ROUTERS_STARTED_AT_ONCE: Final = 8

_MESSAGE_BYTES_PATTERN: Final = re.compile(
    r'hickorymux_peer_message_octets_total\{message="(\w+)"\} (\S+)',
)


@dataclasses.dataclass(slots=True, frozen=True)
class FleetSize:
    """The size of the fleet.

    ``callers`` is the number of callers at each router. Each of them requests
    one stream after another.
    """

    zones: int
    routers_in_zone: int
    engines_in_zone: int
    callers: int


@dataclasses.dataclass(slots=True, frozen=True)
class RouterReading:
    """The totals of one router since its start, and its present memory.

    ``by_message`` has the bytes sent for each kind of message.
    """

    bytes_out: float
    frames_out: float
    processor_seconds: float
    system_seconds: float
    resident_mb: float
    by_message: dict[str, str]
    read_at: float


class MeasuredFleet:
    """The router and emulator processes of the fleet."""

    def __init__(self, programs: ProgramGroup, size: FleetSize) -> None:
        self.programs = programs
        self.size = size
        self.routers: list[Program] = []
        self.engines: dict[str, tuple[str, Program]] = {}

    def start(self, directory: Path) -> None:
        """Start the emulators and the routers, and publish the tables."""
        log = self.programs.start_emulator('log-service')
        hosts = self.programs.start_emulator('host-list', '--lag-seconds=0')
        for zone in self.zones():
            for number in range(self.size.engines_in_zone):
                engine = self.programs.start_emulator(
                    'engine',
                    '--model=draft',
                    f'--slots={ENGINE_SLOTS}',
                    '--token-ms=40',
                )
                self.engines[f'engine-{zone}-{number}'] = zone, engine
        self._publish(directory, log)
        for zone in self.zones():
            for number in range(self.size.routers_in_zone):
                self._start_router(directory, zone, number, (log, hosts))
                if len(self.routers) % ROUTERS_STARTED_AT_ONCE == 0:
                    self._wait_listening()
        self._wait_listening()

    def zones(self) -> list[str]:
        """Return the names of the zones."""
        return [f'zone-{number}' for number in range(self.size.zones)]

    async def list_hosts(self, session: aiohttp.ClientSession) -> None:
        """Register all routers in the host list."""
        hosts = self.programs.programs[1]
        for router in self.routers:
            event = router.wait_event('listening')
            host, _, port = event['peers'].rpartition(':')
            zone = router.name.rpartition('-r')[0]
            body = {'zone': zone, 'host': host, 'port': int(port)}
            url = f'{hosts.url}/hosts/{router.name}'
            async with session.put(url, json=body) as response:
                response.raise_for_status()

    async def read(
        self,
        session: aiohttp.ClientSession,
    ) -> list[RouterReading]:
        """Return a reading of each router."""
        return [await _read_router(session, router) for router in self.routers]

    def _start_router(
        self,
        directory: Path,
        zone: str,
        number: int,
        platform: tuple[Program, Program],
    ) -> None:
        log, hosts = platform
        name = f'{zone}-r{number}'
        self.routers.append(
            self.programs.start(
                name,
                'hickorymux',
                [
                    'router',
                    f'--router-id={name}',
                    f'--zone={zone}',
                    f'--log={log.url}',
                    f'--host-list={hosts.url}',
                    f'--customers={directory / "customers.toml"}',
                    '--fleet-key=measure-measure-measure',
                    '--listen=127.0.0.1:0',
                    '--admin-listen=127.0.0.1:0',
                    '--peer-listen=127.0.0.1:0',
                    '--drain-notice=0s',
                    '--log-level=warning',
                ],
            ),
        )

    def _wait_listening(self) -> None:
        for router in self.routers:
            if not router.address:
                router.wait_listening()

    def _publish(self, directory: Path, log: Program) -> None:
        key_digest = hashlib.sha256(API_KEY.encode()).hexdigest()
        (directory / 'customers.toml').write_text(
            f'[[customer]]\nname = "measure"\nkey_sha256 = "{key_digest}"\n',
        )
        routes = directory / 'routes.toml'
        routes.write_text(
            '[[route]]\nname = "draft"\npool = "engines"\nmodel = "draft"\n',
        )
        pools = directory / 'pools.toml'
        rows = [
            f'[[pool.upstream]]\nname = "{name}"\nzone = "{zone}"\n'
            f'address = "{engine.address}"\nslots = {ENGINE_SLOTS}\n'
            for name, (zone, engine) in self.engines.items()
        ]
        pool_header = '[[pool]]\nname = "engines"\nkind = "model"\n'
        pools.write_text(pool_header + ''.join(rows))
        flags = [f'--routes={routes}', f'--pools={pools}', f'--log={log.url}']
        Program.start('apply', 'hickorymux', ['apply', *flags]).wait()


async def _read_router(
    session: aiohttp.ClientSession,
    router: Program,
) -> RouterReading:
    admin = router.wait_event('listening')['admin']
    async with session.get(f'http://{admin}/metrics') as response:
        text = await response.text()
    process = psutil.Process(router.process.pid)
    times = process.cpu_times()
    return RouterReading(
        bytes_out=_metric(text, 'hickorymux_peer_octets_out'),
        frames_out=_metric(text, 'hickorymux_peer_frames_out'),
        processor_seconds=times.user + times.system,
        system_seconds=times.system,
        resident_mb=process.memory_info().rss / BYTES_PER_MB,
        by_message=dict(_MESSAGE_BYTES_PATTERN.findall(text)),
        read_at=time.monotonic(),
    )


def _metric(text: str, name: str) -> float:
    for line in text.splitlines():
        if line.startswith(f'{name} '):
            return float(line.split()[1])
    raise ValueError(f'the metrics page has no metric {name}')


async def measure_fleet(size: FleetSize) -> dict[str, Any]:
    """Return the figures of a period without requests and of one with load."""
    with (
        tempfile.TemporaryDirectory() as directory,
        ProgramGroup() as programs,
    ):
        fleet = MeasuredFleet(programs, size)
        await asyncio.to_thread(fleet.start, Path(directory))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await fleet.list_hosts(session)
            await asyncio.sleep(SETTLE_SECONDS)
            idle = await _measure_window(fleet, session)
            call_tasks = [
                asyncio.create_task(_call_forever(session, router.url))
                for router in fleet.routers
                for _ in range(size.callers)
            ]
            await asyncio.sleep(SETTLE_SECONDS)
            busy = await _measure_window(fleet, session)
            for task in call_tasks:
                task.cancel()
            await asyncio.gather(*call_tasks, return_exceptions=True)
        return {
            'shape': dataclasses.asdict(size),
            'idle': idle,
            'busy': busy,
        }


async def _call_forever(session: aiohttp.ClientSession, url: str) -> None:
    body = {
        'model': 'draft',
        'stream': True,
        'max_tokens': STREAM_TOKENS,
        'messages': [{'role': 'user', 'content': 'measure'}],
    }
    headers = {'Authorization': f'Bearer {API_KEY}'}
    while True:
        async with session.post(
            f'{url}/v1/chat/completions',
            json=body,
            headers=headers,
        ) as response:
            await response.read()


async def _measure_window(
    fleet: MeasuredFleet,
    session: aiohttp.ClientSession,
) -> dict[str, Any]:
    before = await fleet.read(session)
    await asyncio.sleep(WINDOW_SECONDS)
    after = await fleet.read(session)
    pairs = list(zip(before, after, strict=True))
    return {
        'octets_per_second': _spread(
            [
                (end.bytes_out - start.bytes_out) / _elapsed_seconds(start, end)
                for start, end in pairs
            ]
        ),
        'frames_per_second': _spread(
            [
                (end.frames_out - start.frames_out)
                / _elapsed_seconds(start, end)
                for start, end in pairs
            ]
        ),
        'core_percent': _spread(
            [
                (end.processor_seconds - start.processor_seconds)
                / _elapsed_seconds(start, end)
                * PERCENT
                for start, end in pairs
            ]
        ),
        'core_percent_in_system': _spread(
            [
                (end.system_seconds - start.system_seconds)
                / _elapsed_seconds(start, end)
                * PERCENT
                for start, end in pairs
            ]
        ),
        'octets_per_second_by_message': {
            kind: _spread(
                [
                    (
                        float(end.by_message[kind])
                        - float(start.by_message[kind])
                    )
                    / _elapsed_seconds(start, end)
                    for start, end in pairs
                ]
            )
            for kind in pairs[0][1].by_message
        },
        'resident_mb': _spread([end.resident_mb for end in after]),
    }


def _elapsed_seconds(start: RouterReading, end: RouterReading) -> float:
    """Return the time between two readings of a router.

    It exceeds the time waited between them, as reading takes time too.
    """
    return end.read_at - start.read_at


def _spread(readings: Sequence[float]) -> dict[str, float]:
    return {
        'least': min(readings),
        'median': statistics.median(readings),
        'most': max(readings),
    }


def main(arguments: Sequence[str]) -> int:
    """Measure a fleet, and print and write the figures."""
    parser = argparse.ArgumentParser(prog='tools.measure.fleet')
    parser.add_argument('--zones', type=int, default=4)
    parser.add_argument('--routers-in-zone', type=int, default=6)
    parser.add_argument('--engines-in-zone', type=int, default=4)
    parser.add_argument('--callers', type=int, default=2)
    parser.add_argument(
        '--out',
        type=Path,
        default=Path('docs/measurements/fleet.json'),
    )
    options = parser.parse_args(arguments)
    size = FleetSize(
        options.zones,
        options.routers_in_zone,
        options.engines_in_zone,
        options.callers,
    )
    figures = asyncio.run(measure_fleet(size))
    text = json.dumps(figures, indent=1)
    print(text)
    options.out.write_text(f'{text}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
