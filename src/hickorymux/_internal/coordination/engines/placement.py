"""Chooses the upstream for a request.

Load pattern for model engines: requests share the beginnings of their
prompts. Processing a shared part again on another engine costs capacity,
which hurts most when all engines are busy. So prompts with the same shared
part go to one preferred engine, whose prefix cache holds the part. The
preferred engine is found by rendezvous hashing (Thaler and Ravishankar, 1998).
A request goes to another engine only if the preferred one would be late and
the other is idle. It then fetches the shared parts from the preferred engine,
which takes a small part of the time of processing them.

Long prompts are processed on engines of their own. In pools whose engines state
how long work takes, each goes to the one of them that begins it first, as it is
long enough to delay whatever shares an engine with it. It fetches its shared
parts from the preferred engine in any case, so nothing ties it to one engine.

Load pattern for plain services: short requests with little variance in their
duration. So a request goes to the upstream that is expected to finish it
first; at equal load, upstreams in the router's own availability zone come
before others.
"""

import dataclasses

import math
from collections.abc import Sequence
from functools import partial, singledispatchmethod
from typing import Final, final

import xxhash

from hickorymux._internal.coordination.engines.demands import (
    Demand,
    PlainDemand,
    PromptDemand,
)
from hickorymux._internal.coordination.engines.load_tracker import (
    EngineLoad,
    LoadTracker,
)
from hickorymux._internal.coordination.engines.prompts import Prompt
from hickorymux._internal.coordination.engines.reported_loads import (
    ReportedLoads,
)
from hickorymux._internal.coordination.engines.speeds import UpstreamSpeeds
from hickorymux._internal.state.routing import EngineModel
from hickorymux._internal.state.upstream_registry import RegisteredUpstream

# The part of an engine's KV cache memory that running requests may fill; the
# rest keeps prompt parts for reuse.
MAX_MEMORY_SHARE: Final = 0.5
# The part of an engine's slots that may be in use. Each running request slows
# the others, and a full engine finishes long answers too late.
MAX_RUNNING_SHARE: Final = 0.6
# Limit of requests per slot of a plain service. At 2, a request waits behind
# others for at most as long as it then takes itself.
PLAIN_OVERCOMMIT: Final = 2.0
# Added to the expected time for a full upstream, and in proportion for one
# that is partly in use. It only decides between otherwise equal upstreams.
UTILIZATION_PENALTY_SECONDS: Final = 0.001
# Added to the expected time of a plain request at an upstream in another zone.
OTHER_ZONE_PENALTY_SECONDS: Final = 0.004
# An engine other than the preferred one is used only if it is idle: it has few
# unprocessed prompt tokens, and few running streams that a new prompt would
# delay.
MAX_IDLE_UNPROCESSED_TOKENS: Final = 2000
MAX_IDLE_RUNNING_SHARE: Final = 0.25
# Prompts of this many tokens or more are processed on separate engines. At
# about 40 ms for each 4,096 tokens, they pause the streams on the same engine
# for longer than the 400 ms that callers accept.
LONG_PROMPT_TOKENS: Final = 12000
# The part of the engines that processes long prompts. In the deployments in
# use, those are a tenth of the requests with about a third of the tokens.
LONG_PROMPT_ENGINE_SHARE: Final = 0.25
# Cached preferred engines; more than the shared parts in use at a time.
MAX_CACHED_PREFERENCES: Final = 4000
# Sets of engines whose size classes and preferred engines are cached.
MAX_CACHED_ENGINE_SETS: Final = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """An upstream for a request, and the load that the request adds to it.

    ``expected_seconds`` is the time until the answer is expected: until it
    begins for model engines, until it is whole for plain services.
    ``unprocessed_before`` is the number of prompt tokens, and
    ``running_before`` the number of requests, that the upstream already has.
    ``fetch_from`` is the address of an engine to fetch cached parts of the
    prompt from, empty if there is nothing to fetch.
    """

    upstream: RegisteredUpstream
    load: EngineLoad
    expected_seconds: float
    unprocessed_before: int = 0
    running_before: int = 0
    fetch_from: str = ''


@final
class SizeClasses:
    """The engines for long prompts, and those for all other requests.

    The size classes and preferred engines depend only on the set of engines,
    so all routers that know the same engines agree on them.
    """

    __slots__ = ('preferred_ids', 'long', 'short')

    def __init__(self, upstream_ids: Sequence[str]) -> None:
        ranked_ids = sorted(upstream_ids, key=_size_class_rank)
        size = round(len(ranked_ids) * LONG_PROMPT_ENGINE_SHARE)
        self.long = ranked_ids[:size] or ranked_ids
        self.short = ranked_ids[size:] or ranked_ids
        self.preferred_ids: dict[tuple[str, bool], str] = {}

    def preferred_id(self, key: str, *, is_long: bool) -> str:
        """Return the id of the engine preferred for a shared prompt part."""
        cached = self.preferred_ids.get((key, is_long))
        if cached is None:
            engines = self.long if is_long else self.short
            cached = max(engines, key=partial(_rank, key))
            if len(self.preferred_ids) >= MAX_CACHED_PREFERENCES:
                self.preferred_ids.clear()
            self.preferred_ids[key, is_long] = cached
        return cached


@final
class Candidates:
    """Upstreams that may get a request, indexed for repeated choices.

    ``idle`` holds those that were idle when the candidates were collected.
    """

    __slots__ = ('by_id', 'idle', 'size_classes', 'upstreams')

    def __init__(
        self,
        upstreams: Sequence[RegisteredUpstream],
        idle: Sequence[RegisteredUpstream],
        size_classes: SizeClasses,
    ) -> None:
        self.upstreams = upstreams
        self.idle = idle
        self.size_classes = size_classes
        self.by_id = {one.upstream_id: one for one in upstreams}

    def preferred_engine(
        self, key: str, *, is_long: bool
    ) -> RegisteredUpstream:
        """Return the engine preferred for a shared prompt part."""
        return self.by_id[self.size_classes.preferred_id(key, is_long=is_long)]


@final
class Placement:
    """Chooses an upstream for a request among the candidates."""

    __slots__ = (
        'load_tracker',
        'reported_loads',
        'size_classes',
        'speeds',
        'zone',
    )

    def __init__(
        self,
        load_tracker: LoadTracker,
        speeds: UpstreamSpeeds,
        zone: str,
    ) -> None:
        self.load_tracker = load_tracker
        self.reported_loads = ReportedLoads()
        self.speeds = speeds
        self.zone = zone
        self.size_classes: dict[tuple[str, ...], SizeClasses] = {}

    @singledispatchmethod
    def choose(
        self,
        demand: Demand,
        candidates: 'Candidates',
        now: float,
    ) -> Choice | None:
        """Return the choice of upstream, ``None`` if none has a free slot.

        Raises ``TypeError`` for an unknown kind of demand.
        """
        raise TypeError(f'no placement for {type(demand).__name__}')

    @choose.register
    def _(
        self,
        demand: PlainDemand,
        candidates: 'Candidates',
        now: float,
    ) -> Choice | None:
        best: Choice | None = None
        best_seconds = math.inf
        for upstream in candidates.upstreams:
            running = self.total_load(upstream.upstream_id, now).running
            if running >= upstream.slots * PLAIN_OVERCOMMIT:
                continue
            seconds = self.speeds.service_seconds(
                upstream.upstream_id,
                running,
                upstream.slots,
            ) * self.reported_loads.work_time(upstream.upstream_id, now)
            ranked_seconds = (
                seconds + running / upstream.slots * UTILIZATION_PENALTY_SECONDS
            )
            if upstream.zone != self.zone:
                ranked_seconds += OTHER_ZONE_PENALTY_SECONDS
            if ranked_seconds < best_seconds:
                best_seconds = ranked_seconds
                load = EngineLoad(running=1)
                best = Choice(
                    upstream,
                    load,
                    seconds,
                    running_before=running,
                )
        return best

    @choose.register
    def _(
        self,
        demand: PromptDemand,
        candidates: 'Candidates',
        now: float,
    ) -> Choice | None:
        if not candidates.upstreams:
            return None
        key = demand.prompt.affinity_key or demand.request_id
        cache_owner = candidates.preferred_engine(key, is_long=False)
        preferred = self._preferred(demand, candidates, cache_owner, now)
        remaining = demand.start_deadline - now
        if preferred is not None and preferred.expected_seconds <= remaining:
            return preferred
        for upstream in candidates.idle:
            choice = self._evaluate(demand, upstream, cache_owner, now)
            if choice is not None and self._is_idle(upstream, now):
                return choice
        return preferred

    def candidates(
        self,
        upstreams: Sequence[RegisteredUpstream],
        now: float,
    ) -> 'Candidates':
        """Return upstreams of one pool as candidates for repeated choices.

        ``now`` is in monotonic seconds.
        """
        return Candidates(
            upstreams,
            [one for one in upstreams if self._is_idle(one, now)],
            self._size_classes_of(upstreams),
        )

    def _preferred(
        self,
        demand: PromptDemand,
        candidates: 'Candidates',
        cache_owner: RegisteredUpstream,
        now: float,
    ) -> Choice | None:
        """Return the engine of the prompt's size class, if it has room."""
        if not is_long(demand.prompt):
            return self._evaluate(demand, cache_owner, cache_owner, now)
        if demand.pool.name in self.reported_loads.pools:
            return self._choose_for_long(demand, candidates, cache_owner, now)
        key = demand.prompt.affinity_key or demand.request_id
        engine = candidates.preferred_engine(key, is_long=True)
        return self._evaluate(demand, engine, cache_owner, now)

    def _choose_for_long(
        self,
        demand: PromptDemand,
        candidates: 'Candidates',
        cache_owner: RegisteredUpstream,
        now: float,
    ) -> Choice | None:
        """Return the engine for long prompts that begins the answer first.

        Among equals it is the one with the fewest streams, which the prompt
        delays, and then one drawn by the request's id, so that routers with the
        same view don't all choose the same one.
        """
        choices = (
            self._evaluate(demand, candidates.by_id[each], cache_owner, now)
            for each in candidates.size_classes.long
        )
        return min(
            (choice for choice in choices if choice is not None),
            key=lambda choice: (
                choice.expected_seconds,
                choice.running_before,
                _rank(demand.request_id, choice.upstream.upstream_id),
            ),
            default=None,
        )

    def total_load(self, upstream_id: str, now: float) -> EngineLoad:
        """Return the load of all routers, corrected by what engines state."""
        total = self.load_tracker.total_load(upstream_id)
        total.running = self.reported_loads.running(
            upstream_id,
            total.running,
            self.load_tracker.own_running(upstream_id),
            now,
        )
        return total

    def _size_classes_of(
        self, upstreams: Sequence[RegisteredUpstream]
    ) -> SizeClasses:
        """Return the size classes of a set of upstreams.

        Cold upstreams join and leave the candidates with every request that
        is sent to them, so the results for several sets are cached.
        """
        ids = tuple(upstream.upstream_id for upstream in upstreams)
        cached = self.size_classes.get(ids)
        if cached is None:
            if len(self.size_classes) >= MAX_CACHED_ENGINE_SETS:
                self.size_classes.clear()
            cached = SizeClasses(ids)
            self.size_classes[ids] = cached
        return cached

    def _is_idle(self, upstream: RegisteredUpstream, now: float) -> bool:
        total = self.total_load(upstream.upstream_id, now)
        is_quiet = total.running <= upstream.slots * MAX_IDLE_RUNNING_SHARE
        return (
            is_quiet and total.unprocessed_tokens <= MAX_IDLE_UNPROCESSED_TOKENS
        )

    def _evaluate(
        self,
        demand: PromptDemand,
        upstream: RegisteredUpstream,
        cache_owner: RegisteredUpstream,
        now: float,
    ) -> Choice | None:
        """Return the choice of an engine, ``None`` if it has no room.

        ``cache_owner`` is assumed to hold the shared parts of the prompt;
        another engine fetches them from there.
        """
        prompt = demand.prompt
        total = self.total_load(upstream.upstream_id, now)
        unprocessed = prompt.unshared_tokens
        shared = prompt.tokens - unprocessed
        load = EngineLoad(
            running=1,
            unprocessed_tokens=unprocessed,
            memory_tokens=prompt.memory_tokens - shared,
        )
        if not has_room(total, load, demand.pool.engine, upstream.slots):
            return None
        seconds = self.speeds.prompt_seconds(
            upstream.upstream_id,
            total.unprocessed_tokens + unprocessed,
        ) * self.reported_loads.work_time(upstream.upstream_id, now)
        return Choice(
            upstream,
            load,
            seconds,
            unprocessed_before=total.unprocessed_tokens,
            running_before=total.running,
            fetch_from=(
                cache_owner.address
                if shared and cache_owner is not upstream
                else ''
            ),
        )


def is_long(prompt: Prompt) -> bool:
    """Return whether processing the prompt delays other streams too long."""
    return prompt.unshared_tokens >= LONG_PROMPT_TOKENS


def _rank(key: str, upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\n{upstream_id}'.encode())


def _size_class_rank(upstream_id: str) -> int:
    # The prefix makes this order independent of the one that `_rank` gives.
    return xxhash.xxh3_64_intdigest(f'lane {upstream_id}'.encode())


def has_room(
    total: EngineLoad,
    added: EngineLoad,
    engine: EngineModel | None,
    slots: int,
) -> bool:
    """Return whether an engine can run another request.

    ``total`` is its present load and ``added`` that of the request. The memory
    limit applies only to engines with a known model that run something.
    """
    if total.running >= slots * MAX_RUNNING_SHARE:
        return False
    if engine is None or not total.running:
        return True
    limit = engine.memory_tokens * MAX_MEMORY_SHARE
    return total.memory_tokens + added.memory_tokens <= limit
