"""Randomized model of routers, engines and prompt parts that crash engines.

Runs the production ``PartGuard`` of each router on a simulated clock. Messages
are delayed and lost, routers are killed and restarted, and an engine that
crashes takes the requests along that it has not begun to answer. A longer run
by hand, with the number of simulation runs and the first seed::

    PYTHONPATH=src:tests python -m models.crashing_parts 1000 1
"""

import collections
import dataclasses
import heapq
import itertools
import logging
import math
import random
import sys
from collections.abc import Callable
from typing import Any

from hickorymux._internal.coordination.part_guard import (
    GOSSIP_SECONDS,
    PartGuard,
)
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.exceptions import CrashSuspect
from lib.claim_fleet import StaticMemberView
from lib.manual_clock import ManualClock

CALM_SECONDS = 5.0
DURATION_SECONDS = 45.0
STABLE_WINDOW_SECONDS = 3.0
COUNTED_CRASHES = 5
ENGINE_RESTART_SECONDS = 3.0
MAX_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What is drawn at random for one simulation run.

    ``shape`` tells where the bad parts are: pages of one document, whole
    documents with pages of their own, or first parts of prompts.
    ``sound_after`` is how long after the bad requests the sound ones with
    the same document begin. ``good_pages`` is the number of sound pages, 0 for
    requests without one, and infinite for pages of their own.
    ``mistaken_answers`` counts answers on a bad part that seem to begin.
    """

    routers: int
    engines: int
    bad_parts: int
    bad_share: float
    per_second: float
    shape: str
    sound_after: float
    good_pages: float
    max_delay: float
    loss: float
    kills: int
    is_system_new: bool
    mistaken_answers: int

    @classmethod
    def from_rng(cls, rng: random.Random) -> 'Scenario':
        return cls(
            routers=rng.randint(3, 86),
            engines=rng.randint(6, 30),
            bad_parts=rng.randint(1, 3),
            bad_share=rng.uniform(0.05, 0.95),
            per_second=math.exp(rng.uniform(math.log(4), math.log(60))),
            shape=rng.choice(('pages', 'documents', 'first')),
            sound_after=rng.choice((0.0, 0.0, rng.uniform(0, 4))),
            good_pages=rng.choice((0, 5, math.inf)),
            max_delay=math.exp(rng.uniform(math.log(0.002), math.log(0.3))),
            loss=rng.choice((0.0, 0.0, 0.05)),
            kills=rng.choice((0, 0, 1, 5)),
            is_system_new=rng.random() < 0.2,
            mistaken_answers=rng.random() < 0.1,
        )


@dataclasses.dataclass(eq=False)
class Request:
    """One request; ``engine`` and ``router`` are those of the attempt."""

    number: int
    parts: tuple[str, ...]
    bad: str
    arrived_at: float
    attempts: int = 0
    is_trial: bool = False
    router: str = ''
    engine: str = ''
    guard: PartGuard | None = None
    is_first_begun: bool = False
    is_answered: bool = False


@dataclasses.dataclass
class Figures:
    """What one run measured.

    ``late`` is how many requests with one bad part reached engines after the
    stable window behind its fifth crash, for the worst part. ``crashes`` is
    the number of all crashes of the worst part. ``begun`` and ``sound`` count
    sound requests from two stable windows after the fifth crash on.
    """

    late: int
    crashes: int
    begun: int
    sound: int

    @property
    def share(self) -> float:
        return self.begun / self.sound if self.sound else 1.0


class Simulation:
    """One run."""

    def __init__(self, seed: int, scenario: Scenario | None = None) -> None:
        self.rng = random.Random(seed)
        self.scenario = scenario or Scenario.from_rng(self.rng)
        self.clock = ManualClock()
        self.start = self.clock.now
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count(1)
        self.members = [
            Member(f'r{number}', 1, 'msasani', '127.0.0.1', number)
            for number in range(self.scenario.routers)
        ]
        self.guards: dict[str, PartGuard] = {}
        self.engines = [f'e{n}' for n in range(self.scenario.engines)]
        self.incarnations = dict.fromkeys(self.engines, 1)
        self.up = set(self.engines)
        self.in_flight: dict[str, set[Request]] = {
            engine: set() for engine in self.engines
        }
        self.sound: list[Request] = []
        self.crash_times: collections.defaultdict[str, list[float]]
        self.crash_times = collections.defaultdict(list)
        self.sent_times: collections.defaultdict[str, list[float]]
        self.sent_times = collections.defaultdict(list)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        event = (self.clock.now + delay, next(self.numbers), action)
        heapq.heappush(self.events, event)

    def run(self) -> Figures:
        for member in self.members:
            self.start_router(member)
        for _ in range(self.scenario.kills):
            self.at(self.rng.uniform(CALM_SECONDS, 30), self.kill_router)
        for _ in range(self.scenario.mistaken_answers):
            self.at(self.rng.uniform(CALM_SECONDS, 30), self.answer_by_mistake)
        self.at(0, self.arrive)
        end = self.start + CALM_SECONDS + DURATION_SECONDS
        while self.events and self.events[0][0] < end:
            self.clock.now, _, action = heapq.heappop(self.events)
            action()
        return self.figures()

    def start_router(self, member: Member) -> None:
        def send(members: Any, message: Any) -> None:
            for peer in members:
                if self.rng.random() >= self.scenario.loss:
                    self.at(
                        self.rng.uniform(0.001, self.scenario.max_delay),
                        lambda peer=peer: self.deliver(peer, member, message),
                    )

        def tick() -> None:
            if self.guards.get(member.router_id) is guard:
                guard.tick()
                self.at(GOSSIP_SECONDS, tick)

        view = StaticMemberView(member, self.members)
        guard = PartGuard(view, send, self.clock, self.rng)
        self.guards[member.router_id] = guard
        self.at(self.rng.uniform(0, GOSSIP_SECONDS), tick)

    def deliver(self, peer: Member, sender: Member, message: Any) -> None:
        if peer.router_id in self.guards:
            guard = self.guards[peer.router_id]
            guard.on_message(sender.router_id, message)

    def kill_router(self) -> None:
        if len(self.guards) < 2:
            return
        router_id = self.rng.choice(sorted(self.guards))
        self.guards.pop(router_id)
        member = next(m for m in self.members if m.router_id == router_id)
        self.at(1.0, lambda: self.members.remove(member))

        def restart() -> None:
            started = dataclasses.replace(
                member, incarnation=member.incarnation + 1
            )
            self.members.append(started)
            self.start_router(started)

        self.at(self.rng.uniform(1.5, 3), restart)

    def answer_by_mistake(self) -> None:
        guard = self.guards[self.rng.choice(sorted(self.guards))]
        guard.on_answer_begun(self.bad_parts_of('bad-0', next(self.numbers)))

    def arrive(self) -> None:
        """Let a request arrive, and schedule the next one."""
        scenario, rng = self.scenario, self.rng
        mean = 1 / scenario.per_second
        self.at(rng.uniform(0.2, 1.8) * mean, self.arrive)
        since = self.clock.now - self.start - CALM_SECONDS
        number = next(self.numbers)
        bad = ''
        if since < 0:
            system = 'first' if scenario.is_system_new else 'system'
            parts = (system, f'd{number}')
        elif rng.random() < scenario.bad_share:
            bad = f'bad-{rng.randrange(scenario.bad_parts)}'
            parts = self.bad_parts_of(bad, number)
        elif since < scenario.sound_after:
            return
        else:
            parts = self.sound_parts(number)
        request = Request(number, parts, bad, self.clock.now)
        if not bad:
            self.sound.append(request)
        self.attempt(request)

    def bad_parts_of(self, bad: str, number: int) -> tuple[str, ...]:
        if self.scenario.shape == 'pages':
            return ('system', 'document', bad)
        if self.scenario.shape == 'documents':
            return ('system', bad, *self.page(number))
        return (bad, 'system', *self.page(number))

    def sound_parts(self, number: int) -> tuple[str, ...]:
        document = 'document'
        if self.rng.random() < 0.3:
            document = f'd{number}'
        return ('system', document, *self.page(number))

    def page(self, number: int) -> tuple[str, ...]:
        pages = self.scenario.good_pages
        if not pages:
            return ()
        if pages == math.inf:
            return (f'page-of-{number}',)
        return (f'page-{self.rng.randrange(int(pages))}',)

    def attempt(self, request: Request) -> None:
        """Send a request to a random engine by a random router."""
        if not request.router:
            request.router = self.rng.choice(sorted(self.guards))
        guard = self.guards.get(request.router)
        up = sorted(self.up - {request.engine})
        if guard is None or not up:
            return
        try:
            request.is_trial = guard.admit(request.parts)
        except CrashSuspect:
            return
        request.guard = guard
        request.attempts += 1
        request.engine = self.rng.choice(up)
        incarnation = self.incarnations[request.engine]
        self.in_flight[request.engine].add(request)
        if request.bad:
            self.sent_times[request.bad].append(self.clock.now)
        self.at(
            self.rng.uniform(0.02, 0.6),
            lambda: self.begin(request, request.engine, incarnation),
        )

    def begin(self, request: Request, engine: str, incarnation: int) -> None:
        """Let the engine begin the answer, or crash."""
        if self.incarnations[engine] != incarnation:
            return
        if request.bad:
            self.crash(engine, request)
            return
        self.in_flight[engine].discard(request)
        request.is_answered = True
        request.is_first_begun = request.attempts == 1
        if self.guards.get(request.router) is request.guard:
            request.guard.on_answer_begun(request.parts)

    def crash(self, engine: str, request: Request) -> None:
        self.crash_times[request.bad].append(self.clock.now)
        name = f'{engine}#{self.incarnations[engine]}'
        self.incarnations[engine] += 1
        self.up.discard(engine)
        self.at(ENGINE_RESTART_SECONDS, lambda: self.up.add(engine))
        lost = sorted(self.in_flight[engine], key=lambda one: one.number)
        self.in_flight[engine] = set()
        for one in lost:
            self.at(
                self.rng.uniform(0.001, 0.02),
                lambda one=one: self.report(one, name),
            )

    def report(self, request: Request, crash: str) -> None:
        if self.guards.get(request.router) is not request.guard:
            return
        request.guard.on_crash(crash, request.number, request.parts)
        if request.attempts < MAX_ATTEMPTS and not request.is_trial:
            self.attempt(request)

    def figures(self) -> Figures:
        late = 0
        for bad, times in self.crash_times.items():
            if len(times) >= COUNTED_CRASHES:
                limit = times[COUNTED_CRASHES - 1] + STABLE_WINDOW_SECONDS
                late = max(late, sum(t > limit for t in self.sent_times[bad]))
        every = sorted(itertools.chain(*self.crash_times.values()))
        settled = math.inf
        if every:
            settled = every[:COUNTED_CRASHES][-1] + 2 * STABLE_WINDOW_SECONDS
        end = self.clock.now - 1
        sound = [one for one in self.sound if settled <= one.arrived_at < end]
        return Figures(
            late=late,
            crashes=max(map(len, self.crash_times.values()), default=0),
            begun=sum(one.is_first_begun for one in sound),
            sound=len(sound),
        )


def main() -> None:
    """Print the figures of many runs."""
    logging.disable(logging.CRITICAL)
    count, first = int(sys.argv[1]), int(sys.argv[2])
    late: collections.Counter[int] = collections.Counter()
    crashes: collections.Counter[int] = collections.Counter()
    shares: list[float] = []
    for seed in range(first, first + count):
        simulation = Simulation(seed)
        figures = simulation.run()
        late[figures.late] += 1
        crashes[figures.crashes] += 1
        if figures.sound >= 20:
            shares.append(figures.share)
        if figures.late > 3 or (figures.sound >= 20 and figures.share < 0.9):
            print(seed, figures, simulation.scenario)
    shares.sort()
    print('late by run:', sorted(late.items()))
    print('crashes of the worst part by run:', sorted(crashes.items()))
    below = sum(share < 0.9 for share in shares)
    half = sum(share < 0.5 for share in shares)
    print(f'{len(shares)} shares: least {shares[0]:.3f}, median')
    print(
        f'{shares[len(shares) // 2]:.3f}; {below} below 0.9, {half} below 0.5'
    )


if __name__ == '__main__':
    main()
