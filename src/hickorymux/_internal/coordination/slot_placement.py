"""Which router is the home of an upstream."""

from collections.abc import Iterable, Sequence
from typing import final

import xxhash

from hickorymux._internal.coordination.ports import Member, MemberView
from hickorymux._internal.state.tables import Tables, Upstream


def home_of(upstream: Upstream, members: MemberView) -> str:
    """Return the id of an upstream's home, by rendezvous hash in its zone.

    Routers that are leaving are passed over while any other is there. When
    the zone has no router left, the routers of the other zones adopt its
    upstreams. When all routers are leaving, they stay homes until they are
    gone, so that what is queued still gets slots. The id is empty when there
    is no router at all.
    """
    in_zone = members.live_in_zone(upstream.zone)
    everywhere = members.live()
    choices = _staying(in_zone), _staying(everywhere), in_zone, everywhere
    candidates = next(filter(None, choices), ())
    if not candidates:
        return ''
    home = max(candidates, key=lambda member: _score(member, upstream))
    return home.router_id


def all_upstreams(tables: Tables) -> Iterable[Upstream]:
    """Return the upstreams of all pools."""
    for pool in tables.pools.values():
        yield from pool.upstreams


@final
class HomeMap:
    """The homes of all upstreams, by the members and tables last seen."""

    __slots__ = ('by_home', 'homes', 'members', 'seen', 'tables')

    def __init__(self, members: MemberView) -> None:
        self.members = members
        self.tables = Tables()
        self.seen: tuple[tuple[str, bool], ...] = ()
        self.homes: dict[str, str] = {}
        self.by_home: dict[str, list[Upstream]] = {}

    def refresh(self, tables: Tables) -> bool:
        """Follow the membership and the tables; return whether either changed.

        The homes of all upstreams are worked out only then, since the tables
        can hold thousands and this is asked several times a second.
        """
        seen = tuple(
            (member.router_id, member.is_leaving)
            for member in self.members.live()
        )
        if tables is self.tables and seen == self.seen:
            return False
        self.tables = tables
        self.seen = seen
        self.homes = {}
        self.by_home = {}
        for upstream in all_upstreams(tables):
            home_id = home_of(upstream, self.members)
            self.homes[upstream.name] = home_id
            self.by_home.setdefault(home_id, []).append(upstream)
        return True

    def home_of(self, upstream: Upstream) -> str:
        """Return the id of an upstream's home, or an empty string."""
        home_id = self.homes.get(upstream.name)
        if home_id is None:
            home_id = home_of(upstream, self.members)
            self.homes[upstream.name] = home_id
        return home_id

    def upstreams_of(self, home_id: str) -> list[Upstream]:
        """Return the upstreams of a home, as of the last ``refresh``."""
        return self.by_home.get(home_id, [])


def _staying(members: Sequence[Member]) -> list[Member]:
    return [member for member in members if not member.is_leaving]


def _score(member: Member, upstream: Upstream) -> tuple[int, str]:
    key = f'{member.router_id}\n{upstream.name}'
    return xxhash.xxh3_64_intdigest(key.encode()), member.router_id
