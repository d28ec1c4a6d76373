"""A fleet of routers for tests of slot leases and cold starts.

The slot coordinators and holders are the production classes. The network, the
clock, the log and the upstreams are in memory.
"""

import dataclasses
import datetime as dt
import random

from lib.fake_log import FakeLog

from hickorymux._internal.coordination.cold_starts import ColdStarts
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.coordination.slot_holder import Slot, SlotHolder
from hickorymux._internal.coordination.slot_home import SlotCoordinator
from hickorymux._internal.coordination.slot_messages import HeadCustomer
from hickorymux._internal.state.tables import Pool, PoolKind, Tables, Upstream
from hickorymux._internal.state.upstream_state import (
    LoadReport,
    UpstreamStates,
)

POOL = 'chat'
STEP_SECONDS = 0.001


class FakeClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> dt.datetime:
        return dt.datetime.fromtimestamp(self.now, dt.UTC)

    async def sleep(self, seconds: float) -> None:
        self.now += seconds


@dataclasses.dataclass
class Engine:
    """An upstream that counts its requests.

    ``running`` is the present number of requests, ``started`` the total, and
    ``peak`` and ``peak_cold`` the most at once, the latter while cold.
    """

    upstream: Upstream
    instance: str = 'i1'
    state: str = 'warm'
    running: int = 0
    peak: int = 0
    peak_cold: int = 0
    started: int = 0
    starts: list[float] = dataclasses.field(default_factory=list)

    def start(self, now: float) -> None:
        self.running += 1
        self.started += 1
        self.starts.append(now)
        self.peak = max(self.peak, self.running)
        if self.state == 'cold':
            self.peak_cold = max(self.peak_cold, self.running)

    def crash(self, instance: str) -> None:
        """Drop all requests and restart cold as a new instance."""
        self.instance = instance
        self.state = 'cold'
        self.running = 0

    def report(self, now: float) -> LoadReport:
        return LoadReport(
            instance=self.instance,
            state=self.state,
            slots=self.upstream.slots,
            cold_slots=self.upstream.cold_slots,
            running=self.running,
            reported_at=now,
        )


@dataclasses.dataclass
class Members:
    """The live routers as one router sees them."""

    network: 'Network'
    myself: Member

    def live(self) -> list[Member]:
        return self.network.visible_to(self.myself.router_id)

    def live_in_zone(self, zone: str) -> list[Member]:
        return [one for one in self.live() if one.zone == zone]


@dataclasses.dataclass
class Sender:
    """Sends messages through the network for one router."""

    network: 'Network'
    router_id: str

    def send(self, router_id: str, message: object) -> bool:
        return self.network.send(self.router_id, router_id, message)


class Router:
    """A router with its slot coordinator, slot holder and running requests.

    ``waiting`` is the number of requests that wait for slots. Each entry of
    ``running`` has the end of a request, its slot and the instance it runs on.
    """

    def __init__(self, network: 'Network', member: Member) -> None:
        self.network = network
        self.member = member
        self.clock = network.clock
        self.upstream_states = UpstreamStates()
        self.tables = network.tables
        self.is_paused = False
        self.waiting = 0
        self.virtual_time = 0.0
        self.running: list[tuple[float, Slot, str]] = []
        self.work_seconds = 0.1
        self.next_work_seconds = lambda: self.work_seconds
        self.started = 0
        view = Members(network, member)
        sender = Sender(network, member.router_id)
        self.coordinator = SlotCoordinator(
            view, sender, self.clock, self.upstream_states, lambda: self.tables
        )
        self.cold_starts = ColdStarts(
            view,
            network.log,
            self.clock,
            network.has_ended,
            lambda upstream: self.holder.announce_idle_slots(),
        )
        self.holder = SlotHolder(
            view,
            sender,
            self.clock,
            self.upstream_states,
            lambda: self.tables,
            self.on_available,
            cold_starts=self.cold_starts,
            is_verified=self.is_verified,
        )

    def is_verified(self, upstream: Upstream, instance: str) -> bool:
        if not self.network.reaches(self.member, upstream):
            return False
        if not self.network.is_instance_verified:
            return True
        return self.network.engines[upstream.name].instance == instance

    def on_message(self, sender_id: str, message: object) -> None:
        self.coordinator.on_message(sender_id, message)
        self.holder.on_message(sender_id, message)

    def demand(self, waiting: int) -> None:
        self.waiting = waiting
        self.send_demand()
        self.on_available(POOL)

    def send_demand(self) -> None:
        head = HeadCustomer(
            self.member.router_id, self.virtual_time, self.waiting
        )
        self.holder.set_demand(POOL, [head], self.waiting)

    def on_available(self, pool: str) -> None:
        now = self.clock.monotonic()
        while self.waiting > 0:
            slot = self.holder.acquire(pool, now)
            if slot is None:
                break
            self.send(slot)

    def send(self, slot: Slot) -> bool:
        """Start a request on the slot; return false if it is not valid."""
        now = self.clock.monotonic()
        if not slot.is_valid(now):
            self.holder.release(slot)
            return False
        engine = self.network.engines[slot.upstream.name]
        self.waiting -= 1
        self.started += 1
        self.virtual_time += 1
        engine.start(now)
        self.holder.on_answer(slot.upstream, engine.instance, engine.state)
        until = now + self.next_work_seconds()
        self.running.append((until, slot, engine.instance))
        self.send_demand()
        return True

    def end_requests(self) -> None:
        now = self.clock.monotonic()
        ended = [one for one in self.running if self._has_ended(one, now)]
        self.running = [one for one in self.running if one not in ended]
        for _, slot, instance in ended:
            engine = self.network.engines[slot.upstream.name]
            if engine.instance == instance:
                engine.running -= 1
            else:
                self.holder.on_connection_failure(slot.upstream)
            self.holder.release(slot)

    def _has_ended(self, one: tuple[float, Slot, str], now: float) -> bool:
        until, slot, instance = one
        engine = self.network.engines[slot.upstream.name]
        return until <= now or engine.instance != instance


class Network:
    """Delivers messages between routers, and runs the upstreams.

    Messages take ``delay_seconds``. They are lost and duplicated with the
    probabilities ``loss`` and ``duplication``.
    """

    def __init__(self, upstreams: list[Upstream], seed: int = 1) -> None:
        self.clock = FakeClock()
        self.rng = random.Random(seed)
        self.log = FakeLog()
        self.ended_incarnations: set[tuple[str, int]] = set()
        self.is_instance_verified = True
        self.engines = {one.name: Engine(one) for one in upstreams}
        pool = Pool(POOL, PoolKind.model, tuple(upstreams))
        self.tables = Tables(version=1, pools={POOL: pool})
        self.routers: dict[str, Router] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.lossy_links: set[frozenset[str]] = set()
        self.delay_seconds = 0.001
        self.loss = 0.0
        self.duplication = 0.0
        self.queue: list[tuple[float, int, str, str, object]] = []
        self.sent = 0
        self.hidden_members: set[tuple[str, str]] = set()
        self.cut_zones: set[str] = set()

    def add(self, router_id: str, zone: str, incarnation: int = 1) -> Router:
        member = Member(router_id, incarnation, zone, '127.0.0.1', 1)
        router = Router(self, member)
        self.routers[router_id] = router
        return router

    def crash(self, router_id: str) -> None:
        """Stop a router and end its requests, as its connections close."""
        router = self.routers.pop(router_id)
        self.ended_incarnations.add((router_id, router.member.incarnation))
        for _, slot, instance in router.running:
            engine = self.engines[slot.upstream.name]
            if engine.instance == instance:
                engine.running -= 1

    def has_ended(self, router_id: str, incarnation: int) -> bool:
        return (router_id, incarnation) in self.ended_incarnations

    def visible_to(self, router_id: str) -> list[Member]:
        return [
            router.member
            for name, router in sorted(self.routers.items())
            if name == router_id
            or (
                (router_id, name) not in self.hidden_members
                and frozenset((router_id, name)) not in self.cut_links
            )
        ]

    def send(self, source: str, target: str, message: object) -> bool:
        self.sent += 1
        if target not in self.routers:
            return False
        link = frozenset((source, target))
        if link in self.cut_links or link in self.lossy_links:
            return False
        copies = 1
        if source != target:
            copies -= self.rng.random() < self.loss
            copies += self.rng.random() < self.duplication
        for _ in range(copies):
            delay = 0 if source == target else self.delay_seconds
            due = self.clock.now + delay
            self.queue.append((due, self.sent, source, target, message))
        return True

    def cut(self, left: list[str], right: list[str]) -> None:
        for one in left:
            for other in right:
                self.cut_links.add(frozenset((one, other)))

    def reaches(self, member: Member, upstream: Upstream) -> bool:
        """Return whether a router can reach an upstream."""
        if member.zone == upstream.zone:
            return True
        return not self.cut_zones & {member.zone, upstream.zone}

    def lose_messages_between(self, left: str, right: str) -> None:
        """Lose all messages between two routers that see each other as live."""
        self.lossy_links.add(frozenset((left, right)))

    def deliver(self) -> None:
        while True:
            due = [one for one in self.queue if one[0] <= self.clock.now]
            due = [
                one
                for one in due
                if one[3] not in self.routers
                or not self.routers[one[3]].is_paused
            ]
            if not due:
                return
            self.queue = [one for one in self.queue if one not in due]
            for _, _, source, target, message in due:
                router = self.routers.get(target)
                if router is not None:
                    router.on_message(source, message)

    async def run(self, seconds: float) -> None:
        """Advance the clock in small steps, and run all routers in each."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            self.deliver()
            step = round(self.clock.now / STEP_SECONDS)
            for router in list(self.routers.values()):
                self._advance(router, step)
                if not router.is_paused:
                    await self._claim(router, step)
            self.deliver()

    async def _claim(self, router: Router, step: int) -> None:
        if router.cold_starts.wakeup.is_set() or step % 3000 == 0:
            router.cold_starts.wakeup.clear()
            await router.cold_starts.synchronize()

    def _advance(self, router: Router, step: int) -> None:
        if router.is_paused:
            return
        router.end_requests()
        if step % 250 == 0:
            router.coordinator.tick()
            router.holder.tick()
        if step % 500 == 0:
            polled = {one.name: one for one in router.coordinator.upstreams()}
            for one in router.cold_starts.upstreams_to_poll():
                polled[one.name] = one
            for upstream in polled.values():
                engine = self.engines[upstream.name]
                if not self.reaches(router.member, upstream):
                    continue
                report = engine.report(self.clock.now)
                router.coordinator.on_load_report(upstream.name, report)
                router.holder.on_load_report(upstream, report)
