"""The software versions at which a stream may have begun lately.

Where only one version was registered for longer than any caller waits for a
stream, every stream began at it, and no one has to know the stream itself. A
router that has started lately learns from the store what was registered before.

Example::

    history.observe()  # at short intervals
    version = await history.only_version('drafting')
"""

import collections
import logging
import math
from collections.abc import Awaitable, Callable
from typing import Final, final

from hickorymux._internal.coordination.retained_versions import (
    RetainedVersions,
)
from hickorymux._internal.exceptions import LogUnavailable
from hickorymux._internal.state.upstream_registry import (
    LAPSE_GRACE_SECONDS,
    UpstreamRegistry,
)
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS
from hickorymux._internal.utils.single_flight import SingleFlight

# Longer than callers wait for a stream, from its beginning to its last attempt,
# where no route has a longer timeout. The store retains entries for 20 s.
HISTORY_SECONDS: Final = 18.0
# Added to the longest timeout, as callers may count from an earlier moment.
TIMEOUT_MARGIN_SECONDS: Final = 3.0
# The view is read about every 0.5 s. Between observations that are further
# apart, or of a view older than this, a version may have come and gone.
MAX_GAP_SECONDS: Final = 2.0
# How long to wait for a read of the view that began after the question.
MAX_WAIT_SECONDS: Final = 1.5
_POLL_SECONDS: Final = 0.05
# Interval at which the retained entries are read again while they don't reach
# back far enough.
RETAINED_INTERVAL_SECONDS: Final = 1.0

_logger: Final = logging.getLogger(__name__)


@final
class VersionHistory:
    """When each version of a pool was last registered.

    ``confirmed_at`` returns up to which monotonic time in seconds the view of
    the upstreams is complete. The view has had no gap since
    ``continuous_since``, which is infinite while it is out of date. It may lack
    upstreams until ``incomplete_until``, as the store was restored.
    ``read_retained`` reads the versions of the last seconds from the store, and
    ``longest_timeout`` returns the longest timeout of a route in seconds.
    """

    __slots__ = (
        'clock',
        'confirmed_at',
        'continuous_since',
        'incomplete_until',
        'last_seen',
        'longest_timeout',
        'observed_at',
        'read_retained',
        'reads',
        'registry',
        'retained_at',
    )

    def __init__(
        self,
        registry: UpstreamRegistry,
        confirmed_at: Callable[[], float],
        clock: Clock,
        read_retained: Callable[[], Awaitable[RetainedVersions]],
        longest_timeout: Callable[[], float],
    ) -> None:
        self.registry = registry
        self.confirmed_at = confirmed_at
        self.clock = clock
        self.read_retained = read_retained
        self.longest_timeout = longest_timeout
        self.reads = SingleFlight()
        self.retained_at = -math.inf
        self.continuous_since = math.inf
        self.incomplete_until = -math.inf
        self.observed_at = -math.inf
        self.last_seen: dict[tuple[str, str], float] = {}

    def on_era_change(self) -> None:
        """Start the history anew; the store was restored from a copy.

        Upstreams of another version may have written entries that it lost and
        that no router has read. They write them again within a grace period.
        """
        self.continuous_since = math.inf
        self.incomplete_until = self.clock.monotonic() + LAPSE_GRACE_SECONDS

    def observe(self) -> None:
        """Record the upstreams that are registered at the moment."""
        now = self.clock.monotonic()
        oldest_valid = now - MAX_GAP_SECONDS
        if self.observed_at < oldest_valid:
            self.continuous_since = math.inf
        self.observed_at = now
        if self.confirmed_at() < oldest_valid or now < self.incomplete_until:
            self.continuous_since = math.inf
        elif self.continuous_since > now:
            self.continuous_since = now
        for upstream in self.registry.upstreams.values():
            self.last_seen[upstream.pool, upstream.version] = now
        self.last_seen = {
            row: seen_at
            for row, seen_at in self.last_seen.items()
            if seen_at > now - self._history_seconds()
        }

    def mixed_pools(self) -> frozenset[str]:
        """Return the pools that had upstreams of several versions lately."""
        versions = collections.Counter(pool for pool, _ in self.last_seen)
        return frozenset(pool for pool, count in versions.items() if count > 1)

    async def only_version(self, pool: str) -> str | None:
        """Return the one version at which streams may have begun, if one.

        Waits for a read of the view that began after the call, so that no
        upstream at which a stream began before is missing.
        """
        asked_at = self.clock.monotonic()
        await self._extend()
        while self._only_version(pool) is not None:
            if self.confirmed_at() >= asked_at:
                return self._only_version(pool)
            if self.clock.monotonic() - asked_at >= MAX_WAIT_SECONDS:
                return None
            await self.clock.sleep(_POLL_SECONDS)
        return None

    def _only_version(self, pool: str) -> str | None:
        self.observe()
        if not self._is_long_enough():
            return None
        versions = self._recent_versions(pool)
        return versions[0] if len(versions) == 1 else None

    def _is_long_enough(self) -> bool:
        return self.observed_at - self.continuous_since >= (
            self._history_seconds()
        )

    def _history_seconds(self) -> float:
        return max(
            HISTORY_SECONDS, self.longest_timeout() + TIMEOUT_MARGIN_SECONDS
        )

    def _recent_versions(self, pool: str) -> list[str]:
        return [version for name, version in self.last_seen if name == pool]

    async def _extend(self) -> None:
        """Extend a history that is too short by what the store retains."""
        self.observe()
        if self._is_long_enough() or math.isinf(self.continuous_since):
            return
        age = self.clock.monotonic() - self.retained_at
        if self.reads.is_running or age >= RETAINED_INTERVAL_SECONDS:
            await self.reads.run(self._read_retained)

    async def _read_retained(self) -> None:
        asked_at = self.clock.monotonic()
        self.retained_at = asked_at
        try:
            retained = await self.read_retained()
        except LogUnavailable as error:
            line = {'event': 'version_history_unknown', 'reason': str(error)}
            _logger.warning('cannot read the log', extra={FIELDS: line})
            return
        if math.isinf(self.continuous_since):
            return
        # The versions may have been seen up to the read.
        seen_at = self.clock.monotonic()
        self.last_seen.update(dict.fromkeys(retained.versions, seen_at))
        self.continuous_since = min(
            self.continuous_since, asked_at - retained.covered_seconds
        )
