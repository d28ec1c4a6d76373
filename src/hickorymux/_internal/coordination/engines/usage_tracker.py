"""Tracks the service and the unmet demand of each customer at the peers.

Load pattern: one customer sends many times its share through all routers,
while a small customer uses a single router. No router alone can see that the
small customer gets less service.
"""

import dataclasses
from collections.abc import Mapping
from typing import final

from hickorymux._internal.coordination.engines.load_tracker import (
    PEER_TIMEOUT_SECONDS,
)
from hickorymux._internal.coordination.engines.wait_queue import CustomerUsage

# Usage by pool and customer.
UsageRows = Mapping[tuple[str, str], CustomerUsage]


@dataclasses.dataclass(slots=True, frozen=True)
class _PeerUsage:
    rows: UsageRows
    heard_at: float


@final
class UsageTracker:
    """Usage by pool and customer, as reported by the peers."""

    __slots__ = ('peer_reports',)

    def __init__(self) -> None:
        self.peer_reports: dict[str, _PeerUsage] = {}

    def replace_report(self, source: str, rows: UsageRows, now: float) -> None:
        """Replace the former report of a source, a router or a zone."""
        self.peer_reports[source] = _PeerUsage(rows, now)

    def usage_by_pool(self, now: float) -> dict[str, dict[str, CustomerUsage]]:
        """Return the usage at all peers, by pool and then by customer.

        Drops the reports of sources that have sent none for too long.
        """
        self.peer_reports = {
            source: peer
            for source, peer in self.peer_reports.items()
            if now - peer.heard_at <= PEER_TIMEOUT_SECONDS
        }
        pools: dict[str, dict[str, CustomerUsage]] = {}
        for peer in self.peer_reports.values():
            for (pool, customer), use in peer.rows.items():
                by_customer = pools.setdefault(pool, {})
                total = by_customer.setdefault(customer, CustomerUsage())
                total.service += use.service
                total.unmet += use.unmet
        return pools
