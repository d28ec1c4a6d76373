"""Which upstream a request goes to.

Load pattern for model engines: requests share the beginnings of their
prompts, and reading such a part again on another engine takes capacity from
all, most of it when all engines are busy. Like prompts have one home by
rendezvous hashing (Thaler and Ravishankar, 1998). A request goes to another
engine only if the home would be late and that one is idle, and then fetches
the shared parts from the home, which takes a small part of the time of
reading them.

Load pattern for plain services: short requests with little variance, so the
upstream that is done first, the own zone before others at equal load.
"""

import dataclasses

import math
from collections.abc import Sequence
from functools import partial, singledispatchmethod
from typing import Final, final

import xxhash

from hickorymux._internal.coordination.engines.load_tracker import (
    EngineLoad,
    LoadTracker,
)
from hickorymux._internal.coordination.engines.demands import (
    Demand,
    PlainDemand,
    PromptDemand,
)
from hickorymux._internal.coordination.engines.prompts import Prompt
from hickorymux._internal.coordination.engines.speeds import UpstreamSpeeds
from hickorymux._internal.state.routing import EngineModel
from hickorymux._internal.state.upstream_registry import RegisteredUpstream

# The part of an engine's memory that running requests may fill; the rest
# keeps prompt parts that are used again.
MAX_MEMORY_SHARE: Final = 0.5
# The part of an engine's slots that is filled: each running request slows the
# others, and a full engine ends its long answers too late.
MAX_RUNNING_SHARE: Final = 0.6
# Places beyond the slots of a plain service; an answer is then waited for at
# most as long again as it takes.
PLAIN_OVERCOMMIT: Final = 2.0
# What a full upstream costs more than an empty one of the same speed, in
# seconds; it only decides between equals.
UTILIZATION_PENALTY_SECONDS: Final = 0.001
# What another zone costs a plain request, in seconds.
OTHER_ZONE_PENALTY_SECONDS: Final = 0.004
# Another engine than the home is used only if it idles: nothing much to read,
# and few streams that reading would hold up.
MAX_IDLE_UNPROCESSED_TOKENS: Final = 2000
MAX_IDLE_RUNNING_SHARE: Final = 0.25
# Reading more than this at once pauses the streams beside it for longer than
# the 400 ms that their callers bear, at some 40 ms for each 4,096 tokens.
LONG_PROMPT_TOKENS: Final = 12000
# The part of the engines that reads long prompts; they are a tenth of the
# requests of the deployments in use and about a third of what is read.
LONG_PROMPT_ENGINE_SHARE: Final = 0.25
# Homes that are kept at hand; more than the shared parts in use at a time.
MAX_CACHED_PREFERENCES: Final = 4000
# Sets of engines whose lanes and homes are kept at hand.
MAX_CACHED_ENGINE_SETS: Final = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """An upstream, the load the request adds, and when it should begin.

    ``fetch_from`` is the address of an engine that holds shared parts of the
    prompt, empty where nothing is to be fetched.
    """

    upstream: RegisteredUpstream
    load: EngineLoad
    expected_seconds: float
    unprocessed_before: int = 0
    running_before: int = 0
    fetch_from: str = ''


@final
class SizeClasses:
    """The engines that read long prompts, and those for everything else.

    They depend on nothing but which engines are there; so do the homes.
    """

    __slots__ = ('preferred_ids', 'long', 'short')

    def __init__(self, upstream_ids: Sequence[str]) -> None:
        ranking = sorted(upstream_ids, key=_size_class_rank)
        size = round(len(ranking) * LONG_PROMPT_ENGINE_SHARE)
        self.long = ranking[:size] or ranking
        self.short = ranking[size:] or ranking
        self.preferred_ids: dict[tuple[str, bool], str] = {}

    def preferred_id(self, key: str, *, is_long: bool) -> str:
        """Return the engine that prompts with this shared part go to."""
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
    """Upstreams that may get a request, prepared for many choices.

    ``idle`` are those that idled when they were prepared.
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
        """Return the engine that prompts with this shared part go to."""
        return self.by_id[self.size_classes.preferred_id(key, is_long=is_long)]


@final
class Placement:
    """Chooses among upstreams that may get a request."""

    __slots__ = ('load_tracker', 'size_classes', 'speeds', 'zone')

    def __init__(
        self,
        load_tracker: LoadTracker,
        speeds: UpstreamSpeeds,
        zone: str,
    ) -> None:
        self.load_tracker = load_tracker
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
        """Return where the request goes, ``None`` if nowhere is room."""
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
            running = self.load_tracker.total_load(upstream.upstream_id).running
            if running >= upstream.slots * PLAIN_OVERCOMMIT:
                continue
            seconds = self.speeds.service_seconds(
                upstream.upstream_id,
                running,
                upstream.slots,
            )
            ranking = (
                seconds + running / upstream.slots * UTILIZATION_PENALTY_SECONDS
            )
            if upstream.zone != self.zone:
                ranking += OTHER_ZONE_PENALTY_SECONDS
            if ranking < best_seconds:
                best_seconds = ranking
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
        first = cache_owner
        if is_long(demand.prompt):
            first = candidates.preferred_engine(key, is_long=True)
        remaining = demand.start_deadline - now
        preferred = self._evaluate(demand, first, cache_owner)
        if preferred is not None and preferred.expected_seconds <= remaining:
            return preferred
        for upstream in candidates.idle:
            choice = self._evaluate(demand, upstream, cache_owner)
            if choice is not None and self._is_idle(upstream):
                return choice
        return preferred

    def candidates(
        self,
        upstreams: Sequence[RegisteredUpstream],
    ) -> 'Candidates':
        """Return upstreams of one pool prepared for many choices."""
        return Candidates(
            upstreams,
            [one for one in upstreams if self._is_idle(one)],
            self._size_classes_of(upstreams),
        )

    def _size_classes_of(
        self, upstreams: Sequence[RegisteredUpstream]
    ) -> SizeClasses:
        """Return the lanes of these upstreams, the same while they stay.

        Cold upstreams come and go with every request that they may get, so
        the lanes of some former sets are kept.
        """
        ids = tuple(upstream.upstream_id for upstream in upstreams)
        cached = self.size_classes.get(ids)
        if cached is None:
            if len(self.size_classes) >= MAX_CACHED_ENGINE_SETS:
                self.size_classes.clear()
            cached = SizeClasses(ids)
            self.size_classes[ids] = cached
        return cached

    def _is_idle(self, upstream: RegisteredUpstream) -> bool:
        total = self.load_tracker.total_load(upstream.upstream_id)
        is_quiet = total.running <= upstream.slots * MAX_IDLE_RUNNING_SHARE
        return (
            is_quiet and total.unprocessed_tokens <= MAX_IDLE_UNPROCESSED_TOKENS
        )

    def _evaluate(
        self,
        demand: PromptDemand,
        upstream: RegisteredUpstream,
        cache_owner: RegisteredUpstream,
    ) -> Choice | None:
        """Return what placing the request there would mean, if there is room.

        The home of a prompt is taken to hold its shared parts; another engine
        fetches them from ``home``.
        """
        prompt = demand.prompt
        total = self.load_tracker.total_load(upstream.upstream_id)
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
        )
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
    """Return whether reading the prompt holds up others for too long."""
    return prompt.unshared_tokens >= LONG_PROMPT_TOKENS


def _rank(key: str, upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\n{upstream_id}'.encode())


def _size_class_rank(upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'lane {upstream_id}'.encode())


def has_room(
    total: EngineLoad,
    added: EngineLoad,
    engine: EngineModel | None,
    slots: int,
) -> bool:
    """Return whether an engine can run a request beside what it has."""
    if total.running >= slots * MAX_RUNNING_SHARE:
        return False
    if engine is None or not total.running:
        return True
    limit = engine.memory_tokens * MAX_MEMORY_SHARE
    return total.memory_tokens + added.memory_tokens <= limit
