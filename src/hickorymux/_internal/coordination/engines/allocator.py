"""Reserves upstream slots for requests.

A request gets a reservation at an upstream at once when a slot is free, waits
in its pool's queue when none is, and is refused as soon as it is known that
it can't be served in time.

Example::

    reservation = await allocator.acquire(demand)
    try:
        await send(reservation.upstream)
    finally:
        reservation.release()
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable, Sequence
from typing import Final, final

from hickorymux._internal.coordination.engines import refusal
from hickorymux._internal.coordination.engines.cold_share import ColdShare
from hickorymux._internal.coordination.engines.demands import (
    Demand,
    PromptDemand,
)
from hickorymux._internal.coordination.engines.health import UpstreamHealth
from hickorymux._internal.coordination.engines.load_tracker import LoadTracker
from hickorymux._internal.coordination.engines.placement import (
    Candidates,
    MAX_RUNNING_SHARE,
    Choice,
    Placement,
)
from hickorymux._internal.coordination.engines.request_limits import (
    RequestLimits,
)
from hickorymux._internal.coordination.engines.share_log import (
    Outcome,
    ShareLog,
)
from hickorymux._internal.coordination.engines.speeds import (
    PREFILL_TOKENS_PER_SECOND,
    UpstreamSpeeds,
)
from hickorymux._internal.coordination.engines.upstream_notices import (
    UpstreamNotices,
)
from hickorymux._internal.coordination.engines.usage_tracker import UsageTracker
from hickorymux._internal.coordination.engines.wait_queue import (
    CustomerUsage,
    WaitQueue,
    cost_of,
    due_part,
)
from hickorymux._internal.protocol.upstream_http import UpstreamLoad
from hickorymux._internal.coordination.rollouts.gate import RolloutGate, Side
from hickorymux._internal.exceptions import (
    NoCapacity,
    RequestError,
    StreamVersionGone,
)
from hickorymux._internal.state.routing import PoolPolicy
from hickorymux._internal.state.upstream_registry import (
    RegisteredUpstream,
    UpstreamRegistry,
)
from hickorymux._internal.utils.clock import Clock

# Interval at which wait queues are dispatched even if no other event does so.
TICK_SECONDS: Final = 0.02
# Slots that become free within this time are dispatched in one pass.
DISPATCH_DELAY_SECONDS: Final = 0.004
# How long a list of available upstreams is reused.
CANDIDATE_CACHE_SECONDS: Final = 0.02
# A request that is bound to be late goes only to an engine with at most this
# many unprocessed prompt tokens, so that it doesn't delay requests that can
# still be in time.
MAX_LATE_UNPROCESSED_TOKENS: Final = PREFILL_TOKENS_PER_SECOND * 0.3
# Engines that are less utilized than this have room for all customers, also
# for those far beyond their fair share.
LOW_UTILIZATION: Final = 0.1

# Retry-After while all upstreams of a pool leave. Nobody knows when others join.
LEAVING_RETRY_SECONDS: Final = 1.0
# Waiting requests that are kept though the queue is not expected to clear in
# time. Each dispatch tries all that wait, which costs a busy router more of its
# processor the more there are.
MAX_KEPT_REQUESTS: Final = 10

# Returns the requests that all routers together may send to one cold upstream
# of a pool in any second.
ColdRateLimit = Callable[[PoolPolicy], float]


@final
class Reservation:
    """A request's slot at an upstream, held until it is released.

    ``acquired_at`` is in monotonic seconds.
    """

    __slots__ = (
        'allocator',
        'choice',
        'demand',
        'is_prompt_processed',
        'acquired_at',
    )

    def __init__(
        self,
        allocator: 'Allocator',
        demand: Demand,
        choice: Choice,
        acquired_at: float,
    ) -> None:
        self.allocator = allocator
        self.demand = demand
        self.choice = choice
        self.acquired_at = acquired_at
        self.is_prompt_processed = not choice.load.unprocessed_tokens

    @property
    def upstream(self) -> RegisteredUpstream:
        """Return the upstream that the request is sent to."""
        return self.choice.upstream

    def on_answer_begun(self) -> None:
        """Record that the prompt is processed and the answer has begun."""
        self.allocator.on_answer_begun(self)

    def release(self) -> None:
        """Release the slot; the request is no longer at the upstream."""
        self.allocator.release(self)


@final
class Allocator:
    """Hands out reservations for all pools.

    ``cold_rate_limit`` returns the requests per second that all routers
    together may send to a cold upstream, and ``region_of`` the region of a
    zone.
    """

    __slots__ = (
        'load_tracker',
        'rng',
        'clock',
        'cold_rate_limit',
        'cold_share',
        'futures',
        'health',
        'notices',
        'wait_queues',
        'placement',
        'candidate_cache',
        'registry',
        'request_limits',
        'rollout_gate',
        'share_log',
        'dispatch_timer',
        'speeds',
        'tick_timer',
        'region_of',
        'usage_tracker',
    )

    def __init__(
        self,
        registry: UpstreamRegistry,
        cold_share: ColdShare,
        request_limits: RequestLimits,
        cold_rate_limit: ColdRateLimit,
        clock: Clock,
        zone: str,
        region_of: Callable[[str], str],
    ) -> None:
        self.registry = registry
        self.clock = clock
        self.load_tracker = LoadTracker()
        self.speeds = UpstreamSpeeds()
        self.health = UpstreamHealth()
        self.notices = UpstreamNotices()
        self.usage_tracker = UsageTracker()
        self.share_log = ShareLog()
        self.cold_share = cold_share
        self.request_limits = request_limits
        self.cold_rate_limit = cold_rate_limit
        self.region_of = region_of
        self.placement = Placement(self.load_tracker, self.speeds, zone)
        self.wait_queues: dict[str, WaitQueue] = {}
        self.futures: dict[Demand, asyncio.Future[Reservation]] = {}
        self.rng = random.Random()
        self.rollout_gate = RolloutGate(registry, clock, self.rng)
        self.candidate_cache: dict[
            tuple[str, Side], tuple[float, Candidates]
        ] = {}
        self.tick_timer: asyncio.TimerHandle | None = None
        self.dispatch_timer: asyncio.TimerHandle | None = None

    async def acquire(self, demand: Demand) -> Reservation:
        """Return a reservation, waiting for a slot if none is free.

        Raises ``NoCapacity`` if no slot becomes free in time. Its
        ``retry_after`` tells the caller when to retry; the request has not
        run. Raises ``StreamVersionGone`` as soon as no upstream is left that
        has the version of the stream.
        """
        self.check_version(demand)
        self.check_notices(demand)
        queue = self.wait_queue_of(demand.pool.name)
        if not queue.by_customer:
            reservation = self._try_reserve(demand, queue)
            if reservation is not None:
                return reservation
        return await self._wait(demand, queue)

    def try_acquire_hedge(
        self, demand: Demand, first_id: str
    ) -> Reservation | None:
        """Return a reservation for a second copy of a request.

        It is at another upstream than the first copy, and at none that is cold
        or names a request limit. ``None`` if there is none with room now,
        other requests wait for the pool, or a roll-out compares its versions.
        """
        queue = self.wait_queue_of(demand.pool.name)
        is_comparing = self.rollout_gate.is_comparing(demand.pool.name)
        if queue.by_customer or is_comparing:
            return None
        now = self.clock.monotonic()
        excluded = {
            upstream.upstream_id
            for upstream in self.registry.available_in_pool(demand.pool.name)
            if self.registry.is_cold(upstream, now)
            or self.request_limits.is_limited(upstream.incarnation)
        }
        excluded |= {first_id, *demand.excluded_ids}
        hedge = dataclasses.replace(demand, excluded_ids=excluded)
        return self._try_reserve(hedge, queue)

    def wait_queue_of(self, pool: str) -> WaitQueue:
        """Return the wait queue of a pool, new if it has none yet."""
        queue = self.wait_queues.get(pool)
        if queue is None:
            queue = WaitQueue(self.clock.monotonic())
            self.wait_queues[pool] = queue
        return queue

    def dispatch(self, pool: str) -> None:
        """Dispatch waiting requests of a pool to free slots, in fair order.

        Requests that have waited too long are refused first. Afterwards, load
        shedding refuses those that can't be served in time.
        """
        queue = self.wait_queues.get(pool)
        if queue is None or not queue.by_customer:
            return
        self._refuse_overdue(queue)
        self._refuse_unserved(queue)
        has_dispatched = True
        while has_dispatched:
            has_dispatched = self._dispatch_next(queue)
        self._shed(queue)

    def own_usage(self) -> dict[tuple[str, str], CustomerUsage]:
        """Return this router's usage by pool and customer."""
        now = self.clock.monotonic()
        return {
            (pool, customer): usage
            for pool, queue in self.wait_queues.items()
            for customer, usage in queue.usage_by_customer(now).items()
        }

    def update_peer_usage(self) -> None:
        """Pass on the usage that peers reported to what depends on it."""
        now = self.clock.monotonic()
        usage = self.usage_tracker.usage_by_pool(now)
        own_parts = {}
        for pool, queue in self.wait_queues.items():
            own_usage = queue.usage_by_customer(now)
            peer_usage = usage.get(pool, {})
            queue.meter.update_peer_usage(peer_usage, own_usage)
            own_parts[pool] = due_part(own_usage, peer_usage)
        known_routers = 1 + self.load_tracker.known_routers()
        self.request_limits.update_parts(own_parts, known_routers)

    def log_shares(self) -> None:
        """Log how the customers shared the pools that refused requests."""
        meters = {pool: queue.meter for pool, queue in self.wait_queues.items()}
        self.share_log.write_due(meters, self.clock.monotonic())

    def dispatch_all(self) -> None:
        """Dispatch waiting requests of all pools.

        Call this when upstreams or their load have changed.
        """
        for pool in self.wait_queues:
            self.dispatch(pool)

    def on_answer_begun(self, reservation: Reservation) -> None:
        """Record that a prompt is processed, and how long it took."""
        if reservation.is_prompt_processed:
            return
        reservation.is_prompt_processed = True
        upstream_id = reservation.upstream.upstream_id
        self.load_tracker.mark_processed(
            upstream_id, reservation.choice.load.unprocessed_tokens
        )
        now = self.clock.monotonic()
        self.speeds.observe_prompt(
            upstream_id,
            reservation.choice.unprocessed_before
            + reservation.choice.load.unprocessed_tokens,
            (now - reservation.acquired_at)
            / self.placement.reported_loads.work_time(upstream_id, now),
        )
        self._dispatch_soon()

    def on_load(
        self, reservation: Reservation, load: UpstreamLoad | None
    ) -> None:
        """Record what an answer states of the load of its upstream."""
        upstream_id = reservation.upstream.upstream_id
        self.placement.reported_loads.on_answer(
            upstream_id,
            reservation.upstream.pool,
            load,
            self.load_tracker.own_running(upstream_id),
            self.clock.monotonic(),
        )

    def release(self, reservation: Reservation) -> None:
        """Remove the reservation's load from its upstream."""
        load = reservation.choice.load
        upstream_id = reservation.upstream.upstream_id
        if not reservation.is_prompt_processed:
            reservation.is_prompt_processed = True
            self.load_tracker.mark_processed(
                upstream_id, load.unprocessed_tokens
            )
        load.unprocessed_tokens = 0
        self.load_tracker.remove(upstream_id, load)
        self._dispatch_soon()

    def candidates(
        self, demand: Demand, now: float, side: Side = Side.all
    ) -> Candidates:
        """Return the upstreams that may get the request now.

        For requests without other restrictions than the side of a pool with a
        roll-out, the result is cached by pool and side.
        """
        if demand.is_restricted:
            return self.placement.candidates(
                self._available(demand, now, side), now
            )
        key = (demand.pool.name, side)
        cached = self.candidate_cache.get(key)
        if cached is not None and now - cached[0] < CANDIDATE_CACHE_SECONDS:
            return cached[1]
        found = self.placement.candidates(
            self._available(demand, now, side), now
        )
        self.candidate_cache[key] = (now, found)
        return found

    def running_in_pool(self, pool: str) -> int:
        """Return the requests of all routers at the upstreams of a pool."""
        return sum(
            self.load_tracker.total_load(upstream.upstream_id).running
            for upstream in self.registry.all_in_pool(pool)
        )

    def clear_candidate_cache(self) -> None:
        """Drop cached candidates.

        Call this when an upstream has been added, removed or has failed.
        """
        self.candidate_cache.clear()

    def _available(
        self,
        demand: Demand,
        now: float,
        side: Side,
    ) -> Sequence[RegisteredUpstream]:
        found = [
            upstream
            for upstream in self.registry.available_in_pool(demand.pool.name)
            if upstream.upstream_id not in demand.excluded_ids
            and self._takes_requests(upstream, now)
            and self.is_region_allowed(demand, upstream)
            and self._is_version_allowed(demand, upstream, side)
        ]
        warm = [one for one in found if not self.registry.is_cold(one, now)]
        if len(warm) == len(found):
            return found
        limit = self.cold_rate_limit(demand.pool)
        return warm + [
            upstream
            for upstream in found
            if self.registry.is_cold(upstream, now)
            and self.cold_share.may_send(upstream.incarnation, limit, now)
        ]

    def _takes_requests(self, upstream: RegisteredUpstream, now: float) -> bool:
        if not self.health.is_available(upstream.upstream_id, now):
            return False
        if not self.notices.may_send(upstream.incarnation, now):
            return False
        return self.request_limits.may_send(upstream, now)

    def check_version(self, demand: Demand) -> None:
        """Raise unless an upstream that the request may get has its version."""
        if demand.version is None or any(
            upstream.version == demand.version
            and upstream.upstream_id not in demand.excluded_ids
            and not self.notices.is_leaving(upstream.incarnation)
            for upstream in self.registry.available_in_pool(demand.pool.name)
        ):
            return
        raise StreamVersionGone(
            f'no upstream of pool "{demand.pool.name}" is left that has version'
            f' "{demand.version}", which began the stream'
        )

    def check_notices(self, demand: Demand) -> None:
        """Raise if all upstreams for a request pause or leave."""
        if not self.notices.paused_until:
            return
        now = self.clock.monotonic()
        seconds = self.notices.seconds_until_return(
            (
                upstream.incarnation
                for upstream in self.registry.available_in_pool(
                    demand.pool.name
                )
                if upstream.upstream_id not in demand.excluded_ids
                and _is_version_allowed(demand, upstream)
            ),
            now,
        )
        if seconds is None or now + seconds < refusal.give_up_at(demand):
            return
        raise NoCapacity(
            f'all upstreams of pool "{demand.pool.name}" leave or want no'
            ' requests for a time',
            retry_after=(
                LEAVING_RETRY_SECONDS if math.isinf(seconds) else seconds
            ),
        )

    def is_region_allowed(
        self,
        demand: Demand,
        upstream: RegisteredUpstream,
    ) -> bool:
        if not demand.regions:
            return True
        return self.region_of(upstream.zone) in demand.regions

    def _is_version_allowed(
        self, demand: Demand, upstream: RegisteredUpstream, side: Side
    ) -> bool:
        return _is_version_allowed(
            demand, upstream
        ) and self.rollout_gate.allows(upstream, side)

    async def _wait(self, demand: Demand, queue: WaitQueue) -> Reservation:
        future: asyncio.Future[Reservation]
        future = asyncio.get_running_loop().create_future()
        self.futures[demand] = future
        queue.push(demand)
        if not self.clears_by(queue, refusal.give_up_at(demand)):
            self._shed(queue)
        self._tick_later()
        try:
            return await future
        except asyncio.CancelledError:
            _release_unclaimed(future)
            raise
        finally:
            self._end_wait(demand, queue)
            # The error of a refusal refers to this frame, and so to itself.
            del future

    def _end_wait(self, demand: Demand, queue: WaitQueue) -> None:
        self.futures.pop(demand, None)
        if demand in queue.by_customer.get(demand.customer, ()):
            queue.remove(demand)

    def _try_reserve(
        self, demand: Demand, queue: WaitQueue
    ) -> Reservation | None:
        now = self.clock.monotonic()
        outcome = Outcome.full
        choice: Choice | None = None
        for side in self.rollout_gate.sides(demand):
            choice, outcome = self.choose(demand, queue, now, side)
            if choice is not None:
                break
        self._count(demand, outcome)
        if choice is None:
            return None
        upstream = choice.upstream
        self.rollout_gate.on_reserved(upstream, demand)
        self.load_tracker.add(upstream.upstream_id, choice.load)
        self.health.on_sent(upstream.upstream_id, now)
        if self.registry.is_cold(upstream, now):
            self.cold_share.on_sent(upstream.incarnation, now)
            self.clear_candidate_cache()
        if self.request_limits.on_sent(upstream, now):
            self.clear_candidate_cache()
        queue.on_dispatched(demand, now)
        queue.rate.add(cost_of(demand), now)
        return Reservation(self, demand, choice, now)

    def choose(
        self, demand: Demand, queue: WaitQueue, now: float, side: Side
    ) -> tuple[Choice | None, Outcome]:
        """Return the choice that the request may use now, and the outcome."""
        choice = self.placement.choose(
            demand,
            self.candidates(demand, now, side),
            now,
        )
        if choice is None:
            return None, Outcome.full
        if not self._is_feasible(demand, choice, now):
            return None, Outcome.late
        if self._must_defer(demand, choice, queue, now):
            return None, Outcome.deferred
        return choice, Outcome.served

    def _count(self, demand: Demand, outcome: Outcome) -> None:
        self.share_log.count(
            demand.pool.name, demand.customer, outcome, self.clock.monotonic()
        )

    def _is_feasible(
        self,
        demand: Demand,
        choice: Choice,
        now: float,
    ) -> bool:
        if now + choice.expected_seconds <= demand.start_deadline:
            return True
        if now + choice.expected_seconds >= demand.deadline:
            return False
        if not isinstance(demand, PromptDemand):
            return True
        return choice.unprocessed_before <= MAX_LATE_UNPROCESSED_TOKENS

    def _must_defer(
        self,
        demand: Demand,
        choice: Choice,
        queue: WaitQueue,
        now: float,
    ) -> bool:
        """Return whether to leave the slot to customers that are due more.

        A customer beyond its fair share may use only a part of each engine,
        the smaller the further it is beyond. The rest stays free for requests
        of other customers, which may arrive at any router. Resumed streams are
        not deferred, as their callers wait for two seconds only.
        """
        if not isinstance(demand, PromptDemand) or demand.resumes_stream:
            return False
        due = queue.meter.due_share(demand.customer, now)
        return _utilization(demand, choice) >= max(due, LOW_UTILIZATION)

    def _dispatch_next(self, queue: WaitQueue) -> bool:
        now = self.clock.monotonic()
        for demand in queue.in_service_order(now):
            reservation = self._try_reserve(demand, queue)
            if reservation is not None:
                queue.remove(demand)
                self._resolve(demand, reservation)
                return True
        return False

    def _resolve(self, demand: Demand, reservation: Reservation) -> None:
        future = self.futures[demand]
        if future.done():
            # The caller has disconnected in the meantime.
            reservation.release()
            return
        future.set_result(reservation)

    def _refuse_overdue(self, queue: WaitQueue) -> None:
        now = self.clock.monotonic()
        overdue = [
            demand
            for demand in queue.all_waiting()
            if refusal.give_up_at(demand) <= now
        ]
        for demand in overdue:
            self._refuse(queue, demand, 'no upstream slot became free in time')

    def _refuse_unserved(self, queue: WaitQueue) -> None:
        """Refuse requests that no upstream takes any more, or for a time.

        These are resumed streams of which no upstream has the version, and
        requests to a pool that pauses or leaves whole.
        """
        for demand in tuple(queue.all_waiting()):
            try:
                self.check_version(demand)
                self.check_notices(demand)
            except (NoCapacity, StreamVersionGone) as error:
                self._fail(queue, demand, error)

    def _shed(self, queue: WaitQueue) -> None:
        """Refuse requests until the rest can be served in time.

        That is when the queue is expected to clear before the last of its
        requests gives up. A few requests of customers within their fair share
        are kept, since the routers leave room for them on the engines, which the
        dispatch rate of this router does not show.
        """
        now = self.clock.monotonic()
        longest_wait = max(
            (refusal.give_up_at(other) - now for other in queue.all_waiting()),
            default=0,
        )
        while not self.clears_by(queue, now + longest_wait):
            demand = queue.next_to_refuse(now)
            if self.is_owed_room(queue, demand, now):
                break
            self._refuse(queue, demand, 'the wait queue is too long')

    def is_owed_room(
        self, queue: WaitQueue, demand: Demand, now: float
    ) -> bool:
        """Return whether other customers must leave room for the request."""
        if len(queue) > MAX_KEPT_REQUESTS:
            return False
        if queue.meter.due_share(demand.customer, now) < 1:
            return False
        return bool(self.candidates(demand, now).upstreams)

    def clears_by(self, queue: WaitQueue, deadline: float) -> bool:
        """Return whether the whole queue is expected to clear by a deadline.

        The estimate uses the recent dispatch rate.
        """
        if not queue.by_customer:
            return True
        now = self.clock.monotonic()
        wait = queue.rate.seconds_to_clear(queue.queued_cost, now)
        return now + wait <= deadline

    def _refuse(self, queue: WaitQueue, demand: Demand, reason: str) -> None:
        now = self.clock.monotonic()
        wait = queue.rate.seconds_to_clear(queue.queued_cost, now)
        seconds = refusal.retry_after_seconds(
            min(wait, refusal.MAX_RETRY_SECONDS),
            demand,
            now,
            self.rng,
        )
        self._fail(queue, demand, NoCapacity(reason, retry_after=seconds))

    def _fail(
        self, queue: WaitQueue, demand: Demand, error: RequestError
    ) -> None:
        """Remove a waiting request and end its wait with an error."""
        queue.remove(demand)
        queue.on_refused(demand, self.clock.monotonic())
        self._count(demand, Outcome.refused)
        future = self.futures[demand]
        if not future.done():
            future.set_exception(error)

    def _dispatch_soon(self) -> None:
        """Schedule one dispatch for slots that become free close together."""
        if self.dispatch_timer is None and self.futures:
            loop = asyncio.get_running_loop()
            self.dispatch_timer = loop.call_later(
                DISPATCH_DELAY_SECONDS, self._dispatch_now
            )

    def _dispatch_now(self) -> None:
        self.dispatch_timer = None
        self.dispatch_all()

    def _tick_later(self) -> None:
        if self.tick_timer is None:
            loop = asyncio.get_running_loop()
            self.tick_timer = loop.call_later(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self.tick_timer = None
        self.dispatch_all()
        if any(queue.by_customer for queue in self.wait_queues.values()):
            self._tick_later()


def _is_version_allowed(demand: Demand, upstream: RegisteredUpstream) -> bool:
    return demand.version is None or upstream.version == demand.version


def _utilization(demand: Demand, choice: Choice) -> float:
    """Return which part of the work that an engine may have it has already.

    It is by slots or by the prompts that the request would wait for, whichever
    is more.
    """
    usable_slots = choice.upstream.slots * MAX_RUNNING_SHARE
    max_wait = demand.start_deadline - demand.arrived_at
    wait = choice.unprocessed_before / PREFILL_TOKENS_PER_SECOND
    return max(choice.running_before / usable_slots, wait / max_wait)


def _release_unclaimed(future: 'asyncio.Future[Reservation]') -> None:
    """Release a reservation made for a caller that has disconnected."""
    if not future.done() or future.cancelled():
        return
    if future.exception() is None:
        future.result().release()
