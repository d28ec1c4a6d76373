"""Decides which idle connections to upstreams are kept and reused.

An upstream may close an idle connection without notice, so a request that is
sent on one may be reset before it ran, and nothing tells whether it ran. A
request that may be sent again can use any connection that is probably open. A
request that may not be repeated uses only one that completed a response a
moment ago.

For how long a connection may be idle comes from the upstream's ``Keep-Alive``
header, from the resets that this router saw, and from the settings.

Example::

    policy.note_upstream('10.0.0.7:80', 'drafting', max_connections=670)
    policy.on_response('10.0.0.7:80', keep_alive='timeout=20')
    policy.idle_limit('10.0.0.7:80')  # 19 seconds
"""

import collections
import dataclasses
import datetime as dt
import enum
import re
from typing import Final, final

from hickorymux._internal.utils.clock import Clock

# Subtracted from an announced timeout. It is in whole seconds and may be
# rounded up, and a request takes some time until it reaches the upstream.
ANNOUNCED_MARGIN_SECONDS: Final = 1.0
# Share of an announced timeout that is used at least, for those of a second.
MIN_ANNOUNCED_SHARE: Final = 0.5
# After a reset, connections are kept for this share of the idle time at which
# it occurred.
DROP_SHARE: Final = 0.7
# How long the limit holds after a reset, at first and at most. The time is
# doubled at each reset, so an upstream with a fixed timeout below what it
# announces costs fewer and fewer resets.
FIRST_HOLD_SECONDS: Final = 60.0
MAX_HOLD_SECONDS: Final = 960.0
# The limit grows by this factor each time it has held without a reset.
GROWTH_FACTOR: Final = 1.5
# Share of the idle limit within which a connection is trusted with a request
# that may not be repeated.
TRUSTED_SHARE: Final = 0.5
# Share of an upstream's connections that all routers together keep idle. The
# rest is for requests, and for routers that don't know of each other.
IDLE_SHARE: Final = 0.5
# Idle connections that are kept to an upstream that states no limit.
DEFAULT_IDLE_CONNECTIONS: Final = 8
# How long connections beyond this router's share are kept. A router that gets
# most of the requests for a while needs more than its share, and the others
# less; as each connection was used within this time, all routers together keep
# no more than the upstream got requests in it.
EXCESS_IDLE_SECONDS: Final = 2.0
# Share of an upstream's connections that one router may keep idle at all.
MAX_ROUTER_SHARE: Final = 0.1
# How long an upstream is remembered that gets no requests.
FORGET_SECONDS: Final = 600.0

_TIMEOUT: Final = re.compile(r'(?:^|[,;\s])timeout\s*=\s*"?(\d{1,6})(?!\d)')


@final
class ReuseMode(enum.StrEnum):
    """In which pools connections are kept for longer than by default.

    ``auto`` is in the pools of which an upstream announces a ``Keep-Alive``
    timeout.
    """

    auto = 'auto'
    enabled = 'on'
    disabled = 'off'


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionSettings:
    """The settings of the connections to upstreams.

    No connection is kept idle for longer than ``max_idle``. Requests that may
    not be repeated are sent only on connections that have been idle for at
    most ``unrepeatable_idle``; zero gives each a connection of its own. For
    streams it is ``stream_idle``: a caller may ask for a stream again that has
    not begun, while an order that may have run needs to be looked into.
    """

    reuse: ReuseMode = ReuseMode.auto
    max_idle: dt.timedelta = dt.timedelta(seconds=60)
    unrepeatable_idle: dt.timedelta = dt.timedelta(seconds=1)
    stream_idle: dt.timedelta = dt.timedelta(seconds=5)


@final
class ConnectionEvent(enum.StrEnum):
    """What happened to a connection; the label of a counter."""

    new = 'new'
    reused = 'reused'
    closed_idle = 'closed_idle'
    reset_on_reuse = 'reset_on_reuse'


@dataclasses.dataclass(slots=True)
class _Upstream:
    """What is known of the connections to one address.

    ``announced_seconds`` is the timeout of its last ``Keep-Alive`` header.
    """

    pool: str
    max_connections: int
    seen_at: float
    announced_seconds: float | None = None


@dataclasses.dataclass(slots=True)
class _LearnedLimit:
    """The idle limit of a pool after a reset on an idle connection."""

    seconds: float
    lowered_at: float
    hold_seconds: float

    def current_seconds(self, now: float) -> float:
        """Return the limit with its growth since the last reset."""
        steps = int((now - self.lowered_at) / self.hold_seconds)
        # Twenty steps exceed any setting; more would overflow at last.
        return self.seconds * GROWTH_FACTOR ** min(steps, 20)


@final
class ConnectionPolicy:
    """Limits the age and number of idle connections, by address and pool.

    ``router_count`` is the number of live routers, which share an upstream's
    limit of connections. ``events`` counts by pool and event.
    """

    __slots__ = (
        'active_pools',
        'clock',
        'default_idle_seconds',
        'events',
        'learned',
        'router_count',
        'settings',
        'upstreams',
    )

    def __init__(
        self,
        clock: Clock,
        settings: ConnectionSettings,
        default_idle: dt.timedelta,
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.default_idle_seconds = default_idle.total_seconds()
        self.router_count = 1
        self.events: collections.Counter[tuple[str, ConnectionEvent]] = (
            collections.Counter()
        )
        self.active_pools: set[str] = set()
        self.upstreams: dict[str, _Upstream] = {}
        self.learned: dict[str, _LearnedLimit] = {}

    def note_upstream(
        self, address: str, pool: str, max_connections: int
    ) -> None:
        """Record the pool of an upstream that is about to get a request.

        ``max_connections`` is what it accepts from all routers together, 0 if
        it states no limit.
        """
        now = self.clock.monotonic()
        known = self.upstreams.get(address)
        if known is None or known.pool != pool:
            self.upstreams[address] = _Upstream(pool, max_connections, now)
        else:
            known.max_connections = max_connections
            known.seen_at = now

    def on_response(self, address: str, keep_alive: str) -> None:
        """Record the ``Keep-Alive`` header of a response, empty if none."""
        upstream = self.upstreams.get(address)
        if upstream is None:
            return
        announced = read_timeout(keep_alive)
        if announced is not None:
            upstream.announced_seconds = announced
            self.active_pools.add(upstream.pool)

    def on_idle_drop(self, address: str, idle_seconds: float) -> float | None:
        """Lower the pool's limit after a reset on an idle connection.

        Returns the new limit in seconds, ``None`` if it is as low already.
        """
        upstream = self.upstreams.get(address)
        if upstream is None:
            return None
        now = self.clock.monotonic()
        former = self.learned.get(upstream.pool)
        limit = idle_seconds * DROP_SHARE
        hold = FIRST_HOLD_SECONDS
        if former is not None:
            if limit >= former.current_seconds(now):
                # The request was sent before the limit was lowered.
                return None
            hold = min(former.hold_seconds * 2, MAX_HOLD_SECONDS)
        self.learned[upstream.pool] = _LearnedLimit(limit, now, hold)
        return limit

    def count(self, address: str, event: ConnectionEvent) -> None:
        """Count an event of a connection."""
        upstream = self.upstreams.get(address)
        if upstream is not None:
            self.events[upstream.pool, event] += 1

    def is_active(self, address: str) -> bool:
        """Return whether connections to an upstream are kept for long."""
        if self.settings.reuse is not ReuseMode.auto:
            return self.settings.reuse is ReuseMode.enabled
        upstream = self.upstreams.get(address)
        return upstream is not None and upstream.pool in self.active_pools

    def idle_limit(self, address: str) -> float:
        """Return for how many seconds an idle connection is kept."""
        upstream = self.upstreams.get(address)
        if upstream is None or not self.is_active(address):
            return self.default_idle_seconds
        limit = self.settings.max_idle.total_seconds()
        announced = upstream.announced_seconds
        if announced is not None:
            usable = announced - ANNOUNCED_MARGIN_SECONDS
            limit = min(limit, max(usable, announced * MIN_ANNOUNCED_SHARE))
        learned = self.learned.get(upstream.pool)
        if learned is not None:
            limit = min(limit, learned.current_seconds(self.clock.monotonic()))
        return limit

    def reuse_limit(
        self, address: str, *, may_be_resent: bool, is_stream: bool
    ) -> float:
        """Return how long idle a connection may be for a request.

        ``may_be_resent`` tells that the request is sent again if it is reset.
        """
        limit = self.idle_limit(address)
        if may_be_resent or not self.is_active(address):
            return limit
        settings = self.settings
        trusted = (
            settings.stream_idle if is_stream else settings.unrepeatable_idle
        )
        return min(trusted.total_seconds(), limit * TRUSTED_SHARE)

    def idle_share(self, address: str) -> int:
        """Return how many idle connections are kept for the whole limit.

        Those beyond are kept for ``EXCESS_IDLE_SECONDS``.
        """
        upstream = self.upstreams.get(address)
        if upstream is None or not upstream.max_connections:
            return DEFAULT_IDLE_CONNECTIONS
        share = upstream.max_connections * IDLE_SHARE / self.router_count
        return max(1, int(share))

    def max_idle_connections(self, address: str) -> int:
        """Return how many idle connections to an upstream are kept at most."""
        share = self.idle_share(address)
        upstream = self.upstreams.get(address)
        if upstream is None:
            return share
        return max(share, int(upstream.max_connections * MAX_ROUTER_SHARE))

    def prune(self) -> None:
        """Forget the upstreams that have had no requests for a time."""
        oldest = self.clock.monotonic() - FORGET_SECONDS
        gone = [
            address
            for address, upstream in self.upstreams.items()
            if upstream.seen_at < oldest
        ]
        for address in gone:
            self.upstreams.pop(address)


def read_timeout(keep_alive: str) -> float | None:
    """Return the timeout of a ``Keep-Alive`` header in seconds, if any.

    The parameter is that of RFC 2068, section 19.7.1.1.
    """
    found = _TIMEOUT.search(keep_alive.lower())
    return None if found is None else float(found.group(1))
