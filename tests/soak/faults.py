"""What goes wrong, drawn from a seed: in series and overlapping."""

import asyncio
import random
import signal
import subprocess
import time
from collections.abc import Awaitable, Callable

from tests.soak.judge import Revocation
from tests.soak.world import GRACE_SECONDS, REVOKE_SECONDS, Router, World

# The request may have passed the check just before the bound.
ON_THE_WAY_SECONDS = 0.3
STORE_HARMS = ('silent', 'reset', 'delay', 'one_way')
ENGINE_HARMS = ('silent', 'reset', 'delay', 'one_way')
ENGINE_MOODS = ('refuse', 'slow', 'cut', 'extra')

Fault = Callable[[], Awaitable[None]]


class Faults:
    """Harms a world; the same seed draws the same faults."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.chance = random.Random(seed)
        self.revoked: list[Revocation] = []
        self.told: list[str] = []
        self.late: list[str] = []

    async def run(self, seconds: float) -> None:
        """Start a fault now and then; return when all are over."""
        kinds: list[Fault] = [
            self.freeze_router,
            self.kill_router,
            self.roll_router,
            self.reload_router,
            self.harm_store,
            self.harm_engine,
            self.change_mood,
            self.leave_engine,
            self.revoke_key,
        ]
        end_at = time.monotonic() + seconds
        running = []
        while time.monotonic() < end_at:
            fault = self.chance.choice(kinds)
            self.told.append(fault.__name__)
            running.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.chance.uniform(0.1, 1.2))
        await asyncio.gather(*running)

    async def freeze_router(self) -> None:
        """Stop a process for a while."""
        router = self._router()
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(self.chance.uniform(0.2, 4))
        router.signal(signal.SIGCONT)

    async def kill_router(self) -> None:
        """Kill a process and start it again."""
        router = self._router()
        former = router.process
        router.signal(signal.SIGKILL)
        await asyncio.sleep(self.chance.uniform(0.1, 1))
        await _restart(router, former)

    async def roll_router(self) -> None:
        """Let a process end by itself and start it again."""
        router = self._router()
        former = router.process
        router.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_SECONDS)
        is_former = router.is_running() and router.process is former
        if is_former and not router.was_frozen:
            self.late.append(router.node)
        await _restart(router, former)

    async def reload_router(self) -> None:
        """Ask a process to read its settings again."""
        self._router().signal(signal.SIGHUP)

    async def harm_store(self) -> None:
        """Cut, slow or reset the way to the store."""
        self.world.store_proxy.use(self.chance.choice(STORE_HARMS))
        await asyncio.sleep(self.chance.uniform(0.3, 4))
        self.world.store_proxy.use('')

    async def harm_engine(self) -> None:
        """Cut, slow or reset the way to an engine."""
        proxy = self.chance.choice(self.world.engine_proxies)
        proxy.use(self.chance.choice(ENGINE_HARMS))
        await asyncio.sleep(self.chance.uniform(0.3, 2))
        proxy.use('')

    async def change_mood(self) -> None:
        """Let an engine refuse, be slow, cut answers or add to them."""
        name = self.chance.choice(self.world.engines).engine_id
        self.world.moods[name] = self.chance.choice(ENGINE_MOODS)
        await asyncio.sleep(self.chance.uniform(0.5, 2))
        self.world.moods[name] = ''

    async def leave_engine(self) -> None:
        """Let an engine drain and come back."""
        engine = self.chance.choice(self.world.engines)
        await self.world.register(engine, state='draining')
        await asyncio.sleep(self.chance.uniform(0.5, 2))
        await self.world.register(engine)

    async def revoke_key(self) -> None:
        """Withdraw a key for good, once a run."""
        if self.revoked:
            return
        self.world.keys.pop('key-of-bob')
        await self.world.publish()
        bound = time.monotonic() + REVOKE_SECONDS + ON_THE_WAY_SECONDS
        self.revoked.append(Revocation('key-of-bob', bound))

    def _router(self) -> Router:
        return self.chance.choice(self.world.routers)


async def _restart(
    router: Router,
    former: 'subprocess.Popen[bytes] | None',
) -> None:
    """Start a process again once the former one is gone.

    Another fault may have done so already.
    """
    while router.is_running() and router.process is former:
        router.signal(signal.SIGCONT)
        await asyncio.sleep(0.05)
    if router.process is None:
        router.start()
