"""Keeps the request rates that upstreams name in their answers.

Load pattern: an upstream in need names the requests per second that it takes
from all routers together, and no router sees what the others send. So the
routers split the rate: each has a token bucket for each such upstream, which
starts empty and holds one request. Its part of the rate follows its part of
what all customers are due, since a customer may reach a few routers only. A
part of the rate is split evenly, so that a customer that has just begun to send
is not held up. The less a router hears of its peers, the more it splits evenly,
as it can't tell then how much the others use.

If the rate is too small for all routers, the first ones of a ranking that is
the same everywhere get equal parts.

A limit ends when the answer to a request that was sent after the last answer
that named it names none. A router without a part sends nothing and so gets no
answers, so routers exchange what they know; what was answered last counts.

Example::

    limits.on_answer(upstream.incarnation, 11.5, sent_at=now - 0.2, now=now)
    if limits.may_send(upstream, now):
        limits.on_sent(upstream, now)
"""

import dataclasses
from collections.abc import Collection, Mapping
from typing import Final, final

from hickorymux._internal.coordination.engines.router_ranks import RouterRanks
from hickorymux._internal.state.upstream_registry import RegisteredUpstream

# Requests that a router may send at once after a pause.
BURST_REQUESTS: Final = 1.0
# A rate has at most this many owners, since each may send a burst: the number of
# requests that upstreams allow for in 2 s, and some more, as they allow a few
# requests beyond the rate.
OWNER_SECONDS: Final = 2.0
EXTRA_OWNERS: Final = 3
# The least part of a rate that is split evenly.
EVEN_SHARE: Final = 0.3
# Also an upstream that takes none gets a request now and then, as only its
# answers show when the limit ends.
MIN_REQUESTS_PER_SECOND: Final = 0.2
# How long the end of a limit is remembered, so that routers that missed it are
# told.
ENDED_LIFETIME_SECONDS: Final = 30.0
# Tokens are summed up in many small parts.
_ROUNDING_ERROR: Final = 1e-6


@dataclasses.dataclass(slots=True)
class NamedLimit:
    """What an upstream said last, and the tokens of this router.

    ``per_second`` is the rate for all routers together, ``None`` if the limit
    has ended. ``named_at`` is when the answer that said so arrived; times are
    monotonic seconds.
    """

    per_second: float | None
    named_at: float
    tokens: float = 0
    refilled_at: float = 0


@final
class RequestLimits:
    """The limits that upstreams named, by incarnation.

    ``own_parts`` is, by pool, which part of the service that all customers are
    due is due at this router. ``known_share`` is the share of the routers, this
    one included, that the parts are derived from.
    """

    __slots__ = ('known_share', 'limits', 'own_parts', 'ranks')

    def __init__(self, ranks: RouterRanks) -> None:
        self.ranks = ranks
        self.limits: dict[str, NamedLimit] = {}
        self.own_parts: Mapping[str, float] = {}
        self.known_share: float = 0

    def update_parts(
        self, own_parts: Mapping[str, float], known_routers: int
    ) -> None:
        """Replace this router's parts of what is due, by pool."""
        self.own_parts = own_parts
        routers = max(1, len(self.ranks.routers))
        self.known_share = min(1, known_routers / routers)

    def on_answer(
        self,
        incarnation: str,
        per_second: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record whether an answer names a limit.

        ``sent_at`` is when the request was sent, in monotonic seconds. Returns
        whether a limit began or ended.
        """
        known = self.limits.get(incarnation)
        if per_second is None:
            if known is None or known.per_second is None:
                return False
            if sent_at <= known.named_at:
                return False
        return self._record(incarnation, per_second, now, now)

    def may_send(self, upstream: RegisteredUpstream, now: float) -> bool:
        """Return whether this router may send one more request now."""
        limit = self.limits.get(upstream.incarnation)
        if limit is None or limit.per_second is None:
            return True
        self._refill(upstream, limit, limit.per_second, now)
        return limit.tokens >= 1 - _ROUNDING_ERROR

    def is_limited(self, incarnation: str) -> bool:
        """Return whether the upstream names a limit at present."""
        limit = self.limits.get(incarnation)
        return limit is not None and limit.per_second is not None

    def on_sent(self, upstream: RegisteredUpstream, now: float) -> bool:
        """Record a request that is sent; return whether it counts."""
        limit = self.limits.get(upstream.incarnation)
        if limit is None or limit.per_second is None:
            return False
        self._refill(upstream, limit, limit.per_second, now)
        limit.tokens -= 1
        return True

    def known(self) -> Mapping[str, NamedLimit]:
        """Return all limits, also those that ended a short time ago."""
        return self.limits

    def merge(
        self,
        incarnation: str,
        per_second: float | None,
        named_at: float,
        now: float,
    ) -> bool:
        """Record what another router knows, unless more is known here.

        Returns whether a limit began or ended.
        """
        known = self.limits.get(incarnation)
        if known is not None and known.named_at >= named_at:
            return False
        return self._record(incarnation, per_second, named_at, now)

    def prune(self, incarnations: Collection[str], now: float) -> None:
        """Forget upstreams that are gone, and limits that ended long ago."""
        self.limits = {
            incarnation: limit
            for incarnation, limit in self.limits.items()
            if incarnation in incarnations and not _is_forgotten(limit, now)
        }

    def _record(
        self,
        incarnation: str,
        per_second: float | None,
        named_at: float,
        now: float,
    ) -> bool:
        known = self.limits.get(incarnation)
        was_limited = known is not None and known.per_second is not None
        if known is None or not was_limited:
            # Tokens from before the limit don't count.
            known = NamedLimit(per_second, named_at, refilled_at=now)
            self.limits[incarnation] = known
        known.per_second = per_second
        known.named_at = named_at
        return was_limited != (per_second is not None)

    def _refill(
        self,
        upstream: RegisteredUpstream,
        limit: NamedLimit,
        per_second: float,
        now: float,
    ) -> None:
        elapsed = now - limit.refilled_at
        limit.refilled_at = now
        rate = max(per_second, MIN_REQUESTS_PER_SECOND)
        earned = elapsed * rate * self._part(upstream, rate)
        limit.tokens = min(BURST_REQUESTS, limit.tokens + earned)

    def _part(self, upstream: RegisteredUpstream, rate: float) -> float:
        """Return this router's part of a rate, in requests per second."""
        routers = len(self.ranks.routers)
        position = self.ranks.position(upstream.incarnation)
        owners = int(rate * OWNER_SECONDS) + EXTRA_OWNERS
        if position is None or position >= owners:
            return 0
        own_part = self.own_parts.get(upstream.pool)
        if owners < routers or own_part is None:
            return 1 / min(owners, routers)
        # Squared, as routers that hear of no others at all would use several
        # times the rate.
        by_due = (1 - EVEN_SHARE) * self.known_share**2
        return (1 - by_due) / routers + by_due * own_part


def _is_forgotten(limit: NamedLimit, now: float) -> bool:
    age = now - limit.named_at
    return limit.per_second is None and age > ENDED_LIFETIME_SECONDS
