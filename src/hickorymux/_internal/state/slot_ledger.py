"""The rules by which the home of one upstream lends its slots.

Each router holds one loan of an upstream. Its counts only grow: slots
granted, returned and recalled since the loan was opened, so that messages
that are lost, repeated or reordered never free a slot that is in use.
"""

import dataclasses
from collections.abc import Mapping

DRIFT_RATIO = 0.01
PEAK_WINDOW_SECONDS = 2.0
LAPSED_KEEP_SECONDS = 300.0


@dataclasses.dataclass(slots=True)
class Loan:
    """What one router holds of the upstream in one session."""

    session: int
    expires_at: float
    granted: int = 0
    returned: int = 0
    recalled: int = 0

    @property
    def held(self) -> int:
        """Return the slots that the router may be using."""
        return self.granted - self.returned

    @property
    def recallable(self) -> int:
        """Return the held slots that have not been recalled yet."""
        return self.granted - max(self.recalled, self.returned)


@dataclasses.dataclass(slots=True)
class Lapse:
    """Slots of a loan that expired; work may still run on them."""

    slots: int
    since: float


@dataclasses.dataclass(slots=True)
class LentPeak:
    """The most slots that were lent at once in the last one or two windows.

    A load report describes the past, so work that it counts is compared with
    what was lent then.
    """

    window_since: float = 0
    current: int = 0
    earlier: int = 0

    def note(self, lent: int, now: float) -> None:
        """Take the number of slots that are lent now."""
        windows = int((now - self.window_since) / PEAK_WINDOW_SECONDS)
        if windows > 0:
            self.earlier = self.current if windows == 1 else lent
            self.current = lent
            self.window_since = now
        self.current = max(self.current, lent)

    @property
    def slots(self) -> int:
        """Return the peak."""
        return max(self.current, self.earlier)


@dataclasses.dataclass(slots=True)
class SlotLedger:
    """The loans of one upstream, as its home knows them.

    ``lends_from`` is the reading of the clock at which the leases of an
    earlier home have run out for certain.

    Example::

        ledger = SlotLedger(lends_from=now + wait_out_seconds(3))
        ledger.open_loan('router-a', 1, 0, expires_at)
        ledger.grant('router-a', 2, limit=8, now=now)
    """

    lends_from: float
    loans: dict[str, Loan] = dataclasses.field(default_factory=dict)
    lapses: dict[str, Lapse] = dataclasses.field(default_factory=dict)
    foreign: int = 0
    peak: LentPeak = dataclasses.field(default_factory=LentPeak)

    @property
    def lent(self) -> int:
        """Return the slots of the loans that have not run out."""
        return sum(loan.held for loan in self.loans.values())

    @property
    def held(self) -> int:
        """Return the slots that are lent, or lapsed and perhaps in use."""
        return self.lent + sum(lapse.slots for lapse in self.lapses.values())

    def free(self, limit: int, now: float) -> int:
        """Return how many slots may be lent now; never below zero."""
        if now < self.lends_from:
            return 0
        return max(limit - self.held - self.foreign, 0)

    def open_loan(
        self,
        router_id: str,
        session: int,
        slots: int,
        expires_at: float,
    ) -> None:
        """Begin a session with the slots that the router holds already.

        The router has given up its earlier session, so this one replaces it,
        lapsed slots included. An older session changes nothing.
        """
        current = self.loans.get(router_id)
        if current is not None and current.session >= session:
            return
        self.lapses.pop(router_id, None)
        self.loans[router_id] = Loan(session, expires_at, granted=slots)

    def grant(self, router_id: str, wanted: int, limit: int, now: float) -> int:
        """Lend up to ``wanted`` free slots; return how many were lent."""
        loan = self.loans.get(router_id)
        if loan is None or now >= loan.expires_at:
            return 0
        lent = min(wanted, self.free(limit, now))
        loan.granted += lent
        self.peak.note(self.lent, now)
        return lent

    def can_lend_to(self, router_id: str, session: int) -> bool:
        """Return whether the router has no loan of another session here."""
        loan = self.loans.get(router_id)
        return loan is None or loan.session == session

    def take_over(
        self, held: Mapping[str, int], expires_at: float, now: float
    ) -> None:
        """Take the loans of the earlier home; no wait is needed any more.

        A router that has opened its session here already has said itself what
        it holds. The others have until ``expires_at`` to do so.
        """
        for router_id, slots in held.items():
            if router_id not in self.loans:
                self.loans[router_id] = Loan(0, expires_at, granted=slots)
        self.lends_from = min(self.lends_from, now)

    def give_back(self, router_id: str, session: int, returned: int) -> int:
        """Take a router's count of returned slots; return how many are new."""
        loan = self.loans.get(router_id)
        if loan is None or loan.session != session:
            return 0
        newly = min(returned, loan.granted) - loan.returned
        if newly <= 0:
            return 0
        loan.returned += newly
        return newly

    def renew(self, router_id: str, session: int, expires_at: float) -> bool:
        """Extend a loan; return whether the session is known and current."""
        loan = self.loans.get(router_id)
        if loan is None or loan.session != session:
            return False
        loan.expires_at = max(loan.expires_at, expires_at)
        return True

    def recall(self, router_id: str, slots: int) -> int:
        """Ask back up to ``slots`` of a loan; return how many are new."""
        loan = self.loans.get(router_id)
        if loan is None:
            return 0
        asked = min(slots, loan.recallable)
        if asked > 0:
            loan.recalled = max(loan.recalled, loan.returned) + asked
        return asked

    def recall_excess(self, limit: int) -> list[str]:
        """Ask back what is lent above the limit; return whom was asked."""
        excess = max(self.held + self.foreign - limit, 0)
        asked_of = []
        for router_id, loan in self.loans.items():
            excess -= loan.held - loan.recallable
            asked = self.recall(router_id, excess) if excess > 0 else 0
            if asked:
                excess -= asked
                asked_of.append(router_id)
        return asked_of

    def holdings(self) -> dict[str, int]:
        """Return the slots that each router holds or let lapse."""
        held = {name: loan.held for name, loan in self.loans.items()}
        for name, lapse in self.lapses.items():
            held[name] = held.get(name, 0) + lapse.slots
        return held

    def expire(self, now: float) -> list[str]:
        """End the loans that ran out; their slots lapse until settled."""
        ended = [
            router_id
            for router_id, loan in self.loans.items()
            if now >= loan.expires_at
        ]
        for router_id in ended:
            loan = self.loans.pop(router_id)
            if loan.held > 0:
                self.lapses[router_id] = Lapse(loan.held, now)
        return ended

    def settle(self, running: int, taken_at: float, now: float) -> None:
        """Compare the loans with the work that the upstream reported.

        ``taken_at`` is the earliest reading of the clock at which the report
        can have been made. Work beyond the loans belongs to
        another home, or to a loan that lapsed, and counts against the limit.
        """
        self.peak.note(self.lent, now)
        beyond = max(running - self.peak.slots, 0)
        for router_id, lapse in list(self.lapses.items()):
            self._settle_lapse(router_id, lapse, beyond, taken_at, now)
        lapsed = sum(one.slots for one in self.lapses.values())
        self.foreign = max(beyond - lapsed, 0)

    def _settle_lapse(
        self,
        router_id: str,
        lapse: Lapse,
        beyond: int,
        taken_at: float,
        now: float,
    ) -> None:
        if taken_at > lapse.since:
            lapse.slots = min(lapse.slots, beyond)
        is_over = now - lapse.since > LAPSED_KEEP_SECONDS
        if lapse.slots == 0 or is_over:
            self.lapses.pop(router_id)


def wait_out_seconds(lease_seconds: float) -> float:
    """Return how long a new home waits for the leases of an earlier one."""
    return lease_seconds * (1 + DRIFT_RATIO)


def usable_until(asked_at: float, lease_seconds: float) -> float:
    """Return until when a holder may use slots, on its own clock.

    The lease counts from before the holder asked, and is cut by the drift
    that two clocks may have, so that it ends before the home's does.
    """
    return asked_at + lease_seconds * (1 - DRIFT_RATIO)
