"""A version counts as the only one only if no other can have been missed."""

import pytest

from hickorymux._internal.coordination.retained_versions import (
    UNKNOWN,
    RetainedVersions,
)
from hickorymux._internal.coordination.version_history import (
    HISTORY_SECONDS,
    MAX_GAP_SECONDS,
    RETAINED_INTERVAL_SECONDS,
    VersionHistory,
)
from hickorymux._internal.exceptions import LogUnavailable
from hickorymux._internal.state.upstream_registry import LAPSE_GRACE_SECONDS
from tests.lib.demands import registry, upstream
from tests.lib.manual_clock import ManualClock

POOL = 'models'


class View:
    """A view of upstreams that is read every 0.5 s of a manual clock.

    ``on_read`` runs with each read while ``is_read`` is set.
    """

    def __init__(self, **changes: object) -> None:
        self.clock = ManualClock()
        self.registry = registry(2, version='v1', **changes)
        self.is_read = True
        self.on_read = lambda: None
        self.last_read = self.clock.monotonic()
        self.retained = UNKNOWN
        self.timeout = 12.0
        self.history = VersionHistory(
            self.registry,
            self.confirmed_at,
            self.clock,
            self.read_retained,
            lambda: self.timeout,
        )

    async def read_retained(self) -> RetainedVersions:
        """Return what the store has; fail if there is nothing."""
        if self.retained is None:
            raise LogUnavailable('busy', where='upstreams')
        return self.retained

    def confirmed_at(self) -> float:
        """Return the time of the last read, which may be now."""
        now = self.clock.monotonic()
        if self.is_read and now - self.last_read >= 0.5:
            self.last_read = now
            self.on_read()
        return self.last_read

    def observe(self, seconds: float) -> None:
        """Observe the view every 0.5 s for a time."""
        for _ in range(int(seconds * 2)):
            self.history.observe()
            self.clock.advance(0.5)


async def test_version_is_guessed_before_the_history_is_long_enough():
    view = View()
    view.observe(HISTORY_SECONDS - 1)
    assert await view.history.only_version(POOL) is None
    view.observe(2)
    assert await view.history.only_version(POOL) == 'v1'
    assert await view.history.only_version('other') is None


async def test_version_that_left_a_moment_ago_is_forgotten():
    view = View()
    view.observe(HISTORY_SECONDS + 1)
    view.registry.put(upstream(9, version='v2'))
    view.observe(1)
    view.registry.remove('e9', 0)
    assert await view.history.only_version(POOL) is None
    view.observe(HISTORY_SECONDS - 2)
    assert await view.history.only_version(POOL) is None
    view.observe(3)
    assert await view.history.only_version(POOL) == 'v1'


async def test_version_registered_since_the_last_read_is_missed():
    view = View()
    view.observe(HISTORY_SECONDS + 1)
    view.history.observe()
    view.clock.advance(0.1)
    view.on_read = lambda: view.registry.put(upstream(9, version='v2'))
    assert await view.history.only_version(POOL) is None


async def test_version_is_guessed_while_the_view_is_out_of_date():
    view = View()
    view.observe(HISTORY_SECONDS + 1)
    view.is_read = False
    assert await view.history.only_version(POOL) is None
    view.observe(MAX_GAP_SECONDS + 1)
    view.is_read = True
    view.observe(HISTORY_SECONDS - 1)
    assert await view.history.only_version(POOL) is None


@pytest.mark.parametrize('pause_seconds', [MAX_GAP_SECONDS + 1, 60])
async def test_version_is_guessed_after_a_pause_of_the_host(pause_seconds):
    view = View()
    view.observe(HISTORY_SECONDS + 1)
    view.clock.advance(pause_seconds)
    assert await view.history.only_version(POOL) is None


def retained(seconds: float, *versions: str) -> RetainedVersions:
    return RetainedVersions(
        frozenset((POOL, version) for version in versions), seconds
    )


async def test_router_that_has_just_started_refuses_the_only_version():
    view = View()
    view.observe(1)
    view.retained = retained(HISTORY_SECONDS, 'v1')
    assert await view.history.only_version(POOL) == 'v1'


@pytest.mark.parametrize(
    'found',
    [
        retained(HISTORY_SECONDS, 'v1', 'v2'),
        retained(HISTORY_SECONDS - 3, 'v1'),
        UNKNOWN,
        None,
    ],
)
async def test_version_is_guessed_from_what_the_store_retains(found):
    view = View()
    view.observe(1)
    view.retained = found
    assert await view.history.only_version(POOL) is None
    # It is not read again for each stream.
    view.retained = retained(HISTORY_SECONDS, 'v1')
    assert await view.history.only_version(POOL) is None


async def test_store_is_never_asked_again_after_an_outage():
    view = View()
    view.observe(1)
    view.retained = None
    assert await view.history.only_version(POOL) is None
    view.observe(RETAINED_INTERVAL_SECONDS + 0.5)
    view.retained = retained(HISTORY_SECONDS, 'v1')
    assert await view.history.only_version(POOL) == 'v1'


async def test_version_is_guessed_though_callers_wait_longer():
    view = View()
    view.timeout = 60.0
    view.observe(HISTORY_SECONDS + 1)
    assert await view.history.only_version(POOL) is None
    view.observe(60)
    assert await view.history.only_version(POOL) == 'v1'


async def test_history_reaches_back_beyond_a_restore_of_the_store():
    """Entries of another version may be lost with what the store lost."""
    view = View()
    view.observe(HISTORY_SECONDS + 1)
    assert await view.history.only_version(POOL) == 'v1'
    view.history.on_era_change()
    view.observe(HISTORY_SECONDS)
    assert await view.history.only_version(POOL) is None
    view.observe(LAPSE_GRACE_SECONDS + 1)
    assert await view.history.only_version(POOL) == 'v1'
