"""Keeps what upstreams say of themselves in their answers.

An upstream that is about to leave says so in all its answers. One that refuses
a request may name a time for which it wants nothing from the router that sent
it. Both hold for the incarnation that said it, never for its pool or address.

Load pattern: a pool is emptied while its callers keep sending, or an upstream is
full and is tried again by each of the requests that wait for it.

Example::

    notices.on_pause(upstream.incarnation, seconds=1.5, now=clock.monotonic())
    notices.may_send(upstream.incarnation, clock.monotonic())
"""

import math
import random
from collections.abc import Collection, Iterable
from typing import Final, final

# Requests return to an upstream spread over this part of the time that it named,
# and over this many seconds, so that not all routers return at once.
RETURN_SPREAD: Final = 0.1
RETURN_SPREAD_SECONDS: Final = 0.1
# An incarnation that is in no list of upstreams for this time is gone. Lists
# that are out of date name some again that have left.
FORGET_SECONDS: Final = 600.0


@final
class UpstreamNotices:
    """Which upstreams leave or pause, by incarnation.

    ``paused_until`` has monotonic times in seconds, infinity for an upstream
    that leaves, and ``last_listed_at`` when its incarnation was last listed.
    """

    __slots__ = ('last_listed_at', 'paused_until', 'rng')

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random()
        self.paused_until: dict[str, float] = {}
        self.last_listed_at: dict[str, float] = {}

    def on_leaving(self, incarnation: str, now: float) -> bool:
        """Record that an upstream leaves; return whether that is news."""
        is_news = self.paused_until.get(incarnation) != math.inf
        self.paused_until[incarnation] = math.inf
        self.last_listed_at[incarnation] = now
        return is_news

    def on_pause(self, incarnation: str, seconds: float, now: float) -> bool:
        """Record a pause; return whether it ends later than known before."""
        known = self.paused_until.get(incarnation, now)
        if now + seconds <= known:
            return False
        spread = seconds * RETURN_SPREAD + RETURN_SPREAD_SECONDS
        until = now + seconds + self.rng.uniform(0, spread)
        self.paused_until[incarnation] = until
        self.last_listed_at[incarnation] = now
        return True

    def may_send(self, incarnation: str, now: float) -> bool:
        """Return whether requests may be sent to an upstream."""
        return self.paused_until.get(incarnation, now) <= now

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an upstream has said that it leaves."""
        return self.paused_until.get(incarnation) == math.inf

    def seconds_until_return(
        self, incarnations: Iterable[str], now: float
    ) -> float | None:
        """Return in how many seconds the first of some upstreams is back.

        It is infinite if all of them leave, and ``None`` if there are none or
        one of them takes requests now.
        """
        first = min(
            (self.paused_until.get(each, now) for each in incarnations),
            default=now,
        )
        return first - now if first > now else None

    def prune(self, listed: Collection[str], now: float) -> list[str]:
        """Forget what has ended; return the incarnations whose pause ended."""
        ended = []
        for incarnation, until in tuple(self.paused_until.items()):
            if incarnation in listed:
                self.last_listed_at[incarnation] = now
            is_gone = now - self.last_listed_at[incarnation] > FORGET_SECONDS
            if until <= now or is_gone:
                self.paused_until.pop(incarnation)
                self.last_listed_at.pop(incarnation)
                ended.append(incarnation)
        return ended
