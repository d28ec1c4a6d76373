"""Keeps what upstreams last stated of their load, and discounts it with age.

Load pattern: engines share their hosts with other programs, so their speed
changes several times a second, faster than an average over past answers can
follow. They state in each answer how long work takes at that moment, and how
many requests of all routers run. Such a statement describes the engine well at
first and says little half a second later.

The switch is the upstream itself: those that don't state how long work takes
are placed by the routers' own estimates alone.

Example::

    reported_loads.on_answer('engine-7', 'drafting', load, own_running=3, now=now)
    reported_loads.work_time('engine-7', now)
"""

import dataclasses
import math
from typing import Final, final

from hickorymux._internal.protocol.upstream_http import UpstreamLoad

# The weight of a statement halves in this time. The times of work that engines
# on shared hosts state are correlated by 0.56 after 0.2 s, by 0.11 after 0.8 s.
HALF_LIFE_SECONDS: Final = 0.25
# Statements are ignored after this time, when their weight is below 0.01.
MAX_AGE_SECONDS: Final = 2.0
# Bounds of the time of work that is believed.
MIN_WORK_TIME: Final = 0.2
MAX_WORK_TIME: Final = 10.0
# At most one log line in this time tells that a statement is not readable.
WARNING_INTERVAL_SECONDS: Final = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Statement:
    """What an upstream stated, and how many requests of this router it had."""

    load: UpstreamLoad
    work_time: float
    own_running: int
    heard_at: float

    def weight(self, now: float) -> float:
        """Return how much the statement counts, from 1 down to 0."""
        age = now - self.heard_at
        if age > MAX_AGE_SECONDS:
            return 0
        return math.exp2(-max(0, age) / HALF_LIFE_SECONDS)


@final
class ReportedLoads:
    """The last statement of each upstream that tells how long work takes.

    ``pools`` are those of which any upstream has stated it. Times are monotonic
    seconds.
    """

    __slots__ = ('pools', 'statements', 'warned_at')

    def __init__(self) -> None:
        self.pools: set[str] = set()
        self.statements: dict[str, _Statement] = {}
        self.warned_at = -WARNING_INTERVAL_SECONDS

    def on_answer(
        self,
        upstream_id: str,
        pool: str,
        load: UpstreamLoad | None,
        own_running: int,
        now: float,
    ) -> None:
        """Record what an answer states; it replaces former statements.

        ``own_running`` is the number of requests that this router has there.
        """
        if load is None or load.work_time is None:
            self.statements.pop(upstream_id, None)
            return
        self.pools.add(pool)
        work_time = min(MAX_WORK_TIME, max(MIN_WORK_TIME, load.work_time))
        self.statements[upstream_id] = _Statement(
            load, work_time, own_running, now
        )

    def work_time(self, upstream_id: str, now: float) -> float:
        """Return how long work takes, relative to 1 as usual.

        It approaches 1 as the statement ages.
        """
        statement = self.statements.get(upstream_id)
        if statement is None:
            return 1
        return 1 + (statement.work_time - 1) * statement.weight(now)

    def age(self, upstream_id: str, now: float) -> float | None:
        """Return the age of the statement in seconds, ``None`` without one.

        Statements that no longer count are treated as absent.
        """
        statement = self.statements.get(upstream_id)
        if statement is None or not statement.weight(now):
            return None
        return now - statement.heard_at

    def running(
        self, upstream_id: str, tracked: int, own_running: int, now: float
    ) -> int:
        """Return the number of requests that the upstream has from all routers.

        ``tracked`` is what the routers' reports add up to, ``own_running`` the
        part of this router. The upstream's own figure is corrected by what this
        router has sent or ended since, and counts the less the older it is.
        """
        statement = self.statements.get(upstream_id)
        if statement is None:
            return tracked
        load = statement.load
        stated = load.running + load.waiting
        current = max(own_running, stated + own_running - statement.own_running)
        return round(tracked + (current - tracked) * statement.weight(now))

    def should_warn(self, now: float) -> bool:
        """Return whether to log a statement that is not readable."""
        if now - self.warned_at < WARNING_INTERVAL_SECONDS:
            return False
        self.warned_at = now
        return True

    def prune(self, now: float) -> None:
        """Drop the statements that no longer count."""
        outdated = [
            upstream_id
            for upstream_id, statement in self.statements.items()
            if not statement.weight(now)
        ]
        for upstream_id in outdated:
            self.statements.pop(upstream_id)
