"""Choose the slot coordinator of each upstream.

The slot coordinator is the router that leases the slots of an upstream to the
routers of the fleet. All routers with the same view of the membership choose
the same one.
"""

from collections.abc import Iterable, Sequence
from typing import final

import xxhash

from hickorymux._internal.coordination.ports import Member, MemberView
from hickorymux._internal.state.tables import Tables, Upstream


def coordinator_of(upstream: Upstream, members: MemberView) -> str:
    """Return the router id of an upstream's slot coordinator.

    It is chosen by rendezvous hashing among the routers of the upstream's
    zone. Routers that are leaving are skipped while others are live. If the
    zone has no router that stays, the routers of other zones take its
    upstreams over. If all routers are leaving, they stay coordinators until
    they stop, so that queued requests still get slots. The id is empty if
    there is no live router.
    """
    in_zone = members.live_in_zone(upstream.zone)
    everywhere = members.live()
    candidate_lists = (
        _staying(in_zone),
        _staying(everywhere),
        in_zone,
        everywhere,
    )
    candidates = next(filter(None, candidate_lists), ())
    if not candidates:
        return ''
    coordinator = max(candidates, key=lambda member: _score(member, upstream))
    return coordinator.router_id


def all_upstreams(tables: Tables) -> Iterable[Upstream]:
    """Return the upstreams of all pools."""
    for pool in tables.pools.values():
        yield from pool.upstreams


@final
class CoordinatorMap:
    """The slot coordinators of all upstreams, as of the last ``refresh``."""

    __slots__ = (
        'by_coordinator',
        'coordinators',
        'members',
        'members_seen',
        'tables',
    )

    def __init__(self, members: MemberView) -> None:
        self.members = members
        self.tables = Tables()
        self.members_seen: tuple[tuple[str, bool], ...] = ()
        self.coordinators: dict[str, str] = {}
        self.by_coordinator: dict[str, list[Upstream]] = {}

    def refresh(self, tables: Tables) -> bool:
        """Apply changes of the membership and tables; return if there were any.

        The coordinators are only recomputed after a change, since the tables
        can hold thousands of upstreams and this is called several times a
        second.
        """
        members_seen = tuple(
            (member.router_id, member.is_leaving)
            for member in self.members.live()
        )
        if tables is self.tables and members_seen == self.members_seen:
            return False
        self.tables = tables
        self.members_seen = members_seen
        self.coordinators = {}
        self.by_coordinator = {}
        for upstream in all_upstreams(tables):
            coordinator_id = coordinator_of(upstream, self.members)
            self.coordinators[upstream.name] = coordinator_id
            self.by_coordinator.setdefault(coordinator_id, []).append(upstream)
        return True

    def coordinator_of(self, upstream: Upstream) -> str:
        """Return the id of an upstream's coordinator, or an empty string."""
        coordinator_id = self.coordinators.get(upstream.name)
        if coordinator_id is None:
            coordinator_id = coordinator_of(upstream, self.members)
            self.coordinators[upstream.name] = coordinator_id
        return coordinator_id

    def upstreams_of(self, coordinator_id: str) -> list[Upstream]:
        """Return a coordinator's upstreams, as of the last ``refresh``."""
        return self.by_coordinator.get(coordinator_id, [])


def _staying(members: Sequence[Member]) -> list[Member]:
    return [member for member in members if not member.is_leaving]


def _score(member: Member, upstream: Upstream) -> tuple[int, str]:
    key = f'{member.router_id}\n{upstream.name}'
    return xxhash.xxh3_64_intdigest(key.encode()), member.router_id
