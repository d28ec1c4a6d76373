"""What other routers gave to each customer, and who waits there.

Load pattern: one customer sends many times its share through all routers
while a small one comes through a single one. No router alone sees that the
small one is behind.
"""

import dataclasses
from collections.abc import Mapping
from typing import final

from hickorymux._internal.coordination.engines.board import (
    PEER_TIMEOUT_SECONDS,
)
from hickorymux._internal.coordination.engines.waiting import CustomerUse

UseRows = Mapping[tuple[str, str], CustomerUse]


@dataclasses.dataclass(slots=True, frozen=True)
class _PeerUse:
    rows: UseRows
    heard_at: float


@final
class UsageBoard:
    """Use by pool and customer, summed up over the other routers."""

    __slots__ = ('peers',)

    def __init__(self) -> None:
        self.peers: dict[str, _PeerUse] = {}

    def take_report(self, source: str, rows: UseRows, now: float) -> None:
        """Replace what one source of reports said before."""
        self.peers[source] = _PeerUse(rows, now)

    def sums(self, now: float) -> dict[str, dict[str, CustomerUse]]:
        """Return the use by customer for each pool; drop silent sources."""
        self.peers = {
            source: peer
            for source, peer in self.peers.items()
            if now - peer.heard_at <= PEER_TIMEOUT_SECONDS
        }
        pools: dict[str, dict[str, CustomerUse]] = {}
        for peer in self.peers.values():
            for (pool, customer), use in peer.rows.items():
                by_customer = pools.setdefault(pool, {})
                total = by_customer.setdefault(customer, CustomerUse())
                total.given += use.given
                total.waiting += use.waiting
        return pools
