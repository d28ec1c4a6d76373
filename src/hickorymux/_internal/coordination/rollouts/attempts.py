"""Observes attempts at upstreams of a pool with a roll-out."""

from typing import Final, final

from hickorymux._internal.coordination.rollouts.tallies import (
    Metric,
    Tally,
    bucket_of,
)
from hickorymux._internal.utils.clock import Clock

# The nominal time between two events of a stream.
NOMINAL_GAP_SECONDS: Final = 0.01
# Events of a stream, after the first ones, after which the mean time between them is counted.
GAP_EVENTS: Final = 8
# An answer that has not begun, or has no event, after this time is counted
# with the time so far, so that a version that hangs is noticed before callers
# give up. It holds for all versions alike.
OVERDUE_SECONDS: Final = 1.5
OVERDUE_RATIO: Final = 8.0
# What cold upstreams may take longer.
COLD_ALLOWANCE: Final = 1.5


@final
class AttemptWatch:
    """Counts how one attempt goes.

    ``nominal`` is the expected time until the answer begins, in seconds.
    ``events`` counts those after the first ones. ``upstream`` names the
    incarnation that the request is sent to.
    """

    __slots__ = (
        'began_at',
        'clock',
        'events',
        'is_failed',
        'is_gap_counted',
        'is_begin_counted',
        'is_target',
        'last_event_at',
        'nominal',
        'route',
        'started_at',
        'tally',
        'upstream',
    )

    def __init__(
        self,
        tally: Tally,
        route: str,
        upstream: str,
        nominal: float,
        clock: Clock,
        *,
        is_target: bool,
    ) -> None:
        self.tally = tally
        self.route = route
        self.upstream = upstream
        self.nominal = nominal
        self.clock = clock
        self.is_target = is_target
        self.started_at = clock.monotonic()
        self.began_at: float | None = None
        self.last_event_at = self.started_at
        self.events = 0
        self.is_failed = False
        self.is_begin_counted = False
        self.is_gap_counted = False

    def on_events(self, events: int) -> None:
        """Record that events of a stream have arrived."""
        now = self.clock.monotonic()
        if self.began_at is None:
            self.began_at = now
            self._count_begin(now)
        else:
            # Events that arrive together with the first have no time between.
            self.events += events
        self.last_event_at = now
        if self.events >= GAP_EVENTS:
            self._count_gap((now - self.began_at) / self.events)

    def check_overdue(self) -> None:
        """Count an answer that should have begun or gone on by now."""
        now = self.clock.monotonic()
        if self.began_at is not None:
            if now - self.last_event_at >= OVERDUE_SECONDS:
                self._count_gap(now - self.last_event_at)
        elif now - self.started_at >= max(
            OVERDUE_SECONDS, OVERDUE_RATIO * self.nominal
        ):
            self._count_begin(now)

    def finish(self, *, is_failed: bool) -> None:
        """Count the end of the attempt."""
        is_failed = is_failed or self.is_failed
        if not is_failed:
            now = self.clock.monotonic()
            self._count_begin(now)
            if self.began_at is not None and self.events:
                self._count_gap((now - self.began_at) / self.events)
        self._count(Metric.outcome, int(is_failed))

    def _count_begin(self, now: float) -> None:
        if not self.is_begin_counted:
            self.is_begin_counted = True
            ratio = (now - self.started_at) / self.nominal
            self._count(Metric.begin, bucket_of(ratio))

    def _count_gap(self, seconds: float) -> None:
        if not self.is_gap_counted:
            self.is_gap_counted = True
            self._count(Metric.gap, bucket_of(seconds / NOMINAL_GAP_SECONDS))

    def _count(self, metric: Metric, bucket: int) -> None:
        self.tally.add(self.route, metric, bucket, is_target=self.is_target)
