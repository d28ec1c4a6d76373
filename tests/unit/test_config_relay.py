"""A router asks a peer whose version stays higher, even if the log answers.

A router may lose its connection to the log without noticing. If it trusted the
log alone, it would keep an old configuration.
"""

from collections.abc import Sequence
from typing import Any

from lib.config_samples import base_operations, change
from lib.fake_log import FakeLog
from lib.manual_clock import ManualClock

from hickorymux._internal.coordination.config_follower import ConfigFollower
from hickorymux._internal.coordination.config_messages import ConfigRequest
from hickorymux._internal.coordination.config_relay import ConfigRelay
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.state.config_changes import CONFIG_STREAM


class Peers:
    """A member view with given versions that records sent messages."""

    def __init__(self) -> None:
        self.myself = Member('me', 1, 'a', '127.0.0.1', 1)
        self.versions: dict[str, int] = {}
        self.sent: list[tuple[str, Any]] = []

    def live(self) -> Sequence[Member]:
        return [
            self.myself,
            *(
                Member(name, 1, 'a', '127.0.0.1', 1, config_version=version)
                for name, version in self.versions.items()
            ),
        ]

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        return self.live()

    def send(self, router_id: str, message: Any) -> bool:
        self.sent.append((router_id, message))
        return True


def new_relay() -> tuple[ConfigRelay, Peers, FakeLog]:
    log, clock, peers = FakeLog(), ManualClock(), Peers()
    log.put(CONFIG_STREAM, change(0, *base_operations()))
    follower = ConfigFollower(log, clock, router_id='me')
    return ConfigRelay(follower, peers, peers, clock), peers, log


async def test_without_a_configuration_the_highest_is_asked_at_once() -> None:
    relay, peers, _ = new_relay()
    relay.tick()
    assert not peers.sent
    peers.versions = {'low': 3, 'high': 7}
    relay.tick()
    assert peers.sent == [('high', ConfigRequest(-1))]


async def test_a_peer_that_stays_ahead_is_asked_though_the_log_answered() -> (
    None
):
    relay, peers, _ = new_relay()
    await relay.follower.step()
    assert relay.follower.is_log_reachable
    peers.versions = {'ahead': 2}
    relay.tick()
    assert not peers.sent
    relay.tick()
    assert peers.sent == [('ahead', ConfigRequest(1))]


async def test_a_peer_that_was_ahead_for_a_moment_is_not_asked() -> None:
    relay, peers, _ = new_relay()
    await relay.follower.step()
    for versions in ({'one': 2}, {'one': 1}, {'one': 2}):
        peers.versions = versions
        relay.tick()
    assert not peers.sent


async def test_an_offer_answers_a_request_and_is_adopted() -> None:
    relay, peers, log = new_relay()
    await relay.follower.step()
    relay.on_message('other', ConfigRequest(0))
    ((recipient, offer),) = peers.sent
    assert recipient == 'other'
    receiver, _, _ = new_relay()
    receiver.on_message('me', offer)
    assert receiver.follower.version == relay.follower.version == 1
