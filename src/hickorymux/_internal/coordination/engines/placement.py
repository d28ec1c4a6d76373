"""Which upstream a request goes to.

Load pattern for model engines: requests share the beginnings of their
prompts, and reading such a part again on another engine takes capacity from
all. Like prompts go to like engines by rendezvous hashing (Thaler and
Ravishankar, 1998), as long as the engine can begin in time; then to the next
in the same order, so that a part is read on few engines. Where none can begin
in time, the one that begins first.

Load pattern for plain services: short requests with little variance, so the
upstream that is done first, the own zone before others at equal load.
"""

import dataclasses
from collections.abc import Sequence
from functools import singledispatchmethod
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
from hickorymux._internal.coordination.engines.speeds import UpstreamSpeeds
from hickorymux._internal.state.routing import EngineModel
from hickorymux._internal.state.upstream_registry import RegisteredUpstream

# The part of an engine's memory that running requests may fill; the rest
# keeps prompt parts that are used again.
MEMORY_SHARE: Final = 0.75
# Places beyond the slots of a plain service; an answer is then waited for at
# most as long again as it takes.
PLAIN_OVERCOMMIT: Final = 2.0
# What another zone costs a plain request, in seconds.
FAR_SECONDS: Final = 0.004
# The share of the time left that the estimate may take, as it is uncertain.
SAFE_SHARE: Final = 0.8


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """An upstream, the load the request adds, and when it should begin."""

    upstream: RegisteredUpstream
    load: EngineLoad
    expected_seconds: float
    unread_before: int = 0
    running_before: int = 0


@final
class Placement:
    """Chooses among upstreams that may get a request."""

    __slots__ = ('board', 'speeds', 'zone')

    def __init__(
        self,
        board: LoadBoard,
        speeds: UpstreamSpeeds,
        zone: str,
    ) -> None:
        self.board = board
        self.speeds = speeds
        self.zone = zone

    @singledispatchmethod
    def choose(
        self,
        demand: Demand,
        candidates: Sequence[RegisteredUpstream],
        now: float,
    ) -> Choice | None:
        """Return where the request goes, ``None`` if nowhere is room."""
        raise TypeError(f'no placement for {type(demand).__name__}')

    @choose.register
    def _(
        self,
        demand: PlainDemand,
        candidates: Sequence[RegisteredUpstream],
        now: float,
    ) -> Choice | None:
        best: Choice | None = None
        best_seconds = 0.0
        for upstream in candidates:
            running = self.board.total(upstream.upstream_id).running
            if running >= upstream.slots * PLAIN_OVERCOMMIT:
                continue
            seconds = self.speeds.service_seconds(
                upstream.upstream_id,
                running,
                upstream.slots,
            )
            # Ties go to the emptier one.
            ranked = seconds + running / upstream.slots / 1000
            if upstream.zone != self.zone:
                ranked += FAR_SECONDS
            if best is None or ranked < best_seconds:
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
        candidates: Sequence[RegisteredUpstream],
        now: float,
    ) -> Choice | None:
        left = (demand.due_at - now) * SAFE_SHARE
        earliest: Choice | None = None
        for rank, upstream in enumerate(_ranked(demand, candidates)):
            choice = self._offer(demand, upstream, is_home=rank == 0)
            if choice is None:
                continue
            if choice.expected_seconds <= left:
                return choice
            if (
                earliest is None
                or choice.expected_seconds < earliest.expected_seconds
            ):
                earliest = choice
        return earliest

    def _offer(
        self,
        demand: PromptDemand,
        upstream: RegisteredUpstream,
        *,
        is_home: bool,
    ) -> Choice | None:
        """Return what placing the request there would mean, if there is room.

        The first engine in the order is taken to hold the shared parts.
        """
        prompt = demand.prompt
        total = self.board.total(upstream.upstream_id)
        shared = sum(part.tokens for part in prompt.shared_parts)
        unread = prompt.tokens - shared if is_home else prompt.tokens
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
        )


def has_room(
    total: EngineLoad,
    more: EngineLoad,
    engine: EngineModel | None,
    slots: int,
) -> bool:
    """Return whether an engine can run a request beside what it has."""
    if total.running >= slots:
        return False
    if engine is None or not total.running:
        return True
    limit = engine.memory_tokens * MEMORY_SHARE
    return total.memory + more.memory <= limit


def _ranked(
    demand: PromptDemand,
    candidates: Sequence[RegisteredUpstream],
) -> list[RegisteredUpstream]:
    """Return the engines in the order in which they suit the prompt."""
    key = demand.prompt.affinity_key or demand.request_id
    return sorted(
        candidates,
        key=lambda upstream: xxhash.xxh3_64_intdigest(
            f'{key}\n{upstream.upstream_id}'.encode()
        ),
    )
