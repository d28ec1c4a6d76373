"""Reports of where a request would go, which must not change anything."""

import asyncio
import datetime as dt
import random

import pytest

from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.cold_share import ColdShare
from hickorymux._internal.coordination.engines.load_tracker import EngineLoad
from hickorymux._internal.coordination.engines.placement_report import (
    PlacementPreview,
)
from hickorymux._internal.coordination.engines.request_limits import (
    RequestLimits,
)
from hickorymux._internal.coordination.engines.router_ranks import RouterRanks
from hickorymux._internal.coordination.rollouts.exposure import ExposureBudget
from hickorymux._internal.coordination.rollouts.gate import PoolRollout
from hickorymux._internal.coordination.rollouts.orders import (
    RolloutOrder,
    Stage,
)
from hickorymux._internal.exceptions import NoCapacity, ParameterInvalid
from hickorymux._internal.protocol.placement_messages import (
    Exclusion,
    Verdict,
)
from hickorymux._internal.protocol.upstream_http import UpstreamLoad
from hickorymux._internal.state.routing import RoutingTable
from hickorymux._internal.state.upstream_registry import UpstreamRegistry
from hickorymux._internal.transport.placement_page import read_demand
from tests.lib.demands import MODELS, PLAIN, plain_demand, prompt_demand
from tests.lib.demands import upstream as make_upstream
from tests.lib.fake_clock import FakeClock
from tests.lib.object_state import state_of

NOW = 100.0


def make_allocator(registry):
    clock = FakeClock()
    clock.advance(NOW)
    ranks = RouterRanks('me')
    ranks.update({'me'})
    return Allocator(
        registry,
        ColdShare(ranks),
        RequestLimits(ranks),
        lambda _pool: 2,
        clock,
        'z1',
        lambda zone: f'region of {zone}',
    )


def make_registry(count):
    registry = UpstreamRegistry()
    for number in range(count):
        registry.put(make_upstream(number, version='v1'))
    return registry


def preview_state(allocator, demand):
    """Return two reports and check that they have changed nothing."""
    before = state_of(allocator)
    first = PlacementPreview.from_allocator(allocator).report(demand)
    second = PlacementPreview.from_allocator(allocator).report(demand)
    assert state_of(allocator) == before
    assert first == second
    return first


def allocator_with_all_reasons():
    """Return an allocator with one upstream excluded for each reason."""
    registry = make_registry(0)
    changes = {
        'draining': {'is_ready': False},
        'zone_evacuated': {'zone': 'z9'},
        'other_region': {'zone': 'z2'},
        'other_version': {'version': 'v2'},
        'cold_without_share': {'cold_until': NOW + 5},
    }
    for reason in (*Exclusion, 'free'):
        registry.put(
            make_upstream(
                1,
                **{
                    'upstream_id': str(reason),
                    'version': 'v1',
                    **changes.get(reason, {}),
                },
            )
        )
    registry.update_evacuated_zones(frozenset({'z9'}), NOW)
    registry.start_grace_period(NOW)
    registry.remove('left', NOW)
    allocator = make_allocator(registry)
    allocator.health.on_connect_failed('failing_health', NOW)
    allocator.notices.on_leaving('leaving#0', NOW)
    allocator.notices.on_pause('paused#0', 3, NOW)
    allocator.request_limits.on_answer('at_request_limit#0', 1, NOW, NOW)
    allocator.cold_share.on_sent('cold_without_share#0', NOW - 5)
    allocator.cold_share.on_sent('cold_without_share#0', NOW)
    tracker = allocator.load_tracker
    tracker.add('no_slots', EngineLoad(60, 100, 1000))
    tracker.replace_report(
        'peer', {'no_memory': EngineLoad(3, 0, 250_000)}, NOW
    )
    tracker.add('free', EngineLoad(2, 300, 4000))
    allocator.placement.reported_loads.on_answer(
        'free', 'models', UpstreamLoad(2, 0, 64, 2.0), 2, NOW - 0.25
    )
    return allocator


def test_each_reason_is_reported_and_nothing_changes():
    """Guards against a wrong reason and against a report that spends."""
    allocator = allocator_with_all_reasons()
    demand = prompt_demand(now=NOW)
    demand.version = 'v1'
    demand.regions = frozenset({'region of z1', 'region of z9'})
    report = preview_state(allocator, demand)
    found = {each.upstream: each.excluded for each in report.candidates}
    expected = {str(reason): reason for reason in Exclusion}
    assert found == {**expected, 'free': None}
    assert (report.verdict, report.chosen) == (Verdict.placed, 'free')
    free = next(each for each in report.candidates if each.upstream == 'free')
    assert (free.running, free.unprocessed_tokens) == (2, 300)
    assert free.memory_tokens == 4000
    assert free.report_age_seconds == pytest.approx(0.25)
    assert free.work_time == pytest.approx(1.5)
    assert free.expected_seconds == pytest.approx(1.5 * (0.08 + 0.013))


async def test_report_agrees_with_the_reservation_that_follows():
    """Guards against a report that decides by other rules than requests."""
    generator = random.Random(7)
    allocator = make_allocator(make_registry(12))
    for number in range(120):
        demand = prompt_demand(
            f'customer-{number % 3}',
            now=allocator.clock.monotonic(),
            subject=f'subject-{generator.randrange(20)}',
            own=generator.choice((200, 3000, 15000)),
        )
        report = preview_state(allocator, demand)
        if report.verdict is not Verdict.placed:
            break
        reservation = await allocator.acquire(demand)
        assert reservation.upstream.upstream_id == report.chosen
        if number % 2:
            reservation.on_answer_begun()
        allocator.clock.advance(0.01)
    assert number > 10


async def test_full_pool_waits_or_refuses():
    """Guards against a wrong verdict while nothing is free."""
    allocator = make_allocator(make_registry(1))
    demand = prompt_demand(now=NOW, own=10)
    waiting = []
    for _ in range(39):
        reservation = await allocator.acquire(prompt_demand(now=NOW, own=10))
        reservation.on_answer_begun()
    report = preview_state(allocator, demand)
    assert report.verdict is Verdict.waits
    assert report.reason == 'no upstream has room'
    assert report.candidates[0].excluded is Exclusion.no_slots
    waiting.append(asyncio.create_task(allocator.acquire(demand)))
    await asyncio.sleep(0)
    report = preview_state(allocator, prompt_demand(now=NOW, own=10))
    assert report.reason == 'other requests wait for the pool'
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


async def test_refusals_are_foretold():
    """Guards against a verdict other than that of a real request."""
    empty = make_allocator(make_registry(0))
    assert preview_state(empty, prompt_demand(now=NOW)).verdict is (
        Verdict.refused
    )
    with pytest.raises(NoCapacity):
        await empty.acquire(prompt_demand(now=NOW))
    leaving = make_allocator(make_registry(1))
    leaving.notices.on_leaving('e0#0', NOW)
    report = preview_state(leaving, prompt_demand(now=NOW))
    assert report.verdict is Verdict.refused
    assert 'leave or want no requests' in report.reason
    gone = prompt_demand(now=NOW)
    gone.version = 'v0'
    report = preview_state(make_allocator(make_registry(1)), gone)
    assert report.verdict is Verdict.refused
    assert 'which began the stream' in report.reason


@pytest.mark.parametrize(
    ('stage', 'chosen', 'excluded'),
    [
        (Stage.rolled_back, 'e0', 'e1'),
        (Stage.succeeded, 'e1', 'e0'),
        (Stage.ramp, 'e0', 'e1'),
    ],
)
def test_rollout_decides_the_version(stage, chosen, excluded):
    """Guards against a draw from the generator that requests use."""
    registry = make_registry(1)
    registry.put(make_upstream(1, version='v2'))
    allocator = make_allocator(registry)
    rollout = PoolRollout(
        RolloutOrder('models', 'v2', dt.timedelta(seconds=9)),
        ExposureBudget(0.1, random.Random(1)),
        NOW,
    )
    rollout.stage = stage
    rollout.is_status_known = True
    rollout.has_target = True
    rollout.directive_at = NOW
    allocator.rollout_gate.pools['models'] = rollout
    report = preview_state(allocator, prompt_demand(now=NOW))
    assert report.chosen == chosen
    reasons = {each.upstream: each.excluded for each in report.candidates}
    assert reasons == {chosen: None, excluded: Exclusion.other_version}


def test_plain_service_without_free_slots():
    """Guards against the limits of model engines for plain services."""
    registry = UpstreamRegistry()
    registry.put(make_upstream(0, 'plain', slots=2))
    registry.put(make_upstream(1, 'plain', slots=2))
    allocator = make_allocator(registry)
    allocator.load_tracker.add('e0', EngineLoad(4))
    allocator.load_tracker.add('e1', EngineLoad(3))
    report = preview_state(allocator, plain_demand(now=NOW))
    assert report.chosen == 'e1'
    assert report.candidates[0].excluded is Exclusion.no_slots


TABLE = RoutingTable(1, {}, {'models': MODELS, 'plain': PLAIN}, {})


@pytest.mark.parametrize(
    ('query', 'parameter'),
    [
        ({}, 'pool'),
        ({'pool': 'other'}, 'pool'),
        ({'pool': 'models', 'tokens': '-1'}, 'tokens'),
        ({'pool': 'models', 'tokens': '9' * 5000}, 'tokens'),
        ({'pool': 'models', 'tokens': '5', 'unshared': '6'}, 'unshared'),
        ({'pool': 'models', 'unshared': '6'}, 'tokens'),
        ({'pool': 'models', 'parts': 'a'}, 'parts'),
        ({'pool': 'models', 'parts': ':5'}, 'parts'),
        ({'pool': 'models', 'parts': 'a:5,b:x'}, 'parts'),
        ({'pool': 'models', 'parts': 'a:5', 'tokens': '5'}, 'tokens'),
        ({'pool': 'models', 'objective_ms': '0'}, 'objective_ms'),
        ({'pool': 'models', 'objective_ms': '1.5'}, 'objective_ms'),
    ],
)
def test_bad_parameters_are_named(query, parameter):
    """Guards against a report on another request than was asked about."""
    with pytest.raises(ParameterInvalid) as refused:
        read_demand(query, TABLE, NOW)
    assert refused.value.where == parameter


def test_parts_give_the_sizes():
    """Guards against counting the last part as shared."""
    query = {'pool': 'models', 'parts': 'a:5,x:y:7,c:30', 'objective_ms': '400'}
    demand = read_demand(query, TABLE, NOW)
    assert demand.prompt.unshared_tokens == 30
    assert demand.prompt.affinity_key == 'x:y'
    assert demand.start_deadline == pytest.approx(NOW + 0.4)
