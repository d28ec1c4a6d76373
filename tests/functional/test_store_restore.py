"""The store is restored from an older copy while keys are revoked.

Guards against a router that goes on from an offset of the previous era. The log
grows to that offset again, so the store doesn't refuse the read, and the router
never sees the records in between: revoked keys are accepted for good.
"""

import asyncio
import contextlib
import signal

import aiohttp
import pytest
from yarl import URL

from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_fleet import HOST, manifest, route
from tests.lib.platform_store import PlatformStore
from tests.soak.fleet import REVOKE_SECONDS, Router

READY_SECONDS = 20
KEPT, FIRST, SECOND = 'key-kept', 'key-first', 'key-second'
EVACUATION = 'evacuate/z9'
STATUS_OK = 200
STATUS_UNAUTHORIZED = 401
# A router refuses requests while its event loop lags on a busy host.
REFUSED_FOR_LOAD = frozenset((0, 503))


def table(version, *keys):
    return {
        **manifest(version, route('/read/', 'idempotent')),
        'tenants': [{'name': 'ann', 'apiKeys': list(keys)}],
    }


class RestoredFleet:
    """Router processes of one zone, the store and an engine."""

    def __init__(self, folder, count) -> None:
        self.store = PlatformStore()
        self.engine = PlatformEngine('e1')
        self.folder = folder
        self.count = count
        self.routers: list[Router] = []
        self.session = aiohttp.ClientSession()

    async def start(self) -> None:
        await self.store.start()
        await self.store.put(
            'keyed.op', 'config', table(1, KEPT, FIRST, SECOND)
        )
        await self.engine.start()
        await self.register()
        for number in range(self.count):
            router = Router(number, self.folder, self.store.address)
            self.routers.append(router)
            router.start()
        async with asyncio.timeout(READY_SECONDS):
            for router in self.routers:
                while await self.status(router, KEPT) != STATUS_OK:
                    await asyncio.sleep(0.1)
        # The routers get to know each other.
        await asyncio.sleep(2)

    async def register(self) -> None:
        await self.store.put('keyed.servers', 'e1', self.engine.entry())

    async def write_twice(self) -> None:
        """Write two records that nobody needs any more."""
        await self.store.put('keyed.op', EVACUATION, {})
        await asyncio.sleep(0.2)
        await self.store.put('keyed.op', EVACUATION, None)
        await asyncio.sleep(0.5)

    async def revoke_both(self) -> None:
        """Take two keys away, so the log is as long as before the restore."""
        await self.store.put('keyed.op', 'config', table(2, KEPT, SECOND))
        await self.store.put('keyed.op', 'config', table(3, KEPT))

    async def status(self, router, key) -> int:
        """Return the status of a request, 0 without an answer."""
        headers = {
            'Host': HOST,
            'X-Key': key,
            'X-Request-Id': 'r1',
            'X-Request-Deadline': '2000',
        }
        url = URL(f'http://{router.caller_address}/read/1')
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.get(url, headers=headers) as answer:
                return answer.status
        return 0

    async def expect_revoked(self) -> None:
        """Check that only the valid key is accepted, at all routers."""
        for router in self.routers:
            for key, expected in (
                (FIRST, STATUS_UNAUTHORIZED),
                (SECOND, STATUS_UNAUTHORIZED),
                (KEPT, STATUS_OK),
            ):
                assert await self.settled_status(router, key) == expected

    async def settled_status(self, router, key) -> int:
        """Return the first status that isn't a refusal for load."""
        async with asyncio.timeout(READY_SECONDS):
            while True:
                status = await self.status(router, key)
                if status not in REFUSED_FOR_LOAD:
                    return status
                await asyncio.sleep(0.2)

    async def close(self) -> None:
        await self.session.close()
        for router in self.routers:
            router.stop()
        await self.engine.close()
        await self.store.close()


@contextlib.asynccontextmanager
async def restored_fleet(folder, count):
    fleet = RestoredFleet(folder, count)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()


@pytest.mark.processes
@pytest.mark.parametrize('count', [1, 2])
@pytest.mark.parametrize('restores', [1, 2])
async def test_revoked_keys_work_after_a_restore(tmp_path, count, restores):
    async with restored_fleet(tmp_path, count) as fleet:
        copy = fleet.store.copy()
        await fleet.write_twice()
        for _ in range(restores):
            await fleet.store.restore(copy)
            await fleet.register()
        await fleet.revoke_both()
        await asyncio.sleep(REVOKE_SECONDS + 0.5)
        await fleet.expect_revoked()


@pytest.mark.processes
async def test_router_misses_the_restore_while_it_is_paused(tmp_path):
    """It missed an entire era, and the log has its old length again."""
    async with restored_fleet(tmp_path, 2) as fleet:
        copy = fleet.store.copy()
        await fleet.write_twice()
        fleet.routers[1].signal(signal.SIGSTOP)
        for _ in range(2):
            await fleet.store.restore(copy)
            await asyncio.sleep(0.5)
        await fleet.register()
        await fleet.revoke_both()
        fleet.routers[1].signal(signal.SIGCONT)
        await asyncio.sleep(REVOKE_SECONDS + 0.5)
        await fleet.expect_revoked()


@pytest.mark.processes
async def test_router_is_missing_on_the_restored_list(tmp_path):
    """A router that started after the copy was taken is found by others."""
    async with restored_fleet(tmp_path, 1) as fleet:
        copy = fleet.store.copy()
        copy.topics.pop('keyed.status')
        copy.end_offsets.pop('keyed.status')
        await fleet.store.restore(copy)
        async with asyncio.timeout(REVOKE_SECONDS + 2):
            while 'front-0' not in {
                key for _, key, _ in fleet.store.topics.get('keyed.status', ())
            }:
                await asyncio.sleep(0.1)
