"""Decides which incarnations of routers have ended for good.

An incarnation has ended when a later one of the same router is live, or when
the platform has removed the router's host from the host list. A router that
was never on the list as seen here does not count as removed: the list lags,
so the router may be new.
"""

from collections.abc import Iterable
from typing import final

from hickorymux._internal.coordination.ports import HostEntry, MemberView


@final
class EndedIncarnations:
    """Tells whether an incarnation of a router has ended for good.

    ``listed`` holds the router ids on the latest host list, ``seen`` those on
    any host list since this router started.
    """

    __slots__ = ('listed', 'members', 'seen')

    def __init__(self, members: MemberView) -> None:
        self.members = members
        self.listed: frozenset[str] = frozenset()
        self.seen: set[str] = set()

    def update_host_list(self, hosts: Iterable[HostEntry]) -> None:
        """Replace the host list by the platform's latest one."""
        self.listed = frozenset(host.router_id for host in hosts)
        self.seen |= self.listed

    def has_ended(self, router_id: str, incarnation: int) -> bool:
        """Return whether an incarnation of a router has ended for good."""
        for member in self.members.live():
            if member.router_id == router_id:
                return member.incarnation > incarnation
        return router_id in self.seen and router_id not in self.listed
