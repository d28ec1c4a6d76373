"""One run: faults for a while, then calm, then the judgement."""

import asyncio
import pathlib

import aiohttp

from tests.soak.callers import KINDS, Callers
from tests.soak.faults import Faults
from tests.soak.judge import broken_promises
from tests.soak.world import CUSTOMER_OF_KEY, World

# Time after the faults in which everything must be served again.
RECOVERY_SECONDS = 10.0


async def soak(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    """Return the promises that a run with this seed breaks."""
    world = World(folder)
    faults = Faults(world, seed)
    try:
        await world.start()
        callers = Callers(world.routers, seed)
        calling = asyncio.create_task(callers.run())
        await faults.run(seconds)
        broken = await _recover(world, callers)
        callers.is_over = True
        await calling
        # A request that was refused must not run later either.
        await asyncio.sleep(0.5)
    finally:
        await world.close()
    broken.extend(
        broken_promises(
            callers.sent, world.runs, faults.revoked, CUSTOMER_OF_KEY
        )
    )
    broken.extend(
        f'stop: {node} was still there at the end of its shutdown time'
        for node in faults.late
    )
    broken.extend(
        f'ended: {router.node} ended by itself'
        for router in world.routers
        if router.own_exits
    )
    served = sum(request.status == 200 for request in callers.sent)
    told = ' '.join(faults.told)
    (folder / 'faults.txt').write_text(
        f'seed {seed}, {seconds} s: {told}\n'
        f'{served} of {len(callers.sent)} requests served\n'
    )
    return broken


async def _recover(world: World, callers: Callers) -> list[str]:
    """Return what is not served once all faults are over."""
    broken = []
    try:
        await world.wait_until_ready()
    except TimeoutError:
        broken.append('recover: not all routers are ready')
    async with aiohttp.ClientSession() as session:
        for router in world.routers:
            for kind in KINDS:
                if not await _is_served(callers, session, router, kind):
                    broken.append(f'recover: no {kind} at {router.node}')
    return broken


async def _is_served(callers, session, router, kind) -> bool:
    loop = asyncio.get_running_loop()
    end_at = loop.time() + RECOVERY_SECONDS
    while loop.time() < end_at:
        request = await callers.call(session, router, kind, 'key-of-ann')
        if request.status == 200 and request.is_complete:
            return True
        await asyncio.sleep(0.1)
    return False
