"""Routers together keep the rate that an upstream names."""

import itertools
import random

import pytest

from hickorymux._internal.coordination.engines.request_limits import (
    ENDED_LIFETIME_SECONDS,
    RequestLimits,
)
from hickorymux._internal.coordination.engines.router_ranks import RouterRanks
from hickorymux._internal.coordination.engines.wait_queue import (
    CustomerUsage,
    due_part,
)
from hickorymux._internal.coordination.limit_exchange import LimitExchange
from hickorymux._internal.coordination.load_messages import LoadReport
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.protocol.thrift_codec import thrift_codec
from tests.lib.claim_fleet import StaticMemberView
from tests.lib.demands import upstream
from tests.lib.load_fleet import Load, LoadFleet
from tests.lib.manual_clock import ManualClock

ENGINE = upstream(1, born_ms=7)
NAME = ENGINE.incarnation
TICK_SECONDS = 0.02
# The users' bound on what an upstream gets in any 4 s.
SPAN_SECONDS = 4.0
MAX_EXCESS = 1.5
EXTRA_REQUESTS = 5


class LimitFleet:
    """Routers that know a limit and have more requests than it allows."""

    def __init__(self, count: int, per_second: float) -> None:
        self.names = [f'router-{number}' for number in range(count)]
        self.routers = []
        self.sent_at: list[float] = []
        self.ticks = itertools.count()
        for name in self.names:
            ranks = RouterRanks(name)
            ranks.update(self.names)
            limits = RequestLimits(ranks)
            limits.on_answer(NAME, per_second, 0, 0)
            self.routers.append(limits)

    def run(self, seconds: float) -> None:
        """Send all that the routers may send."""
        for _ in range(int(seconds / TICK_SECONDS)):
            now = next(self.ticks) * TICK_SECONDS
            for router in self.routers:
                if router.may_send(ENGINE, now):
                    router.on_sent(ENGINE, now)
                    self.sent_at.append(now)

    def most_in_span(self) -> int:
        """Return the most requests in any span."""
        return max(
            sum(
                first <= moment < first + SPAN_SECONDS
                for moment in self.sent_at
            )
            for first in set(self.sent_at)
        )


def allowed(per_second: float) -> float:
    """Return what the users allow in a span."""
    return MAX_EXCESS * per_second * SPAN_SECONDS + EXTRA_REQUESTS


@pytest.mark.parametrize('per_second', [0, 0.4, 1.2, 2.8, 8.3, 11.5, 60])
@pytest.mark.parametrize('count', [1, 2, 7, 16, 40, 86])
@pytest.mark.parametrize('parts', ['unknown', 'equal', 'unequal', 'alone'])
def test_routers_together_exceed_the_limit(count, per_second, parts):
    fleet = LimitFleet(count, per_second)
    rng = random.Random(count)
    weights = [rng.random() ** 4 for _ in fleet.routers]
    for router, weight in zip(fleet.routers, weights, strict=True):
        if parts == 'equal':
            router.update_parts({'models': 1 / count}, count)
        elif parts == 'unequal':
            router.update_parts({'models': weight / sum(weights)}, count)
        elif parts == 'alone':
            # As in a network that is cut everywhere.
            router.update_parts({'models': 1}, 1)
    fleet.run(30)
    assert fleet.most_in_span() <= allowed(per_second)
    assert len(fleet.sent_at) >= 0.7 * per_second * 30 - 1


def test_customers_of_a_busy_router_get_no_more_than_those_of_others():
    """The part of a router follows what is due there."""
    fleet = LimitFleet(7, 20)
    for number, router in enumerate(fleet.routers):
        part = 0.4 if number == 0 else 0.1
        router.update_parts({'models': part}, 7)
    sent = [0] * 7
    for tick in range(1500):
        for number, router in enumerate(fleet.routers):
            if router.may_send(ENGINE, tick * TICK_SECONDS):
                router.on_sent(ENGINE, tick * TICK_SECONDS)
                sent[number] += 1
    assert sent[0] > 2 * max(sent[1:])
    assert min(sent[1:]) > 0.1 * 20 * 30 / 2


def test_limit_outlives_answers_that_were_sent_before_it():
    limits = LimitFleet(1, 2.0).routers[0]
    limits.on_answer(NAME, 2.0, 1.0, 2.0)
    assert not limits.on_answer(NAME, None, 1.9, 2.1)
    assert limits.on_sent(ENGINE, 3)
    assert not limits.may_send(ENGINE, 3)
    assert limits.on_answer(NAME, None, 2.2, 3.1)
    assert limits.may_send(ENGINE, 3.1)
    assert not limits.on_sent(ENGINE, 3.1)


def test_limit_of_an_upstream_holds_for_its_next_incarnation():
    limits = LimitFleet(1, 0).routers[0]
    assert not limits.may_send(ENGINE, 0.1)
    assert limits.may_send(upstream(1, born_ms=8), 0.1)
    limits.prune({'e1#8'}, 0.2)
    assert not limits.known()


def test_ended_limits_are_kept_for_ever():
    limits = LimitFleet(1, 3).routers[0]
    limits.on_answer(NAME, None, 1, 2)
    limits.prune({NAME}, 3)
    assert limits.known()
    limits.prune({NAME}, 3 + ENDED_LIFETIME_SECONDS)
    assert not limits.known()


class GossipFleet:
    """Routers that exchange the limits that they know."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.members = [
            Member(f'r{number}', 1, 'z', '', 0) for number in range(count)
        ]
        self.exchanges: dict[str, LimitExchange] = {}
        for member in self.members:
            ranks = RouterRanks(member.router_id)
            ranks.update([one.router_id for one in self.members])
            self.exchanges[member.router_id] = LimitExchange(
                RequestLimits(ranks),
                StaticMemberView(member, self.members),
                self.send,
                self.clock,
                self.rng,
            )
        self.limits = [each.limits for each in self.exchanges.values()]

    def send(self, members, report) -> None:
        codec = thrift_codec()
        for member in members:
            received = codec.decode(*codec.encode(report))
            self.exchanges[member.router_id].on_message(received)

    def run(self, rounds: int) -> None:
        for _ in range(rounds):
            for exchange in self.exchanges.values():
                exchange.tick()
            self.clock.advance(0.5)


def test_router_that_gets_no_answers_never_learns_that_a_limit_has_ended():
    fleet = GossipFleet(86)
    now = fleet.clock.monotonic()
    fleet.limits[0].on_answer(NAME, 0.5, now, now)
    fleet.run(6)
    now = fleet.clock.monotonic()
    assert not any(limits.may_send(ENGINE, now) for limits in fleet.limits[5:8])
    assert all(
        limits.known()[NAME].per_second == 0.5 for limits in fleet.limits
    )
    fleet.limits[0].on_answer(NAME, None, now, now)
    fleet.run(6)
    assert all(limits.may_send(ENGINE, now) for limits in fleet.limits)


def test_older_news_of_a_limit_replace_newer_ones():
    fleet = GossipFleet(2)
    first, second = fleet.limits
    now = fleet.clock.monotonic()
    first.on_answer(NAME, 5, now, now)
    fleet.clock.advance(1)
    now = fleet.clock.monotonic()
    second.on_answer(NAME, 3, now, now)
    fleet.run(1)
    assert first.known()[NAME].per_second == 3
    assert second.known()[NAME].per_second == 3


def test_part_follows_demand_beyond_what_is_due():
    """A customer that asks for far more than its share adds no more."""
    own = {'large': CustomerUsage(100, 900), 'small': CustomerUsage(40, 0)}
    peers = {'other': CustomerUsage(100, 50), 'small': CustomerUsage(10, 0)}
    here, there = due_part(own, peers), due_part(peers, own)
    assert here + there == pytest.approx(1)
    assert here == pytest.approx((100 + 40) / 250)
    assert due_part({}, {}) == 0


@pytest.mark.parametrize('seed', range(3))
def test_customer_of_one_router_starved_by_limits(seed):
    """All engines name limits, and each customer reaches a few routers only."""
    fleet = LoadFleet(1, 7, 9, seed, requests_per_second=2.0)
    routers = fleet.router_ids
    loads = [Load('one router', 60, routers[:1])]
    loads += [Load('others', 60, routers[1:])]
    loads += [Load(f'small-{n}', 2, [routers[n]]) for n in range(7)]
    fleet.run(loads, 20)
    assert fleet.starved_spans() == []


@pytest.mark.parametrize('seed', range(2))
def test_customer_of_one_router_starved_where_zones_report(seed):
    """Routers that hear of all others by zone took them for a few routers.

    They split nearly the whole rate evenly then, and a customer got the even
    part of its one router.
    """
    fleet = LoadFleet(4, 6, 12, seed, requests_per_second=11.5)
    routers = fleet.router_ids
    small = {'own': 600, 'shared': 400, 'output': 50}
    loads = [Load('everywhere', 300, routers, **small)]
    loads += [Load('one router', 60, routers[3:4], **small)]
    fleet.run(loads, 12)
    assert fleet.starved_spans() == []


def test_zone_report_of_the_previous_version_counts_as_many_routers():
    """It doesn't say how many routers it sums up."""
    fleet = LoadFleet(2, 2, 1, 0)
    exchange = fleet.exchanges[fleet.router_ids[1]]
    tracker = exchange.allocator.load_tracker
    exchange.on_message('r1-0', LoadReport(zone='z1'))
    assert tracker.known_routers() == 1
    exchange.on_message('r1-0', LoadReport(zone='z1', routers=2))
    exchange.on_message('r0-0', LoadReport(zone='z0', routers=2))
    assert tracker.known_routers() == 3
