"""A fleet of allocators that share model engines, on virtual time.

The routers exchange their load reports as the entry processes do, each message
with a delay. The engines are modelled: prompts are processed one after the
other, and answers take a fixed time for each token.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Iterable, Sequence

from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.cold_share import ColdShare
from hickorymux._internal.coordination.engines.request_limits import (
    RequestLimits,
)
from hickorymux._internal.coordination.engines.router_ranks import RouterRanks
from hickorymux._internal.coordination.load_exchange import LoadExchange
from hickorymux._internal.coordination.load_messages import LoadReport
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.exceptions import NoCapacity
from tests.lib.demands import prompt_demand, registry
from tests.lib.virtual_time import VirtualTimeLoop

MESSAGE_SECONDS = 0.001
PREFILL_TOKENS_PER_SECOND = 125_000.0
OUTPUT_TOKEN_SECONDS = 0.006
ENGINE_SLOTS = 16
OBJECTIVE_SECONDS = 0.6
DEADLINE_SECONDS = 12.0


@dataclasses.dataclass(slots=True)
class Load:
    """The requests of one customer, at random moments.

    ``routers`` are the routers that its callers reach. ``own`` and ``shared``
    are prompt tokens outside and inside the shared part, of which there are
    ``subjects``; ``output`` is the length of an answer in tokens.
    """

    customer: str
    rate: float
    routers: Sequence[str]
    own: int = 6600
    shared: int = 5400
    output: int = 380
    subjects: int = 20


@dataclasses.dataclass(slots=True)
class Second:
    """What one customer asked for and got in one second, in tokens.

    ``is_denied`` tells that a request was refused or began late.
    """

    asked: int = 0
    begun: int = 0
    is_denied: bool = False


class FleetMembers:
    """The ``Membership`` of one router of a fleet in which all are live."""

    def __init__(self, me: Member, members: Sequence[Member]) -> None:
        self.me = me
        self.members = members

    def live(self) -> Sequence[Member]:
        return self.members

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        return [member for member in self.members if member.zone == zone]

    def zones(self) -> Sequence[str]:
        return sorted({member.zone for member in self.members})

    def is_delegate(self) -> bool:
        return self.live_in_zone(self.me.zone)[0] == self.me


class LoadFleet:
    """Routers with an allocator each, and the engines that they share.

    ``requests_per_second`` is a limit that each engine names in its answers,
    ``None`` for none.
    """

    def __init__(
        self,
        zones: int,
        routers: int,
        engines: int,
        seed: int,
        requests_per_second: float | None = None,
    ) -> None:
        self.requests_per_second = requests_per_second
        self.loop = VirtualTimeLoop()
        self.rng = random.Random(seed)
        self.members = [
            Member(f'r{zone}-{number}', 1, f'z{zone}', '127.0.0.1', 1)
            for zone in range(zones)
            for number in range(routers)
        ]
        self.router_ids = [member.router_id for member in self.members]
        self.upstreams = registry(engines, slots=ENGINE_SLOTS)
        self.prefilled_at = dict.fromkeys(self.upstreams.upstreams, 0.0)
        self.allocators: dict[str, Allocator] = {}
        self.exchanges: dict[str, LoadExchange] = {}
        for member in self.members:
            self._add_router(member)
        self.seconds: dict[str, collections.defaultdict[int, Second]] = {}
        self.largest: dict[str, int] = {}

    def run(self, loads: Iterable[Load], seconds: float) -> None:
        """Offer the loads for some virtual seconds."""
        self.loop.run_for(self._run(list(loads), seconds))

    def begun(self, customer: str) -> int:
        """Return the tokens of the customer's requests that began to run."""
        return sum(each.begun for each in self.seconds[customer].values())

    def starved_spans(self, length: int = 6) -> list[tuple[int, str]]:
        """Return the spans in which a customer got less than its fair share.

        In each second of such a span it had a request that was refused or
        late, and over the span it got less than half of what it asked for or
        what the best served customer got, whichever is less, less three of
        its largest requests. A span is its first second and the customer.
        """
        last = max(max(rows) for rows in self.seconds.values())
        return [
            (first, customer)
            for customer in self.seconds
            for first in range(1, last - length)
            if self._is_starved(customer, range(first, first + length))
        ]

    def _is_starved(self, customer: str, span: range) -> bool:
        rows = [self.seconds[customer][second] for second in span]
        if not all(row.is_denied for row in rows):
            return False
        best = [
            max(each[second].begun for each in self.seconds.values())
            for second in span
        ]
        due = sum(
            min(row.asked, most) / 2
            for row, most in zip(rows, best, strict=True)
        )
        got = sum(row.begun for row in rows)
        return got < due - 3 * self.largest[customer]

    def _add_router(self, member: Member) -> None:
        ranks = RouterRanks(member.router_id)
        ranks.update(self.router_ids)
        allocator = Allocator(
            self.upstreams,
            ColdShare(ranks),
            RequestLimits(ranks),
            lambda _pool: 29,
            self.loop,
            member.zone,
            lambda _zone: '',
        )
        allocator.rng = random.Random(self.rng.random())
        self.allocators[member.router_id] = allocator
        self.exchanges[member.router_id] = LoadExchange(
            allocator,
            FleetMembers(member, self.members),
            lambda members, report: self._send(member, members, report),
            self.loop,
        )

    def _send(
        self, sender: Member, members: Iterable[Member], report: LoadReport
    ) -> None:
        for member in members:
            self.loop.call_later(
                MESSAGE_SECONDS,
                self.exchanges[member.router_id].on_message,
                sender.router_id,
                report,
            )

    async def _run(self, loads: Sequence[Load], seconds: float) -> None:
        tasks = []
        for exchange in self.exchanges.values():
            tasks.append(asyncio.create_task(self._report(exchange)))
        for load in loads:
            self.seconds[load.customer] = collections.defaultdict(Second)
            self.largest[load.customer] = 0
            tasks.append(asyncio.create_task(self._offer(load)))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    async def _report(self, exchange: LoadExchange) -> None:
        """Run an exchange; the fleet's processes start at different times."""
        await asyncio.sleep(self.rng.random() / 5)
        await exchange.run()

    async def _offer(self, load: Load) -> None:
        running = set()
        while True:
            await asyncio.sleep(self.rng.expovariate(load.rate))
            task = asyncio.create_task(self._request(load))
            running.add(task)
            task.add_done_callback(running.discard)

    async def _request(self, load: Load) -> None:
        """Send one request, and once more if it is refused."""
        arrived_at = self.loop.time()
        demand = prompt_demand(
            load.customer,
            now=arrived_at,
            objective=OBJECTIVE_SECONDS,
            deadline=DEADLINE_SECONDS,
            subject=f'{load.customer}-{self.rng.randrange(load.subjects)}',
            own=round(load.own * self.rng.lognormvariate(-0.2, 0.6)),
            shared=load.shared,
            output=load.output,
        )
        rows = self.seconds[load.customer]
        rows[int(arrived_at)].asked += demand.cost
        self.largest[load.customer] = max(
            self.largest[load.customer], demand.cost
        )
        for _ in range(2):
            allocator = self.allocators[self.rng.choice(load.routers)]
            try:
                reservation = await allocator.acquire(demand)
            except NoCapacity as error:
                rows[int(self.loop.time())].is_denied = True
                await asyncio.sleep(error.retry_after or 0)
                now = self.loop.time()
                demand = dataclasses.replace(
                    demand,
                    arrived_at=now,
                    start_deadline=now + OBJECTIVE_SECONDS,
                )
                continue
            await self._serve(reservation, load, arrived_at)
            allocator.request_limits.on_answer(
                reservation.upstream.incarnation,
                self.requests_per_second,
                reservation.acquired_at,
                self.loop.time(),
            )
            return

    async def _serve(self, reservation, load: Load, arrived_at: float) -> None:
        engine = reservation.upstream.upstream_id
        now = self.loop.time()
        prefill = demand_seconds(reservation.demand.prompt.unshared_tokens)
        begins_at = max(now, self.prefilled_at[engine]) + prefill
        self.prefilled_at[engine] = begins_at
        await asyncio.sleep(begins_at - now)
        row = self.seconds[load.customer][int(begins_at)]
        row.begun += reservation.demand.cost
        if begins_at - arrived_at > OBJECTIVE_SECONDS:
            row.is_denied = True
        reservation.on_answer_begun()
        await asyncio.sleep(load.output * OUTPUT_TOKEN_SECONDS)
        reservation.release()


def demand_seconds(tokens: int) -> float:
    """Return how long an engine processes prompt tokens."""
    return tokens / PREFILL_TOKENS_PER_SECOND
