"""A reset needs no earlier records and takes effect at one offset only."""

import pytest
from lib.config_samples import base_operations, change
from lib.fake_log import FakeLog
from lib.manual_clock import ManualClock

from hickorymux._internal.coordination.config_follower import ConfigFollower
from hickorymux._internal.coordination.config_publisher import ConfigPublisher
from hickorymux._internal.coordination.config_reset import ConfigReset
from hickorymux._internal.exceptions import LogTrimmed
from hickorymux._internal.state.config_changes import (
    CONFIG_STREAM,
    DrainZone,
    ResetTables,
)
from hickorymux._internal.state.config_fold import (
    Accepted,
    ConfigFold,
    Outcome,
    Rejected,
    RejectCode,
)


def trimmed_log() -> FakeLog:
    log = FakeLog()
    log.put(CONFIG_STREAM, change(0, *base_operations()))
    log.put(CONFIG_STREAM, change(1, DrainZone('a')))
    log.trim(CONFIG_STREAM, 1)
    return log


async def reset(log: FakeLog) -> Outcome:
    return await ConfigReset(log, ManualClock()).publish(
        author='ops', operations=base_operations()
    )


async def test_routers_with_and_without_history_agree() -> None:
    log = trimmed_log()
    full_fold = ConfigFold()
    full_fold.apply_record(0, change(0, *base_operations()))
    full_fold.apply_record(1, change(1, DrainZone('a')))
    follower = ConfigFollower(log, ManualClock(), router_id='r')
    with pytest.raises(LogTrimmed):
        await follower.step()
    assert 'trimmed' in follower.missing_reasons()[0]
    outcome = await reset(log)
    assert isinstance(outcome, Accepted)
    assert outcome.version == 3
    await follower.step()
    await follower.step()
    assert follower.missing_reasons() == ()
    (record,) = log.page(CONFIG_STREAM, 2, 1).records
    assert full_fold.apply_record(2, record.payload) == outcome
    assert full_fold.snapshot() == follower.snapshot()
    assert not follower.tables.drained_zones


async def test_a_router_in_service_keeps_its_tables_until_the_reset() -> None:
    log = FakeLog()
    log.put(CONFIG_STREAM, change(0, *base_operations()))
    follower = ConfigFollower(log, ManualClock(), router_id='r')
    await follower.step()
    log.put(CONFIG_STREAM, change(1, DrainZone('a')))
    log.put(CONFIG_STREAM, change(1, DrainZone('b')))
    log.trim(CONFIG_STREAM, 2)
    with pytest.raises(LogTrimmed):
        await follower.step()
    assert follower.version == 1
    await reset(log)
    await follower.step()
    assert follower.version == 4


@pytest.mark.parametrize('answers', ['lost_answers', 'lost_appends'])
async def test_a_lost_answer_leaves_one_reset(answers: str) -> None:
    log = trimmed_log()
    setattr(log, answers, 1)
    assert isinstance(await reset(log), Accepted)
    assert log.end(CONFIG_STREAM) == 3


async def test_a_record_that_comes_first_rejects_the_reset() -> None:
    class RacingLog(FakeLog):
        async def append(self, stream: str, payload: bytes) -> int:
            self.put(stream, change(0, DrainZone('b')))
            return await super().append(stream, payload)

    log = RacingLog()
    outcome = await reset(log)
    assert isinstance(outcome, Rejected)
    assert outcome.code is RejectCode.reset_moved
    fold = ConfigFold()
    for record in log.page(CONFIG_STREAM, 0, 9).records:
        assert isinstance(
            fold.apply_record(record.offset, record.payload), Rejected
        )


async def test_changes_go_on_after_a_reset_without_a_snapshot() -> None:
    log = trimmed_log()
    publisher = ConfigPublisher(log, ManualClock())
    with pytest.raises(LogTrimmed, match='apply --reset'):
        await publisher.read_to_end()
    await reset(log)
    publisher = ConfigPublisher(log, ManualClock())
    await publisher.read_to(3)
    outcome = await publisher.publish(
        base=3, author='ops', operations=(DrainZone('b'),)
    )
    assert isinstance(outcome, Accepted)


def test_a_base_before_the_reset_is_rejected() -> None:
    fold = ConfigFold()
    fold.apply_record(0, change(0, *base_operations()))
    fold.apply_record(1, change(1, ResetTables(), *base_operations()))
    outcome = fold.apply_record(2, change(1, DrainZone('a')))
    assert isinstance(outcome, Rejected)
    assert outcome.code is RejectCode.base_too_old
