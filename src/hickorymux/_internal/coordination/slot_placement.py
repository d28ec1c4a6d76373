"""Which router is the home of an upstream."""

from collections.abc import Iterable, Sequence
from typing import final

import xxhash

from hickorymux._internal.coordination.ports import Member, MemberView
from hickorymux._internal.state.tables import Tables, Upstream


def coordinator_of(upstream: Upstream, members: MemberView) -> str:
    """Return the id of an upstream's home, by rendezvous hash in its zone.

    Routers that are leaving are passed over while any other is there. When
    the zone has no router left, the routers of the other zones adopt its
    upstreams. When all routers are leaving, they stay homes until they are
    gone, so that what is queued still gets slots. The id is empty when there
    is no router at all.
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
    """The homes of all upstreams, by the members and tables last seen."""

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
        """Follow the membership and the tables; return whether either changed.

        The homes of all upstreams are worked out only then, since the tables
        can hold thousands and this is asked several times a second.
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
        """Return the id of an upstream's home, or an empty string."""
        coordinator_id = self.coordinators.get(upstream.name)
        if coordinator_id is None:
            coordinator_id = coordinator_of(upstream, self.members)
            self.coordinators[upstream.name] = coordinator_id
        return coordinator_id

    def upstreams_of(self, coordinator_id: str) -> list[Upstream]:
        """Return the upstreams of a home, as of the last ``refresh``."""
        return self.by_coordinator.get(coordinator_id, [])


def _staying(members: Sequence[Member]) -> list[Member]:
    return [member for member in members if not member.is_leaving]


def _score(member: Member, upstream: Upstream) -> tuple[int, str]:
    key = f'{member.router_id}\n{upstream.name}'
    return xxhash.xxh3_64_intdigest(key.encode()), member.router_id
