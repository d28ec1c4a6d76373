"""What all routers have observed in one roll-out, as a judging router sees it."""

import collections
import dataclasses
from typing import Final, final

from hickorymux._internal.coordination.rollout_messages import RolloutReport
from hickorymux._internal.coordination.rollouts.analysis import (
    Finding,
    analyse,
)
from hickorymux._internal.coordination.rollouts.orders import Stage
from hickorymux._internal.coordination.rollouts.tallies import Tally

# How far back the windows of the analysis begin, besides the whole roll-out.
WINDOW_SECONDS: Final = (2.0, 4.0, 8.0)
# Interval at which copies of the counts are kept for the windows.
SNAPSHOT_SECONDS: Final = 0.5
MAX_SNAPSHOTS: Final = 20
# A router whose last report is older doesn't count as live.
REPORT_SECONDS: Final = 1.5
_MS_PER_SECOND: Final = 1000


@dataclasses.dataclass(slots=True)
class _Source:
    """The last report of one incarnation of a router."""

    report: RolloutReport
    tally: Tally
    heard_at: float


@final
class FleetEvidence:
    """The sum of the reports of all routers.

    What a former incarnation of a router reported stays counted.
    """

    __slots__ = ('snapshots', 'sources', 'started_at', 'total')

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.total = Tally()
        self.sources: dict[str, _Source] = {}
        self.snapshots: collections.deque[tuple[float, Tally]] = (
            collections.deque(maxlen=MAX_SNAPSHOTS)
        )

    def apply(self, router_id: str, report: RolloutReport, now: float) -> None:
        """Replace the former report of a router; ignore one that is older."""
        known = self.sources.get(router_id)
        if known is not None:
            former = (known.report.incarnation, known.report.number)
            if (report.incarnation, report.number) <= former:
                return
            if known.report.incarnation == report.incarnation:
                self.total.subtract(known.tally)
        tally = Tally.decode(report.routes, report.codes, report.counts)
        self.total.merge(tally)
        self.sources[router_id] = _Source(report, tally, now)

    def judge(self, now: float) -> Finding:
        """Return the strongest finding in the present windows."""
        if not self.snapshots or (
            now - self.snapshots[-1][0] >= SNAPSHOT_SECONDS
        ):
            self.snapshots.append((now, self.total.copy()))
        windows = [self.total]
        for seconds in WINDOW_SECONDS:
            earlier = [
                tally
                for taken_at, tally in self.snapshots
                if taken_at <= now - seconds
            ]
            if earlier:
                windows.append(self.total.since(earlier[-1]))
        restarts = int((now - self.started_at) / SNAPSHOT_SECONDS)
        return analyse(windows, self.total, restarts)

    def is_followed(self, stage: Stage, now: float) -> bool:
        """Return whether all routers that report at present follow a stage.

        One that has been killed counts as live for some seconds more, but
        reports nothing.
        """
        return all(
            source.report.stage >= stage
            for source in self.sources.values()
            if now - source.heard_at <= REPORT_SECONDS
        )

    def usual_stream_seconds(self) -> float:
        """Return the median of the routers' usual stream durations."""
        durations = sorted(
            source.report.stream_ms / _MS_PER_SECOND
            for source in self.sources.values()
            if source.report.stream_ms
        )
        return durations[len(durations) // 2] if durations else 0
