"""Tests of routers that keep a deadly prompt part from the engines together."""

import random

import pytest

from hickorymux._internal.coordination.part_guard import (
    PartGuard,
    fingerprint_of,
)
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.exceptions import CrashSuspect
from hickorymux._internal.state.part_doubt import Doubt
from hickorymux._internal.state.part_suspects import TRIAL_WAITS
from tests.lib.claim_fleet import StaticMemberView
from tests.lib.manual_clock import ManualClock

ROUTERS = 7
DEADLY = ('system', 'subject', 'deadly')
SOUND = ('system', 'subject')


class GuardFleet:
    """Guards that exchange messages at once.

    A message is lost with probability ``loss``.
    """

    def __init__(self, seed: int = 0, loss: float = 0) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.loss = loss
        self.members = [
            Member(f'r{number}', 1, 'msasani', '127.0.0.1', number)
            for number in range(ROUTERS)
        ]
        self.guards: dict[str, PartGuard] = {}
        self.crashes = 0
        for member in self.members:
            self.start(member)

    def start(self, member: Member) -> PartGuard:
        """Start a router; it replaces an earlier one with the same id."""

        def send(members, message):
            for peer in members:
                if self.rng.random() >= self.loss:
                    self.guards[peer.router_id].on_message(
                        member.router_id, message
                    )

        view = StaticMemberView(member, self.members)
        guard = PartGuard(view, send, self.clock, self.rng)
        self.guards[member.router_id] = guard
        return guard

    def request(self, parts: tuple[str, ...]) -> bool:
        """Send a request to a random router; return whether it was sent on.

        One with the deadly part crashes an engine, at which another router
        has a sound request.
        """
        router_id = self.rng.choice(self.members).router_id
        guard = self.guards[router_id]
        try:
            guard.admit(parts)
        except CrashSuspect:
            return False
        if 'deadly' in parts:
            self.crashes += 1
            crash = f'e{self.crashes}#1'
            guard.on_crash(crash, self.crashes, parts)
            other = self.guards[self.rng.choice(self.members).router_id]
            other.on_crash(crash, -self.crashes % 1000, SOUND)
        else:
            guard.on_answer_begun(parts)
        return True

    def run(self, seconds: int) -> tuple[int, int]:
        """Send 2 deadly and 4 sound requests a second.

        Returns how many of the deadly and of the sound ones were sent on.
        """
        deadly = sound = 0
        for _ in range(2 * seconds):
            self.clock.advance(0.5)
            for guard in self.guards.values():
                guard.tick()
            deadly += self.request(DEADLY)
            sound += self.request(SOUND) + self.request(SOUND)
        return deadly, sound


@pytest.mark.parametrize('seed', range(20))
def test_deadly_part_sent_on_after_it_is_known(seed):
    fleet = GuardFleet(seed, loss=0.05)
    early, sound = fleet.run(5)
    late, more_sound = fleet.run(25)
    assert early <= 5
    assert late <= 3
    assert sound + more_sound >= 0.9 * 120


def test_router_that_restarts_forgets_the_deadly_part():
    fleet = GuardFleet(1)
    fleet.run(4)
    member = fleet.members[2]
    guard = fleet.start(member)
    for _ in range(4):
        for other in fleet.guards.values():
            other.tick()
    with pytest.raises(CrashSuspect):
        guard.admit(DEADLY)
    assert not guard.admit(SOUND)


def test_one_router_tries_a_refused_part_with_one_request():
    fleet = GuardFleet(1)
    fleet.run(4)
    fleet.clock.advance(TRIAL_WAITS[Doubt.none])
    sent = 0
    for guard in [*fleet.guards.values()] * 3:
        try:
            sent += guard.admit(DEADLY)
        except CrashSuspect:
            continue
    assert sent == 1


def test_sound_part_that_one_router_refuses_is_cleared_by_its_peers():
    fleet = GuardFleet(1)
    guard = fleet.guards['r3']
    fleet.loss = 1
    for number in range(3):
        guard.on_crash(f'e{number}#1', number, SOUND)
    assert guard.table.implicated
    fleet.clock.advance(1)
    for name, peer in fleet.guards.items():
        if name != 'r3':
            peer.on_answer_begun(SOUND)
    fleet.loss = 0
    guard.tick()
    assert not guard.admit(SOUND)


def test_peer_that_missed_a_clearing_does_not_undo_it():
    """A peer refused a document that was cleared, and so did all others then."""
    fleet = GuardFleet(1)
    for number in range(3):
        fleet.guards['r0'].on_crash(f'e{number}#1', number, DEADLY)
    fleet.clock.advance(0.1)
    late = fleet.guards.pop('r5')
    fleet.guards['r5'] = fleet.guards['r4']
    assert fleet.guards['r2'].admit(SOUND)
    fleet.guards['r2'].on_answer_begun(SOUND)
    fleet.guards['r5'] = late
    fleet.clock.advance(12)
    for _ in range(4):
        late.tick()
        for guard in fleet.guards.values():
            assert not guard.table.refused(map(fingerprint_of, SOUND))


def test_only_one_router_at_a_time_tries_a_part_in_doubt():
    """Each router would lose an engine if the wide part were the cause."""
    fleet = GuardFleet(1)
    for number in range(3):
        fleet.guards['r0'].on_crash(f'e{number}#1', number, DEADLY)
    assert fleet.guards['r2'].admit(SOUND)
    for guard in fleet.guards.values():
        with pytest.raises(CrashSuspect):
            guard.admit(SOUND)


def test_peer_that_sends_on_a_refused_part_is_told_at_once():
    """A router that has just started retries a request before the next tick."""
    fleet = GuardFleet(1)
    for number in range(3):
        fleet.guards['r0'].on_crash(f'e{number}#1', number, DEADLY)
    guard = fleet.start(fleet.members[2])
    assert not guard.admit(DEADLY)
    guard.on_crash('e9#1', 9, DEADLY)
    with pytest.raises(CrashSuspect):
        guard.admit(DEADLY)


def test_refused_part_that_is_answered_in_a_trial_is_admitted_everywhere():
    fleet = GuardFleet(1)
    fleet.run(4)
    fleet.guards['r0'].on_answer_begun(DEADLY)
    for guard in fleet.guards.values():
        assert not guard.admit(DEADLY)
