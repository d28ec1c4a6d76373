"""Assumed load reports for the upstreams that send none.

Such an upstream counts as warm, with all its configured slots in service.
"""

from collections.abc import Callable, Iterable
from typing import Final, final

from hickorymux._internal.state.tables import Upstream
from hickorymux._internal.state.upstream_state import LoadReport
from hickorymux._internal.utils.clock import Clock

REPORT_INTERVAL_SECONDS: Final = 0.5
ASSUMED_INSTANCE: Final = 'no-load-report'


@final
class AssumedLoadReporter:
    """Reports to the slot coordinator for upstreams without load reports.

    ``list_upstreams`` returns the upstreams that this router coordinates.
    ``on_report`` takes the name of an upstream and its assumed report.
    """

    __slots__ = ('clock', 'list_upstreams', 'on_report')

    def __init__(
        self,
        clock: Clock,
        list_upstreams: Callable[[], Iterable[Upstream]],
        on_report: Callable[[str, LoadReport], None],
    ) -> None:
        self.clock = clock
        self.list_upstreams = list_upstreams
        self.on_report = on_report

    async def run(self) -> None:
        """Report every ``REPORT_INTERVAL_SECONDS`` until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(REPORT_INTERVAL_SECONDS)

    def tick(self) -> None:
        """Report once for each upstream that sends no load reports."""
        for upstream in self.list_upstreams():
            if not upstream.reports_load:
                self.on_report(upstream.name, self._report(upstream))

    def _report(self, upstream: Upstream) -> LoadReport:
        return LoadReport(
            instance=ASSUMED_INSTANCE,
            state='warm',
            slots=upstream.slots,
            reported_at=self.clock.monotonic(),
        )
