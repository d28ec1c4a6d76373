"""When a second copy of a slow request is sent, without a network."""

import asyncio
import datetime as dt
import random

import pytest

from hickorymux._internal.coordination.engines.hedging import (
    Hedging,
    group_of,
    may_hedge,
)
from hickorymux._internal.coordination.rollouts.exposure import ExposureBudget
from hickorymux._internal.coordination.rollouts.gate import PoolRollout
from hickorymux._internal.coordination.rollouts.orders import (
    RolloutOrder,
    Stage,
)
from hickorymux._internal.state.routing import RequestKind
from hickorymux._internal.transport.hedge_race import HedgeRace
from tests.lib.demands import plain_demand, prompt_demand, upstream
from tests.lib.manual_clock import ManualClock
from tests.unit.engines.test_allocator import (
    make_allocator,
    reserve_all_slots,
)

GROUP = ('pool', RequestKind.idempotent, 0)


class Route:
    """The properties of a route that decide about hedges."""

    kind = RequestKind.streaming
    is_repeatable = True
    max_attempts = 2


def with_times(seconds, share=0.05):
    clock = ManualClock()
    hedging = Hedging(clock, share)
    for one in seconds:
        hedging.observe(GROUP, one)
    return hedging, clock


def test_off_records_and_allows_nothing():
    """Guards against a cost where operators allow no hedges."""
    hedging, _ = with_times([0.1] * 100, share=0)
    hedging.count_request('pool')
    assert not hedging.times
    assert not hedging.has_credit('pool')


def test_delay_is_a_high_quantile_of_recent_times():
    """Guards against hedges of usual requests, or after a guess."""
    assert with_times([0.1] * 19)[0].delay_seconds(GROUP) is None
    hedging, clock = with_times([0.001 * n for n in range(200)])
    assert hedging.delay_seconds(GROUP) == pytest.approx(0.19)
    clock.advance(61)
    assert hedging.delay_seconds(GROUP) is None


def test_extra_work_stays_within_the_share():
    """Guards against hedges that multiply the load when all is slow."""
    rng = random.Random(3)
    hedging, clock = with_times([0.1] * 50, share=0.03)
    sent = 0
    for number in range(1, 5001):
        clock.advance(0.01)
        hedging.count_request('pool')
        hedging.observe(GROUP, rng.expovariate(1) * number)
        if hedging.has_credit('pool'):
            hedging.spend('pool')
            sent += 1
        assert sent <= 0.03 * number + 1e-3
    assert sent == 150


def test_hedges_cut_the_tail():
    """Guards against a policy that costs work and gains nothing."""
    rng = random.Random(5)
    hedging, clock = with_times([], share=0.05)
    plain, hedged = [], []
    for _ in range(5000):
        clock.advance(0.004)
        hedging.count_request('pool')
        first, second = (
            rng.gauss(0.1, 0.01) * (8 if rng.random() < 0.03 else 1)
            for _ in range(2)
        )
        plain.append(first)
        delay = hedging.delay_seconds(GROUP)
        took = first
        if delay is not None and first > delay and hedging.has_credit('pool'):
            hedging.spend('pool')
            took = min(first, delay + second)
        hedging.observe(GROUP, took)
        hedged.append(took)
    assert sorted(plain)[4900] > 0.6
    assert sorted(hedged)[4900] < 0.3


@pytest.mark.parametrize(
    'changes', [{'is_repeatable': False}, {'max_attempts': 1}]
)
def test_only_repeatable_requests_with_attempts_left(changes):
    """Guards against a second run of a request that may run only once."""
    route = Route()
    demand = prompt_demand()
    assert may_hedge(route, demand, 0)
    assert not may_hedge(route, demand, 1)
    demand.version = 'v1'
    assert not may_hedge(route, demand, 0)
    for name, changed in changes.items():
        setattr(route, name, changed)
    assert not may_hedge(route, prompt_demand(), 0)


def test_long_and_short_prompts_are_not_alike():
    """Guards against a hedge for each long prompt."""
    route = Route()
    groups = {
        group_of(route, prompt_demand(own=200)),
        group_of(route, prompt_demand(own=20_000)),
        group_of(route, plain_demand()),
    }
    assert len(groups) == 3


async def test_hedge_goes_to_another_upstream_with_room():
    """Guards against hedges to the slow, a cold or a limited upstream."""
    allocator, clock = make_allocator(2)
    hedge = allocator.try_acquire_hedge(prompt_demand(), 'e0')
    assert hedge.upstream.upstream_id == 'e1'
    hedge.release()
    now = clock.monotonic()
    allocator.registry.put(upstream(1, cold_until=now + 9))
    assert allocator.try_acquire_hedge(prompt_demand(), 'e0') is None
    allocator.registry.put(upstream(1))
    allocator.request_limits.on_answer('e1#0', 900, now, now)
    clock.advance(5)
    assert allocator.try_acquire_hedge(prompt_demand(), 'e0') is None


async def test_no_hedge_while_versions_are_compared():
    """Guards against copies that a roll-out does not observe.

    The order may arrive while the first copy is at its upstream.
    """
    allocator, clock = make_allocator(2)
    demand = prompt_demand()
    order = RolloutOrder(demand.pool.name, 'v2', dt.timedelta(seconds=12))
    rollout = PoolRollout(
        order, ExposureBudget(0.1, random.Random(1)), clock.monotonic()
    )
    allocator.rollout_gate.pools[demand.pool.name] = rollout
    assert allocator.try_acquire_hedge(demand, 'e0') is None
    rollout.enter(Stage.rolled_back, clock.monotonic())
    assert allocator.try_acquire_hedge(demand, 'e0') is not None


async def test_hedge_never_waits():
    """Guards against hedges that take the place of other requests."""
    allocator, clock = make_allocator(1)
    await reserve_all_slots(allocator, clock)
    assert allocator.try_acquire_hedge(prompt_demand(), 'e9') is None
    waiting = asyncio.ensure_future(
        allocator.acquire(prompt_demand(now=clock.monotonic()))
    )
    await asyncio.sleep(0)
    allocator.registry.put(upstream(1))
    assert allocator.try_acquire_hedge(prompt_demand(), 'e9') is None
    waiting.cancel()


class FakeCopies:
    """Copies whose answers begin or fail after given times."""

    def __init__(self, **seconds):
        self.seconds = seconds
        self.ended = []
        self.failed = []
        self.cancelled = []

    async def open_copy(self, copy):
        try:
            await asyncio.sleep(abs(self.seconds[copy]))
        except asyncio.CancelledError:
            self.cancelled.append(copy)
            raise
        if self.seconds[copy] < 0:
            raise ConnectionError(copy)

    def place_hedge(self):
        return 'hedge' if 'hedge' in self.seconds else None

    async def on_failed(self, copy, error):
        self.failed.append(copy)

    def end_copy(self, copy):
        self.ended.append(copy)


@pytest.mark.parametrize(
    ('first', 'hedge', 'kept'),
    [
        (0.01, 0.01, 'first'),
        (0.2, 0.01, 'hedge'),
        (0.06, 0.2, 'first'),
        (0.06, -0.01, 'first'),
        (-0.06, 0.1, 'hedge'),
        (0.06, None, 'first'),
    ],
)
async def test_the_copy_that_begins_first_is_kept(first, hedge, kept):
    """Guards against a copy that goes on, or a failure that ends both."""
    seconds = {'first': first}
    if hedge is not None:
        seconds['hedge'] = hedge
    copies = FakeCopies(**seconds)
    race = HedgeRace('first')
    await race.run(copies, 0.03)
    assert race.kept == kept
    was_sent = hedge is not None and abs(first) > 0.03
    assert len(copies.ended) == was_sent
    assert kept not in copies.ended
    assert copies.cancelled + copies.failed == copies.ended


async def test_failure_of_both_copies_is_raised_once():
    """Guards against an error that is lost, or a copy ended twice."""
    copies = FakeCopies(first=-0.06, hedge=-0.1)
    race = HedgeRace('first')
    with pytest.raises(ConnectionError, match='hedge'):
        await race.run(copies, 0.03)
    assert (race.kept, copies.ended) == ('hedge', ['first'])


async def test_caller_that_leaves_cancels_both_copies():
    """Guards against work for a caller that has left."""
    copies = FakeCopies(first=9, hedge=9)
    race = HedgeRace('first')
    task = asyncio.ensure_future(race.run(copies, 0.01))
    await asyncio.sleep(0.05)
    task.cancel()
    await asyncio.wait((task,))
    assert sorted(copies.cancelled) == ['first', 'hedge']
    assert copies.ended == ['hedge']
