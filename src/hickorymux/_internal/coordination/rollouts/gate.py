"""Tells which versions a new request of a pool may use.

A pool without a roll-out costs one look-up. For the others, each request is
assigned to one or more sides of the pool in order: the next is tried if no
upstream of the one before has room.

Example::

    for side in gate.sides(demand):
        usable = [one for one in upstreams if gate.allows(one, side)]
"""

import enum
import math
import random
from collections.abc import Iterable
from typing import Final, final

import xxhash

from hickorymux._internal.coordination.engines.demands import (
    Demand,
    PromptDemand,
)
from hickorymux._internal.coordination.engines.speeds import (
    DEFAULT_SERVICE_SECONDS,
    nominal_seconds,
)
from hickorymux._internal.coordination.rollouts.attempts import (
    COLD_ALLOWANCE,
    AttemptWatch,
)
from hickorymux._internal.coordination.rollouts.exposure import ExposureBudget
from hickorymux._internal.coordination.rollouts.orders import (
    RolloutBounds,
    RolloutOrder,
    Stage,
)
from hickorymux._internal.coordination.rollouts.tallies import Tally
from hickorymux._internal.state.upstream_registry import (
    RegisteredUpstream,
    UpstreamRegistry,
)
from hickorymux._internal.utils.clock import Clock

# Requests of the exposure budget go to this share of as many upstreams as the
# old version has, or to a larger one if the target gets more of the requests.
# So each of them has some 1.4 times the load of those of the old version, and a
# version that is bad under load only shows it.
CANARY_SHARE: Final = 0.1
CANARY_LOAD: Final = 1.4
MIN_SHARE_REQUESTS: Final = 10
# The slack is released evenly over this part of the time budget, since all of
# it at once would overload the few upstreams that get it.
SLACK_PART: Final = 0.5
# The part of all requests that the target gets in the stage ``ramp``.
RAMP_SHARE: Final = 0.3
# A directive is followed for this long without being repeated. After that the
# router uses its own exposure budget only.
DIRECTIVE_SECONDS: Final = 1.5
# Cut answers and refusals of one upstream within this time count once. They
# have one cause, and a crashed host says little about its version.
SAME_CAUSE_SECONDS: Final = 0.15
# Stream durations from which the usual one is taken.
MAX_DURATIONS: Final = 64
USUAL_QUANTILE: Final = 0.9


class Side(enum.Enum):
    """A part of the upstreams of a pool."""

    all = 'all'
    old = 'old'
    target = 'target'
    canary = 'canary'


_ANY: Final = (Side.all,)
_OLD: Final = (Side.old,)
_TARGET: Final = (Side.target,)
_CANARY_FIRST: Final = (Side.canary, Side.old)
_TARGET_FIRST: Final = (Side.target, Side.old)


@final
class PoolRollout:
    """The roll-out of one pool, as this router follows it.

    ``is_status_known`` tells whether this or the judging router has read the
    status record. Until
    then the target gets nothing, as it may have been found to be bad before
    this router started. ``canary_ids`` are the target's upstreams that get the
    requests of the exposure budget.
    """

    __slots__ = (
        'budget',
        'canary_ids',
        'directive_at',
        'durations',
        'has_old',
        'has_target',
        'is_status_known',
        'last_cuts',
        'order',
        'started_at',
        'stage',
        'stage_since',
        'tally',
        'watches',
    )

    def __init__(
        self, order: RolloutOrder, budget: ExposureBudget, now: float
    ) -> None:
        self.order = order
        self.budget = budget
        self.started_at = now
        self.stage = Stage.canary
        self.stage_since = now
        self.directive_at = -math.inf
        self.is_status_known = False
        self.has_old = True
        self.has_target = False
        self.canary_ids: frozenset[str] = frozenset()
        self.tally = Tally()
        self.watches: set[AttemptWatch] = set()
        self.last_cuts: dict[str, float] = {}
        self.durations: list[float] = []

    def enter(self, stage: Stage, now: float) -> bool:
        """Go to a stage unless there is a verdict; return whether it changed."""
        if self.stage.is_verdict or stage is self.stage:
            return False
        self.stage = stage
        self.stage_since = now
        return True

    def replace_verdict(self, stage: Stage, now: float) -> bool:
        """Adopt the verdict of the status record; return whether it is new."""
        if stage is self.stage:
            return False
        self.stage = stage
        self.stage_since = now
        return True

    def released_share(self, now: float) -> float:
        """Return the part of the slack that may be used by now."""
        seconds = self.order.duration.total_seconds() * SLACK_PART
        return min(1, (now - self.started_at + 1) / (seconds + 1))

    def exposed_share(self) -> float:
        """Return the part of the requests that the target gets."""
        budget = self.budget
        if budget.requests < MIN_SHARE_REQUESTS:
            return CANARY_SHARE
        return max(CANARY_SHARE, budget.exposed / budget.requests)

    def usual_stream_seconds(self) -> float:
        """Return a high quantile of the last stream durations."""
        if not self.durations:
            return 0
        ordered = sorted(self.durations)
        return ordered[int(len(ordered) * USUAL_QUANTILE)]

    def add_duration(self, seconds: float) -> None:
        """Record how long a stream took."""
        self.durations.append(seconds)
        if len(self.durations) > MAX_DURATIONS:
            self.durations.pop(0)


@final
class RolloutGate:
    """The roll-outs of all pools, asked before each placement and send.

    Without ``bounds`` there are no roll-outs.
    """

    __slots__ = ('bounds', 'clock', 'pools', 'registry', 'rng')

    def __init__(
        self,
        registry: UpstreamRegistry,
        clock: Clock,
        rng: random.Random,
        bounds: RolloutBounds | None = None,
    ) -> None:
        self.registry = registry
        self.clock = clock
        self.rng = rng
        self.bounds = bounds
        self.pools: dict[str, PoolRollout] = {}

    def sides(self, demand: Demand) -> tuple[Side, ...]:
        """Return the sides of the pool that may get the request, in order."""
        if not self.pools or demand.version is not None:
            return _ANY
        rollout = self.pools.get(demand.pool.name)
        if rollout is None:
            return _ANY
        if rollout.stage is Stage.succeeded:
            return _TARGET
        if rollout.stage is Stage.rolled_back:
            return _OLD
        return self._running_sides(rollout, demand)

    def allows(self, upstream: RegisteredUpstream, side: Side) -> bool:
        """Return whether an upstream belongs to a side of its pool."""
        if side is Side.all:
            return True
        rollout = self.pools.get(upstream.pool)
        if rollout is None:
            return True
        is_target = upstream.version == rollout.order.target
        if side is Side.canary:
            return is_target and upstream.upstream_id in rollout.canary_ids
        return is_target is (side is Side.target)

    def may_send(self, upstream: RegisteredUpstream, demand: Demand) -> bool:
        """Return whether a placed request may still be sent.

        A verdict may have arrived since it was placed.
        """
        rollout = self.pools.get(upstream.pool)
        if rollout is None or demand.version is not None:
            return True
        is_target = upstream.version == rollout.order.target
        if rollout.stage is Stage.rolled_back:
            return not is_target
        return is_target or rollout.stage is not Stage.succeeded

    def is_comparing(self, pool: str) -> bool:
        """Return whether the versions of a pool are being compared."""
        rollout = self.pools.get(pool)
        return rollout is not None and not rollout.stage.is_verdict

    def on_reserved(self, upstream: RegisteredUpstream, demand: Demand) -> None:
        """Count a request against the exposure budget."""
        rollout = self.pools.get(upstream.pool)
        if rollout is None:
            return
        if not demand.excluded_ids:
            rollout.budget.count_request()
        if upstream.version == rollout.order.target:
            rollout.budget.count_exposed()

    def watch(
        self,
        upstream: RegisteredUpstream,
        demand: Demand,
        route: str,
        unprocessed_tokens: float,
    ) -> AttemptWatch | None:
        """Return the observer of an attempt, ``None`` without a roll-out.

        ``unprocessed_tokens`` are the prompt tokens that the upstream has to
        process until the answer begins.
        """
        rollout = self.pools.get(upstream.pool)
        if rollout is None or rollout.stage.is_verdict:
            return None
        is_target = upstream.version == rollout.order.target
        nominal = _nominal_seconds(demand, unprocessed_tokens, is_target)
        if self.registry.is_cold(upstream, self.clock.monotonic()):
            nominal *= COLD_ALLOWANCE
        watch = AttemptWatch(
            rollout.tally,
            route,
            upstream.incarnation,
            nominal,
            self.clock,
            is_target=is_target,
        )
        rollout.watches.add(watch)
        return watch

    def on_result(
        self,
        upstream: RegisteredUpstream,
        watch: AttemptWatch,
        *,
        is_failed: bool,
        is_shared_cause: bool = False,
    ) -> None:
        """Count the end of an attempt that was sent.

        ``is_shared_cause`` tells that other attempts may fail at the same
        moment for the same reason.
        """
        rollout = self.pools.get(upstream.pool)
        if rollout is None or watch.tally is not rollout.tally:
            return
        now = self.clock.monotonic()
        if is_shared_cause:
            last = rollout.last_cuts.get(upstream.incarnation, -math.inf)
            rollout.last_cuts[upstream.incarnation] = now
            if now - last < SAME_CAUSE_SECONDS:
                return
        elif watch.began_at is not None and not is_failed:
            rollout.add_duration(now - watch.started_at)
        watch.finish(is_failed=is_failed)

    def forget(self, upstream: RegisteredUpstream, watch: AttemptWatch) -> None:
        """End the observation of an attempt."""
        rollout = self.pools.get(upstream.pool)
        if rollout is not None:
            rollout.watches.discard(watch)

    def update(self, rollout: PoolRollout, routers: int, slack: float) -> None:
        """Update what depends on time, on the upstreams and on the routers."""
        now = self.clock.monotonic()
        rollout.budget.update_slack(
            slack * rollout.released_share(now), routers
        )
        for watch in rollout.watches:
            watch.check_overdue()
        usable = tuple(self.registry.available_in_pool(rollout.order.service))
        target = [one for one in usable if one.version == rollout.order.target]
        old_count = len(usable) - len(target)
        rollout.has_old = any(
            one.version != rollout.order.target
            for one in self.registry.all_in_pool(rollout.order.service)
        )
        rollout.has_target = bool(target)
        warm = [one for one in target if not self.registry.is_cold(one, now)]
        share = rollout.exposed_share()
        wanted = max(1, math.ceil(old_count * share / CANARY_LOAD))
        rollout.canary_ids = _first_ids(
            warm if len(warm) >= wanted else target,
            wanted if len(warm) >= wanted else len(target),
        )

    def has_capacity(
        self, rollout: PoolRollout, running: int, slot_share: float
    ) -> bool:
        """Return whether warm upstreams of the target have room for all.

        ``running`` is the number of requests at the whole pool; they may fill
        ``slot_share`` of the slots.
        """
        now = self.clock.monotonic()
        slots = sum(
            one.slots
            for one in self.registry.available_in_pool(rollout.order.service)
            if one.version == rollout.order.target
            and not self.registry.is_cold(one, now)
        )
        return running < slots * slot_share

    def _running_sides(
        self, rollout: PoolRollout, demand: Demand
    ) -> tuple[Side, ...]:
        if not rollout.has_old:
            return _ANY
        if not rollout.has_target or not rollout.is_status_known:
            return _OLD
        is_directed = (
            self.clock.monotonic() - rollout.directive_at < DIRECTIVE_SECONDS
        )
        if is_directed and rollout.stage is Stage.shift:
            return _TARGET_FIRST
        if demand.excluded_ids:
            # What failed once is sent to the version that is known.
            return _OLD
        if is_directed and rollout.stage is Stage.ramp:
            is_chosen = self.rng.random() < RAMP_SHARE
            return _TARGET_FIRST if is_chosen else _OLD
        return _CANARY_FIRST if rollout.budget.may_expose() else _OLD


def _nominal_seconds(
    demand: Demand, unprocessed_tokens: float, is_target: bool
) -> float:
    """Return the nominal time until an answer begins.

    Upstreams of the target have just started, so they process also the shared
    parts of a prompt, which those of the old version have in their caches.
    """
    if not isinstance(demand, PromptDemand):
        return DEFAULT_SERVICE_SECONDS
    if is_target:
        prompt = demand.prompt
        unprocessed_tokens += prompt.tokens - prompt.unshared_tokens
    return nominal_seconds(unprocessed_tokens)


def _first_ids(
    upstreams: Iterable[RegisteredUpstream], count: int
) -> frozenset[str]:
    """Return some ids, the same at all routers that know the same upstreams."""
    ranked = sorted(
        (_rank(one.upstream_id), one.upstream_id) for one in upstreams
    )
    return frozenset(upstream_id for _, upstream_id in ranked[:count])


def _rank(upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'canary {upstream_id}'.encode())
