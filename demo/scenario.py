"""The scenario of the demo.

Starts a fleet, sends requests, drains and restores a zone, stops the fleet and
checks the guarantees.
"""

import asyncio
import dataclasses
from pathlib import Path
from typing import Any, final

import aiohttp

from demo import summary
from demo.deployment import Deployment
from demo.fleet import Fleet
from demo.guarantees import GuaranteeResult, check_guarantees
from demo.outcomes import Outcome, Result, WorkKind
from demo.phases import Phases, now
from demo.requests import Caller
from demo.traffic import Entry, Traffic
from hickorymux_emulator.programs import ProgramGroup


@final
@dataclasses.dataclass(slots=True)
class Scenario:
    """One run of the scenario on a fleet that has been started.

    Each of the three phases (before, during and after the drain of a zone)
    lasts ``phase_seconds``.
    """

    fleet: Fleet
    session: aiohttp.ClientSession
    traffic: Traffic
    phase_seconds: float

    @classmethod
    async def start(
        cls,
        programs: ProgramGroup,
        deployment: Deployment,
        directory: Path,
        session: aiohttp.ClientSession,
        phase_seconds: float,
    ) -> 'Scenario':
        """Start emulators and routers, publish the tables, wait until ready."""
        print(f'Starting {deployment.name}')
        fleet = await asyncio.to_thread(Fleet, programs, deployment, directory)
        await fleet.start_routers(session)
        _print_started(fleet)
        print(_indented(await fleet.apply()))
        await fleet.wait_ready(session)
        traffic = new_traffic(fleet, session)
        return cls(fleet, session, traffic, phase_seconds)

    async def run(self, *, keep: bool) -> tuple[GuaranteeResult, ...]:
        """Run all phases, print a summary and return the guarantee results.

        With ``keep`` all processes are left running.
        """
        statuses: dict[str, int] = {}
        async with asyncio.TaskGroup() as group:
            group.create_task(self.traffic.run())
            phases = await self._drain_and_restore()
            self.traffic.stop()
            if not keep:
                statuses = await self._stop_routers(group)
        deployment = self.fleet.deployment
        records = await self.fleet.platform.records(self.session, deployment)
        if not keep:
            statuses |= await asyncio.to_thread(self.fleet.programs.stop_all)
        outcomes = self.traffic.outcomes
        results = check_guarantees(outcomes, records, phases, statuses)
        self._print_results(phases, results)
        return results

    async def _drain_and_restore(self) -> Phases:
        zone = self.fleet.deployment.zones[-1]
        flags = f'--zone={zone}', f'--log={self.fleet.platform.log.url}'
        print(f'Serving {len(self.traffic.callers)} customers')
        await asyncio.sleep(self.phase_seconds)
        print(f'Draining zone {zone}')
        print(_indented(await self.fleet.run_operator_command('drain', *flags)))
        drained_at = now()
        await asyncio.sleep(self.phase_seconds)
        print(await self._status())
        print(f'Restoring zone {zone}')
        restored_at = now()
        print(
            _indented(await self.fleet.run_operator_command('restore', *flags))
        )
        await asyncio.sleep(self.phase_seconds)
        return Phases(zone, drained_at, restored_at)

    async def _status(self) -> str:
        urls = ','.join(map(self.fleet.admin_url, self.fleet.routers))
        status = await self.fleet.run_operator_command(
            'status', f'--routers={urls}'
        )
        return _indented(status)

    async def _stop_routers(self, group: asyncio.TaskGroup) -> dict[str, int]:
        """Stop all routers while each streams long answers.

        Return their exit statuses by name.
        """
        print('Stopping the routers while they stream answers')
        sent = asyncio.Event()
        group.create_task(self.traffic.send_long_streams(sent))
        await sent.wait()
        routers = self.fleet.routers
        for program in routers.values():
            program.terminate()
        return {
            name: await asyncio.to_thread(router.wait)
            for name, router in routers.items()
        }

    def _print_results(
        self,
        phases: Phases,
        results: tuple[GuaranteeResult, ...],
    ) -> None:
        outcomes = self.traffic.outcomes
        summary.print_outcomes(outcomes)
        summary.print_placement(self.fleet.dispatches(), phases)
        shown = _shown_request(outcomes)
        if shown is not None:
            lines = self._decisions(shown)
            summary.print_decisions(shown.request_id, lines)
        summary.print_guarantees(results)

    def _decisions(self, outcome: Outcome) -> list[dict[str, Any]]:
        router = self.fleet.routers[outcome.router]
        return list(router.lines_with('request_id', outcome.request_id))


def new_traffic(fleet: Fleet, session: aiohttp.ClientSession) -> Traffic:
    """Return the traffic of all customers of a fleet; it is not started."""
    deployment = fleet.deployment
    entries = [Entry(name, url) for name, url in fleet.urls().items()]
    callers = [
        (
            Caller(
                session,
                customer,
                deployment.key_of(customer),
                deployment.model,
                deployment.path_prefix,
                deployment.client_delay.total_seconds(),
            ),
            concurrency,
        )
        for customer, concurrency in deployment.customers.items()
    ]
    return Traffic(callers, entries)


def _shown_request(outcomes: list[Outcome]) -> Outcome | None:
    """Return the last streamed request with a whole answer, if any."""
    for outcome in reversed(outcomes):
        is_stream = outcome.kind is WorkKind.stream
        if is_stream and outcome.result is Result.whole:
            return outcome
    return None


def _print_started(fleet: Fleet) -> None:
    platform = fleet.platform
    print(f'  log service {platform.log.url}')
    print(f'  host list   {platform.host_list.url}')
    for name, program in platform.upstreams.items():
        print(f'  upstream    {name} {program.address}')
    for name, url in fleet.urls().items():
        print(f'  router      {name} {url}, admin {fleet.admin_url(name)}')


def _indented(text: str) -> str:
    return '\n'.join(f'  {line}' for line in text.splitlines())
