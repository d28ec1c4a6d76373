"""Decides when a second copy of a slow request is sent to another upstream.

Load pattern: a few requests take much longer than similar ones, because their
upstream is slow at that moment. A second copy (a hedge), sent once the first
has waited for longer than nearly all similar requests did, cuts this tail at
the cost of a little extra work (Dean and Barroso, The Tail at Scale, 2013).

The extra work is limited: each request earns its pool the share of a hedge
that the operators allow, and each hedge spends a whole one.

Example::

    hedging.count_request('drafting')
    delay = hedging.delay_seconds(group)
    if delay is not None and hedging.has_credit('drafting'):
        ...  # the answer has not begun after the delay: send the hedge
        hedging.spend('drafting')
    hedging.observe(group, seconds_until_first_byte)
"""

import collections
import dataclasses
import enum
from typing import Final, final

from hickorymux._internal.coordination.engines.demands import (
    Demand,
    PromptDemand,
)
from hickorymux._internal.state.routing import HttpRoute, RequestKind
from hickorymux._internal.utils.clock import Clock

# The share of similar requests that were faster than a hedged one.
QUANTILE: Final = 0.95
# Without this many response times there is no quantile, and so no hedge: with
# fewer than 20, the 0.95 quantile is the slowest one.
MIN_SAMPLES: Final = 20
MAX_SAMPLES: Final = 200
# Response times that are older say little about the present load.
MAX_SAMPLE_AGE_SECONDS: Final = 60.0
# How many response times may arrive before the quantile is computed anew.
SAMPLES_BETWEEN_UPDATES: Final = 10
# Hedges that a pool may send at once after a time without any.
MAX_CREDIT: Final = 5.0
# Many credits of a small share are summed up.
_ROUNDING_ERROR: Final = 1e-6

# Pool, kind, and the magnitude of the prompt's unshared part.
Group = tuple[str, RequestKind, int]


@final
class HedgeEvent(enum.StrEnum):
    """What became of a hedge, or why none was sent."""

    sent = 'sent'
    won = 'won'
    lost = 'lost'
    failed = 'failed'
    over_share = 'suppressed_share'
    over_retry_budget = 'suppressed_retry_budget'
    no_upstream = 'suppressed_no_upstream'
    not_sent = 'suppressed_first_not_sent'


@dataclasses.dataclass(slots=True)
class _ResponseTimes:
    """The recent response times of similar requests, in seconds.

    ``samples`` holds pairs of the time of arrival and the response time.
    """

    samples: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    quantile: float | None = None
    new_samples: int = 0
    updated_at: float = 0

    def add(self, seconds: float, now: float) -> None:
        """Add a response time."""
        self.samples.append((now, seconds))
        self.new_samples += 1
        if self.new_samples >= SAMPLES_BETWEEN_UPDATES:
            self.update(now)

    def update(self, now: float) -> None:
        """Drop old response times and compute the quantile of the others."""
        self.new_samples = 0
        self.updated_at = now
        oldest = now - MAX_SAMPLE_AGE_SECONDS
        while self.samples and self.samples[0][0] < oldest:
            self.samples.popleft()
        ranked = sorted(seconds for _, seconds in self.samples)
        self.quantile = None
        if len(ranked) >= MIN_SAMPLES:
            self.quantile = ranked[int(len(ranked) * QUANTILE)]


@final
class Hedging:
    """The response times by group, and the credit for hedges by pool.

    ``share`` is the number of hedges for each request; 0 means none are sent
    and nothing is recorded. ``events`` counts by pool and event.
    """

    __slots__ = ('clock', 'credits', 'events', 'share', 'times')

    def __init__(self, clock: Clock, share: float = 0) -> None:
        self.clock = clock
        self.share = share
        self.times: dict[Group, _ResponseTimes] = {}
        self.credits: dict[str, float] = {}
        self.events: collections.Counter[tuple[str, HedgeEvent]] = (
            collections.Counter()
        )

    @property
    def is_active(self) -> bool:
        """Return whether the operators allow any hedges."""
        return self.share > 0

    def count_request(self, pool: str) -> None:
        """Count a request, which earns its pool a share of a hedge."""
        if self.is_active:
            earned = self.credits.get(pool, 0) + self.share
            self.credits[pool] = min(earned, MAX_CREDIT)

    def observe(self, group: Group, seconds: float) -> None:
        """Record how long a copy of a request took to the first byte.

        For a copy that was cancelled before, it is the time until then. To
        leave it out would lower the quantile with each hedge.
        """
        if self.is_active:
            times = self.times.setdefault(group, _ResponseTimes())
            times.add(seconds, self.clock.monotonic())

    def delay_seconds(self, group: Group) -> float | None:
        """Return after which time a request of the group is hedged.

        ``None`` if too little is known of the group.
        """
        times = self.times.get(group)
        if times is None:
            return None
        now = self.clock.monotonic()
        if now - times.updated_at > MAX_SAMPLE_AGE_SECONDS:
            times.update(now)
        return times.quantile

    def has_credit(self, pool: str) -> bool:
        """Return whether the pool has earned a hedge."""
        return self.credits.get(pool, 0) >= 1 - _ROUNDING_ERROR

    def spend(self, pool: str) -> None:
        """Spend the credit of a pool for a hedge."""
        self.credits[pool] -= 1

    def count(self, pool: str, event: HedgeEvent) -> None:
        """Count an event."""
        self.events[pool, event] += 1


def may_hedge(route: HttpRoute, demand: Demand, sent_attempts: int) -> bool:
    """Return whether the next attempt may be one of two copies.

    A request that may not be repeated has no second copy, nor has a stream
    that the caller has the beginning of. The copies are two attempts.
    """
    return (
        route.is_repeatable
        and not demand.resumes_stream
        and sent_attempts == 0
        and route.max_attempts > 1
    )


def group_of(route: HttpRoute, demand: Demand) -> Group:
    """Return the group of requests with similar response times."""
    tokens = 0
    if isinstance(demand, PromptDemand):
        tokens = demand.prompt.unshared_tokens
    return (demand.pool.name, route.kind, tokens.bit_length())
