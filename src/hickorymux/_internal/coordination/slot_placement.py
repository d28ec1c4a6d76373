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
    """The homes of all upstreams, worked out again at every ``refresh``."""

    __slots__ = ('homes', 'members', 'tables')

    def __init__(self, members: MemberView) -> None:
        self.members = members
        self.tables = Tables()
        self.homes: dict[str, str] = {}

    def refresh(self, tables: Tables) -> None:
        """Follow the membership and the tables."""
        self.tables = tables
        self.homes = {
            upstream.name: home_of(upstream, self.members)
            for upstream in all_upstreams(tables)
        }

    def home_of(self, upstream: Upstream) -> str:
        """Return the id of an upstream's home, or an empty string."""
        home_id = self.homes.get(upstream.name)
        if home_id is None:
            home_id = home_of(upstream, self.members)
            self.homes[upstream.name] = home_id
        return home_id


def _staying(members: Sequence[Member]) -> list[Member]:
    return [member for member in members if not member.is_leaving]


def _score(member: Member, upstream: Upstream) -> tuple[int, str]:
    key = f'{member.router_id}\n{upstream.name}'
    return xxhash.xxh3_64_intdigest(key.encode()), member.router_id
