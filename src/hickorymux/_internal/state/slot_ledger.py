"""The rules by which the home of one upstream lends its slots.

Each router holds one loan of an upstream. Its counts only grow: slots
granted, returned and recalled since the loan was opened, so that messages
that are lost, repeated or reordered never free a slot that is in use.
"""

import dataclasses
from collections.abc import Mapping

DRIFT_RATIO = 0.01
WINDOW_SECONDS = 2.0
MAX_LAPSED_SECONDS = 300.0


@dataclasses.dataclass(slots=True)
class Lease:
    """What one router holds of the upstream in one session."""

    session: int
    expires_at: float
    granted: int = 0
    returned: int = 0
    revoked: int = 0

    @property
    def held(self) -> int:
        """Return the slots that the router may be using."""
        return self.granted - self.returned

    @property
    def revocable(self) -> int:
        """Return the held slots that have not been recalled yet."""
        return self.granted - max(self.revoked, self.returned)


@dataclasses.dataclass(slots=True)
class LapsedLease:
    """Slots of a loan that expired; work may still run on them."""

    slots: int
    since: float


@dataclasses.dataclass(slots=True)
class LeasedWindow:
    """What was lent in a span of time; ``slot_seconds`` is its integral."""

    since: float = 0
    peak: int = 0
    slot_seconds: float = 0


@dataclasses.dataclass(slots=True)
class LeasedHistory:
    """How many slots were lent in the last one or two windows.

    A load report describes the past, so the work that it counts is compared
    with what was lent then. The mean leaves out the moments in which a slot
    is on its way from one router to another.
    """

    leased: int = 0
    recorded_at: float = 0
    current: LeasedWindow = dataclasses.field(default_factory=LeasedWindow)
    earlier: LeasedWindow = dataclasses.field(default_factory=LeasedWindow)

    def record(self, lent: int, now: float) -> None:
        """Take the number of slots that are lent from now on."""
        self.current.slot_seconds += self.leased * (now - self.recorded_at)
        self.recorded_at = now
        if now - self.current.since >= WINDOW_SECONDS:
            self.earlier = self.current
            self.current = LeasedWindow(now, self.leased)
        self.current.peak = max(self.current.peak, lent)
        self.leased = lent

    @property
    def peak(self) -> int:
        """Return the most slots lent at once."""
        return max(self.current.peak, self.earlier.peak)

    @property
    def mean_leased(self) -> int:
        """Return the mean of the slots lent, as a whole number."""
        slot_seconds = self.current.slot_seconds + self.earlier.slot_seconds
        seconds = self.recorded_at - self.earlier.since
        return round(slot_seconds / seconds) if seconds > 0 else self.leased


@dataclasses.dataclass(slots=True)
class SlotLedger:
    """The loans of one upstream, as its home knows them.

    ``grants_from`` is the reading of the clock at which the leases of an
    earlier home have run out for certain. ``foreign`` is the work that another
    home lent for, and ``ceiling`` this home's share of the limit meanwhile.

    Example::

        ledger = SlotLedger(lends_from=now + wait_out_seconds(3))
        ledger.open_lease('router-a', 1, 0, expires_at, now)
        ledger.grant('router-a', 2, limit=8, now=now)
    """

    grants_from: float
    leases: dict[str, Lease] = dataclasses.field(default_factory=dict)
    lapsed_leases: dict[str, LapsedLease] = dataclasses.field(
        default_factory=dict
    )
    foreign_running: int = 0
    local_limit: int | None = None
    history: LeasedHistory = dataclasses.field(default_factory=LeasedHistory)

    @property
    def leased(self) -> int:
        """Return the slots of the loans that have not run out."""
        return sum(lease.held for lease in self.leases.values())

    @property
    def held(self) -> int:
        """Return the slots that are lent, or lapsed and perhaps in use."""
        return self.leased + sum(
            lapse.slots for lapse in self.lapsed_leases.values()
        )

    def free_slots(self, limit: int, now: float) -> int:
        """Return how many slots may be lent now; never below zero."""
        if now < self.grants_from:
            return 0
        return max(limit - self.held - self.foreign_running, 0)

    def can_regrant(self, limit: int, now: float) -> bool:
        """Return whether a slot that comes back may be lent again at once."""
        return (
            now >= self.grants_from
            and self.held + self.foreign_running <= limit
        )

    def open_lease(
        self,
        router_id: str,
        session: int,
        slots: int,
        expires_at: float,
        now: float,
    ) -> None:
        """Begin a session with the slots that the router holds already.

        The router has given up its earlier session, so this one replaces it,
        lapsed slots included. An older session changes nothing.
        """
        current = self.leases.get(router_id)
        if current is not None and current.session >= session:
            return
        self.lapsed_leases.pop(router_id, None)
        self.leases[router_id] = Lease(session, expires_at, granted=slots)
        self.history.record(self.leased, now)

    def grant(
        self, router_id: str, wanted_slots: int, limit: int, now: float
    ) -> int:
        """Lend up to ``wanted_slots`` free slots; return how many were lent."""
        lease = self.leases.get(router_id)
        if lease is None or now >= lease.expires_at:
            return 0
        lent = min(wanted_slots, self.free_slots(limit, now))
        lease.granted += lent
        self.history.record(self.leased, now)
        return lent

    def can_grant_to(self, router_id: str, session: int) -> bool:
        """Return whether the router has no loan of another session here."""
        lease = self.leases.get(router_id)
        return lease is None or lease.session == session

    def take_over(
        self, held: Mapping[str, int], expires_at: float, now: float
    ) -> None:
        """Take the loans of the earlier home; no wait is needed any more.

        A router that has opened its session here already has said itself what
        it holds. The others have until ``expires_at`` to do so.
        """
        for router_id, slots in held.items():
            if router_id not in self.leases:
                self.leases[router_id] = Lease(0, expires_at, granted=slots)
        self.grants_from = min(self.grants_from, now)
        self.history.record(self.leased, now)

    def return_slots(
        self, router_id: str, session: int, returned: int, now: float
    ) -> int:
        """Take a router's count of returned slots; return how many are new."""
        lease = self.leases.get(router_id)
        if lease is None or lease.session != session:
            return 0
        newly_returned = min(returned, lease.granted) - lease.returned
        if newly_returned <= 0:
            return 0
        lease.returned += newly_returned
        self.history.record(self.leased, now)
        return newly_returned

    def renew(self, router_id: str, session: int, expires_at: float) -> bool:
        """Extend a loan; return whether the session is known and current."""
        lease = self.leases.get(router_id)
        if lease is None or lease.session != session:
            return False
        lease.expires_at = max(lease.expires_at, expires_at)
        return True

    def revoke(self, router_id: str, slots: int) -> int:
        """Ask back up to ``slots`` of a loan; return how many are new."""
        lease = self.leases.get(router_id)
        if lease is None:
            return 0
        newly_revoked = min(slots, lease.revocable)
        if newly_revoked > 0:
            lease.revoked = max(lease.revoked, lease.returned) + newly_revoked
        return newly_revoked

    def revoke_excess(self, limit: int) -> list[str]:
        """Ask back what is lent above the limit; return whom was asked."""
        allowed = (
            limit if self.local_limit is None else min(limit, self.local_limit)
        )
        excess = self.held - allowed
        revoked_from = []
        for router_id, lease in self.leases.items():
            excess -= lease.held - lease.revocable
            newly_revoked = self.revoke(router_id, excess) if excess > 0 else 0
            if newly_revoked:
                excess -= newly_revoked
                revoked_from.append(router_id)
        return revoked_from

    def slots_by_router(self) -> dict[str, int]:
        """Return the slots that each router holds or let lapse."""
        held = {name: lease.held for name, lease in self.leases.items()}
        for name, lapse in self.lapsed_leases.items():
            held[name] = held.get(name, 0) + lapse.slots
        return held

    def expire(self, now: float) -> list[str]:
        """End the loans that ran out; their slots lapse until settled."""
        ended = [
            router_id
            for router_id, lease in self.leases.items()
            if now >= lease.expires_at
        ]
        for router_id in ended:
            lease = self.leases.pop(router_id)
            if lease.held > 0:
                self.lapsed_leases[router_id] = LapsedLease(lease.held, now)
        if ended:
            self.history.record(self.leased, now)
        return ended

    def reconcile(
        self, running: int, limit: int, reported_at: float, now: float
    ) -> None:
        """Compare the loans with the work that the upstream reported.

        ``reported_at`` is the earliest reading of the clock at which the report
        can have been made. Work beyond the loans belongs to another home, or
        to a loan that lapsed, and counts against the limit. When the sum is
        over the limit, this home keeps its proportional share of it.
        """
        self.history.record(self.leased, now)
        excess_running = max(running - self.history.peak, 0)
        for router_id, lapse in list(self.lapsed_leases.items()):
            self._reconcile_lapsed(
                router_id, lapse, excess_running, reported_at, now
            )
        lapsed = sum(one.slots for one in self.lapsed_leases.values())
        most_foreign = running - self.history.mean_leased - lapsed
        least_foreign = excess_running - lapsed
        self.foreign_running = max(
            min(self.foreign_running, most_foreign), least_foreign, 0
        )
        self.local_limit = None
        total = self.held + self.foreign_running
        if self.foreign_running and total > limit:
            self.local_limit = max(limit * self.held // total, min(limit, 1))

    def _reconcile_lapsed(
        self,
        router_id: str,
        lapse: LapsedLease,
        excess_running: int,
        reported_at: float,
        now: float,
    ) -> None:
        if reported_at > lapse.since:
            lapse.slots = min(lapse.slots, excess_running)
        is_over = now - lapse.since > MAX_LAPSED_SECONDS
        if lapse.slots == 0 or is_over:
            self.lapsed_leases.pop(router_id)


def takeover_wait_seconds(lease_seconds: float) -> float:
    """Return how long a new home waits for the leases of an earlier one."""
    return lease_seconds * (1 + DRIFT_RATIO)


def usable_until(requested_at: float, lease_seconds: float) -> float:
    """Return until when a holder may use slots, on its own clock.

    The lease counts from before the holder asked, and is cut by the drift
    that two clocks may have, so that it ends before the home's does.
    """
    return requested_at + lease_seconds * (1 - DRIFT_RATIO)
