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
SAFE_SHARE: Final = 0.7


@final
class ColdShare:
    """Counts what this router sent to cold upstreams, by life."""

    __slots__ = ('allowances', 'me', 'routers', 'sent')

    def __init__(self, me: str) -> None:
        self.me = me
        self.routers: frozenset[str] = frozenset()
        # By life and bound; worked out anew when the routers change.
        self.allowances: dict[tuple[str, float], int] = {}
        self.sent: dict[str, collections.deque[float]] = {}

    def use_routers(self, routers: Collection[str]) -> None:
        """Take all routers that may be at work, this one included."""
        taken = frozenset(routers)
        if taken != self.routers:
            self.routers = taken
            self.allowances.clear()

    def may_send(self, life: str, bound: float, now: float) -> bool:
        """Return whether one more request now stays within the bound."""
        allowance = self.allowances.get((life, bound))
        if allowance is None:
            allowance = self._allowance(life, bound * SAFE_SHARE)
            self.allowances[life, bound] = allowance
        if not allowance:
            return False
        times = self.sent.get(life)
        if times is None:
            return True
        while times and times[0] <= now - WINDOW_SECONDS:
            times.popleft()
        if not times:
            self.sent.pop(life)
        return len(times) < allowance

    def on_sent(self, life: str, now: float) -> None:
        """Count a request that goes to the upstream now."""
        self.sent.setdefault(life, collections.deque()).append(now)

    def _allowance(self, life: str, bound: float) -> int:
        """Return this router's part; 0 if it is not an owner."""
        if self.me not in self.routers:
            # Nothing is known of the others yet.
            return 0
        owners = min(len(self.routers), int(bound))
        if not owners:
            return 0
        ranked = sorted(self.routers, key=lambda router: _rank(life, router))
        if self.me not in ranked[:owners]:
            return 0
        return int(bound) // owners


def _rank(life: str, router: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{life}\n{router}'.encode())
