"""Tests of the follower: new records, trimmed records and log outages."""

import asyncio
import contextlib
import datetime as dt

import pytest
from lib.config_samples import base_operations, change
from lib.manual_clock import ManualClock
from lib.fake_log import FakeLog

from hickorymux._internal.coordination.config_follower import ConfigFollower
from hickorymux._internal.coordination.config_messages import (
    ConfigOffer,
    ConfigRequest,
)
from hickorymux._internal.coordination.config_snapshots import SnapshotPolicy
from hickorymux._internal.exceptions import (
    LogTrimmed,
    LogUnavailable,
    SnapshotError,
)
from hickorymux._internal.state.config_changes import (
    CONFIG_STREAM,
    DrainZone,
    RestoreZone,
)
from hickorymux._internal.state.config_fold import ConfigFold
from hickorymux._internal.state.config_snapshot import (
    SNAPSHOT_STREAM,
    compress_snapshot,
    decompress_snapshot,
)
from hickorymux._internal.state.tables import Tables


class Fleet:
    """Creates followers that share a log and a clock."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self.clock = ManualClock()
        self.log.put(CONFIG_STREAM, change(0, *base_operations()))

    def follower(self, router_id: str = 'r1') -> ConfigFollower:
        policy = SnapshotPolicy(
            interval=dt.timedelta(seconds=60),
            spread=dt.timedelta(seconds=10),
            max_records=5,
        )
        return ConfigFollower(
            self.log, self.clock, router_id=router_id, policy=policy
        )

    async def read(self, follower: ConfigFollower) -> None:
        """Run steps until the follower has read all records."""
        while follower.fold.next_offset < self.log.end(CONFIG_STREAM):
            await follower.step()


async def test_listeners_get_each_page() -> None:
    fleet = Fleet()
    follower = fleet.follower()
    seen: list[Tables] = []
    follower.subscribe(seen.append)
    await fleet.read(follower)
    fleet.log.put(CONFIG_STREAM, change(1, DrainZone('a')))
    await fleet.read(follower)
    assert [tables.version for tables in seen] == [1, 2]
    assert seen[-1].drained_zones == {'a'}
    assert follower.missing_reasons() == ()


async def test_start_after_trimming_uses_the_newest_snapshot() -> None:
    fleet = Fleet()
    first = fleet.follower()
    await fleet.read(first)
    fleet.log.put(SNAPSHOT_STREAM, compress_snapshot(first.snapshot()))
    fleet.log.put(SNAPSHOT_STREAM, b'broken')
    fleet.log.put(CONFIG_STREAM, change(1, DrainZone('a')))
    fleet.log.trim(CONFIG_STREAM, 1)
    second = fleet.follower('r2')
    await fleet.read(second)
    await fleet.read(first)
    assert second.tables == first.tables
    assert second.version == 2


async def test_start_after_trimming_without_snapshot_says_so() -> None:
    fleet = Fleet()
    fleet.log.put(CONFIG_STREAM, change(1, DrainZone('a')))
    fleet.log.trim(CONFIG_STREAM, 1)
    follower = fleet.follower()
    with pytest.raises(LogTrimmed):
        await follower.step()
    assert 'trimmed' in follower.missing_reasons()[0]


async def test_trimmed_snapshots_are_found_too() -> None:
    fleet = Fleet()
    first = fleet.follower()
    await fleet.read(first)
    for _ in range(9):
        fleet.log.put(SNAPSHOT_STREAM, compress_snapshot(first.snapshot()))
    fleet.log.trim(SNAPSHOT_STREAM, 8)
    fleet.log.trim(CONFIG_STREAM, 1)
    second = fleet.follower('r2')
    await second.step()
    assert second.version == 1


async def test_start_with_the_log_down_takes_a_peer_snapshot() -> None:
    fleet = Fleet()
    first = fleet.follower()
    await fleet.read(first)
    fleet.log.is_down = True
    second = fleet.follower('r2')
    with pytest.raises(LogUnavailable):
        await second.step()
    assert 'log service does not answer' in second.missing_reasons()[0]
    offer = first.answer_request(ConfigRequest(second.version))
    assert offer is not None
    assert second.adopt_offer(offer)
    assert second.missing_reasons() == ()
    assert second.tables == first.tables
    assert first.answer_request(ConfigRequest(second.version)) is None


async def test_a_lower_version_is_never_adopted() -> None:
    fleet = Fleet()
    follower = fleet.follower()
    await fleet.read(follower)
    old = follower.snapshot()
    fleet.log.put(CONFIG_STREAM, change(1, DrainZone('a')))
    await fleet.read(follower)
    assert not follower.adopt_peer_snapshot(old)
    assert follower.version == 2


@pytest.mark.parametrize('payload', [b'', b'x', b'x\x9c'])
async def test_a_broken_offer_changes_nothing(payload: bytes) -> None:
    follower = Fleet().follower()
    with pytest.raises(SnapshotError):
        follower.adopt_offer(ConfigOffer(9, payload))
    assert follower.version == 0


async def test_records_after_an_adopted_snapshot_are_folded() -> None:
    fleet = Fleet()
    first = fleet.follower()
    await fleet.read(first)
    second = fleet.follower('r2')
    assert second.adopt_peer_snapshot(first.snapshot())
    fleet.log.put(CONFIG_STREAM, change(1, DrainZone('a')))
    fleet.log.put(CONFIG_STREAM, change(2, RestoreZone('a')))
    await fleet.read(second)
    assert second.version == 3


async def test_one_of_several_routers_writes_the_snapshot() -> None:
    fleet = Fleet()
    followers = [fleet.follower(f'r{number}') for number in range(6)]
    for follower in followers:
        await fleet.read(follower)
    for _ in range(80):
        fleet.clock.advance(1)
        for follower in followers:
            if (
                follower.snapshot_schedule.seconds_until_check(
                    follower.fold.next_offset
                )
                == 0
            ):
                await follower.step()
    assert fleet.log.end(SNAPSHOT_STREAM) == 1
    (record,) = fleet.log.page(SNAPSHOT_STREAM, 0, 1).records
    fold = ConfigFold.from_snapshot(decompress_snapshot(record.payload))
    assert fold.tables == followers[0].tables


def test_the_policy_follows_a_short_retention() -> None:
    policy = SnapshotPolicy.from_retention(dt.timedelta(minutes=20))
    assert policy.interval == dt.timedelta(minutes=5)
    assert policy.spread == dt.timedelta(minutes=1)
    policy = SnapshotPolicy.from_retention(dt.timedelta(days=7))
    assert policy == SnapshotPolicy()


async def test_a_peer_snapshot_of_the_same_version_completes_loading() -> None:
    fleet = Fleet()
    first = fleet.follower()
    await fleet.read(first)
    second = fleet.follower('r2')
    second.adopt_log_snapshot(ConfigFold.from_snapshot(first.snapshot()))
    assert second.missing_reasons()
    assert not second.adopt_peer_snapshot(first.snapshot())
    assert second.missing_reasons() == ()


async def test_many_records_lead_to_an_earlier_snapshot() -> None:
    fleet = Fleet()
    follower = fleet.follower()
    for _ in range(5):
        fleet.log.put(CONFIG_STREAM, b'malformed')
    fleet.clock.advance(11)
    await follower.step()
    assert fleet.log.end(SNAPSHOT_STREAM) == 1


async def test_the_follower_survives_an_outage() -> None:
    fleet = Fleet()
    follower = fleet.follower()
    fleet.log.is_down = True
    task = asyncio.create_task(follower.run())
    for _ in range(10):
        await asyncio.sleep(0)
    assert follower.version == 0
    fleet.log.is_down = False
    for _ in range(20):
        await asyncio.sleep(0)
    assert follower.version == 1
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
