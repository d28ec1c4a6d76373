"""When a lagging load report tells which instance serves a connection.

A report describes the past, so the first reports on a new connection may
still be those of an instance that has ended. A report proves the instance
only if it was made after the connection began.
"""

import dataclasses

from hickorymux._internal.state.upstream_state import (
    REPORT_LAG_SECONDS,
    LoadReport,
)

DATE_RESOLUTION_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class InstanceProof:
    """What one connection to an upstream has proved so far.

    ``connected_at`` is a reading of the router's clock. ``earliest_report_time`` is
    the earliest reading of the upstream's clock that is certainly after the
    beginning of the connection. Both clocks need only go forward.

    Example::

        proof = InstanceProof(connected_at=now)
        proof.take(report, served_at=date_header_seconds, now=now)
        proof.instance  # empty until a report is new enough
    """

    connected_at: float
    earliest_report_time: float | None = None
    instance: str = ''

    def check_report(
        self,
        report: LoadReport,
        served_at: float | None,
        now: float,
    ) -> bool:
        """Take a report; return whether it was made on this connection.

        ``served_at`` is the upstream's own time of the answer, if it told.
        """
        if self.earliest_report_time is None and served_at is not None:
            self.earliest_report_time = served_at + DATE_RESOLUTION_SECONDS
        if not self._is_new_enough(report, now):
            return False
        self.instance = report.instance
        return True

    def _is_new_enough(self, report: LoadReport, now: float) -> bool:
        if self.earliest_report_time is None:
            return now - self.connected_at >= REPORT_LAG_SECONDS
        return report.reported_at >= self.earliest_report_time
