"""Brings requests and upstreams together.

A request gets a seat at an upstream at once when there is room, waits for a
short while when there is none, and is refused as soon as it is known that it
can't be served in time.

Example::

    seat = await allocator.acquire(demand)
    try:
        await send(seat.upstream)
    finally:
        seat.release()
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final, final

from hickorymux._internal.coordination.engines import refusal
from hickorymux._internal.coordination.engines.board import LoadBoard
from hickorymux._internal.coordination.engines.cold_share import ColdShare
from hickorymux._internal.coordination.engines.demands import (
    Demand,
    PromptDemand,
)
from hickorymux._internal.coordination.engines.health import UpstreamHealth
from hickorymux._internal.coordination.engines.placement import (
    Candidates,
    Choice,
    Placement,
)
from hickorymux._internal.coordination.engines.speeds import (
    READ_TOKENS_PER_SECOND,
    UpstreamSpeeds,
)
from hickorymux._internal.coordination.engines.usage import UsageBoard
from hickorymux._internal.coordination.engines.waiting import (
    CustomerUse,
    WaitingLine,
    cost_of,
)
from hickorymux._internal.exceptions import NoCapacity
from hickorymux._internal.state.routing import PoolPolicy
from hickorymux._internal.state.upstream_registry import (
    RegisteredUpstream,
    UpstreamRegistry,
)
from hickorymux._internal.utils.clock import Clock

# How often waiting requests are looked at when nothing else happens.
TICK_SECONDS: Final = 0.02
# Seats that come free within this time are given away together.
PUMP_SECONDS: Final = 0.004
# How long a list of available upstreams is used.
PREPARED_SECONDS: Final = 0.02
# A request that can only be late is placed where no more than this is unread,
# so that it delays nobody who can still be in time.
LATE_UNREAD_TOKENS: Final = READ_TOKENS_PER_SECOND * 0.3
# An engine of which less than this share of the slots is taken has room for
# all customers.
PLENTY_SHARE: Final = 0.4
# How many requests a customer may be ahead of one that waits elsewhere; what
# is known of other routers lags.
FAIR_REQUESTS: Final = 3.0

ColdBound = Callable[[PoolPolicy], float]


@final
class Seat:
    """A place at an upstream, held until it is released."""

    __slots__ = ('allocator', 'choice', 'demand', 'is_read', 'taken_at')

    def __init__(
        self,
        allocator: 'Allocator',
        demand: Demand,
        choice: Choice,
        taken_at: float,
    ) -> None:
        self.allocator = allocator
        self.demand = demand
        self.choice = choice
        self.taken_at = taken_at
        self.is_read = not choice.load.unread

    @property
    def upstream(self) -> RegisteredUpstream:
        """Return where the request goes."""
        return self.choice.upstream

    def on_answer_begun(self) -> None:
        """Note that the upstream has read the prompt and begins to answer."""
        self.allocator.on_answer_begun(self)

    def release(self) -> None:
        """Give the place back; the request is not at the upstream."""
        self.allocator.release(self)


@final
class Allocator:
    """Hands out seats for all pools."""

    __slots__ = (
        'board',
        'chance',
        'clock',
        'cold_bound',
        'cold_share',
        'futures',
        'health',
        'lines',
        'placement',
        'prepared',
        'registry',
        'soon',
        'speeds',
        'ticker',
        'region_of',
        'usage',
    )

    def __init__(
        self,
        registry: UpstreamRegistry,
        cold_share: ColdShare,
        cold_bound: ColdBound,
        clock: Clock,
        zone: str,
        region_of: Callable[[str], str],
    ) -> None:
        self.registry = registry
        self.clock = clock
        self.board = LoadBoard()
        self.speeds = UpstreamSpeeds()
        self.health = UpstreamHealth()
        self.usage = UsageBoard()
        self.cold_share = cold_share
        self.cold_bound = cold_bound
        self.region_of = region_of
        self.placement = Placement(self.board, self.speeds, zone)
        self.lines: dict[str, WaitingLine] = {}
        self.futures: dict[Demand, asyncio.Future[Seat]] = {}
        self.chance = random.Random()
        self.prepared: dict[str, tuple[float, Candidates]] = {}
        self.ticker: asyncio.TimerHandle | None = None
        self.soon: asyncio.TimerHandle | None = None

    async def acquire(self, demand: Demand) -> Seat:
        """Return a seat; raises ``NoCapacity`` when there will be none.

        The error says when to come back. The request has not run.
        """
        line = self.line_of(demand.pool.name)
        if not line.by_customer:
            seat = self._try_seat(demand, line)
            if seat is not None:
                return seat
        return await self._wait(demand, line)

    def line_of(self, pool: str) -> WaitingLine:
        """Return what waits for a pool."""
        line = self.lines.get(pool)
        if line is None:
            line = WaitingLine(self.clock.monotonic())
            self.lines[pool] = line
        return line

    def pump(self, pool: str) -> None:
        """Seat whoever there is room for, in turn; refuse who waited long."""
        line = self.lines.get(pool)
        if line is None or not line.by_customer:
            return
        self._refuse_overdue(line)
        is_moving = True
        while is_moving:
            is_moving = self._seat_next(line)
        self._shed(line)

    def uses(self) -> dict[tuple[str, str], CustomerUse]:
        """Return this router's use by pool and customer."""
        now = self.clock.monotonic()
        return {
            (pool, customer): use
            for pool, line in self.lines.items()
            for customer, use in line.uses(now).items()
        }

    def on_usage(self) -> None:
        """Take what other routers gave and keep waiting."""
        sums = self.usage.sums(self.clock.monotonic())
        for pool, line in self.lines.items():
            line.meter.elsewhere = sums.get(pool, {})

    def pump_all(self) -> None:
        """Pump all pools; upstreams or their load have changed."""
        for pool in self.lines:
            self.pump(pool)

    def on_answer_begun(self, seat: Seat) -> None:
        """Note that a prompt was read, and learn how long it took."""
        if seat.is_read:
            return
        seat.is_read = True
        upstream_id = seat.upstream.upstream_id
        self.board.mark_read(upstream_id, seat.choice.load.unread)
        self.speeds.observe_prompt(
            upstream_id,
            seat.choice.unread_before + seat.choice.load.unread,
            self.clock.monotonic() - seat.taken_at,
        )
        self._pump_soon()

    def release(self, seat: Seat) -> None:
        """Free a seat."""
        load = seat.choice.load
        upstream_id = seat.upstream.upstream_id
        if not seat.is_read:
            seat.is_read = True
            self.board.mark_read(upstream_id, load.unread)
        load.unread = 0
        self.board.remove(upstream_id, load)
        self._pump_soon()

    def candidates(self, demand: Demand, now: float) -> Candidates:
        """Return the upstreams that may get the request now.

        They are prepared once for all requests of a pool that may go to any.
        """
        if demand.tried or demand.regions:
            return self.placement.candidates(self._available(demand, now))
        pool = demand.pool.name
        known = self.prepared.get(pool)
        if known is not None and now - known[0] < PREPARED_SECONDS:
            return known[1]
        prepared = self.placement.candidates(self._available(demand, now))
        self.prepared[pool] = (now, prepared)
        return prepared

    def forget_prepared(self) -> None:
        """Look at the upstreams anew; one has come, gone or failed."""
        self.prepared.clear()

    def _available(
        self,
        demand: Demand,
        now: float,
    ) -> Sequence[RegisteredUpstream]:
        found = [
            upstream
            for upstream in self.registry.of_pool(demand.pool.name)
            if upstream.upstream_id not in demand.tried
            and self.health.is_available(upstream.upstream_id, now)
            and self._is_allowed_region(demand, upstream)
        ]
        warm = [one for one in found if not self.registry.is_cold(one, now)]
        if len(warm) == len(found):
            return found
        bound = self.cold_bound(demand.pool)
        return warm + [
            upstream
            for upstream in found
            if self.registry.is_cold(upstream, now)
            and self.cold_share.may_send(upstream.life, bound, now)
        ]

    def _is_allowed_region(
        self,
        demand: Demand,
        upstream: RegisteredUpstream,
    ) -> bool:
        if not demand.regions:
            return True
        return self.region_of(upstream.zone) in demand.regions

    async def _wait(self, demand: Demand, line: WaitingLine) -> Seat:
        future: asyncio.Future[Seat]
        future = asyncio.get_running_loop().create_future()
        self.futures[demand] = future
        line.push(demand)
        if not self._clears_before(line, refusal.give_up_at(demand)):
            self._shed(line)
        self._tick_later()
        try:
            return await future
        except asyncio.CancelledError:
            _give_back(future)
            raise
        finally:
            self.futures.pop(demand, None)
            if demand in line.by_customer.get(demand.customer, ()):
                line.remove(demand)

    def _try_seat(self, demand: Demand, line: WaitingLine) -> Seat | None:
        now = self.clock.monotonic()
        choice = self.placement.choose(
            demand,
            self.candidates(demand, now),
            now,
        )
        if choice is None or not self._is_worth_it(demand, choice, now):
            return None
        if self._must_yield(demand, choice, line, now):
            return None
        upstream = choice.upstream
        self.board.add(upstream.upstream_id, choice.load)
        self.health.on_sent(upstream.upstream_id, now)
        if self.registry.is_cold(upstream, now):
            self.cold_share.on_sent(upstream.life, now)
            self.forget_prepared()
        line.on_seated(demand, now)
        line.rate.add(cost_of(demand), now)
        return Seat(self, demand, choice, now)

    def _is_worth_it(
        self,
        demand: Demand,
        choice: Choice,
        now: float,
    ) -> bool:
        if now + choice.expected_seconds <= demand.due_at:
            return True
        if now + choice.expected_seconds >= demand.deadline:
            return False
        if not isinstance(demand, PromptDemand):
            return True
        return choice.unread_before <= LATE_UNREAD_TOKENS

    def _must_yield(
        self,
        demand: Demand,
        choice: Choice,
        line: WaitingLine,
        now: float,
    ) -> bool:
        """Return whether the place is for a customer at another router.

        Where there is plenty of room both can be served.
        """
        if not isinstance(demand, PromptDemand):
            return False
        if choice.running_before < choice.upstream.slots * PLENTY_SHARE:
            return False
        slack = FAIR_REQUESTS * max(line.mean_cost, demand.cost)
        return line.meter.must_yield(demand.customer, slack, now)

    def _seat_next(self, line: WaitingLine) -> bool:
        now = self.clock.monotonic()
        for demand in line.in_turn(now):
            seat = self._try_seat(demand, line)
            if seat is not None:
                line.remove(demand)
                self._resolve(demand, seat)
                return True
        return False

    def _resolve(self, demand: Demand, seat: Seat) -> None:
        future = self.futures[demand]
        if future.done():
            # Its caller has left meanwhile.
            seat.release()
            return
        future.set_result(seat)

    def _refuse_overdue(self, line: WaitingLine) -> None:
        now = self.clock.monotonic()
        overdue = [
            demand
            for demand in line.all_waiting()
            if refusal.give_up_at(demand) <= now
        ]
        for demand in overdue:
            self._refuse(line, demand, 'no room in time')

    def _shed(self, line: WaitingLine) -> None:
        """Refuse at once what can't be served before it is given up."""
        now = self.clock.monotonic()
        longest = max(
            (refusal.give_up_at(other) - now for other in line.all_waiting()),
            default=0,
        )
        while not self._clears_before(line, now + longest):
            self._refuse(line, line.most_served(now), 'the line is too long')

    def _clears_before(self, line: WaitingLine, moment: float) -> bool:
        """Return whether all that waits is likely to leave before a time."""
        if not line.by_customer:
            return True
        now = self.clock.monotonic()
        wait = line.rate.seconds_for(line.queued_cost, now)
        return now + wait <= moment

    def _refuse(self, line: WaitingLine, demand: Demand, why: str) -> None:
        now = self.clock.monotonic()
        wait = line.rate.seconds_for(line.queued_cost, now)
        line.remove(demand)
        future = self.futures[demand]
        if future.done():
            return
        seconds = refusal.retry_after_seconds(
            min(wait, refusal.MAX_RETRY_SECONDS),
            demand,
            now,
            self.chance,
        )
        future.set_exception(NoCapacity(why, retry_after=seconds))

    def _pump_soon(self) -> None:
        """Pump once for all seats that come free at about the same time."""
        if self.soon is None and self.futures:
            loop = asyncio.get_running_loop()
            self.soon = loop.call_later(PUMP_SECONDS, self._pump_now)

    def _pump_now(self) -> None:
        self.soon = None
        self.pump_all()

    def _tick_later(self) -> None:
        if self.ticker is None:
            loop = asyncio.get_running_loop()
            self.ticker = loop.call_later(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self.ticker = None
        self.pump_all()
        if any(line.by_customer for line in self.lines.values()):
            self._tick_later()


def _give_back(future: 'asyncio.Future[Seat]') -> None:
    """Release the seat of a request whose caller has left meanwhile."""
    if not future.done() or future.cancelled():
        return
    if future.exception() is None:
        future.result().release()
