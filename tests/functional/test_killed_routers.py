"""Streams of killed routers go on elsewhere, at the version that began them.

The routers are processes, which are killed while they relay many streams of
upstreams of several versions. Some of the upstreams are released meanwhile.
"""

import asyncio
import random

import aiohttp
import pytest

from tests.soak.callers import Callers
from tests.soak.fleet import SoakFleet
from tests.soak.guarantees import find_violations

pytestmark = pytest.mark.processes

ROUTERS = 5
CALLERS = 30
KILLS = 8
KEY = 'key-of-ann'
# The users' bound: resumed streams go on at least half as often as new ones
# begin, counted from this many resumed streams on.
MIN_RESUMED = 12
MIN_SHARE_OF_NEW = 0.5


async def send_streams(callers: Callers, is_done: asyncio.Event) -> None:
    """Send streams one after the other, and resume those that are cut."""
    async with aiohttp.ClientSession() as session:
        while not is_done.is_set():
            router = callers.rng.choice(callers.routers)
            begun = await callers.send(session, router, 'stream', KEY)
            await callers.resume(session, begun)


async def kill(fleet: SoakFleet, callers: Callers, rng: random.Random) -> None:
    """Kill a router, which gets no callers until it is ready again."""
    router = rng.choice(callers.routers)
    callers.routers.remove(router)
    router.stop()
    await asyncio.sleep(0.5)
    router.start()
    await fleet.wait_for_router(router)
    callers.routers.append(router)


def share(requests) -> float:
    """Return the share of the requests of which an event arrived."""
    rows = list(requests)
    return sum(request.event_count > 0 for request in rows) / len(rows)


async def test_streams_of_killed_routers_are_lost_or_change_version(tmp_path):
    fleet = SoakFleet(tmp_path, ROUTERS)
    rng = random.Random(1)
    is_done = asyncio.Event()
    try:
        await fleet.start()
        callers = Callers(list(fleet.routers), 1)
        sending = [
            asyncio.create_task(send_streams(callers, is_done))
            for _ in range(CALLERS)
        ]
        for number in range(KILLS):
            await asyncio.sleep(0.5)
            await kill(fleet, callers, rng)
            if number % 3 == 1:
                await fleet.release(rng.choice(fleet.engines))
        is_done.set()
        await asyncio.gather(*sending)
    finally:
        await fleet.close()
    owners = {KEY: 'ann'}
    assert not list(find_violations(callers.requests, fleet.runs, [], owners))
    resumed = [request for request in callers.requests if request.resumes]
    begun = [request for request in callers.requests if not request.resumes]
    assert len(resumed) >= MIN_RESUMED
    assert share(resumed) >= MIN_SHARE_OF_NEW * share(begun), (
        len(resumed),
        share(resumed),
        share(begun),
    )
