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

from hickorymux._internal.coordination.engines.board import (
    EngineLoad,
    LoadBoard,
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
MEMORY_SHARE: Final = 0.5
# The part of an engine's slots that is filled: each running request slows the
# others, and a full engine ends its long answers too late.
RUNNING_SHARE: Final = 0.6
# Places beyond the slots of a plain service; an answer is then waited for at
# most as long again as it takes.
PLAIN_OVERCOMMIT: Final = 2.0
# What a full upstream costs more than an empty one of the same speed, in
# seconds; it only decides between equals.
TIE_SECONDS: Final = 0.001
# What another zone costs a plain request, in seconds.
FAR_SECONDS: Final = 0.004
# Another engine than the home is used only if it idles: nothing much to read,
# and few streams that reading would hold up.
IDLE_UNREAD_TOKENS: Final = 2000
IDLE_RUNNING_SHARE: Final = 0.25
# Reading more than this at once pauses the streams beside it for longer than
# the 400 ms that their callers bear, at some 40 ms for each 4,096 tokens.
LONG_TOKENS: Final = 12000
# The part of the engines that reads long prompts; they are a tenth of the
# requests of the deployments in use and about a third of what is read.
LANE_SHARE: Final = 0.25
# Homes that are kept at hand; more than the shared parts in use at a time.
MAX_KNOWN_HOMES: Final = 4000
# Sets of engines whose lanes and homes are kept at hand.
MAX_KNOWN_SETS: Final = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """An upstream, the load the request adds, and when it should begin.

    ``fetch_from`` is the address of an engine that holds shared parts of the
    prompt, empty where nothing is to be fetched.
    """

    upstream: RegisteredUpstream
    load: EngineLoad
    expected_seconds: float
    unread_before: int = 0
    running_before: int = 0
    fetch_from: str = ''


@final
class Lanes:
    """The engines that read long prompts, and those for everything else.

    They depend on nothing but which engines are there; so do the homes.
    """

    __slots__ = ('homes', 'long', 'short')

    def __init__(self, upstream_ids: Sequence[str]) -> None:
        by_lane = sorted(upstream_ids, key=_lane_rank)
        size = round(len(by_lane) * LANE_SHARE)
        self.long = by_lane[:size] or by_lane
        self.short = by_lane[size:] or by_lane
        self.homes: dict[tuple[str, bool], str] = {}

    def home(self, key: str, *, is_long: bool) -> str:
        """Return the engine that prompts with this shared part go to."""
        known = self.homes.get((key, is_long))
        if known is None:
            lane = self.long if is_long else self.short
            known = max(lane, key=partial(_rank, key))
            if len(self.homes) >= MAX_KNOWN_HOMES:
                self.homes.clear()
            self.homes[key, is_long] = known
        return known


@final
class Candidates:
    """Upstreams that may get a request, prepared for many choices.

    ``idle`` are those that idled when they were prepared.
    """

    __slots__ = ('by_id', 'idle', 'lanes', 'upstreams')

    def __init__(
        self,
        upstreams: Sequence[RegisteredUpstream],
        idle: Sequence[RegisteredUpstream],
        lanes: Lanes,
    ) -> None:
        self.upstreams = upstreams
        self.idle = idle
        self.lanes = lanes
        self.by_id = {one.upstream_id: one for one in upstreams}

    def home(self, key: str, *, is_long: bool) -> RegisteredUpstream:
        """Return the engine that prompts with this shared part go to."""
        return self.by_id[self.lanes.home(key, is_long=is_long)]


@final
class Placement:
    """Chooses among upstreams that may get a request."""

    __slots__ = ('board', 'lanes', 'speeds', 'zone')

    def __init__(
        self,
        board: LoadBoard,
        speeds: UpstreamSpeeds,
        zone: str,
    ) -> None:
        self.board = board
        self.speeds = speeds
        self.zone = zone
        self.lanes: dict[tuple[str, ...], Lanes] = {}

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
            running = self.board.total(upstream.upstream_id).running
            if running >= upstream.slots * PLAIN_OVERCOMMIT:
                continue
            seconds = self.speeds.service_seconds(
                upstream.upstream_id,
                running,
                upstream.slots,
            )
            ranked = seconds + running / upstream.slots * TIE_SECONDS
            if upstream.zone != self.zone:
                ranked += FAR_SECONDS
            if ranked < best_seconds:
                best_seconds = ranked
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
        source = candidates.home(key, is_long=False)
        first = source
        if is_long(demand.prompt):
            first = candidates.home(key, is_long=True)
        left = demand.due_at - now
        home = self._offer(demand, first, source)
        if home is not None and home.expected_seconds <= left:
            return home
        for upstream in candidates.idle:
            choice = self._offer(demand, upstream, source)
            if choice is not None and self._is_idle(upstream):
                return choice
        return home

    def candidates(
        self,
        upstreams: Sequence[RegisteredUpstream],
    ) -> 'Candidates':
        """Return upstreams of one pool prepared for many choices."""
        return Candidates(
            upstreams,
            [one for one in upstreams if self._is_idle(one)],
            self._lanes_of(upstreams),
        )

    def _lanes_of(self, upstreams: Sequence[RegisteredUpstream]) -> Lanes:
        """Return the lanes of these upstreams, the same while they stay.

        Cold upstreams come and go with every request that they may get, so
        the lanes of some former sets are kept.
        """
        ids = tuple(upstream.upstream_id for upstream in upstreams)
        known = self.lanes.get(ids)
        if known is None:
            if len(self.lanes) >= MAX_KNOWN_SETS:
                self.lanes.clear()
            known = Lanes(ids)
            self.lanes[ids] = known
        return known

    def _is_idle(self, upstream: RegisteredUpstream) -> bool:
        total = self.board.total(upstream.upstream_id)
        is_quiet = total.running <= upstream.slots * IDLE_RUNNING_SHARE
        return is_quiet and total.unread <= IDLE_UNREAD_TOKENS

    def _offer(
        self,
        demand: PromptDemand,
        upstream: RegisteredUpstream,
        home: RegisteredUpstream,
    ) -> Choice | None:
        """Return what placing the request there would mean, if there is room.

        The home of a prompt is taken to hold its shared parts; another engine
        fetches them from ``home``.
        """
        prompt = demand.prompt
        total = self.board.total(upstream.upstream_id)
        unread = prompt.own_tokens
        shared = prompt.tokens - unread
        load = EngineLoad(
            running=1,
            unread=unread,
            memory=prompt.memory_tokens - shared,
        )
        if not has_room(total, load, demand.pool.engine, upstream.slots):
            return None
        seconds = self.speeds.prompt_seconds(
            upstream.upstream_id,
            total.unread + unread,
        )
        return Choice(
            upstream,
            load,
            seconds,
            unread_before=total.unread,
            running_before=total.running,
            fetch_from=(
                home.address if shared and home is not upstream else ''
            ),
        )


def is_long(prompt: Prompt) -> bool:
    """Return whether reading the prompt holds up others for too long."""
    return prompt.own_tokens >= LONG_TOKENS


def _rank(key: str, upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\n{upstream_id}'.encode())


def _lane_rank(upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'lane {upstream_id}'.encode())


def has_room(
    total: EngineLoad,
    more: EngineLoad,
    engine: EngineModel | None,
    slots: int,
) -> bool:
    """Return whether an engine can run a request beside what it has."""
    if total.running >= slots * RUNNING_SHARE:
        return False
    if engine is None or not total.running:
        return True
    limit = engine.memory_tokens * MEMORY_SHARE
    return total.memory + more.memory <= limit
