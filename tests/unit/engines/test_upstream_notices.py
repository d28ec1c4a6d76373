"""Tests of what upstreams say of themselves."""

import math
import random

from hickorymux._internal.coordination.engines.upstream_notices import (
    FORGET_SECONDS,
    RETURN_SPREAD,
    RETURN_SPREAD_SECONDS,
    UpstreamNotices,
)


def test_pause_lasts_as_long_as_it_was_named():
    notices = UpstreamNotices()
    assert notices.on_pause('i-1', 2, 10)
    assert not notices.on_pause('i-1', 0.5, 10.1)
    assert not notices.may_send('i-1', 12)
    assert notices.may_send(
        'i-1', 12 + 2 * RETURN_SPREAD + RETURN_SPREAD_SECONDS
    )
    assert notices.may_send('i-2', 10)


def test_routers_return_at_different_times():
    ends = set()
    for seed in range(20):
        notices = UpstreamNotices(random.Random(seed))
        notices.on_pause('i-1', 2, 0)
        ends.add(notices.paused_until['i-1'])
    assert max(ends) - min(ends) > RETURN_SPREAD


def test_pause_does_not_end_that_an_upstream_leaves():
    notices = UpstreamNotices()
    assert notices.on_leaving('i-1', 0)
    assert not notices.on_leaving('i-1', 1)
    assert not notices.on_pause('i-1', 1, 1)
    assert notices.is_leaving('i-1')
    assert not notices.may_send('i-1', 100_000)


def test_incarnation_is_remembered_beyond_a_short_absence():
    notices = UpstreamNotices()
    notices.on_leaving('i-1', 0)
    assert not notices.prune((), FORGET_SECONDS / 2)
    assert not notices.prune(('i-1',), FORGET_SECONDS)
    assert notices.is_leaving('i-1')
    assert notices.prune((), 2 * FORGET_SECONDS + 1) == ['i-1']
    assert notices.may_send('i-1', 0)


def test_first_return_of_a_pool():
    notices = UpstreamNotices()
    notices.on_leaving('i-1', 0)
    assert notices.seconds_until_return(['i-1'], 0) == math.inf
    notices.on_pause('i-2', 3, 0)
    seconds = notices.seconds_until_return(['i-1', 'i-2'], 1)
    assert 2 <= seconds <= 2 + 3 * RETURN_SPREAD + RETURN_SPREAD_SECONDS
    assert notices.seconds_until_return(['i-1', 'i-3'], 1) is None
    assert notices.seconds_until_return([], 1) is None
