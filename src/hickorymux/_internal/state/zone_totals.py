"""The sums that a zone's delegate keeps for one pool, in virtual units.

Every router of the zone has a report that only grows, one for each of its
incarnations. The zone's total is their sum, and other zones see that total
only. No figure ever exceeds the true service:

* A new delegate starts with the largest total that any router of the zone
  still knows. Once all live routers have reported, what their totals leave
  unexplained is the service of routers that are gone; it is kept as *retired*.
* A router that was unheard at that moment and comes back takes its own part
  out of the retired service before its report counts.
* A zone that restarted while it was cut off adds the total that the other
  zones remember to its new one.
* A report that was silent_seconds for an hour is folded into the retired service.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Self, final

RETIRE_AFTER_SECONDS = 3600
REFUSE_RETIRED_SECONDS = 24 * 3600


@dataclasses.dataclass(slots=True, frozen=True)
class Source:
    """One life of one router; incarnations are milliseconds of wall time."""

    router_id: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class ReportedService:
    """What one source has served, by customer id."""

    heard_at: float
    service: dict[int, float] = dataclasses.field(default_factory=dict)
    is_complete: bool = False


@final
class ZoneTotals:
    """Columns of the zone's other routers, and the totals of other zones."""

    __slots__ = (
        'base',
        'delegate_since_ms',
        'is_base_remote',
        'is_settled',
        'other_zones',
        'reported_total',
        'reports',
        'retired',
        'retired_sources',
        'zones',
    )

    def __init__(
        self, delegate_since_ms: int, base: Mapping[int, float]
    ) -> None:
        self.delegate_since_ms = delegate_since_ms
        self.base = dict(base)
        self.is_settled = False
        self.is_base_remote = False
        self.reports: dict[Source, ReportedService] = {}
        self.retired_sources: dict[Source, float] = {}
        self.reported_total: dict[int, float] = {}
        self.retired: dict[int, float] = {}
        self.zones: dict[str, dict[int, float]] = {}
        self.other_zones: dict[int, float] = {}

    @classmethod
    def from_base(
        cls, delegate_since_ms: int, base: Mapping[int, float]
    ) -> Self:
        """Start a term with the totals that this router still knows.

        ``delegate_since_ms`` is wall time in milliseconds. ``base`` holds the
        service of the zone's other routers by customer id.
        """
        return cls(delegate_since_ms, base)

    def report_from(self, source: Source, now: float) -> ReportedService | None:
        """Return the source's report, or None when it was folded away."""
        if source in self.retired_sources:
            return None
        report = self.reports.get(source)
        if report is None:
            report = ReportedService(
                now, is_complete=self._is_newer_than_delegate(source)
            )
            self.reports[source] = report
        report.heard_at = now
        return report

    def merge_reported(
        self, report: ReportedService, customer_id: int, service: float
    ) -> None:
        """Take the service of one customer from a report, by maximum."""
        before = report.service.get(customer_id)
        if before is None and not report.is_complete:
            self._take_from_retired(customer_id, service)
        gain = service - (before or 0)
        if gain > 0:
            report.service[customer_id] = service
            self.reported_total[customer_id] = (
                self.reported_total.get(customer_id, 0) + gain
            )

    def raise_base(self, customer_id: int, service: float) -> None:
        """Take what a router knows of the zone's total, while unsettled."""
        if not self.is_settled and service > self.base.get(customer_id, 0):
            self.base[customer_id] = service

    def raise_other_zone(
        self, zone: str, customer_id: int, service: float
    ) -> None:
        """Take the total of another zone, by maximum."""
        report = self.zones.setdefault(zone, {})
        gain = service - report.get(customer_id, 0)
        if gain > 0:
            report[customer_id] = service
            before = self.other_zones.get(customer_id, 0)
            self.other_zones[customer_id] = before + gain

    def reopen_base(self) -> None:
        """Take a base from other zones, none of which was heard so far."""
        self.is_settled = False
        self.is_base_remote = True

    def settle(self) -> None:
        """Keep what no reporting router explains as retired service."""
        if self.is_settled:
            return
        self.is_settled = True
        # Nothing of this term was told to other zones, so their base holds
        # none of it, unless a router of the zone is older than the term.
        is_base_disjoint = self.is_base_remote and all(
            map(self._is_newer_than_delegate, self.reports)
        )
        for customer_id, base in self.base.items():
            explained = (
                0 if is_base_disjoint else self._known_service(customer_id)
            )
            before = self.retired.get(customer_id, 0)
            self.retired[customer_id] = before + max(base - explained, 0)
        self.base.clear()

    def service_of_others(self, customer_id: int) -> float:
        """Return the service of the zone, without this router's own."""
        return max(
            self._known_service(customer_id), self.base.get(customer_id, 0)
        )

    def service_without(self, source: Source, customer_id: int) -> float:
        """Return the service of the zone without this router and a source."""
        report = self.reports.get(source)
        if report is None:
            return 0
        others = self.reported_total.get(customer_id, 0) - report.service.get(
            customer_id, 0
        )
        if report.is_complete:
            others += self.retired.get(customer_id, 0)
        return others

    def retire_silent(self, live: Iterable[Source], now: float) -> None:
        """Add the totals of long silent_seconds sources to the retired service."""
        live_sources = set(live)
        for source, report in tuple(self.reports.items()):
            silent_seconds = now - report.heard_at
            if (
                source not in live_sources
                and silent_seconds > RETIRE_AFTER_SECONDS
            ):
                self._retire_one(source, report, now)
        self.retired_sources = {
            retired: retired_at
            for retired, retired_at in self.retired_sources.items()
            if now - retired_at < REFUSE_RETIRED_SECONDS
        }

    def _known_service(self, customer_id: int) -> float:
        return self.reported_total.get(customer_id, 0) + self.retired.get(
            customer_id, 0
        )

    def _retire_one(
        self, source: Source, report: ReportedService, now: float
    ) -> None:
        for customer_id, service in report.service.items():
            self.reported_total[customer_id] -= service
            before = self.retired.get(customer_id, 0)
            self.retired[customer_id] = before + service
        self.reports.pop(source)
        self.retired_sources[source] = now

    def _is_newer_than_delegate(self, source: Source) -> bool:
        return source.incarnation >= self.delegate_since_ms

    def _take_from_retired(self, customer_id: int, service: float) -> None:
        left = self.retired.get(customer_id, 0) - service
        if left > 0:
            self.retired[customer_id] = left
        else:
            self.retired.pop(customer_id, None)
