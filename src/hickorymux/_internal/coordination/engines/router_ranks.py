"""Ranks the routers for each upstream, in the same order everywhere.

Rates that hold for all routers together are split among the first ones, by
rendezvous hash and so without communication.

Example::

    ranks = RouterRanks('front-1')
    ranks.update({'front-1', 'front-2'})
    position = ranks.position('engine-7#3')
"""

from collections.abc import Collection
from typing import final

import xxhash


@final
class RouterRanks:
    """The position of one router among all, for each upstream incarnation."""

    __slots__ = ('positions', 'router_id', 'routers')

    def __init__(self, router_id: str) -> None:
        self.router_id = router_id
        self.routers: frozenset[str] = frozenset()
        # Cleared when the routers change.
        self.positions: dict[str, int] = {}

    def update(self, routers: Collection[str]) -> bool:
        """Replace the active routers; return whether they changed."""
        active = frozenset(routers)
        if active == self.routers:
            return False
        self.routers = active
        self.positions.clear()
        return True

    def position(self, incarnation: str) -> int | None:
        """Return how many routers rank before this one.

        ``None`` as long as this router is not among the active ones, since
        the set is not known yet.
        """
        if self.router_id not in self.routers:
            return None
        known = self.positions.get(incarnation)
        if known is None:
            mine = _rank(incarnation, self.router_id)
            known = sum(
                _rank(incarnation, router) < mine for router in self.routers
            )
            self.positions[incarnation] = known
        return known

    def prune(self, incarnations: Collection[str]) -> None:
        """Forget all incarnations but these."""
        for gone in self.positions.keys() - incarnations:
            self.positions.pop(gone)


def _rank(incarnation: str, router: str) -> tuple[int, str]:
    # All routers must hash the same text to agree on the order.
    digest = xxhash.xxh3_64_intdigest(f'{incarnation}\n{router}'.encode())
    return digest, router
