"""How much of a cold upstream's small capacity this router may use.

Load pattern: an upstream has just started or lost its warmth, bears a few
requests a second from all routers together, and falls over above that. The
bound is split among the routers without asking anyone: each upstream has a
list of owners, in an order that all routers work out alike, and each owner
sends at most its part in any second.

Example::

    if share.may_send(upstream.life, bound=29, now=now):
        share.on_sent(upstream.life, now)
"""

import collections
from collections.abc import Collection
from typing import Final, final

import xxhash

WINDOW_SECONDS: Final = 1.0
# Kept free for requests that are late on the way and for routers that some
# of the others do not know yet.
USABLE_SHARE: Final = 0.7


@final
class ColdShare:
    """Counts what this router sent to cold upstreams, by life."""

    __slots__ = ('allowances_by_limit', 'router_id', 'routers', 'sent')

    def __init__(self, router_id: str) -> None:
        self.router_id = router_id
        self.routers: frozenset[str] = frozenset()
        # By life and bound; worked out anew when the routers change.
        self.allowances_by_limit: dict[tuple[str, float], int] = {}
        self.sent: dict[str, collections.deque[float]] = {}

    def update_routers(self, routers: Collection[str]) -> None:
        """Take all routers that may be at work, this one included."""
        active = frozenset(routers)
        if active != self.routers:
            self.routers = active
            self.allowances_by_limit.clear()

    def may_send(self, incarnation: str, rate_limit: float, now: float) -> bool:
        """Return whether one more request now stays within the bound."""
        allowance = self.allowances_by_limit.get((incarnation, rate_limit))
        if allowance is None:
            allowance = self._allowance(incarnation, rate_limit * USABLE_SHARE)
            self.allowances_by_limit[incarnation, rate_limit] = allowance
        if not allowance:
            return False
        sent_times = self.sent.get(incarnation)
        if sent_times is None:
            return True
        while sent_times and sent_times[0] <= now - WINDOW_SECONDS:
            sent_times.popleft()
        if not sent_times:
            self.sent.pop(incarnation)
        return len(sent_times) < allowance

    def on_sent(self, incarnation: str, now: float) -> None:
        """Count a request that goes to the upstream now."""
        self.sent.setdefault(incarnation, collections.deque()).append(now)

    def _allowance(self, incarnation: str, rate_limit: float) -> int:
        """Return this router's part; 0 if it is not an owner."""
        if self.router_id not in self.routers:
            # Nothing is known of the others yet.
            return 0
        owners = min(len(self.routers), int(rate_limit))
        if not owners:
            return 0
        ranked = sorted(
            self.routers, key=lambda router: _rank(incarnation, router)
        )
        if self.router_id not in ranked[:owners]:
            return 0
        return int(rate_limit) // owners


def _rank(incarnation: str, router: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{incarnation}\n{router}'.encode())
