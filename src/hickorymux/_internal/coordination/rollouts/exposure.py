"""Limits the requests that an unproven version gets from this router.

The operators bound them for all routers together. Each router uses a part of
the bound that it can work out alone: the share of its own requests, and the
slack divided by the number of live routers.

Example::

    budget.count_request()
    if budget.may_expose():
        budget.count_exposed()
"""

import random
from typing import Final, final

# The used parts of the bounds. The rest is a margin for routers that start
# during a roll-out, for those that some of the others don't know, and for
# requests that are counted here but never reach the pool.
USED_SHARE: Final = 0.8
USED_SLACK: Final = 0.6


@final
class ExposureBudget:
    """Counts the requests of one pool at one router since the order.

    ``slack`` is this router's part of the operators' slack. ``offset`` is a
    random part of a request: without it, the parts of many routers would all be
    rounded down to nothing. ``has_slack`` tells whether this router uses any slack.
    """

    __slots__ = (
        'exposed',
        'has_slack',
        'offset',
        'requests',
        'share',
        'slack',
    )

    def __init__(self, share: float, rng: random.Random) -> None:
        self.share = share * USED_SHARE
        self.slack: float = 0
        self.has_slack = True
        self.offset = rng.random()
        self.requests = 0
        self.exposed = 0

    def update_slack(self, slack: float, routers: int) -> None:
        """Set this router's part of the slack of all routers."""
        self.slack = slack * USED_SLACK / max(1, routers)

    def count_request(self) -> None:
        """Count a request that reaches the pool."""
        self.requests += 1

    def count_exposed(self) -> None:
        """Count a request that is sent to the target."""
        self.exposed += 1

    def may_expose(self) -> bool:
        """Return whether one more request may go to the target."""
        allowed = self.requests * self.share + self.slack
        return self.exposed + 1 <= allowed + self.offset
