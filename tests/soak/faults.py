"""Injects random faults, drawn from a seed; several may overlap."""

import asyncio
import random
import signal
import subprocess
import time
from collections.abc import Awaitable, Callable

from tests.soak.fleet import GRACE_SECONDS, REVOKE_SECONDS, Router, SoakFleet
from tests.soak.guarantees import Revocation

# Added to the revocation time: a request may have passed the key check just
# before it.
KEY_CHECK_MARGIN_SECONDS = 0.3
STORE_CONNECTION_FAULTS = ('silent', 'reset', 'delay', 'one_way')
ENGINE_CONNECTION_FAULTS = ('silent', 'reset', 'delay', 'one_way')
ENGINE_FAULTS = ('refuse', 'slow', 'cut', 'extra')

Fault = Callable[[], Awaitable[None]]


class FaultInjector:
    """Injects faults into a fleet; the same seed draws the same faults.

    ``injected`` lists the faults by the names of their methods, which are
    written to ``faults.txt``. ``overdue_nodes`` lists the routers that were
    still running after their grace period.
    """

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.revocations: list[Revocation] = []
        self.injected: list[str] = []
        self.overdue_nodes: list[str] = []

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds; return when all of them are over."""
        kinds: list[Fault] = [
            self.freeze_router,
            self.kill_router,
            self.roll_router,
            self.reload_router,
            self.harm_store,
            self.restore_store,
            self.harm_engine,
            self.change_mood,
            self.leave_engine,
            self.release_engine,
            self.revoke_key,
        ]
        deadline = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < deadline:
            fault = self.rng.choice(kinds)
            self.injected.append(fault.__name__)
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        await asyncio.gather(*tasks)

    async def freeze_router(self) -> None:
        """Pause a router with SIGSTOP for a while."""
        router = self._choose_router()
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 4))
        router.signal(signal.SIGCONT)

    async def kill_router(self) -> None:
        """Kill a router and start it again."""
        router = self._choose_router()
        former_process = router.process
        router.signal(signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.1, 1))
        await _restart(router, former_process)

    async def roll_router(self) -> None:
        """Shut a router down with SIGTERM and start it again."""
        router = self._choose_router()
        former_process = router.process
        router.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_SECONDS)
        is_same_process = (
            router.is_running() and router.process is former_process
        )
        if is_same_process and not router.was_frozen:
            self.overdue_nodes.append(router.node)
        await _restart(router, former_process)

    async def reload_router(self) -> None:
        """Make a router reload its settings."""
        self._choose_router().signal(signal.SIGHUP)

    async def harm_store(self) -> None:
        """Block, delay or reset the connections to the store."""
        self.fleet.store_proxy.set_fault(
            self.rng.choice(STORE_CONNECTION_FAULTS)
        )
        await asyncio.sleep(self.rng.uniform(0.3, 4))
        self.fleet.store_proxy.set_fault('')

    async def restore_store(self) -> None:
        """Restore the store from a copy that is some seconds old."""
        store = self.fleet.store
        copy = store.copy()
        await asyncio.sleep(self.rng.uniform(0.3, 3))
        store.mode = 'silent'
        await asyncio.sleep(self.rng.uniform(0, 1))
        await store.restore(copy)
        store.mode = ''
        await self.fleet.write_again()

    async def harm_engine(self) -> None:
        """Block, delay or reset the connections to an engine."""
        proxy = self.rng.choice(self.fleet.engine_proxies)
        proxy.set_fault(self.rng.choice(ENGINE_CONNECTION_FAULTS))
        await asyncio.sleep(self.rng.uniform(0.3, 2))
        proxy.set_fault('')

    async def change_mood(self) -> None:
        """Make an engine refuse, be slow, cut responses or append to them."""
        name = self.rng.choice(self.fleet.engines).engine_id
        self.fleet.engine_faults[name] = self.rng.choice(ENGINE_FAULTS)
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        self.fleet.engine_faults[name] = ''

    async def leave_engine(self) -> None:
        """Set an engine to draining and back to ready."""
        engine = self.rng.choice(self.fleet.engines)
        await self.fleet.register(engine, state='draining')
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        await self.fleet.register(engine)

    async def release_engine(self) -> None:
        """Replace an engine by one of a later version, which starts at once."""
        engine = self.rng.choice(self.fleet.engines)
        await self.fleet.register(engine, state='draining')
        await asyncio.sleep(self.rng.uniform(0.5, 1.5))
        await self.fleet.release(engine)

    async def revoke_key(self) -> None:
        """Revoke a key for the rest of the run; do nothing the second time."""
        if self.revocations:
            return
        self.fleet.valid_keys.pop('key-of-bob')
        await self.fleet.publish_manifest()
        effective_at = (
            time.monotonic() + REVOKE_SECONDS + KEY_CHECK_MARGIN_SECONDS
        )
        self.revocations.append(Revocation('key-of-bob', effective_at))

    def _choose_router(self) -> Router:
        return self.rng.choice(self.fleet.routers)


async def _restart(
    router: Router,
    former_process: 'subprocess.Popen[bytes] | None',
) -> None:
    """Start a router again once its former process has ended.

    Another fault may have done so already. SIGCONT lets a paused process act
    on the signal that ends it.
    """
    while router.is_running() and router.process is former_process:
        router.signal(signal.SIGCONT)
        await asyncio.sleep(0.05)
    if router.process is None:
        router.start()
