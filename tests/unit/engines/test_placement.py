"""Tests of placement under the load patterns that it is designed for."""

import random

import pytest

from hickorymux._internal.coordination.engines.load_tracker import (
    EngineLoad,
    LoadTracker,
)
from hickorymux._internal.coordination.engines.placement import (
    LONG_PROMPT_TOKENS,
    Placement,
    is_long,
)
from hickorymux._internal.coordination.engines.speeds import UpstreamSpeeds
from hickorymux._internal.protocol.upstream_http import UpstreamLoad
from tests.lib.demands import plain_demand, prompt_demand, upstream

ENGINES = [upstream(number) for number in range(9)]


@pytest.fixture
def placement():
    return Placement(LoadTracker(), UpstreamSpeeds(), 'z1')


def place(placement, demand, engines=ENGINES, now=0.0):
    choice = placement.choose(demand, placement.candidates(engines, now), now)
    if choice is not None:
        placement.load_tracker.add(choice.upstream.upstream_id, choice.load)
    return choice


def test_like_prompts_go_to_one_engine_while_all_are_busy(placement):
    """Every engine is half full and processes prompts of random subjects.

    Under this load, processing shared parts again on another engine costs more
    than a later start on the preferred one.
    """
    for engine in ENGINES:
        placement.load_tracker.add(
            engine.upstream_id, EngineLoad(25, 20_000, 50_000)
        )
    rng = random.Random(7)
    engines_by_subject = {}
    for _ in range(100):
        subject = f's{rng.randrange(12)}'
        choice = place(placement, prompt_demand(subject=subject, own=600))
        if choice is not None:
            engines_by_subject.setdefault(subject, set()).add(
                choice.upstream.upstream_id
            )
    assert all(len(engines) == 1 for engines in engines_by_subject.values())


def test_another_engine_only_if_idle_and_then_it_fetches(placement):
    preferred = place(placement, prompt_demand()).upstream
    placement.load_tracker.add(
        preferred.upstream_id, EngineLoad(10, 80_000, 10_000)
    )
    choice = place(placement, prompt_demand())
    assert choice.upstream is not preferred
    assert choice.fetch_from == preferred.address
    assert choice.load.unprocessed_tokens == 1000


def test_home_fetches_nothing(placement):
    assert not place(placement, prompt_demand()).fetch_from


def test_long_prompts_do_not_hold_up_the_streams_of_others(placement):
    """One in ten prompts is long; no engine gets both long and short ones."""
    for engine in ENGINES:
        placement.load_tracker.add(
            engine.upstream_id, EngineLoad(20, 3000, 20_000)
        )
    rng = random.Random(3)
    used = {True: set(), False: set()}
    for number in range(200):
        own = 20_000 if number % 10 == 0 else 800
        demand = prompt_demand(subject=f's{rng.randrange(99)}', own=own)
        choice = placement.choose(demand, placement.candidates(ENGINES, 0), 0)
        used[is_long(demand.prompt)].add(choice.upstream.upstream_id)
    assert not used[True] & used[False]
    assert len(used[False]) > len(used[True])


def test_long_prompts_use_idle_engines_at_low_load(placement):
    """The engines for long prompts are busy, and the others are idle."""
    first = place(placement, prompt_demand(own=LONG_PROMPT_TOKENS + 40_000))
    place(placement, prompt_demand(own=LONG_PROMPT_TOKENS + 40_000))
    third = place(placement, prompt_demand(own=LONG_PROMPT_TOKENS + 40_000))
    assert third.upstream is not first.upstream


def test_long_prompts_of_one_subject_do_not_wait_for_each_other(placement):
    """A burst of long prompts shares its first parts, and so a hash."""
    placement.reported_loads.pools.add('models')
    engines = [upstream(number) for number in range(24)]
    used = {
        place(
            placement, prompt_demand(own=30_000), engines
        ).upstream.upstream_id
        for _ in range(6)
    }
    assert len(used) == 6


def test_long_prompts_of_silent_pools_are_placed_as_before(placement):
    """Engines that state no speed keep the hash, which caches by subject."""
    engines = [upstream(number) for number in range(24)]
    used = {
        place(
            placement, prompt_demand(own=12_000, objective=5), engines
        ).upstream.upstream_id
        for _ in range(4)
    }
    assert len(used) == 1


def test_long_prompts_avoid_an_engine_that_is_slow_now(placement):
    """Its host does other work for a moment, which only the engine tells."""
    engines = [upstream(number) for number in range(8)]
    slow, other = placement.candidates(engines, 0).size_classes.long
    placement.reported_loads.on_answer(
        slow, 'models', UpstreamLoad(0, 0, 64, 2.5), 0, 0
    )
    for moment in (0, 0.2):
        demand = prompt_demand(own=20_000, objective=5)
        candidates = placement.candidates(engines, moment)
        choice = placement.choose(demand, candidates, moment)
        assert choice.upstream.upstream_id == other


def test_full_engines_get_nothing(placement):
    for engine in ENGINES:
        placement.load_tracker.add(engine.upstream_id, EngineLoad(60, 0, 1000))
    assert place(placement, prompt_demand()) is None


def test_engine_without_memory_gets_nothing(placement):
    for engine in ENGINES:
        placement.load_tracker.add(
            engine.upstream_id, EngineLoad(3, 0, 400_000)
        )
    assert place(placement, prompt_demand()) is None


def test_plain_requests_go_where_they_end_first(placement):
    engines = [upstream(n, 'plain', slots=6, zone=f'z{n}') for n in (1, 2)]
    used = [place(placement, plain_demand(), engines) for _ in range(24)]
    counts = [
        sum(choice.upstream is engine for choice in used) for engine in engines
    ]
    assert used[0].upstream is engines[0]
    assert abs(counts[0] - counts[1]) <= 6
    assert place(placement, plain_demand(), engines) is None


def test_slow_engine_is_avoided_by_its_learned_speed(placement):
    engines = [upstream(n, 'plain', slots=6) for n in (1, 2)]
    for _ in range(30):
        placement.speeds.observe_service('e1', 1, 6, 0.4)
        placement.speeds.observe_service('e2', 1, 6, 0.02)
    for _ in range(5):
        assert place(placement, plain_demand(), engines).upstream is engines[1]
