"""Tells the other routers what this one has placed, several times a second.

A small fleet exchanges reports directly. In a larger one a report goes to the
routers of the own availability zone; the zone's delegate sums them up for the
delegates of the other zones, and passes their sums on in its own. A node's
traffic then grows with the size of its zone and the number of zones.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, final

from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.board import EngineLoad
from hickorymux._internal.coordination.engines.waiting import CustomerUse
from hickorymux._internal.coordination.load_messages import LoadReport
from hickorymux._internal.coordination.membership import Membership
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.utils.clock import Clock

REPORT_SECONDS: Final = 0.05
# Larger fleets report less often, so that a router's share stays the same.
SECONDS_PER_RECEIVER: Final = 0.01
# An unchanged report is repeated after this, well before it is forgotten.
REPEAT_SECONDS: Final = 0.5
# Who was given what changes all the time and matters over seconds.
USE_SECONDS: Final = 0.2
# Up to so many routers exchange reports directly.
FLAT_ROUTERS: Final = 16

SendDatagram = Callable[[Member, Any], None]


@final
class LoadExchange:
    """Sends reports of the board and takes those of other routers."""

    __slots__ = (
        'allocator',
        'clock',
        'last',
        'last_sent_at',
        'members',
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
        self.last_sent_at = clock.monotonic()
        self.use_due_at = clock.monotonic()

    async def run(self) -> None:
        """Report for good."""
        while True:
            receivers = self.tick()
            pause = max(REPORT_SECONDS, receivers * SECONDS_PER_RECEIVER)
            await self.clock.sleep(pause)

    def tick(self) -> int:
        """Send a report if it is due; return how many routers get reports."""
        now = self.clock.monotonic()
        self.allocator.board.expire(now)
        live = self.members.live()
        is_flat = len(live) <= FLAT_ROUTERS
        near = live
        if not is_flat:
            near = self.members.live_in_zone(self.members.me.zone)
        has_uses = now >= self.use_due_at
        if has_uses:
            self.use_due_at = now + USE_SECONDS
            self.allocator.on_usage()
        if not is_flat:
            self._sum_up(has_uses=has_uses)
        report = to_report(self.allocator.board.own)
        is_due = report != self.last or has_uses
        if is_due or now - self.last_sent_at >= REPEAT_SECONDS:
            self.last = report
            self.last_sent_at = now
            if has_uses:
                report = with_uses(report, self.allocator.uses())
            self._send_all(near, report)
        return len(near)

    def on_message(self, sender_id: str, report: LoadReport) -> None:
        """Take a report of another router or of a zone."""
        if report.zone == self.members.me.zone:
            return
        source = f'zone {report.zone}' if report.zone else sender_id
        now = self.clock.monotonic()
        self.allocator.board.take_report(source, from_report(report), now)
        if report.customers:
            self.allocator.usage.take_report(source, uses_of(report), now)
        if report.zone and self.members.is_delegate():
            if sender_id not in self._ids_at_home():
                self._send_all(self._at_home(), report)
        self.allocator.pump_all()

    def _sum_up(self, *, has_uses: bool) -> None:
        """Tell the other zones' delegates what this zone has placed."""
        if not self.members.is_delegate():
            return
        home = self._ids_at_home()
        sums: dict[str, EngineLoad] = {}
        _add_all(sums, self.allocator.board.own)
        for source, peer in self.allocator.board.peers.items():
            if source in home:
                _add_all(sums, peer.rows)
        report = to_report(sums)
        if has_uses:
            report = with_uses(report, self._uses_at_home(home))
        zone = self.members.me.zone
        report = dataclasses.replace(report, zone=zone)
        for other in self.members.zones():
            if other != zone:
                self._send_all(self.members.live_in_zone(other)[:1], report)

    def _uses_at_home(
        self,
        home: frozenset[str],
    ) -> dict[tuple[str, str], CustomerUse]:
        sums = self.allocator.uses()
        for source, peer in self.allocator.usage.peers.items():
            if source not in home:
                continue
            for row, use in peer.rows.items():
                total = sums.setdefault(row, CustomerUse())
                total.given += use.given
                total.waiting += use.waiting
        return sums

    def _at_home(self) -> Iterable[Member]:
        return self.members.live_in_zone(self.members.me.zone)

    def _ids_at_home(self) -> frozenset[str]:
        return frozenset(member.router_id for member in self._at_home())

    def _send_all(self, members: Iterable[Member], report: LoadReport) -> None:
        for member in members:
            if member.router_id != self.members.me.router_id:
                self.send(member, report)


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


def _add_all(
    sums: dict[str, EngineLoad],
    rows: Mapping[str, EngineLoad],
) -> None:
    for upstream_id, load in rows.items():
        sums.setdefault(upstream_id, EngineLoad()).add(load)
