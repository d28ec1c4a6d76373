"""Tells where a request would be sent now, and why, without sending it.

Questions to some parts of the allocator change their state: token buckets are
refilled, old entries dropped, random numbers drawn and results cached. So the
report asks an allocator of its own that has copies of these parts and shares
the others.

Example::

    report = PlacementPreview.from_allocator(allocator).report(demand)
    report.chosen
"""

import copy
import random
from typing import Final, Self, final

from hickorymux._internal.coordination.engines import refusal
from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.demands import (
    Demand,
    PromptDemand,
)
from hickorymux._internal.coordination.engines.placement import (
    MAX_RUNNING_SHARE,
    Choice,
    Placement,
)
from hickorymux._internal.coordination.engines.share_log import Outcome
from hickorymux._internal.coordination.engines.wait_queue import WaitQueue
from hickorymux._internal.coordination.rollouts.gate import RolloutGate, Side
from hickorymux._internal.exceptions import NoCapacity, StreamVersionGone
from hickorymux._internal.protocol.placement_messages import (
    CandidateReport,
    Exclusion,
    PlacementReport,
    Verdict,
)
from hickorymux._internal.state.upstream_registry import RegisteredUpstream

_MEDIAN: Final = 0.5
_REASONS: Final = {
    Outcome.full: 'no upstream has room',
    Outcome.late: 'the answer would begin too late at the best upstream',
    Outcome.deferred: 'the free slots are left to customers that are due more',
    Outcome.served: 'the best upstream that has room',
}


@final
class MedianDraw(random.Random):
    """Draws the median, so that a report follows what most requests get."""

    def random(self) -> float:
        """Return the median of the numbers that may be drawn."""
        return _MEDIAN


@final
class PlacementPreview:
    """Reports the placement of requests at one moment.

    ``allocator`` is a copy whose questions change nothing at the original,
    and ``queues`` are the wait queues of the original, which are only read.
    """

    __slots__ = ('allocator', 'now', 'queues')

    def __init__(
        self, allocator: Allocator, queues: dict[str, WaitQueue]
    ) -> None:
        self.allocator = allocator
        self.queues = queues
        self.now = allocator.clock.monotonic()

    @classmethod
    def from_allocator(cls, original: Allocator) -> Self:
        """Return a preview of what the allocator would decide now."""
        preview = Allocator(
            original.registry,
            copy.deepcopy(original.cold_share),
            copy.deepcopy(original.request_limits),
            original.cold_rate_limit,
            original.clock,
            original.placement.zone,
            original.region_of,
        )
        preview.load_tracker = original.load_tracker
        preview.speeds = original.speeds
        preview.health = original.health
        preview.notices = original.notices
        preview.placement = Placement(
            original.load_tracker, original.speeds, original.placement.zone
        )
        preview.placement.reported_loads = original.placement.reported_loads
        preview.rollout_gate = RolloutGate(
            original.registry, original.clock, MedianDraw()
        )
        preview.rollout_gate.pools = original.rollout_gate.pools
        return cls(preview, original.wait_queues)

    def report(self, demand: Demand) -> PlacementReport:
        """Return where the request would be sent, and all upstreams."""
        verdict, reason, choice = self._decide(demand)
        return PlacementReport(
            pool=demand.pool.name,
            verdict=verdict,
            reason=reason,
            chosen='' if choice is None else choice.upstream.upstream_id,
            candidates=tuple(
                self._describe(demand, upstream)
                for upstream in self.allocator.registry.all_in_pool(
                    demand.pool.name
                )
            ),
        )

    def exclusion(
        self, demand: Demand, upstream: RegisteredUpstream
    ) -> Exclusion | None:
        """Return the first reason why an upstream can't get the request."""
        return (
            self._own_exclusion(upstream)
            or self._demand_exclusion(demand, upstream)
            or self._cold_exclusion(demand, upstream)
            or self._room_exclusion(demand, upstream)
        )

    def _decide(self, demand: Demand) -> tuple[Verdict, str, Choice | None]:
        try:
            self.allocator.check_version(demand)
            self.allocator.check_notices(demand)
        except (NoCapacity, StreamVersionGone) as error:
            return Verdict.refused, error.detail, None
        queue = self._copy_queue(demand.pool.name)
        reason = 'other requests wait for the pool'
        if not queue.by_customer:
            choice, outcome = self._choose(demand, queue)
            reason = _REASONS[outcome]
            if choice is not None:
                return Verdict.placed, reason, choice
        if self._would_be_shed(demand, queue):
            return (
                Verdict.refused,
                f'{reason}, and the wait queue is too long',
                None,
            )
        return Verdict.waits, reason, None

    def _choose(
        self, demand: Demand, queue: WaitQueue
    ) -> tuple[Choice | None, Outcome]:
        outcome = Outcome.full
        for side in self.allocator.rollout_gate.sides(demand):
            choice, outcome = self.allocator.choose(
                demand, queue, self.now, side
            )
            if choice is not None:
                return choice, outcome
        return None, outcome

    def _copy_queue(self, pool: str) -> WaitQueue:
        """Return a copy of a wait queue; the meter is shared, as it is read."""
        queue = WaitQueue(self.now)
        original = self.queues.get(pool)
        if original is not None:
            queue.rate = copy.copy(original.rate)
            queue.meter = original.meter
            queue.queued_cost = original.queued_cost
            queue.by_customer = {
                customer: list(demands)
                for customer, demands in original.by_customer.items()
            }
        return queue

    def _would_be_shed(self, demand: Demand, queue: WaitQueue) -> bool:
        """Return whether the request is refused as soon as it waits."""
        queue.push(demand)
        give_up_at = refusal.give_up_at(demand)
        if self.allocator.clears_by(queue, give_up_at):
            return False
        latest = max(map(refusal.give_up_at, queue.all_waiting()))
        while not self.allocator.clears_by(queue, latest):
            victim = queue.next_to_refuse(self.now)
            if self.allocator.is_owed_room(queue, victim, self.now):
                return False
            if victim is demand:
                return True
            queue.remove(victim)
        return False

    def _describe(
        self, demand: Demand, upstream: RegisteredUpstream
    ) -> CandidateReport:
        upstream_id = upstream.upstream_id
        placement = self.allocator.placement
        load = placement.total_load(upstream_id, self.now)
        age = placement.reported_loads.age(upstream_id, self.now)
        work_time = None
        if age is not None:
            work_time = placement.reported_loads.work_time(
                upstream_id, self.now
            )
        choice = self._choice_at(demand, upstream)
        return CandidateReport(
            upstream=upstream_id,
            zone=upstream.zone,
            version=upstream.version,
            excluded=self.exclusion(demand, upstream),
            running=load.running,
            unprocessed_tokens=load.unprocessed_tokens,
            memory_tokens=load.memory_tokens,
            is_cold=self.allocator.registry.is_cold(upstream, self.now),
            report_age_seconds=age,
            work_time=work_time,
            expected_seconds=(
                None if choice is None else choice.expected_seconds
            ),
        )

    def _choice_at(
        self, demand: Demand, upstream: RegisteredUpstream
    ) -> Choice | None:
        """Return the choice if the upstream were the only candidate."""
        placement = self.allocator.placement
        alone = placement.candidates((upstream,), self.now)
        return placement.choose(demand, alone, self.now)

    def _own_exclusion(self, upstream: RegisteredUpstream) -> Exclusion | None:
        """Return a reason that holds for all requests."""
        listed = self._registry_exclusion(upstream)
        return listed or self._upstream_exclusion(upstream)

    def _registry_exclusion(
        self, upstream: RegisteredUpstream
    ) -> Exclusion | None:
        registry = self.allocator.registry
        if not upstream.is_ready:
            return Exclusion.draining
        if upstream.zone in registry.evacuated_zones:
            return Exclusion.zone_evacuated
        if not registry.is_available(upstream.upstream_id):
            return Exclusion.left
        return None

    def _upstream_exclusion(
        self, upstream: RegisteredUpstream
    ) -> Exclusion | None:
        parts = self.allocator
        if not parts.health.is_available(upstream.upstream_id, self.now):
            return Exclusion.failing_health
        if parts.notices.is_leaving(upstream.incarnation):
            return Exclusion.leaving
        if not parts.notices.may_send(upstream.incarnation, self.now):
            return Exclusion.paused
        if not parts.request_limits.may_send(upstream, self.now):
            return Exclusion.at_request_limit
        return None

    def _demand_exclusion(
        self, demand: Demand, upstream: RegisteredUpstream
    ) -> Exclusion | None:
        if not self.allocator.is_region_allowed(demand, upstream):
            return Exclusion.other_region
        gate = self.allocator.rollout_gate
        sides: tuple[Side, ...] = gate.sides(demand)
        is_allowed = any(gate.allows(upstream, side) for side in sides)
        if demand.version not in {None, upstream.version} or not is_allowed:
            return Exclusion.other_version
        return None

    def _cold_exclusion(
        self, demand: Demand, upstream: RegisteredUpstream
    ) -> Exclusion | None:
        parts = self.allocator
        if not parts.registry.is_cold(upstream, self.now):
            return None
        limit = parts.cold_rate_limit(demand.pool)
        if parts.cold_share.may_send(upstream.incarnation, limit, self.now):
            return None
        return Exclusion.cold_without_share

    def _room_exclusion(
        self, demand: Demand, upstream: RegisteredUpstream
    ) -> Exclusion | None:
        if self._choice_at(demand, upstream) is not None:
            return None
        load = self.allocator.placement.total_load(
            upstream.upstream_id, self.now
        )
        has_slots = load.running < upstream.slots * MAX_RUNNING_SHARE
        if isinstance(demand, PromptDemand) and has_slots:
            return Exclusion.no_memory
        return Exclusion.no_slots
