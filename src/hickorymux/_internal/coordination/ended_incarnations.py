"""Which lives of routers have ended for good.

A life has ended when a later incarnation of the router is live, or when the
platform has dropped its host from the host list after having listed it. A
router that this one never saw listed is not taken to be gone, since the list
lags.
"""

from collections.abc import Iterable
from typing import final

from hickorymux._internal.coordination.ports import HostEntry, MemberView


@final
class EndedIncarnations:
    """Remembers whom the platform has listed."""

    __slots__ = ('listed', 'members', 'seen')

    def __init__(self, members: MemberView) -> None:
        self.members = members
        self.listed: frozenset[str] = frozenset()
        self.seen: set[str] = set()

    def update_host_list(self, hosts: Iterable[HostEntry]) -> None:
        """Take the hosts as the platform lists them now."""
        self.listed = frozenset(host.router_id for host in hosts)
        self.seen |= self.listed

    def has_ended(self, router_id: str, incarnation: int) -> bool:
        """Return whether this life of a router has ended for good."""
        for member in self.members.live():
            if member.router_id == router_id:
                return member.incarnation > incarnation
        return router_id in self.seen and router_id not in self.listed
