"""One soak run: inject faults, check the recovery, check the guarantees."""

import asyncio
import pathlib

import aiohttp

from tests.soak.callers import REQUEST_KINDS, Callers
from tests.soak.faults import FaultInjector
from tests.soak.fleet import CUSTOMERS_BY_KEY, SoakFleet
from tests.soak.guarantees import find_violations

# After the faults, each router must serve each kind of request within this.
RECOVERY_TIMEOUT_SECONDS = 10.0


async def soak(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    """Run a seed and return a line for each violated guarantee.

    Faults are injected for so many seconds. ``folder`` gets the settings and
    logs of the routers and ``faults.txt``, the list of the injected faults.
    """
    fleet = SoakFleet(folder)
    injector = FaultInjector(fleet, seed)
    try:
        await fleet.start()
        callers = Callers(fleet.routers, seed)
        calling = asyncio.create_task(callers.run())
        await injector.run(seconds)
        violations = await _check_recovery(fleet, callers)
        callers.is_stopping = True
        await calling
        # A refused request that runs late is a violation, too.
        await asyncio.sleep(0.5)
    finally:
        await fleet.close()
    violations.extend(
        find_violations(
            callers.requests, fleet.runs, injector.revocations, CUSTOMERS_BY_KEY
        )
    )
    violations.extend(
        f'stop: {node} was still running at the end of its grace period'
        for node in injector.overdue_nodes
    )
    violations.extend(
        f'ended: {router.node} exited unexpectedly'
        for router in fleet.routers
        if router.unexpected_exits
    )
    resumed = [request for request in callers.requests if request.resumes]
    went_on = sum(request.event_count > 0 for request in resumed)
    served = sum(request.status == 200 for request in callers.requests)
    injected = ' '.join(injector.injected)
    (folder / 'faults.txt').write_text(
        f'seed {seed}, {seconds} s: {injected}\n'
        f'{served} of {len(callers.requests)} requests served, '
        f'{went_on} of {len(resumed)} resumed streams went on\n'
    )
    return violations


async def _check_recovery(fleet: SoakFleet, callers: Callers) -> list[str]:
    """Return a line for each thing that does not work after the faults."""
    violations = []
    try:
        await fleet.wait_until_ready()
    except TimeoutError:
        violations.append('recover: not all routers became ready')
    async with aiohttp.ClientSession() as session:
        for router in fleet.routers:
            for kind in REQUEST_KINDS:
                if not await _is_served(callers, session, router, kind):
                    violations.append(
                        f'recover: no {kind} request was served at {router.node}'
                    )
    return violations


async def _is_served(callers, session, router, kind) -> bool:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + RECOVERY_TIMEOUT_SECONDS
    while loop.time() < deadline:
        request = await callers.send(session, router, kind, 'key-of-ann')
        if request.status == 200 and request.is_complete:
            return True
        await asyncio.sleep(0.1)
    return False
