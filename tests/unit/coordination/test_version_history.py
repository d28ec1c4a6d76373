"""A version counts as the only one only if no other can have been missed."""

import pytest

from hickorymux._internal.coordination.version_history import (
    HISTORY_SECONDS,
    MAX_GAP_SECONDS,
    VersionHistory,
)
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
        self.history = VersionHistory(
            self.registry, self.confirmed_at, self.clock
        )

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
