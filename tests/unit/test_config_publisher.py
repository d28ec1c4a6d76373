"""Tests of the publisher when answers or appends are lost."""

import pytest
from lib.config_samples import base_operations, change
from lib.fake_log import FakeLog
from lib.manual_clock import ManualClock

from hickorymux._internal.coordination.config_publisher import ConfigPublisher
from hickorymux._internal.exceptions import (
    LogUnavailable,
    OutcomeUnknown,
    UsageError,
)
from hickorymux._internal.state.config_changes import CONFIG_STREAM, DrainZone
from hickorymux._internal.state.config_fold import (
    Accepted,
    ConfigFold,
    Outcome,
    Rejected,
)
from hickorymux._internal.state.config_snapshot import (
    SNAPSHOT_STREAM,
    compress_snapshot,
)


def started_log() -> FakeLog:
    log = FakeLog()
    log.put(CONFIG_STREAM, change(0, *base_operations()))
    return log


async def drain(log: FakeLog, *, base: int = 1) -> Outcome:
    publisher = ConfigPublisher(log, ManualClock())
    await publisher.read_to(base)
    return await publisher.publish(
        base=base, author='ops', operations=(DrainZone('a'),)
    )


async def test_a_lost_answer_is_found_on_the_log() -> None:
    log = started_log()
    log.lost_answers = 1
    assert isinstance(await drain(log), Accepted)
    assert log.end(CONFIG_STREAM) == 2


async def test_a_lost_append_is_made_again() -> None:
    log = started_log()
    log.lost_appends = 2
    assert isinstance(await drain(log), Accepted)
    assert log.end(CONFIG_STREAM) == 2


async def test_a_conflict_is_reported_after_a_lost_answer() -> None:
    log = started_log()
    log.put(CONFIG_STREAM, change(1, DrainZone('a'), author='other'))
    log.lost_answers = 1
    outcome = await drain(log)
    assert isinstance(outcome, Rejected)
    assert outcome.conflicts[0].last_change.author == 'other'


async def test_an_outage_before_the_append_is_reported_as_unavailable() -> None:
    log = started_log()
    publisher = ConfigPublisher(log, ManualClock())
    await publisher.read_to_end()
    log.is_down = True
    with pytest.raises(LogUnavailable):
        await publisher.publish(
            base=1, author='ops', operations=(DrainZone('a'),)
        )
    assert log.end(CONFIG_STREAM) == 1


async def test_an_outage_after_a_lost_answer_leaves_the_outcome_unknown() -> (
    None
):
    log = started_log()

    class OutageAfterAppend(ManualClock):
        async def sleep(self, seconds: float) -> None:
            log.is_down = True
            await super().sleep(seconds)

    publisher = ConfigPublisher(log, OutageAfterAppend())
    await publisher.read_to_end()
    log.lost_answers = 1
    with pytest.raises(OutcomeUnknown):
        await publisher.publish(
            base=1, author='ops', operations=(DrainZone('a'),)
        )


async def test_a_base_that_is_trimmed_comes_from_a_snapshot() -> None:
    log = started_log()
    fold = ConfigFold()
    fold.apply_record(0, log.page(CONFIG_STREAM, 0, 1).records[0].payload)
    log.put(SNAPSHOT_STREAM, compress_snapshot(fold.snapshot()))
    log.put(CONFIG_STREAM, change(1, DrainZone('b')))
    log.trim(CONFIG_STREAM, 1)
    assert isinstance(await drain(log), Accepted)


async def test_a_base_that_does_not_exist_is_refused() -> None:
    with pytest.raises(UsageError, match='the version in force is 1'):
        await drain(started_log(), base=5)
