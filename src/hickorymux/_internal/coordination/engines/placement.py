"""Which upstream a request goes to.

Load pattern for model engines: requests share the beginnings of their
prompts, and reading such a part again on another engine takes capacity from
all, most of it when all engines are busy. Like prompts go to the same two
engines by rendezvous hashing (Thaler and Ravishankar, 1998), to the first of
them unless the second begins clearly earlier.

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
# Engines that prompts of one kind go to: two, so that load evens out by the
# power of two choices (Mitzenmacher, 2001) while each part is read twice only.
HOMES: Final = 2
# How much earlier the second home must begin to be preferred.
HOME_SECONDS: Final = 0.05


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
        homes = [
            self._offer(demand, upstream)
            for upstream in _ranked(demand, candidates)[:HOMES]
        ]
        if not homes:
            return None
        first = homes[0]
        others = [choice for choice in homes[1:] if choice is not None]
        if first is None:
            return min(others, key=_expected_seconds, default=None)
        # The first home is left only for one that is clearly earlier.
        limit = first.expected_seconds - HOME_SECONDS
        earlier = [one for one in others if one.expected_seconds < limit]
        return min(earlier, key=_expected_seconds, default=first)

    def _offer(
        self,
        demand: PromptDemand,
        upstream: RegisteredUpstream,
    ) -> Choice | None:
        """Return what placing the request there would mean, if there is room.

        The homes of a prompt are taken to hold its shared parts.
        """
        prompt = demand.prompt
        total = self.board.total(upstream.upstream_id)
        shared = sum(part.tokens for part in prompt.shared_parts)
        unread = prompt.tokens - shared
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


def _expected_seconds(choice: Choice) -> float:
    return choice.expected_seconds


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
