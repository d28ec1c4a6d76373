"""Exchanges load reports with the peers, several times a second.

A report has the load that a router has placed on each upstream and, less
often, the usage by customer. In a small fleet, each router sends its report to
all others. In a larger one, it sends the report to the delegate of its
availability zone. The delegate sends the sum of these reports to the routers
of the zone and to the delegates of the other zones, and forwards their sums
within its own zone. So a router sends one report and gets one for each zone,
whatever the number of routers, while the traffic of a delegate grows with the
size of its zone.
"""

import dataclasses
import itertools
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, final

from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.load_tracker import EngineLoad
from hickorymux._internal.coordination.engines.wait_queue import CustomerUsage
from hickorymux._internal.coordination.load_messages import LoadReport
from hickorymux._internal.coordination.membership import (
    Membership,
    SendDatagram,
)
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.utils.clock import Clock

# Interval of reports in a fleet of up to ``MAX_DIRECT_ROUTERS`` routers.
REPORT_SECONDS: Final = 0.05
# In a larger fleet each router adds little to the load of one upstream, so
# reports are sent less often.
ZONE_REPORT_SECONDS: Final = 0.2
# An unchanged report is repeated after this, well before it expires at the
# peers.
REPEAT_SECONDS: Final = 0.5
# Interval at which reports include usage. It changes all the time, but matters
# only over seconds.
USAGE_SECONDS: Final = 0.2
# Fleets of up to this many routers exchange reports directly.
MAX_DIRECT_ROUTERS: Final = 16

# Usage by pool and customer.
UsageByCustomer = dict[tuple[str, str], CustomerUsage]


@final
class LoadExchange:
    """Sends the reports of this router and applies those of the peers.

    ``sent_report`` is the last report sent, with the usage sent last. It is
    what this router has contributed to the sum of its zone.
    """

    __slots__ = (
        'allocator',
        'clock',
        'last_loads',
        'last_sent_at',
        'members',
        'sent_report',
        'send',
        'next_usage_at',
    )

    def __init__(
        self,
        allocator: Allocator,
        members: Membership,
        send: SendDatagram,
        clock: Clock,
    ) -> None:
        self.allocator = allocator
        self.members = members
        self.send = send
        self.clock = clock
        self.last_loads: LoadReport | None = None
        self.sent_report = LoadReport()
        self.last_sent_at = clock.monotonic()
        self.next_usage_at = clock.monotonic()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self.clock.sleep(self.tick())

    def tick(self) -> float:
        """Send the reports that are due.

        Returns the seconds until the next one.
        """
        now = self.clock.monotonic()
        self.allocator.load_tracker.expire(now)
        has_usage = now >= self.next_usage_at
        if has_usage:
            self.next_usage_at = now + USAGE_SECONDS
            self.allocator.update_peer_usage()
        live = self.members.live()
        if len(live) <= MAX_DIRECT_ROUTERS:
            self._send_own(live, now, has_usage=has_usage)
            return REPORT_SECONDS
        if self.members.is_delegate():
            self._send_zone_report(has_usage=has_usage)
        else:
            self._send_own(self._zone_members()[:1], now, has_usage=has_usage)
        return ZONE_REPORT_SECONDS

    def on_message(self, sender_id: str, report: LoadReport) -> None:
        """Apply a report of a peer or of a zone.

        A delegate forwards the reports of other zones within its own zone.
        """
        now = self.clock.monotonic()
        zone = self.members.me.zone
        rows, usage_rows = loads_from_report(report), usage_from_report(report)
        if report.zone == zone:
            # The sum of this router's zone includes its own part.
            rows = subtract_own_loads(rows, loads_from_report(self.sent_report))
            usage_rows = subtract_own_usage(
                usage_rows, usage_from_report(self.sent_report)
            )
        source = f'zone {report.zone}' if report.zone else sender_id
        self.allocator.load_tracker.replace_report(
            source, rows, now, self._covered_routers(report)
        )
        if usage_rows:
            self.allocator.usage_tracker.replace_report(source, usage_rows, now)
        is_other_zone = report.zone and report.zone != zone
        if is_other_zone and self.members.is_delegate():
            self._send_all(self._zone_members(), report)

    def _covered_routers(self, report: LoadReport) -> int:
        """Return how many routers, without this one, a report is about.

        A zone's report that doesn't say so counts as one router.
        """
        own_zone = self.members.me.zone
        own = 1 if report.zone == own_zone and report.routers else 0
        return max(1, report.routers) - own

    def _send_own(
        self,
        members: Sequence[Member],
        now: float,
        *,
        has_usage: bool,
    ) -> None:
        """Send this router's report, unless the last one still holds.

        An unchanged report is repeated after ``REPEAT_SECONDS``.
        """
        report = report_from_loads(self.allocator.load_tracker.own_loads)
        is_redundant = report == self.last_loads and not has_usage
        if is_redundant and now - self.last_sent_at < REPEAT_SECONDS:
            return
        self.last_loads = report
        self.last_sent_at = now
        if has_usage:
            report = with_usage(report, self.allocator.own_usage())
            self.sent_report = report
        else:
            self.sent_report = dataclasses.replace(
                report,
                pools=self.sent_report.pools,
                customers=self.sent_report.customers,
                given=self.sent_report.given,
                unmet=self.sent_report.unmet,
            )
        self._send_all(members, report)

    def _send_zone_report(self, *, has_usage: bool) -> None:
        """Send the sum of this zone to its routers and other delegates."""
        member_ids = {member.router_id for member in self._zone_members()}
        totals: dict[str, EngineLoad] = {}
        _add_all(totals, self.allocator.load_tracker.own_loads)
        routers = 1
        for source, peer in self.allocator.load_tracker.peer_reports.items():
            if source in member_ids:
                _add_all(totals, peer.rows)
                routers += 1
        zone = self.members.me.zone
        report = dataclasses.replace(
            report_from_loads(totals), zone=zone, routers=routers
        )
        if has_usage:
            report = with_usage(report, self._zone_usage(member_ids))
        others = [
            member
            for other in self.members.zones()
            if other != zone
            for member in self.members.live_in_zone(other)[:1]
        ]
        self._send_all([*self._zone_members(), *others], report)

    def _zone_usage(self, member_ids: Collection[str]) -> UsageByCustomer:
        totals = self.allocator.own_usage()
        for source, peer in self.allocator.usage_tracker.peer_reports.items():
            if source not in member_ids:
                continue
            for row, usage in peer.rows.items():
                total = totals.setdefault(row, CustomerUsage())
                total.service += usage.service
                total.unmet += usage.unmet
        return totals

    def _zone_members(self) -> Sequence[Member]:
        return self.members.live_in_zone(self.members.me.zone)

    def _send_all(self, members: Iterable[Member], report: LoadReport) -> None:
        me = self.members.me.router_id
        self.send(
            [member for member in members if member.router_id != me],
            report,
        )


def report_from_loads(rows: Mapping[str, EngineLoad]) -> LoadReport:
    """Return a report of the loads by upstream id, without usage."""
    return LoadReport(
        upstreams=list(rows),
        running=[load.running for load in rows.values()],
        unread=[load.unprocessed_tokens for load in rows.values()],
        memory=[load.memory_tokens for load in rows.values()],
    )


def loads_from_report(report: LoadReport) -> dict[str, EngineLoad]:
    """Return the loads of a report by upstream id."""
    columns = zip(
        report.upstreams,
        report.running,
        report.unread,
        report.memory,
        strict=False,
    )
    return {
        upstream_id: EngineLoad(running, unread, memory)
        for upstream_id, running, unread, memory in columns
    }


def with_usage(
    report: LoadReport,
    usage_rows: Mapping[tuple[str, str], CustomerUsage],
) -> LoadReport:
    """Return a copy of the report with the usage by pool and customer."""
    return dataclasses.replace(
        report,
        pools=[pool for pool, _ in usage_rows],
        customers=[customer for _, customer in usage_rows],
        given=[int(usage.service) for usage in usage_rows.values()],
        unmet=[int(usage.unmet) for usage in usage_rows.values()],
    )


def usage_from_report(
    report: LoadReport,
) -> dict[tuple[str, str], CustomerUsage]:
    """Return the usage of a report by pool and customer.

    Routers of the previous version do not send the unmet demand.
    """
    unmet_costs: Iterable[int] = report.unmet or itertools.repeat(0)
    columns = zip(
        report.pools,
        report.customers,
        report.given,
        unmet_costs,
        strict=False,
    )
    return {
        (pool, customer): CustomerUsage(given, unmet)
        for pool, customer, given, unmet in columns
    }


def subtract_own_loads(
    rows: Mapping[str, EngineLoad],
    own: Mapping[str, EngineLoad],
) -> dict[str, EngineLoad]:
    """Return the loads of a zone without a router's own part."""
    remaining = dict(rows)
    for upstream_id, load in own.items():
        total = remaining.get(upstream_id)
        if total is not None:
            remaining[upstream_id] = EngineLoad(
                max(0, total.running - load.running),
                max(0, total.unprocessed_tokens - load.unprocessed_tokens),
                max(0, total.memory_tokens - load.memory_tokens),
            )
    return remaining


def subtract_own_usage(
    usage_rows: UsageByCustomer, own: UsageByCustomer
) -> UsageByCustomer:
    """Return the usage of a zone without a router's own part."""
    remaining = dict(usage_rows)
    for row, usage in own.items():
        total = remaining.get(row)
        if total is not None:
            remaining[row] = CustomerUsage(
                max(0, total.service - usage.service),
                max(0, total.unmet - usage.unmet),
            )
    return remaining


def _add_all(
    totals: dict[str, EngineLoad],
    rows: Mapping[str, EngineLoad],
) -> None:
    for upstream_id, load in rows.items():
        totals.setdefault(upstream_id, EngineLoad()).add(load)
