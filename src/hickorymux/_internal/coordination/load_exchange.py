"""Tells the other routers what this one has placed, several times a second.

A small fleet exchanges reports directly. In a larger one a report goes to the
delegate of the own availability zone, which sends the sum to the routers of
the zone and to the delegates of the other zones, and passes theirs on in its
own. A router then sends one report and gets one for each zone, whatever the
number of routers; a delegate's traffic grows with the size of its zone.
"""

import dataclasses
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, final

from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.board import EngineLoad
from hickorymux._internal.coordination.engines.waiting import CustomerUse
from hickorymux._internal.coordination.load_messages import LoadReport
from hickorymux._internal.coordination.membership import (
    Membership,
    SendDatagram,
)
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.utils.clock import Clock

REPORT_SECONDS: Final = 0.05
# In a larger fleet each router adds little to the load of one upstream.
ZONE_REPORT_SECONDS: Final = 0.2
# An unchanged report is repeated after this, well before it is forgotten.
REPEAT_SECONDS: Final = 0.5
# Who was given what changes all the time and matters over seconds.
USE_SECONDS: Final = 0.2
# Up to so many routers exchange reports directly.
FLAT_ROUTERS: Final = 16

Uses = dict[tuple[str, str], CustomerUse]


@final
class LoadExchange:
    """Sends reports of the board and takes those of other routers."""

    __slots__ = (
        'allocator',
        'clock',
        'last',
        'last_sent_at',
        'members',
        'reported',
        'send',
        'use_due_at',
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
        self.last: LoadReport | None = None
        self.reported = LoadReport()
        self.last_sent_at = clock.monotonic()
        self.use_due_at = clock.monotonic()

    async def run(self) -> None:
        """Report for good."""
        while True:
            await self.clock.sleep(self.tick())

    def tick(self) -> float:
        """Send what is due; return the seconds until the next report."""
        now = self.clock.monotonic()
        self.allocator.board.expire(now)
        has_uses = now >= self.use_due_at
        if has_uses:
            self.use_due_at = now + USE_SECONDS
            self.allocator.on_usage()
        live = self.members.live()
        if len(live) <= FLAT_ROUTERS:
            self._send_own(live, now, has_uses=has_uses)
            return REPORT_SECONDS
        if self.members.is_delegate():
            self._send_sums(has_uses=has_uses)
        else:
            self._send_own(self._at_home()[:1], now, has_uses=has_uses)
        return ZONE_REPORT_SECONDS

    def on_message(self, sender_id: str, report: LoadReport) -> None:
        """Take a report of another router or of a zone."""
        now = self.clock.monotonic()
        zone = self.members.me.zone
        rows, uses = from_report(report), uses_of(report)
        if report.zone == zone:
            # The sum of this zone counts this router too.
            rows = less(rows, from_report(self.reported))
            uses = less_uses(uses, uses_of(self.reported))
        source = f'zone {report.zone}' if report.zone else sender_id
        self.allocator.board.take_report(source, rows, now)
        if uses:
            self.allocator.usage.take_report(source, uses, now)
        is_from_outside = report.zone and report.zone != zone
        if is_from_outside and self.members.is_delegate():
            self._send_all(self._at_home(), report)

    def _send_own(
        self,
        members: Sequence[Member],
        now: float,
        *,
        has_uses: bool,
    ) -> None:
        """Send what this router placed, unless it is known already."""
        report = to_report(self.allocator.board.own)
        is_known = report == self.last and not has_uses
        if is_known and now - self.last_sent_at < REPEAT_SECONDS:
            return
        self.last = report
        self.last_sent_at = now
        if has_uses:
            report = with_uses(report, self.allocator.uses())
            self.reported = report
        else:
            self.reported = dataclasses.replace(
                report,
                pools=self.reported.pools,
                customers=self.reported.customers,
                given=self.reported.given,
                waiting=self.reported.waiting,
            )
        self._send_all(members, report)

    def _send_sums(self, *, has_uses: bool) -> None:
        """Tell this zone and the other delegates what the zone has placed."""
        home = {member.router_id for member in self._at_home()}
        sums: dict[str, EngineLoad] = {}
        _add_all(sums, self.allocator.board.own)
        for source, peer in self.allocator.board.peers.items():
            if source in home:
                _add_all(sums, peer.rows)
        zone = self.members.me.zone
        report = dataclasses.replace(to_report(sums), zone=zone)
        if has_uses:
            report = with_uses(report, self._uses_at_home(home))
        others = [
            member
            for other in self.members.zones()
            if other != zone
            for member in self.members.live_in_zone(other)[:1]
        ]
        self._send_all([*self._at_home(), *others], report)

    def _uses_at_home(self, home: Collection[str]) -> Uses:
        sums = self.allocator.uses()
        for source, peer in self.allocator.usage.peers.items():
            if source not in home:
                continue
            for row, use in peer.rows.items():
                total = sums.setdefault(row, CustomerUse())
                total.given += use.given
                total.waiting += use.waiting
        return sums

    def _at_home(self) -> Sequence[Member]:
        return self.members.live_in_zone(self.members.me.zone)

    def _send_all(self, members: Iterable[Member], report: LoadReport) -> None:
        me = self.members.me.router_id
        self.send(
            [member for member in members if member.router_id != me],
            report,
        )


def to_report(rows: Mapping[str, EngineLoad]) -> LoadReport:
    """Return the rows as columns."""
    return LoadReport(
        upstreams=list(rows),
        running=[load.running for load in rows.values()],
        unread=[load.unread for load in rows.values()],
        memory=[load.memory for load in rows.values()],
    )


def from_report(report: LoadReport) -> dict[str, EngineLoad]:
    """Return the columns as rows."""
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


def with_uses(
    report: LoadReport,
    uses: Mapping[tuple[str, str], CustomerUse],
) -> LoadReport:
    """Return the report with the use by pool and customer as columns."""
    return dataclasses.replace(
        report,
        pools=[pool for pool, _ in uses],
        customers=[customer for _, customer in uses],
        given=[int(use.given) for use in uses.values()],
        waiting=[use.waiting for use in uses.values()],
    )


def uses_of(report: LoadReport) -> dict[tuple[str, str], CustomerUse]:
    """Return the use by pool and customer of a report."""
    columns = zip(
        report.pools,
        report.customers,
        report.given,
        report.waiting,
        strict=False,
    )
    return {
        (pool, customer): CustomerUse(given, waiting)
        for pool, customer, given, waiting in columns
    }


def less(
    rows: Mapping[str, EngineLoad],
    own: Mapping[str, EngineLoad],
) -> dict[str, EngineLoad]:
    """Return the rows without a router's own part."""
    left = dict(rows)
    for upstream_id, load in own.items():
        total = left.get(upstream_id)
        if total is not None:
            left[upstream_id] = EngineLoad(
                max(0, total.running - load.running),
                max(0, total.unread - load.unread),
                max(0, total.memory - load.memory),
            )
    return left


def less_uses(uses: Uses, own: Uses) -> Uses:
    """Return the use without a router's own part."""
    left = dict(uses)
    for row, use in own.items():
        total = left.get(row)
        if total is not None:
            left[row] = CustomerUse(
                max(0, total.given - use.given),
                max(0, total.waiting - use.waiting),
            )
    return left


def _add_all(
    sums: dict[str, EngineLoad],
    rows: Mapping[str, EngineLoad],
) -> None:
    for upstream_id, load in rows.items():
        sums.setdefault(upstream_id, EngineLoad()).add(load)
