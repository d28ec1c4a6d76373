"""A fleet of routers that roll out a version, on virtual time.

Each router has its own gate and controller. Messages and calls to the store
take time. The engines are modelled by a time to begin, events and failures.
"""

import asyncio
import dataclasses
import datetime as dt
import random

from hickorymux._internal.coordination.engines.demands import PlainDemand
from hickorymux._internal.coordination.membership import (
    DIGEST_TIMEOUT_SECONDS,
)
from hickorymux._internal.coordination.ports import (
    KeyedPage,
    KeyedRecord,
    Member,
)
from hickorymux._internal.coordination.rollouts.controller import (
    RolloutController,
)
from hickorymux._internal.coordination.rollouts.gate import RolloutGate
from hickorymux._internal.coordination.rollouts.orders import RolloutBounds
from hickorymux._internal.coordination.rollouts.status_log import StatusLog
from hickorymux._internal.exceptions import LogUnavailable
from hickorymux._internal.state.upstream_registry import (
    RegisteredUpstream,
    UpstreamRegistry,
)
from hickorymux.platform import rollouts
from tests.lib.demands import PLAIN
from tests.lib.virtual_time import VirtualTimeLoop

MESSAGE_SECONDS = 0.03
STORE_SECONDS = 0.01
BEGIN_SECONDS = 0.15
EVENTS = 40
GAP_SECONDS = 0.02
BOUNDS = RolloutBounds(0.1, 50, dt.timedelta(seconds=5))


@dataclasses.dataclass
class Defect:
    """What is wrong with a version.

    A share of its answers fail or are ``slow`` times slower, from a time after
    the order on, on one route only, or where an engine runs more requests.
    """

    share: float = 0
    slow: float = 1
    since: float = 0
    route: str = ''
    running: int = 0


class MemoryLog:
    """A ``ConditionalLog``; ``is_down`` makes all calls fail."""

    def __init__(self, loop) -> None:
        self.loop = loop
        self.records: dict[str, list[KeyedRecord]] = {}
        self.is_down = False

    async def read_key(self, topic, key):
        await self._delay()
        rows = self.records.get(topic, [])
        found = [row for row in rows if row.key == key][-1:]
        return KeyedPage(tuple(found), len(rows))

    async def append_at(self, topic, key, value, offset):
        await self._delay()
        rows = self.records.setdefault(topic, [])
        if len(rows) != offset:
            return False
        rows.append(KeyedRecord(key, value, offset))
        return True

    async def _delay(self):
        await self.loop.sleep(STORE_SECONDS)
        if self.is_down:
            raise LogUnavailable('down', where='store')

    def states(self, target='v2'):
        """Return the states written for a target, oldest first."""
        statuses = [
            rollouts.decode_status(row.value)
            for row in self.records.get('keyed.status', [])
        ]
        return [one.state for one in statuses if one.target == target]


class RouterLog:
    """The log as one router reaches it."""

    def __init__(self, log) -> None:
        self.log = log
        self.is_cut_off = False

    async def read_key(self, topic, key):
        self.check()
        return await self.log.read_key(topic, key)

    async def append_at(self, topic, key, value, offset):
        self.check()
        return await self.log.append_at(topic, key, value, offset)

    def check(self):
        if self.is_cut_off:
            raise LogUnavailable('cut off', where='store')


class Members:
    """The live routers of the fleet, the same for all.

    One that was killed stays live for as long as those of other zones do.
    """

    def __init__(self, fleet, me) -> None:
        self.fleet = fleet
        self.me = me

    @property
    def myself(self):
        return self.me

    def live(self):
        now = self.fleet.loop.time()
        live = {
            router_id: member
            for router_id, (member, at) in self.fleet.killed.items()
            if now - at < DIGEST_TIMEOUT_SECONDS
        }
        live |= {
            router_id: router.me
            for router_id, router in self.fleet.routers.items()
            if router.sees(self.me.router_id)
        }
        return [live[router_id] for router_id in sorted(live)]

    def live_in_zone(self, _zone):
        return self.live()


class Router:
    """One router: gate, controller, and the task that runs it."""

    def __init__(self, fleet, router_id, incarnation) -> None:
        self.fleet = fleet
        self.me = Member(router_id, incarnation, 'z1', '127.0.0.1', 1)
        self.partition = 0
        self.log = RouterLog(fleet.log)
        self.gate = RolloutGate(fleet.registry, fleet.loop, fleet.rng, BOUNDS)
        self.controller = RolloutController(
            self.gate,
            StatusLog(self.log, rollouts),
            Members(fleet, self.me),
            self.send,
            lambda _pool: sum(fleet.running.values()),
            lambda: None,
            fleet.loop,
            fleet.rng,
        )
        self.task = None

    def sees(self, other_id):
        other = self.fleet.routers.get(other_id)
        return other is not None and other.partition == self.partition

    def send(self, members, message):
        for member in members:
            if self.sees(member.router_id) and self.fleet.rng.random() > 0.02:
                self.fleet.loop.call_later(
                    self.fleet.rng.uniform(0, 2 * MESSAGE_SECONDS),
                    self.deliver,
                    member.router_id,
                    message,
                )

    def deliver(self, router_id, message):
        router = self.fleet.routers.get(router_id)
        if router is not None:
            router.controller.on_message(self.me.router_id, message)

    async def run(self):
        await asyncio.sleep(self.fleet.rng.random() / 4)
        await self.controller.run()


class RolloutFleet:
    """Routers and engines of two versions.

    ``sent`` has the time and the version of each request, ``bad`` the times of
    the target's bad answers, and ``broken`` the streams that still ran at the
    old version at the end.
    """

    def __init__(
        self,
        routers=6,
        rate=100.0,
        old=10,
        new=10,
        seed=1,
        duration=12.0,
        defect=None,
        noise=0.0,
        routes=('a', 'b', 'c'),
        cold=0.0,
        cold_rate=5,
    ) -> None:
        self.loop = VirtualTimeLoop()
        self.rng = random.Random(seed)
        self.log = MemoryLog(self.loop)
        self.rate = rate
        self.duration = duration
        self.defect = defect or Defect()
        self.noise = noise
        self.routes = routes
        self.cold_rate = cold_rate
        self.cold_sent: dict[tuple[str, int], int] = {}
        self.registry = UpstreamRegistry()
        self.running: dict[str, int] = {}
        for version, count in (('v1', old), ('v2', new)):
            for number in range(count):
                upstream_id = f'{version}-{number}'
                self.running[upstream_id] = 0
                self.registry.put(
                    RegisteredUpstream(
                        upstream_id,
                        'plain',
                        '127.0.0.1:1',
                        'z1',
                        64,
                        True,
                        cold_until=cold if version == 'v2' else 0,
                        version=version,
                    )
                )
        self.sent: list[tuple[float, str]] = []
        self.bad: list[float] = []
        self.routers: dict[str, Router] = {}
        self.killed: dict[str, tuple[Member, float]] = {}
        self.incarnation = 0
        self.ids = [f'r{number:03}' for number in range(routers)]

    def run(self, *events, seconds=None):
        """Run the roll-out; ``events`` are coroutine functions run beside."""
        self.loop.run_for(self._run(events, seconds or self.duration + 1))

    def order(self, target='v2', duration=None):
        """Write an order; routers read it within half a second."""
        self.value = (
            f'{{"service":"plain","target":"{target}",'
            f'"durationS":{duration or self.duration}}}'
        ).encode()
        for router in self.routers.values():
            self.loop.call_later(self.rng.random() / 2, self.tell, router)

    def tell(self, router):
        router.controller.apply_record(
            KeyedRecord('rollout/plain', self.value, 1)
        )

    def start_router(self, router_id, *, is_late=False):
        self.incarnation += 1
        router = Router(self, router_id, self.incarnation)
        self.routers[router_id] = router
        if is_late:
            self.tell(router)
        router.controller.apply_listing(frozenset({'rollout/plain'}))
        router.task = asyncio.create_task(router.run())

    def kill(self, router_id):
        router = self.routers.pop(router_id)
        router.task.cancel()
        self.killed[router_id] = (router.me, self.loop.time())

    @property
    def exposed(self):
        """Return the requests that the target got."""
        return sum(version == 'v2' for _, version in self.sent)

    @property
    def allowed(self):
        """Return the bound of the requests that a bad target may get."""
        in_time = sum(at <= self.duration for at, _ in self.sent)
        return in_time * BOUNDS.exposure_share + BOUNDS.exposure_slack

    @property
    def late_sends(self):
        """Return the target's requests 5 s after its 50th bad answer."""
        if len(self.bad) < 50:
            return 0
        limit = sorted(self.bad)[49] + 5
        return sum(at > limit and one == 'v2' for at, one in self.sent)

    async def _run(self, events, seconds):
        for router_id in self.ids:
            self.start_router(router_id)
        self.order()
        tasks = [asyncio.create_task(event(self)) for event in events]
        running = set()
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            task = asyncio.create_task(self._request())
            running.add(task)
            task.add_done_callback(running.discard)
        for task in tasks:
            await task

    async def _request(self):
        if not self.routers:
            return
        router = self.routers[self.rng.choice(list(self.routers))]
        now = self.loop.time()
        demand = PlainDemand('r', 'ann', PLAIN, now, now + 1, now + 10)
        upstream = self._choose(router.gate, demand)
        if upstream is None:
            self.sent.append((now, ''))
            return
        router.gate.on_reserved(upstream, demand)
        self.sent.append((now, upstream.version))
        route = self.rng.choice(self.routes)
        watch = router.gate.watch(upstream, demand, route, 0)
        self.running[upstream.upstream_id] += 1
        is_failed = await self._answer(upstream, route, watch)
        self.running[upstream.upstream_id] -= 1
        if watch is not None:
            router.gate.on_result(upstream, watch, is_failed=is_failed)
            router.gate.forget(upstream, watch)

    def _choose(self, gate, demand):
        now = self.loop.time()
        for side in gate.sides(demand):
            usable = [
                one
                for one in self.registry.available_in_pool('plain')
                if gate.allows(one, side)
                and self.running[one.upstream_id] < one.slots
                and self._has_cold_room(one, now)
            ]
            if usable:
                one = self.rng.choice(usable)
                key = (one.upstream_id, int(now))
                self.cold_sent[key] = self.cold_sent.get(key, 0) + 1
                return one
        return None

    def _has_cold_room(self, upstream, now):
        if not self.registry.is_cold(upstream, now):
            return True
        key = (upstream.upstream_id, int(now))
        return self.cold_sent.get(key, 0) < self.cold_rate

    async def _answer(self, upstream, route, watch):
        defect = self.defect
        is_bad = (
            upstream.version == 'v2'
            and self.loop.time() >= defect.since
            and defect.route in {'', route}
            and self.running[upstream.upstream_id] > defect.running
            and self.rng.random() < defect.share
        )
        slow = defect.slow if is_bad else 1
        if is_bad:
            self.bad.append(self.loop.time())
        await asyncio.sleep(
            BEGIN_SECONDS * slow * self.rng.lognormvariate(0, 0.4)
        )
        if self.rng.random() < self.noise or (is_bad and slow == 1):
            return True
        for _ in range(EVENTS // 8):
            if watch is not None:
                watch.on_events(8)
            await asyncio.sleep(
                8 * GAP_SECONDS * slow * self.rng.lognormvariate(0, 0.2)
            )
        return False
