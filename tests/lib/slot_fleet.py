"""Routers with real slot homes and holders over a small in-memory network."""

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
    """A clock that the test moves."""

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
    """An upstream that counts what runs on it, and what ran while cold."""

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
        """Drop all work and start again, cold."""
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
    """Sends through the network on behalf of one router."""

    network: 'Network'
    router_id: str

    def send(self, router_id: str, message: object) -> bool:
        return self.network.send(self.router_id, router_id, message)


class Router:
    """One router: a home, a holder and the requests it runs."""

    def __init__(self, network: 'Network', member: Member) -> None:
        self.network = network
        self.member = member
        self.clock = network.clock
        self.upstream_states = UpstreamStates()
        self.tables = network.tables
        self.paused = False
        self.waiting = 0
        self.counter = 0.0
        self.running: list[tuple[float, Slot, str]] = []
        self.work_seconds = 0.1
        self.next_work_seconds = lambda: self.work_seconds
        self.started = 0
        view = Members(network, member)
        sender = Sender(network, member.router_id)
        self.coordinator = SlotCoordinator(
            view, sender, self.clock, self.upstream_states, lambda: self.tables
        )
        self.cold = ColdStarts(
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
            cold_starts=self.cold,
            is_verified=self.is_verified,
        )

    def is_verified(self, upstream: Upstream, instance: str) -> bool:
        if not self.network.reaches(self.member, upstream):
            return False
        if not self.network.gate_is_on:
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
        head = HeadCustomer(self.member.router_id, self.counter, self.waiting)
        self.holder.set_demand(POOL, [head], self.waiting)

    def on_available(self, pool: str) -> None:
        now = self.clock.monotonic()
        while self.waiting > 0:
            slot = self.holder.acquire(pool, now)
            if slot is None:
                break
            self.send(slot)

    def send(self, slot: Slot) -> bool:
        """Check the slot and start a request on it."""
        now = self.clock.monotonic()
        if not slot.is_valid(now):
            self.holder.release(slot)
            return False
        engine = self.network.engines[slot.upstream.name]
        self.waiting -= 1
        self.started += 1
        self.counter += 1
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
    """Delivers messages after a delay; drops, repeats and reorders them."""

    def __init__(self, upstreams: list[Upstream], seed: int = 1) -> None:
        self.clock = FakeClock()
        self.random = random.Random(seed)
        self.log = FakeLog()
        self.ended_incarnations: set[tuple[str, int]] = set()
        self.gate_is_on = True
        self.engines = {one.name: Engine(one) for one in upstreams}
        pool = Pool(POOL, PoolKind.model, tuple(upstreams))
        self.tables = Tables(version=1, pools={POOL: pool})
        self.routers: dict[str, Router] = {}
        self.cuts: set[frozenset[str]] = set()
        self.lost_links: set[frozenset[str]] = set()
        self.delay_seconds = 0.001
        self.loss = 0.0
        self.duplication = 0.0
        self.queue: list[tuple[float, int, str, str, object]] = []
        self.sent = 0
        self.hidden: set[tuple[str, str]] = set()
        self.cut_zones: set[str] = set()

    def add(self, router_id: str, zone: str, incarnation: int = 1) -> Router:
        member = Member(router_id, incarnation, zone, '127.0.0.1', 1)
        router = Router(self, member)
        self.routers[router_id] = router
        return router

    def crash(self, router_id: str) -> None:
        """End a router; its connections close, so its requests end."""
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
                (router_id, name) not in self.hidden
                and frozenset((router_id, name)) not in self.cuts
            )
        ]

    def send(self, source: str, target: str, message: object) -> bool:
        self.sent += 1
        if target not in self.routers:
            return False
        link = frozenset((source, target))
        if link in self.cuts or link in self.lost_links:
            return False
        copies = 1
        if source != target:
            copies -= self.random.random() < self.loss
            copies += self.random.random() < self.duplication
        for _ in range(copies):
            delay = 0 if source == target else self.delay_seconds
            due = self.clock.now + delay
            self.queue.append((due, self.sent, source, target, message))
        return True

    def cut(self, left: list[str], right: list[str]) -> None:
        for one in left:
            for other in right:
                self.cuts.add(frozenset((one, other)))

    def reaches(self, member: Member, upstream: Upstream) -> bool:
        """Return whether a router can reach an upstream."""
        if member.zone == upstream.zone:
            return True
        return not self.cut_zones & {member.zone, upstream.zone}

    def lose_messages_between(self, left: str, right: str) -> None:
        """Lose all messages between two routers that both think live."""
        self.lost_links.add(frozenset((left, right)))

    def deliver(self) -> None:
        while True:
            due = [one for one in self.queue if one[0] <= self.clock.now]
            due = [
                one
                for one in due
                if one[3] not in self.routers or not self.routers[one[3]].paused
            ]
            if not due:
                return
            self.queue = [one for one in self.queue if one not in due]
            for _, _, source, target, message in due:
                router = self.routers.get(target)
                if router is not None:
                    router.on_message(source, message)

    async def run(self, seconds: float) -> None:
        """Let time pass: deliver, end requests, tick and report load."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            self.deliver()
            step = round(self.clock.now / STEP_SECONDS)
            for router in list(self.routers.values()):
                self._advance(router, step)
                if not router.paused:
                    await self._claim(router, step)
            self.deliver()

    async def _claim(self, router: Router, step: int) -> None:
        if router.cold.wakeup.is_set() or step % 3000 == 0:
            router.cold.wakeup.clear()
            await router.cold.synchronize()

    def _advance(self, router: Router, step: int) -> None:
        if router.paused:
            return
        router.end_requests()
        if step % 250 == 0:
            router.coordinator.tick()
            router.holder.tick()
        if step % 500 == 0:
            polled = {one.name: one for one in router.coordinator.upstreams()}
            for one in router.cold.upstreams_to_poll():
                polled[one.name] = one
            for upstream in polled.values():
                engine = self.engines[upstream.name]
                if not self.reaches(router.member, upstream):
                    continue
                report = engine.report(self.clock.now)
                router.coordinator.on_load_report(upstream.name, report)
                router.holder.on_load_report(upstream, report)
