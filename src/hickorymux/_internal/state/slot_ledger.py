"""The rules by which a slot coordinator leases out the slots of one upstream.

A slot is the right to run one request. Each router has at most one lease of
an upstream, which covers any number of slots. The lease counts the slots
granted, returned and revoked since it was opened. These counts only grow, so
that messages that are lost, repeated or reordered never free a slot in use.
"""

import dataclasses
from collections.abc import Mapping

# Greatest relative drift between the clocks of two routers.
MAX_CLOCK_DRIFT_RATIO = 0.01
# Length of one window of ``LeasedHistory``.
HISTORY_WINDOW_SECONDS = 2.0
# Requests of an expired lease are taken to have ended after this.
MAX_LAPSED_SECONDS = 300.0


@dataclasses.dataclass(slots=True)
class Lease:
    """The slots of the upstream that one router leases in one session.

    ``session`` is the number that the router gave the session, and
    ``expires_at`` a time in seconds on the coordinator's monotonic clock.
    """

    session: int
    expires_at: float
    granted: int = 0
    returned: int = 0
    revoked: int = 0

    @property
    def held(self) -> int:
        """Return how many slots the router may be using."""
        return self.granted - self.returned

    @property
    def revocable(self) -> int:
        """Return how many held slots have not been revoked yet."""
        return self.granted - max(self.revoked, self.returned)


@dataclasses.dataclass(slots=True)
class LapsedLease:
    """Slots of a lease that expired; requests may still run on them."""

    slots: int
    since: float


@dataclasses.dataclass(slots=True)
class LeasedWindow:
    """How many slots were leased out in a span of time.

    ``since`` is when the span began, ``peak`` the most slots leased at once,
    and ``slot_seconds`` the integral of the leased slots over the span.
    """

    since: float = 0
    peak: int = 0
    slot_seconds: float = 0


@dataclasses.dataclass(slots=True)
class LeasedHistory:
    """How many slots were leased out in the last one or two windows.

    A load report describes the past, so the requests that it counts are
    compared with the slots leased at that time. The mean evens out the
    moments in which a slot is moving from one router to another.
    """

    leased: int = 0
    recorded_at: float = 0
    current: LeasedWindow = dataclasses.field(default_factory=LeasedWindow)
    earlier: LeasedWindow = dataclasses.field(default_factory=LeasedWindow)

    def record(self, leased: int, now: float) -> None:
        """Record that ``leased`` slots are leased out from ``now`` on."""
        self.current.slot_seconds += self.leased * (now - self.recorded_at)
        self.recorded_at = now
        if now - self.current.since >= HISTORY_WINDOW_SECONDS:
            self.earlier = self.current
            self.current = LeasedWindow(now, self.leased)
        self.current.peak = max(self.current.peak, leased)
        self.leased = leased

    @property
    def peak(self) -> int:
        """Return the largest number of slots leased out at once."""
        return max(self.current.peak, self.earlier.peak)

    @property
    def mean_leased(self) -> int:
        """Return the mean number of slots leased out, rounded."""
        slot_seconds = self.current.slot_seconds + self.earlier.slot_seconds
        seconds = self.recorded_at - self.earlier.since
        return round(slot_seconds / seconds) if seconds > 0 else self.leased


@dataclasses.dataclass(slots=True)
class SlotLedger:
    """The leases of one upstream, as its slot coordinator knows them.

    ``grants_from`` is the time, on the monotonic clock in seconds, at which
    all leases of an earlier coordinator have expired for certain.
    ``foreign_running`` is the number of running requests for which another
    coordinator leased the slots, as happens while the network is partitioned.
    ``local_limit`` is this coordinator's share of the limit in that case.

    Example::

        ledger = SlotLedger(grants_from=now + takeover_wait_seconds(3))
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
        """Return the number of slots in leases that have not expired."""
        return sum(lease.held for lease in self.leases.values())

    @property
    def held(self) -> int:
        """Return the number of slots leased, or expired and maybe in use."""
        return self.leased + sum(
            lapsed.slots for lapsed in self.lapsed_leases.values()
        )

    def free_slots(self, limit: int, now: float) -> int:
        """Return how many slots may be granted now; never below zero."""
        if now < self.grants_from:
            return 0
        return max(limit - self.held - self.foreign_running, 0)

    def can_regrant(self, limit: int, now: float) -> bool:
        """Return whether a returned slot may be granted again at once."""
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
        """Open a lease with the slots that the router holds already.

        The router has ended its earlier session, so the new lease replaces
        the earlier one and its expired slots. An older session number is
        ignored.
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
        """Grant up to ``wanted_slots`` free slots; return how many."""
        lease = self.leases.get(router_id)
        if lease is None or now >= lease.expires_at:
            return 0
        granted = min(wanted_slots, self.free_slots(limit, now))
        lease.granted += granted
        self.history.record(self.leased, now)
        return granted

    def can_grant_to(self, router_id: str, session: int) -> bool:
        """Return whether the router has no lease of another session here."""
        lease = self.leases.get(router_id)
        return lease is None or lease.session == session

    def take_over(
        self, held: Mapping[str, int], expires_at: float, now: float
    ) -> None:
        """Take over the leases of the earlier coordinator, and skip the wait.

        ``held`` is the number of slots by router id. It is ignored for a
        router that has opened its session here already and stated itself what
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
        """Apply a router's total of returned slots; return how many are new."""
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
        """Extend a lease; return whether the session is the current one."""
        lease = self.leases.get(router_id)
        if lease is None or lease.session != session:
            return False
        lease.expires_at = max(lease.expires_at, expires_at)
        return True

    def revoke(self, router_id: str, slots: int) -> int:
        """Revoke up to ``slots`` more of a lease; return how many."""
        lease = self.leases.get(router_id)
        if lease is None:
            return 0
        newly_revoked = min(slots, lease.revocable)
        if newly_revoked > 0:
            lease.revoked = max(lease.revoked, lease.returned) + newly_revoked
        return newly_revoked

    def revoke_excess(self, limit: int) -> list[str]:
        """Revoke the slots above the limit; return the routers concerned."""
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
        """Return by router id the slots in valid and in expired leases."""
        held = {name: lease.held for name, lease in self.leases.items()}
        for name, lapsed in self.lapsed_leases.items():
            held[name] = held.get(name, 0) + lapsed.slots
        return held

    def expire(self, now: float) -> list[str]:
        """End the leases that expired; return the ids of their routers.

        Their slots still count until ``reconcile`` finds them unused.
        """
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
        """Compare the leases with the requests that the upstream reported.

        ``reported_at`` is the earliest time at which the report can have been
        made. Requests beyond the leased slots belong to another coordinator
        or to an expired lease, and count against the limit. When the sum is
        above the limit, this coordinator keeps its proportional share of the
        limit.
        """
        self.history.record(self.leased, now)
        excess_running = max(running - self.history.peak, 0)
        for router_id, lapsed in list(self.lapsed_leases.items()):
            self._reconcile_lapsed(
                router_id, lapsed, excess_running, reported_at, now
            )
        lapsed_slots = sum(one.slots for one in self.lapsed_leases.values())
        most_foreign = running - self.history.mean_leased - lapsed_slots
        least_foreign = excess_running - lapsed_slots
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
        lapsed: LapsedLease,
        excess_running: int,
        reported_at: float,
        now: float,
    ) -> None:
        if reported_at > lapsed.since:
            lapsed.slots = min(lapsed.slots, excess_running)
        is_too_old = now - lapsed.since > MAX_LAPSED_SECONDS
        if lapsed.slots == 0 or is_too_old:
            self.lapsed_leases.pop(router_id)


def takeover_wait_seconds(lease_seconds: float) -> float:
    """Return how long a new coordinator waits before it grants slots.

    All leases of an earlier coordinator have expired by then, even if the
    clocks of two routers drift apart by ``MAX_CLOCK_DRIFT_RATIO``. All times
    are in seconds.
    """
    return lease_seconds * (1 + MAX_CLOCK_DRIFT_RATIO)


def usable_until(requested_at: float, lease_seconds: float) -> float:
    """Return until when a lease holder may use slots, on its own clock.

    The lease counts from before the holder sent its request, and is shortened
    by the drift that two clocks may have. It therefore ends at the holder
    before the coordinator lets it expire. All times are in seconds.
    """
    return requested_at + lease_seconds * (1 - MAX_CLOCK_DRIFT_RATIO)
