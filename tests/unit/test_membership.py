"""Membership of routers that exchange messages in memory."""

import dataclasses
from collections.abc import Iterable

from lib.manual_clock import ManualClock

from hickorymux._internal.coordination.membership import (
    DIGEST_INTERVAL_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    MEMBER_TIMEOUT_SECONDS,
    Membership,
)
from hickorymux._internal.coordination.membership_messages import (
    Heartbeat,
    ZoneDigest,
)
from hickorymux._internal.coordination.ports import Member

ROUNDS = int(DIGEST_INTERVAL_SECONDS / HEARTBEAT_INTERVAL_SECONDS) * 3


class Fleet:
    """Routers named by zone and number; messages arrive immediately."""

    def __init__(self, *names: str) -> None:
        self.clock = ManualClock()
        self.sent: list[tuple[str, str, object]] = []
        self.routers: dict[str, Membership] = {}
        for name in names:
            self.add(name)

    def add(self, name: str, incarnation: int = 1) -> Membership:
        me = Member(name, incarnation, name[0], name, 1)

        def send(to: Iterable[Member], message: object) -> None:
            for member in to:
                self.sent.append((name, member.router_id, message))
                if member.router_id in self.routers:
                    self.routers[member.router_id].on_message(message, name)

        router = Membership(me, self.clock, send)
        self.routers[name] = router
        return router

    def seed_all(self) -> None:
        for router in self.routers.values():
            router.replace_seeds(
                [router.me for router in self.routers.values()]
            )

    def run(self, rounds: int = ROUNDS) -> None:
        for _ in range(rounds):
            for router in self.routers.values():
                router.tick()
            self.clock.advance(HEARTBEAT_INTERVAL_SECONDS)

    def live_ids_at(self, name: str) -> list[str]:
        return [member.router_id for member in self.routers[name].live()]


def test_all_routers_see_each_other_and_remove_a_lost_one() -> None:
    fleet = Fleet('a1', 'a2', 'b1', 'b2')
    fleet.seed_all()
    fleet.run()
    assert {tuple(fleet.live_ids_at(name)) for name in fleet.routers} == {
        ('a1', 'a2', 'b1', 'b2')
    }
    del fleet.routers['a1']
    fleet.clock.advance(MEMBER_TIMEOUT_SECONDS)
    fleet.run()
    assert {tuple(fleet.live_ids_at(name)) for name in fleet.routers} == {
        ('a2', 'b1', 'b2')
    }


def test_seeds_in_one_direction_are_enough() -> None:
    fleet = Fleet('a1', 'a2', 'b1')
    a1, a2, b1 = (router.me for router in fleet.routers.values())
    fleet.routers['a2'].replace_seeds([a1])
    fleet.routers['b1'].replace_seeds([a1])
    fleet.run()
    assert (
        fleet.live_ids_at('a1') == fleet.live_ids_at('a2') == ['a1', 'a2', 'b1']
    )
    assert fleet.live_ids_at('b1') == ['a1', 'a2', 'b1']


def test_seeds_are_not_live() -> None:
    fleet = Fleet('a1')
    fleet.routers['a1'].replace_seeds([Member('a2', 0, 'a', 'a2', 1)])
    fleet.run()
    assert fleet.live_ids_at('a1') == ['a1']
    assert fleet.routers['a1'].find('a2') is not None


def test_higher_incarnation_wins() -> None:
    router = Fleet('a1').routers['a1']
    new = Heartbeat('a2', 7, 'a', 'new', 1)
    old = dataclasses.replace(new, incarnation=6, host='old')
    for heartbeat in (new, old):
        router.on_message(heartbeat, 'a2')
        assert router.find('a2').host == 'new'
    router.on_message(dataclasses.replace(new, incarnation=8, host='x'), 'a2')
    assert router.find('a2').host == 'x'


def test_heartbeats_in_the_name_of_another_router_are_ignored() -> None:
    fleet = Fleet('a1')
    router = fleet.routers['a1']
    router.on_message(Heartbeat('a2', 1, 'a', 'h', 1), 'a3')
    router.on_message(Heartbeat('b2', 1, 'b', 'h', 1), 'b2')
    router.on_message(Heartbeat('a1', 9, 'a', 'h', 1), 'a1')
    assert fleet.live_ids_at('a1') == ['a1']
    assert router.me.incarnation == 1


def test_rows_are_sent_between_zones_only_when_they_changed() -> None:
    fleet = Fleet('a1', 'a2', 'b1', 'b2')
    fleet.seed_all()
    fleet.run()

    def rows_sent() -> int:
        fleet.sent.clear()
        fleet.run()
        return sum(
            isinstance(message, ZoneDigest) and bool(message.members)
            for _, _, message in fleet.sent
        )

    assert rows_sent() == 0
    fleet.add('a3').replace_seeds([fleet.routers['a1'].me])
    assert rows_sent() > 0
    assert fleet.live_ids_at('b2') == ['a1', 'a2', 'a3', 'b1', 'b2']
    assert rows_sent() == 0
