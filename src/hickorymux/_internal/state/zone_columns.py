"""The service totals that a zone delegate keeps for one pool.

The totals are kept like a table: a row for each customer, and a column for
each incarnation of each other router of the zone. A column is the service
that the incarnation has reported, which only grows. The zone's total is the
sum of the columns, and other zones see only that total. All figures are in
virtual units, and none ever exceeds the true service:

* A new delegate starts with the *base*: the largest zone total that any
  router of the zone still knows. The totals are *settled* once all live
  routers have reported. The part of the base that their reports don't
  explain was served by incarnations that have ended or can't be reached; it
  is kept as *retired* service.
* When a router that had not reported by then reports later, its service is
  first subtracted from the retired service, so that it does not count twice.
* A zone that restarted during a network partition takes its earlier total
  from the other zones and adds its new service to it.
* The service of a report that was not updated for an hour, by a router that is
  not live, is moved to the retired service.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Self, final

RETIRE_AFTER_SECONDS = 3600
# Reports of retired incarnations are refused for this long, as their service
# would count twice.
REFUSE_RETIRED_SECONDS = 24 * 3600


@dataclasses.dataclass(slots=True, frozen=True)
class Source:
    """One incarnation of a router: the source of a report.

    ``incarnation`` is the start of the process in milliseconds of wall time.
    """

    router_id: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class ReportedService:
    """The service that one source has reported, by customer id.

    ``heard_at`` is the monotonic time of its last message. ``is_complete`` is
    true once the report covers all of the source's service.
    """

    heard_at: float
    service: dict[int, float] = dataclasses.field(default_factory=dict)
    is_complete: bool = False


@final
class ZoneTotals:
    """Reports of the zone's other routers, and the totals of other zones.

    ``reported_total`` is the sum of ``reports`` by customer id, ``other_zones``
    that of ``zones``. ``retired_sources`` maps the sources of retired reports
    to the monotonic time when they were retired. ``is_base_remote`` is true
    when the base may come from other zones.
    """

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
        """Return the totals of a router that becomes delegate.

        ``delegate_since_ms`` is wall time in milliseconds. ``base`` is the
        service of the zone's other routers by customer id, as this router
        knows it.
        """
        return cls(delegate_since_ms, base)

    def report_from(self, source: Source, now: float) -> ReportedService | None:
        """Return the source's report, or None when it was retired.

        The report is created when missing. ``now`` is the monotonic time at
        which the source's message arrived.
        """
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
        """Merge one customer's service into a report, by maximum."""
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
        """Raise the base to a total that a router knows, until settled."""
        if not self.is_settled and service > self.base.get(customer_id, 0):
            self.base[customer_id] = service

    def raise_other_zone(
        self, zone: str, customer_id: int, service: float
    ) -> None:
        """Merge one customer's service in another zone, by maximum."""
        zone_service = self.zones.setdefault(zone, {})
        gain = service - zone_service.get(customer_id, 0)
        if gain > 0:
            zone_service[customer_id] = service
            before = self.other_zones.get(customer_id, 0)
            self.other_zones[customer_id] = before + gain

    def reopen_base(self) -> None:
        """Accept a base from other zones, at the first contact with them."""
        self.is_settled = False
        self.is_base_remote = True

    def settle(self) -> None:
        """Move the part of the base that no report explains to retired."""
        if self.is_settled:
            return
        self.is_settled = True
        # Other zones have received no total since this router became
        # delegate. The base that they return thus includes none of the
        # reports, unless a router of the zone started before.
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
        """Return the service in the zone, without this router's own."""
        return max(
            self._known_service(customer_id), self.base.get(customer_id, 0)
        )

    def service_without(self, source: Source, customer_id: int) -> float:
        """Return the service in the zone without this router and a source.

        Until the source's report is complete, retired service may include its
        own service, and is left out.
        """
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
        """Retire the reports of sources that are not live and were silent."""
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
