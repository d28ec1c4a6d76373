"""Tests of routers that keep the versions of each other's streams."""

import asyncio
import dataclasses
import random
from collections.abc import Mapping, Sequence

import pytest

from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.coordination.stream_archive import StreamArchive
from hickorymux._internal.coordination.stream_directory import (
    QUERIED_IN_OTHER_ZONE,
    QUERIED_IN_OWN_ZONE,
    QUERIED_ZONES,
    REPLICA_ZONES,
    REPLICAS_IN_OWN_ZONE,
    StreamDirectory,
)
from hickorymux._internal.coordination.stream_messages import StreamBegun
from hickorymux._internal.state.stream_origins import StreamOrigin, stream_key
from tests.lib.archive import MemoryLog, new_history
from tests.lib.demands import upstream
from tests.lib.manual_clock import ManualClock

ORIGIN = StreamOrigin('models', 'v2')
POOLS = ('models',)
LIFETIME = 15.0
STREAMS = 100
SMALL = (3, 2, 2)
GROWN = (22, 22, 21, 21)


@dataclasses.dataclass
class Contacts:
    """All routers but one, by zone."""

    myself: Member
    zones: Mapping[str, Sequence[Member]]

    def contacts_by_zone(self) -> Mapping[str, Sequence[Member]]:
        return {
            zone: [member for member in members if member != self.myself]
            for zone, members in self.zones.items()
        }

    def zone_delegate(self) -> Member:
        return self.zones[self.myself.zone][0]

    def find(self, router_id: str) -> Member | None:
        everyone = [row for rows in self.zones.values() for row in rows]
        return next(
            (row for row in everyone if row.router_id == router_id), None
        )


class DirectoryFleet:
    """Directories that exchange messages.

    A message is lost with probability ``loss``; ``unreachable`` routers get
    and send none. The membership does not notice.
    """

    def __init__(self, sizes: Sequence[int], loss: float = 0) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.loss = loss
        self.log = MemoryLog()
        self.sent: list[object] = []
        self.unreachable: set[str] = set()
        self.zones = {
            f'z{zone}': [
                Member(f'z{zone}-{number}', 1, f'z{zone}', '127.0.0.1', number)
                for number in range(size)
            ]
            for zone, size in enumerate(sizes)
        }
        self.members = [row for rows in self.zones.values() for row in rows]
        self.routers: dict[str, StreamDirectory] = {}
        for member in self.members:
            self.start(member)

    def start(self, member: Member) -> None:
        """Start a router, which knows nothing of streams."""

        def send(members, message):
            for peer in members:
                self.sent.append(message)
                ends = {member.router_id, peer.router_id}
                if ends & self.unreachable or self.rng.random() < self.loss:
                    continue
                self.routers[peer.router_id].on_message(
                    message, member.router_id
                )

        contacts = Contacts(member, self.zones)
        archive = StreamArchive(self.log, member.router_id, self.clock)
        history = new_history(0, self.clock)
        router = StreamDirectory(contacts, send, history, archive, self.clock)
        self.routers[member.router_id] = router

    def begin_streams(self, router_id: str) -> list[int]:
        """Begin streams at a router and return their keys."""
        keys = [stream_key('ann', f'r{number}') for number in range(STREAMS)]
        for key in keys:
            self.routers[router_id].record(key, ORIGIN, LIFETIME)
        return keys

    async def count_found(self, router_id: str, keys: list[int]) -> int:
        """Return how many of the streams a router finds."""
        router = self.routers[router_id]
        found = await asyncio.gather(*(router.find(key, POOLS) for key in keys))
        assert set(found) <= {ORIGIN, None}
        return sum(origin is not None for origin in found)


@pytest.mark.parametrize('sizes', [SMALL, GROWN, (2,), (2, 1)])
async def test_version_is_lost_with_the_router_that_began_the_stream(sizes):
    fleet = DirectoryFleet(sizes)
    keys = fleet.begin_streams('z0-0')
    fleet.unreachable.add('z0-0')
    for member in fleet.members[1:]:
        assert await fleet.count_found(member.router_id, keys) == STREAMS


async def test_version_is_lost_with_the_zone_that_began_the_stream():
    fleet = DirectoryFleet(GROWN)
    keys = fleet.begin_streams('z0-0')
    fleet.unreachable.update(row.router_id for row in fleet.zones['z0'])
    assert await fleet.count_found('z1-3', keys) == STREAMS
    assert await fleet.count_found('z2-5', keys) == STREAMS


async def test_version_is_lost_when_two_routers_restart():
    fleet = DirectoryFleet(SMALL)
    keys = fleet.begin_streams('z0-0')
    for restarted in ('z0-0', 'z1-0'):
        fleet.start(fleet.members[0 if restarted == 'z0-0' else 3])
    assert await fleet.count_found('z0-1', keys) == STREAMS
    assert await fleet.count_found('z0-0', keys) == STREAMS


@pytest.mark.parametrize('sizes', [SMALL, GROWN])
async def test_lost_datagrams_lose_the_version(sizes):
    fleet = DirectoryFleet(sizes, loss=0.05)
    keys = fleet.begin_streams('z0-0')
    fleet.unreachable.add('z0-0')
    assert await fleet.count_found('z0-1', keys) >= 0.97 * STREAMS


async def test_router_that_is_cut_off_guesses_a_version():
    fleet = DirectoryFleet(SMALL)
    keys = fleet.begin_streams('z0-0')
    fleet.unreachable.add('z2-1')
    started_at = asyncio.get_running_loop().time()
    found = await fleet.count_found('z2-1', keys)
    # It is a replica of some of them since before it was cut off.
    own = sum(
        fleet.routers['z2-1'].table.get(key, 0) is not None for key in keys
    )
    assert found == own < STREAMS
    assert asyncio.get_running_loop().time() - started_at < 1


async def test_stream_no_one_knows_is_reported_at_once():
    fleet = DirectoryFleet(GROWN)
    started_at = asyncio.get_running_loop().time()
    assert await fleet.count_found('z0-0', [1, 2, 3]) == 0
    assert asyncio.get_running_loop().time() - started_at < 0.05
    assert not fleet.routers['z0-0'].queries


async def test_messages_grow_with_the_fleet():
    fleet = DirectoryFleet(GROWN)
    keys = fleet.begin_streams('z0-0')
    replicas = REPLICAS_IN_OWN_ZONE + REPLICA_ZONES
    assert len(fleet.sent) == replicas * STREAMS
    assert all(isinstance(message, StreamBegun) for message in fleet.sent)
    fleet.sent.clear()
    await fleet.count_found('z3-1', keys[:1])
    queried = QUERIED_IN_OWN_ZONE + QUERIED_IN_OTHER_ZONE * QUERIED_ZONES
    assert len(fleet.sent) <= 2 * queried


async def test_version_outlives_the_callers_patience():
    fleet = DirectoryFleet(SMALL)
    keys = fleet.begin_streams('z0-0')
    fleet.clock.advance(LIFETIME + 1)
    assert await fleet.count_found('z0-1', keys) == 0


async def test_unknown_stream_is_refused_though_there_is_one_version():
    fleet = DirectoryFleet((1,))
    router = fleet.routers['z0-0']
    router.history = new_history(2, fleet.clock, version='v2')
    assert await router.find(7, POOLS) is None
    for _ in range(40):
        router.history.observe()
        fleet.clock.advance(1)
    assert await router.find(7, POOLS) == ORIGIN
    assert await router.find(7, ('models', 'others')) is None


@pytest.mark.parametrize('sizes', [SMALL, GROWN])
async def test_all_routers_are_lost_while_two_versions_serve(sizes):
    fleet = DirectoryFleet(sizes)
    for router in fleet.routers.values():
        router.history = new_history(2, fleet.clock, version='v1')
        router.history.registry.put(upstream(9, version='v2'))
        router.observe_versions()
    keys = fleet.begin_streams('z0-1')
    for router in fleet.routers.values():
        await router.archive.flush()
    appends = len(fleet.log.records)
    for member in fleet.members:
        fleet.start(member)
    assert await fleet.count_found('z1-1', keys) == STREAMS
    # The delegate of the zone appends for its routers, and it alone.
    assert appends == 1
    # All of them wait for one read.
    assert fleet.log.reads == 1


async def test_archive_is_written_while_there_is_one_version():
    fleet = DirectoryFleet(SMALL)
    fleet.begin_streams('z0-0')
    await fleet.routers['z0-0'].archive.flush()
    assert not fleet.log.records
