"""Roll-outs of whole fleets, on virtual time; no network."""

import asyncio
import datetime as dt
import random

import pytest

from hickorymux._internal.coordination.engines.demands import PlainDemand
from hickorymux._internal.coordination.rollouts.analysis import (
    log_likelihood_ratio,
)
from hickorymux._internal.coordination.rollouts.exposure import ExposureBudget
from hickorymux._internal.coordination.rollouts.gate import (
    PoolRollout,
    RolloutGate,
    Side,
)
from hickorymux._internal.coordination.rollouts.orders import RolloutOrder
from tests.lib.demands import PLAIN
from tests.lib.rollout_fleet import Defect, RolloutFleet


def play(*events, seconds=None, **changes):
    """Run a fleet to the end of its time budget; return it."""
    fleet = RolloutFleet(**changes)
    fleet.run(*events, seconds=seconds)
    return fleet


@pytest.mark.parametrize(
    'changes',
    [
        {},
        {'noise': 0.02},
        {'rate': 8.0},
        {'routers': 45, 'old': 45, 'new': 45, 'cold': 6.0},
        {'defect': Defect(1, slow=1.15)},
    ],
)
def test_sound_versions_succeed_before_the_budget_ends(changes):
    """Noise, cold starts or little traffic look like a defect."""
    fleet = play(seconds=10.5, **changes)
    assert fleet.log.states() == ['running', 'succeeded']


@pytest.mark.parametrize(
    'defect',
    [
        Defect(1),
        Defect(0.2),
        Defect(0.3, since=4),
        Defect(1, route='b'),
        Defect(1, slow=4),
        Defect(0.5, slow=8),
        Defect(1, slow=4, route='c'),
        Defect(1, slow=3, running=8),
    ],
)
@pytest.mark.parametrize('seed', [1, 2])
def test_bad_versions_are_rolled_back_within_the_bounds(defect, seed):
    """A defect of one kind goes unnoticed, or costs too many requests."""
    fleet = play(defect=defect, seed=seed)
    assert fleet.log.states()[-1] == 'rolled_back'
    assert fleet.exposed <= fleet.allowed
    assert fleet.late_sends == 0


def test_large_fleet_keeps_the_exposure_bound():
    """The routers' parts of the slack are rounded up, or add up to more."""
    fleet = play(routers=60, old=45, new=45, defect=Defect(0.3), rate=200.0)
    assert fleet.log.states()[-1] == 'rolled_back'
    assert fleet.exposed <= fleet.allowed


def test_all_requests_leave_the_old_version_before_success():
    """Old upstreams stop at the verdict while requests still go there."""
    fleet = play()
    verdict = min(
        router.gate.pools['plain'].stage_since
        for router in fleet.routers.values()
    )
    last_old = max(at for at, version in fleet.sent if version == 'v1')
    assert last_old < verdict - 0.5


async def kill_judge(fleet):
    """Kill the judging router two seconds into the roll-out."""
    await asyncio.sleep(2)
    fleet.kill('r000')


def test_next_router_takes_over_when_the_judge_is_killed():
    """The verdict waits for a router that is gone."""
    bad = play(kill_judge, defect=Defect(0.5, since=2))
    assert bad.log.states() == ['running', 'rolled_back']
    last = max(at for at, version in bad.sent if version == 'v2')
    assert last < 5
    assert play(kill_judge).log.states() == ['running', 'succeeded']


async def restart_all(fleet):
    """Kill and start all routers once the bad version is rolled back."""
    while 'rolled_back' not in fleet.log.states():
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    for router_id in fleet.ids:
        fleet.kill(router_id)
    await asyncio.sleep(0.5)
    fleet.restarted_at = fleet.loop.time()
    for router_id in fleet.ids:
        fleet.start_router(router_id, is_late=True)


def test_restarted_routers_keep_the_verdict():
    """Routers that start again give the bad version another chance."""
    fleet = play(restart_all, defect=Defect(0.5))
    assert fleet.log.states()[-1] == 'rolled_back'
    assert fleet.log.states().count('rolled_back') == 1
    assert not [
        at
        for at, version in fleet.sent
        if version == 'v2' and at > fleet.restarted_at
    ]


async def restore_without_order(fleet):
    """Restore the store from a copy older than the order, once judged.

    The operators write the order again a second after the routers have listed
    the topic.
    """
    while 'rolled_back' not in fleet.log.states():
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    fleet.log.records.clear()
    fleet.restored_at = fleet.loop.time()
    for router in fleet.routers.values():
        router.controller.on_era_change(2)
        router.controller.hold_orders()
        router.controller.apply_listing(frozenset())
    await asyncio.sleep(1)
    fleet.order()


def test_verdict_outlives_a_restore_that_lost_the_order():
    """A bad version gets requests again when a listing lacks its order."""
    fleet = play(restore_without_order, defect=Defect(0.5))
    assert fleet.log.states() == ['rolled_back']
    assert not [
        at
        for at, version in fleet.sent
        if version == 'v2' and at > fleet.restored_at
    ]


async def withdraw_in_an_outage(fleet):
    """Withdraw the order while the log can't be read."""
    await asyncio.sleep(2)
    for router in fleet.routers.values():
        router.controller.hold_orders()
        router.controller.apply_listing(frozenset())


def test_withdrawn_order_ends_after_the_grace_period():
    """An order that was withdrawn in an outage is followed for ever."""
    fleet = play(withdraw_in_an_outage, seconds=5)
    assert not any(router.gate.pools for router in fleet.routers.values())


async def restore_during_a_write(fleet):
    """Restore the store while the judging router's first write runs."""
    while not fleet.log.states():
        await asyncio.sleep(0.001)
    fleet.log.records.clear()
    for router in fleet.routers.values():
        router.controller.on_era_change(2)


def test_state_is_written_again_if_the_store_is_restored_during_a_write():
    """A write of the former era counts as one of the present era."""
    fleet = play(restore_during_a_write, seconds=3)
    assert fleet.log.states() == ['running']


async def restart_in_between(fleet):
    """Kill and start all routers at a third of the time budget."""
    await asyncio.sleep(4)
    for router_id in fleet.ids:
        fleet.kill(router_id)
    for router_id in fleet.ids:
        fleet.start_router(router_id, is_late=True)


def test_target_gets_nothing_before_the_status_is_read():
    """A router that starts doesn't know yet that the version is bad."""
    fleet = RolloutFleet()
    gate = RolloutGate(fleet.registry, fleet.loop, fleet.rng)
    order = RolloutOrder('plain', 'v2', dt.timedelta(seconds=12))
    rollout = PoolRollout(order, ExposureBudget(1, fleet.rng), 0)
    gate.pools['plain'] = rollout
    gate.update(rollout, 1, 50)
    demand = PlainDemand('r', 'ann', PLAIN, 0, 1, 10)
    assert gate.sides(demand) == (Side.old,)
    rollout.is_status_known = True
    assert gate.sides(demand) == (Side.canary, Side.old)


def test_pool_without_another_version_is_served():
    """All requests are refused until the status can be read."""
    fleet = RolloutFleet(old=0)
    gate = RolloutGate(fleet.registry, fleet.loop, fleet.rng)
    order = RolloutOrder('plain', 'v2', dt.timedelta(seconds=12))
    rollout = PoolRollout(order, ExposureBudget(0.1, fleet.rng), 0)
    gate.pools['plain'] = rollout
    gate.update(rollout, 1, 50)
    assert gate.sides(PlainDemand('r', 'ann', PLAIN, 0, 1, 10)) == (Side.all,)


def test_restarted_routers_keep_the_time_budget():
    """The time budget begins anew, so the verdict comes too late."""
    fleet = play(restart_in_between, seconds=11)
    assert fleet.log.states() == ['running', 'succeeded']


async def partition(fleet):
    """Split the fleet into halves that can't hear each other."""
    await asyncio.sleep(0.7)
    for router_id in fleet.ids[:3]:
        fleet.routers[router_id].partition = 1


@pytest.mark.parametrize('defect', [Defect(0.1), Defect(0.5), None])
def test_halves_of_a_partitioned_fleet_write_one_verdict(defect):
    """Two routers judge, and the second verdict reverses the first."""
    fleet = play(partition, defect=defect)
    assert len(fleet.log.states()) == 2
    stages = {
        router.gate.pools['plain'].stage.state
        for router in fleet.routers.values()
    }
    assert stages == {fleet.log.states()[-1]}


async def lose_store(fleet):
    """Take the store away for some seconds."""
    await asyncio.sleep(1)
    fleet.log.is_down = True
    await asyncio.sleep(4)
    fleet.log.is_down = False


def test_bad_version_gets_nothing_more_while_the_store_is_down():
    """Requests go on to the bad version until the status can be written."""
    fleet = play(lose_store, defect=Defect(0.5, since=1))
    assert fleet.log.states() == ['running', 'rolled_back']
    assert max(at for at, version in fleet.sent if version == 'v2') < 4


async def cut_judge_off_the_store(fleet):
    """Let the judging router reach all routers, but not the store."""
    await asyncio.sleep(1.5)
    fleet.routers['r000'].log.is_cut_off = True


@pytest.mark.parametrize('defect', [Defect(0.5, since=2), None])
def test_verdict_of_a_judge_without_the_store_is_written(defect):
    """The judge can't write, and no other router does."""
    fleet = play(cut_judge_off_the_store, defect=defect, seconds=11)
    state = 'rolled_back' if defect else 'succeeded'
    assert fleet.log.states() == ['running', state]
    stages = {
        router.gate.pools['plain'].stage.state
        for router in fleet.routers.values()
    }
    assert stages == {state}


def test_missing_version_runs_until_the_time_ends():
    """An order for a version without upstreams gets a verdict at once."""
    fleet = play(new=0, seconds=9)
    assert fleet.log.states() == ['running']
    fleet = play(new=0)
    assert fleet.log.states() == ['running', 'rolled_back']


async def order_another(fleet):
    """Replace the order by one for the version that serves now."""
    await asyncio.sleep(3)
    fleet.order(target='v1', duration=6)


def test_second_order_replaces_the_first():
    """The first order goes on beside the second one."""
    fleet = play(order_another)
    assert fleet.log.states('v2') == ['running']
    assert fleet.log.states('v1') == ['running', 'succeeded']


def test_budget_of_many_routers_adds_up_to_the_bound():
    """Each router rounds its part up, and together they exceed the bound."""
    rng = random.Random(3)
    total = 0
    for _ in range(60):
        budget = ExposureBudget(0.1, rng)
        budget.update_slack(50, 60)
        for _ in range(20):
            budget.count_request()
            if budget.may_expose():
                budget.count_exposed()
                total += 1
    assert 0.5 * 170 < total <= 170


def test_evidence_exceeds_a_bound_rarely_without_a_difference():
    """Looking at the evidence often makes a sound version look bad."""
    rng = random.Random(4)
    exceeded = 0
    for _ in range(500):
        bad = 0
        for total in range(1, 150):
            bad += rng.random() < 0.02
            if log_likelihood_ratio(bad, total, 0.02) > 3:
                exceeded += 1
                break
    # Ville's inequality: exp(-3), or 25 of 500.
    assert exceeded <= 25
