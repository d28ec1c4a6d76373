"""What other routers gave to each customer, and who waits there.

Load pattern: one customer sends many times its share through all routers
while a small one comes through a single one. No router alone sees that the
small one is behind.
"""

import dataclasses
from collections.abc import Mapping
from typing import final

from hickorymux._internal.coordination.engines.load_tracker import (
    PEER_TIMEOUT_SECONDS,
)
from hickorymux._internal.coordination.engines.wait_queue import CustomerUsage

UsageRows = Mapping[tuple[str, str], CustomerUsage]


@dataclasses.dataclass(slots=True, frozen=True)
class _PeerUsage:
    rows: UsageRows
    received_at: float


@final
class UsageTracker:
    """Use by pool and customer, summed up over the other routers."""

    __slots__ = ('peer_reports',)

    def __init__(self) -> None:
        self.peer_reports: dict[str, _PeerUsage] = {}

    def replace_report(self, source: str, rows: UsageRows, now: float) -> None:
        """Replace what one source of reports said before."""
        self.peer_reports[source] = _PeerUsage(rows, now)

    def usage_by_pool(self, now: float) -> dict[str, dict[str, CustomerUsage]]:
        """Return the use by customer for each pool; drop silent sources."""
        self.peer_reports = {
            source: peer
            for source, peer in self.peer_reports.items()
            if now - peer.received_at <= PEER_TIMEOUT_SECONDS
        }
        pools: dict[str, dict[str, CustomerUsage]] = {}
        for peer in self.peer_reports.values():
            for (pool, customer), usage in peer.rows.items():
                by_customer = pools.setdefault(pool, {})
                total = by_customer.setdefault(customer, CustomerUsage())
                total.service += usage.service
                total.waiting += usage.waiting
        return pools
