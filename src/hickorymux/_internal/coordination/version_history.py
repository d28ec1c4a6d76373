"""The software versions at which a stream may have begun lately.

Where only one version was registered for longer than any caller waits for a
stream, every stream began at it, and no one has to know the stream itself.

Example::

    history.observe()  # at short intervals
    version = await history.only_version('drafting')
"""

import math
from collections.abc import Callable
from typing import Final, final

from hickorymux._internal.state.upstream_registry import UpstreamRegistry
from hickorymux._internal.utils.clock import Clock

# Longer than callers wait for a stream, from its beginning to its last attempt.
HISTORY_SECONDS: Final = 30.0
# The view is read about every 0.5 s. Between observations that are further
# apart, or of a view older than this, a version may have come and gone.
MAX_GAP_SECONDS: Final = 2.0
# How long to wait for a read of the view that began after the question.
MAX_WAIT_SECONDS: Final = 1.5
_POLL_SECONDS: Final = 0.05


@final
class VersionHistory:
    """When each version of a pool was last registered.

    ``confirmed_at`` returns up to which monotonic time in seconds the view of
    the upstreams is complete. The view has had no gap since
    ``continuous_since``, which is infinite while it is out of date.
    """

    __slots__ = (
        'clock',
        'confirmed_at',
        'continuous_since',
        'last_seen',
        'observed_at',
        'registry',
    )

    def __init__(
        self,
        registry: UpstreamRegistry,
        confirmed_at: Callable[[], float],
        clock: Clock,
    ) -> None:
        self.registry = registry
        self.confirmed_at = confirmed_at
        self.clock = clock
        self.continuous_since = math.inf
        self.observed_at = -math.inf
        self.last_seen: dict[tuple[str, str], float] = {}

    def observe(self) -> None:
        """Record the upstreams that are registered at the moment."""
        now = self.clock.monotonic()
        oldest_valid = now - MAX_GAP_SECONDS
        if self.observed_at < oldest_valid:
            self.continuous_since = math.inf
        self.observed_at = now
        if self.confirmed_at() < oldest_valid:
            self.continuous_since = math.inf
        elif self.continuous_since > now:
            self.continuous_since = now
        for upstream in self.registry.upstreams.values():
            self.last_seen[upstream.pool, upstream.version] = now
        self.last_seen = {
            row: seen_at
            for row, seen_at in self.last_seen.items()
            if seen_at > now - HISTORY_SECONDS
        }

    async def only_version(self, pool: str) -> str | None:
        """Return the one version at which streams may have begun, if one.

        Waits for a read of the view that began after the call, so that no
        upstream at which a stream began before is missing.
        """
        asked_at = self.clock.monotonic()
        while self._only_version(pool) is not None:
            if self.confirmed_at() >= asked_at:
                return self._only_version(pool)
            if self.clock.monotonic() - asked_at >= MAX_WAIT_SECONDS:
                return None
            await self.clock.sleep(_POLL_SECONDS)
        return None

    def _only_version(self, pool: str) -> str | None:
        self.observe()
        if self.observed_at - self.continuous_since < HISTORY_SECONDS:
            return None
        versions = [version for name, version in self.last_seen if name == pool]
        return versions[0] if len(versions) == 1 else None
