"""The software versions at which a stream may have begun lately.

Where only one version was registered for longer than any caller waits for a
stream, every stream began at it, and no one has to know the stream itself.

Example::

    history.observe(registry.upstreams.values(), is_fresh=True, now=now)
    history.only_version('drafting', now)
"""

from collections.abc import Iterable
from typing import Final, final

from hickorymux._internal.state.upstream_registry import RegisteredUpstream

# Longer than callers wait for a stream, from its begin to its last attempt.
HISTORY_SECONDS: Final = 30.0


@final
class VersionHistory:
    """When each version of a pool was last registered.

    ``continuous_since`` is the monotonic time in seconds since which the view
    of the upstreams has been up to date at each observation; it is infinite
    while the view is out of date.
    """

    __slots__ = ('continuous_since', 'last_seen')

    def __init__(self) -> None:
        self.continuous_since = float('inf')
        self.last_seen: dict[tuple[str, str], float] = {}

    def observe(
        self,
        upstreams: Iterable[RegisteredUpstream],
        now: float,
        *,
        is_fresh: bool,
    ) -> None:
        """Record the registered upstreams; call it at short intervals."""
        if not is_fresh:
            self.continuous_since = float('inf')
        elif self.continuous_since > now:
            self.continuous_since = now
        for upstream in upstreams:
            self.last_seen[upstream.pool, upstream.version] = now
        oldest = now - HISTORY_SECONDS
        self.last_seen = {
            row: seen_at
            for row, seen_at in self.last_seen.items()
            if seen_at > oldest
        }

    def only_version(self, pool: str, now: float) -> str | None:
        """Return the one version at which streams may have begun, if one."""
        if now - self.continuous_since < HISTORY_SECONDS:
            return None
        versions = [version for name, version in self.last_seen if name == pool]
        return versions[0] if len(versions) == 1 else None
