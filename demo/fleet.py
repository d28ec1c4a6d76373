"""The processes of the demo: emulators, routers and operators' commands."""

import asyncio
import dataclasses
import secrets
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, final

import aiohttp

from demo.deployment import Deployment, RouterSpec
from demo.guarantees import UpstreamRecords
from hickorymux._internal.state.rows import UpstreamRow
from hickorymux._internal.state.tables import PoolKind
from hickorymux_emulator.programs import Program, ProgramGroup

_EMULATOR_MODULE: Final = 'hickorymux_emulator'
_COLD_SECONDS: Final = 3
_TOKEN_MS: Final = 10
_LATENCY_MS: Final = 20
_HOST: Final = '127.0.0.1'
_ROUTER_MODULE: Final = 'hickorymux'
_FLEET_KEY_BYTES: Final = 16
_DRAIN_NOTICE: Final = '1s'
_READY_TIMEOUT_SECONDS: Final = 15
_POLL_INTERVAL_SECONDS: Final = 0.1


class CommandFailed(Exception):
    """An operators' command ended with a status other than 0."""


@final
@dataclasses.dataclass(slots=True)
class Platform:
    """The emulators of the platform's services and of the upstreams."""

    log: Program
    host_list: Program
    upstreams: dict[str, Program]

    @classmethod
    def start(
        cls, programs: ProgramGroup, deployment: Deployment
    ) -> 'Platform':
        """Start all emulators concurrently and wait until they listen."""
        platform = cls(
            log=programs.start('log', _EMULATOR_MODULE, ['log-service']),
            host_list=programs.start('hosts', _EMULATOR_MODULE, ['host-list']),
            upstreams={
                upstream.name: programs.start(
                    upstream.name,
                    _EMULATOR_MODULE,
                    _upstream_flags(deployment, upstream),
                )
                for upstream in deployment.upstreams
            },
        )
        for program in programs.programs:
            program.wait_listening()
        return platform

    @property
    def addresses(self) -> dict[str, str]:
        """Return the address of each upstream, by name."""
        return {
            name: program.address for name, program in self.upstreams.items()
        }

    async def records(
        self,
        session: aiohttp.ClientSession,
        deployment: Deployment,
    ) -> UpstreamRecords:
        """Return the work that the upstreams recorded."""
        records = UpstreamRecords()
        for upstream in deployment.upstreams:
            name = upstream.name
            records.zones[name] = upstream.zone
            records.cold_slots[name] = upstream.cold_slots
            url = self.upstreams[name].url
            if deployment.kind_of(upstream) is PoolKind.model:
                records.runs[name] = await _get(session, f'{url}/runs')
            else:
                path = f'{url}/executions'
                records.executions[name] = await _get(session, path)
        return records


def _upstream_flags(deployment: Deployment, upstream: UpstreamRow) -> list[str]:
    slots = ['--slots', str(upstream.slots)]
    if deployment.kind_of(upstream) is PoolKind.service:
        latency = ['--latency-ms', str(_LATENCY_MS)]
        return ['service', '--name', upstream.name, *slots, *latency]
    flags = [
        'engine',
        *slots,
        '--cold-slots',
        str(upstream.cold_slots),
        '--cold-seconds',
        str(_COLD_SECONDS),
        '--token-ms',
        str(_TOKEN_MS),
    ]
    if upstream.checks_fence:
        flags.append('--checks-fence')
    return [*flags, '--model', *deployment.models_of(upstream)]


@final
class Fleet:
    """The routers of the demo and the operators' commands run on them."""

    __slots__ = ('deployment', 'directory', 'platform', 'programs', 'routers')

    def __init__(
        self,
        programs: ProgramGroup,
        deployment: Deployment,
        directory: Path,
    ) -> None:
        self.programs = programs
        self.deployment = deployment
        self.directory = directory
        self.platform = Platform.start(programs, deployment)
        self.routers: dict[str, Program] = {}
        pools = directory / 'pools.toml'
        deployment.write_pools(pools, self.platform.addresses)

    async def start_routers(self, session: aiohttp.ClientSession) -> None:
        """Start all routers and register them in the host list."""
        fleet_key = secrets.token_hex(_FLEET_KEY_BYTES)
        secret = {'HICKORYMUX_FLEET_KEY': fleet_key}
        for router in self.deployment.routers:
            flags = self._router_flags(router)
            program = self.programs.start(
                router.name, _ROUTER_MODULE, flags, secret
            )
            self.routers[router.name] = program
        for router in self.deployment.routers:
            program = self.routers[router.name]
            await asyncio.to_thread(program.wait_listening)
            await self._register_host(session, router)

    def admin_url(self, name: str) -> str:
        """Return the base URL of a router's admin interface."""
        line = self.routers[name].wait_event('listening')
        return f'http://{line["admin"]}'

    def urls(self) -> dict[str, str]:
        """Return the base URL that callers use for each router, by name."""
        return {name: program.url for name, program in self.routers.items()}

    async def run_operator_command(self, command: str, *flags: str) -> str:
        """Run an operators' command and return its standard output.

        Raises ``CommandFailed`` unless its exit status is 0.
        """
        program = Program.start(command, _ROUTER_MODULE, [command, *flags])
        status = await asyncio.to_thread(program.wait)
        if status != 0:
            raise CommandFailed(f'{command}: {program.last_output()}')
        return '\n'.join(program.stdout)

    async def apply(self) -> str:
        """Publish the tables with the addresses of the emulators."""
        return await self.run_operator_command(
            'apply',
            f'--routes={self.deployment.routes_file}',
            f'--pools={self.directory / "pools.toml"}',
            f'--log={self.platform.log.url}',
        )

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until every router reports that it is ready for requests.

        Raises ``TimeoutError`` if that takes more than 15 seconds.
        """
        async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
            for name in self.routers:
                while not await self._is_ready(session, name):
                    await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def dispatches(self) -> Iterator[dict[str, Any]]:
        """Yield the ``dispatch`` log lines of all routers.

        The field ``entry`` is added: the zone of the router that logged it.
        """
        for router in self.deployment.routers:
            for line in self.routers[router.name].events('dispatch'):
                yield {**line, 'entry': router.zone}

    def _router_flags(self, router: RouterSpec) -> list[str]:
        return [
            'router',
            f'--router-id={router.name}',
            f'--zone={router.zone}',
            f'--log={self.platform.log.url}',
            f'--host-list={self.platform.host_list.url}',
            f'--customers={self.deployment.customers_file}',
            f'--listen={_HOST}:0',
            f'--admin-listen={_HOST}:0',
            f'--peer-listen={_HOST}:0',
            f'--drain-notice={_DRAIN_NOTICE}',
        ]

    async def _register_host(
        self,
        session: aiohttp.ClientSession,
        router: RouterSpec,
    ) -> None:
        line = self.routers[router.name].wait_event('listening')
        host, _, port = line['peers'].rpartition(':')
        body = {'zone': router.zone, 'host': host, 'port': int(port)}
        url = f'{self.platform.host_list.url}/hosts/{router.name}'
        async with session.put(url, json=body) as response:
            response.raise_for_status()

    async def _is_ready(
        self,
        session: aiohttp.ClientSession,
        name: str,
    ) -> bool:
        async with session.get(f'{self.admin_url(name)}/readyz') as response:
            return response.ok


async def _get(session: aiohttp.ClientSession, url: str) -> Any:
    async with session.get(url) as response:
        return await response.json()
