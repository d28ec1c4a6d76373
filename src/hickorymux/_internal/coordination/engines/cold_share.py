"""Limits how many requests this router sends to a cold upstream.

Load pattern: an upstream that has just started, or whose caches have gone cold,
can serve only a few requests per second from all routers together, and fails
above that. The routers split this rate limit without communication: for each
upstream, rendezvous hashing ranks the routers in the same order everywhere,
and the first ones each send at most an equal part of the limit in any second.

Example::

    if share.may_send(upstream.incarnation, rate_limit=29, now=now):
        share.on_sent(upstream.incarnation, now)
"""

import collections
from typing import Final, final

from hickorymux._internal.coordination.engines.router_ranks import RouterRanks

WINDOW_SECONDS: Final = 1.0
# The part of the rate limit that is used. The rest allows for requests that are
# delayed on their way and for routers that some of the others don't know yet.
USABLE_SHARE: Final = 0.7


@final
class ColdShare:
    """Counts what this router sent to each incarnation of a cold upstream.

    Rate limits are in requests per second, from all routers together.
    """

    __slots__ = ('ranks', 'sent')

    def __init__(self, ranks: RouterRanks) -> None:
        self.ranks = ranks
        self.sent: dict[str, collections.deque[float]] = {}

    def may_send(self, incarnation: str, rate_limit: float, now: float) -> bool:
        """Return whether this router may send one more request now."""
        allowance = self._allowance(incarnation, rate_limit * USABLE_SHARE)
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
        """Record a request that is sent to the upstream now."""
        self.sent.setdefault(incarnation, collections.deque()).append(now)

    def _allowance(self, incarnation: str, rate_limit: float) -> int:
        """Return the requests per second that this router may send.

        The routers that rank first share the limit equally, each getting at
        least one request; the others get none.
        """
        routers = len(self.ranks.routers)
        owners = min(routers, int(rate_limit))
        position = self.ranks.position(incarnation)
        if position is None or position >= owners:
            return 0
        return int(rate_limit) // owners
