"""Decides which load reports identify the instance behind a connection.

Load reports are made some time before they are sent, so the first report on a
new connection may still name an instance that has ended. A report identifies
the instance only if it was made after the connection was opened.
"""

import dataclasses

from hickorymux._internal.state.upstream_state import (
    REPORT_LAG_SECONDS,
    LoadReport,
)

# The ``Date`` header holds whole seconds.
DATE_RESOLUTION_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class InstanceProof:
    """The instance that one connection to an upstream is known to reach.

    ``connected_at`` is in seconds of the router's clock.
    ``earliest_report_time`` is in seconds of the upstream's clock; a report
    made at or after it was certainly made after the connection was opened. It
    is ``None`` until the upstream has sent its time. The two clocks need not
    agree, but neither may go back.

    Example::

        proof = InstanceProof(connected_at=now)
        proof.apply_report(report, served_at=date_header_seconds, now=now)
        proof.instance  # empty until a report was new enough
    """

    connected_at: float
    earliest_report_time: float | None = None
    instance: str = ''

    def apply_report(
        self,
        report: LoadReport,
        served_at: float | None,
        now: float,
    ) -> bool:
        """Adopt the instance of a report made after the connection was opened.

        Return whether the report was certainly made after that; otherwise
        ``instance`` stays as it is. ``served_at`` is the ``Date`` of the
        response in seconds, or ``None`` if the upstream sent none. ``now`` is
        in seconds of the router's clock. Without any ``Date``, a report counts
        once the connection is older than the largest lag of reports.
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
