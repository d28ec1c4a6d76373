"""The registered upstreams, as last seen by this router.

Upstreams register themselves in a store. An entry lapses when its upstream
stops renewing it. After an outage of the store, the entries of live upstreams
come back within a grace period. A router can't tell an outage from its own
loss of contact, nor a lapsed entry from an upstream that has left. So an
upstream whose entry is removed during that period is held: it gets requests
only while most of its pool is held, which few upstreams that leave don't
bring about.

Example::

    registry.put(upstream)
    registry.remove('engine-7', now)
    registry.expire(now)
    for upstream in registry.available_in_pool('drafting'):
        ...
"""

import dataclasses
from collections.abc import Iterator, Sequence
from typing import Final, Self, final

# Lapsed entries of live upstreams come back within two seconds after the store
# does.
LAPSE_GRACE_SECONDS: Final = 2.0
# When an evacuation ends, upstreams of the zone may be cold before their next
# entry says so. Entries are renewed about every 1.2 s.
RETURNED_COLD_SECONDS: Final = 2.0
# Held upstreams get requests while fewer than this share of the ready upstreams
# of their pool are not held.
MIN_LISTED_SHARE: Final = 0.5


@dataclasses.dataclass(slots=True)
class RegisteredUpstream:
    """One incarnation of an upstream.

    ``born_ms`` is its start in Unix milliseconds, which tells incarnations
    with the same id apart. Until ``cold_until``, in monotonic seconds, the
    upstream can serve only the cold rate of its pool. ``version`` is that of
    its software. ``entry_number`` counts how often it has written its entry.
    """

    upstream_id: str
    pool: str
    address: str
    zone: str
    slots: int
    is_ready: bool
    cold_until: float = 0
    born_ms: int = 0
    version: str = ''
    entry_number: int = 0

    @property
    def incarnation(self) -> str:
        """Return a name that is unique among incarnations of all upstreams."""
        return f'{self.upstream_id}#{self.born_ms}'

    def is_older_than(self, other: Self) -> bool:
        """Return whether this entry was written before another of its id."""
        written = (self.born_ms, self.entry_number)
        return written < (other.born_ms, other.entry_number)


@final
class UpstreamRegistry:
    """All registered upstreams, by id and by pool.

    ``cold_until_by_zone`` is for zones whose evacuation has ended; the times
    are monotonic seconds.
    """

    __slots__ = (
        'evacuated_zones',
        'grace_until',
        'pending_removals',
        'pools',
        'cold_until_by_zone',
        'upstreams',
    )

    def __init__(self) -> None:
        self.upstreams: dict[str, RegisteredUpstream] = {}
        self.pools: dict[str, tuple[RegisteredUpstream, ...]] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.cold_until_by_zone: dict[str, float] = {}
        self.grace_until: float = 0
        self.pending_removals: set[str] = set()

    def put(self, upstream: RegisteredUpstream) -> None:
        """Add a new entry or replace a renewed one."""
        self.pending_removals.discard(upstream.upstream_id)
        known = self.upstreams.get(upstream.upstream_id)
        self.upstreams[upstream.upstream_id] = upstream
        if known is None or known != upstream:
            self._reindex_pool(upstream.pool)
            if known is not None and known.pool != upstream.pool:
                self._reindex_pool(known.pool)

    def remove(self, upstream_id: str, now: float) -> None:
        """Remove an entry; in the grace period, hold its upstream instead."""
        if now < self.grace_until and upstream_id in self.upstreams:
            self.pending_removals.add(upstream_id)
            return
        removed = self.upstreams.pop(upstream_id, None)
        if removed is not None:
            self._reindex_pool(removed.pool)

    def keep_only(self, upstream_ids: frozenset[str], now: float) -> None:
        """Remove all entries that a full listing of the store lacks."""
        for missing in self.upstreams.keys() - upstream_ids:
            self.remove(missing, now)

    def start_grace_period(self, now: float) -> None:
        """Start the grace period; the store is back after an outage."""
        self.grace_until = now + LAPSE_GRACE_SECONDS

    def expire(self, now: float) -> frozenset[str]:
        """Remove entries that did not come back within the grace period.

        Returns their ids.
        """
        if now < self.grace_until:
            return frozenset()
        lapsed = frozenset(self.pending_removals)
        self.pending_removals = set()
        for upstream_id in lapsed:
            self.remove(upstream_id, now)
        return lapsed

    def update_evacuated_zones(self, zones: frozenset[str], now: float) -> None:
        """Replace the set of zones whose upstreams must not get requests."""
        for zone in self.evacuated_zones - zones:
            self.cold_until_by_zone[zone] = now + RETURNED_COLD_SECONDS
        self.evacuated_zones = zones

    def available_in_pool(self, pool: str) -> Iterator[RegisteredUpstream]:
        """Yield the upstreams of a pool that may get requests."""
        uses_held = self._is_mostly_held(pool)
        for upstream in self.pools.get(pool, ()):
            if self._is_usable(upstream, uses_held=uses_held):
                yield upstream

    def is_available(self, upstream_id: str) -> bool:
        """Return whether an upstream may get requests."""
        upstream = self.upstreams.get(upstream_id)
        return upstream is not None and self._is_usable(
            upstream, uses_held=self._is_mostly_held(upstream.pool)
        )

    def all_in_pool(self, pool: str) -> Sequence[RegisteredUpstream]:
        """Return all upstreams of a pool, sorted by id."""
        return self.pools.get(pool, ())

    def is_cold(self, upstream: RegisteredUpstream, now: float) -> bool:
        """Return whether the upstream can serve only its cold rate."""
        if upstream.cold_until > now:
            return True
        return self.cold_until_by_zone.get(upstream.zone, 0) > now

    def _is_usable(
        self, upstream: RegisteredUpstream, *, uses_held: bool
    ) -> bool:
        if not upstream.is_ready or upstream.zone in self.evacuated_zones:
            return False
        return uses_held or upstream.upstream_id not in self.pending_removals

    def _is_mostly_held(self, pool: str) -> bool:
        """Return whether too few upstreams of the pool are not held."""
        if not self.pending_removals:
            return False
        ready = [one for one in self.pools.get(pool, ()) if one.is_ready]
        listed = sum(
            one.upstream_id not in self.pending_removals for one in ready
        )
        return listed < MIN_LISTED_SHARE * len(ready)

    def _reindex_pool(self, pool: str) -> None:
        members = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.pool == pool
        ]
        members.sort(key=lambda upstream: upstream.upstream_id)
        self.pools[pool] = tuple(members)
