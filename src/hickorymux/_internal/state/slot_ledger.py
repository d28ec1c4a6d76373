"""The rules by which the home of one upstream lends its slots.

Each router holds one loan of an upstream. Its counts only grow: slots
granted, returned and recalled since the loan was opened, so that messages
that are lost, repeated or reordered never free a slot that is in use.
"""

import dataclasses
from collections.abc import Mapping

DRIFT_RATIO = 0.01
WINDOW_SECONDS = 2.0
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
class LentWindow:
    """What was lent in a span of time; ``slot_seconds`` is its integral."""

    since: float = 0
    most: int = 0
    slot_seconds: float = 0


@dataclasses.dataclass(slots=True)
class LentHistory:
    """How many slots were lent in the last one or two windows.

    A load report describes the past, so the work that it counts is compared
    with what was lent then. The mean leaves out the moments in which a slot
    is on its way from one router to another.
    """

    last: int = 0
    noted_at: float = 0
    current: LentWindow = dataclasses.field(default_factory=LentWindow)
    earlier: LentWindow = dataclasses.field(default_factory=LentWindow)

    def note(self, lent: int, now: float) -> None:
        """Take the number of slots that are lent from now on."""
        self.current.slot_seconds += self.last * (now - self.noted_at)
        self.noted_at = now
        if now - self.current.since >= WINDOW_SECONDS:
            self.earlier = self.current
            self.current = LentWindow(now, self.last)
        self.current.most = max(self.current.most, lent)
        self.last = lent

    @property
    def most(self) -> int:
        """Return the most slots lent at once."""
        return max(self.current.most, self.earlier.most)

    @property
    def mean(self) -> int:
        """Return the mean of the slots lent, as a whole number."""
        slot_seconds = self.current.slot_seconds + self.earlier.slot_seconds
        seconds = self.noted_at - self.earlier.since
        return round(slot_seconds / seconds) if seconds > 0 else self.last


@dataclasses.dataclass(slots=True)
class SlotLedger:
    """The loans of one upstream, as its home knows them.

    ``lends_from`` is the reading of the clock at which the leases of an
    earlier home have run out for certain. ``foreign`` is the work that another
    home lent for, and ``ceiling`` this home's share of the limit meanwhile.

    Example::

        ledger = SlotLedger(lends_from=now + wait_out_seconds(3))
        ledger.open_loan('router-a', 1, 0, expires_at, now)
        ledger.grant('router-a', 2, limit=8, now=now)
    """

    lends_from: float
    loans: dict[str, Loan] = dataclasses.field(default_factory=dict)
    lapses: dict[str, Lapse] = dataclasses.field(default_factory=dict)
    foreign: int = 0
    ceiling: int | None = None
    history: LentHistory = dataclasses.field(default_factory=LentHistory)

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

    def can_move(self, limit: int, now: float) -> bool:
        """Return whether a slot that comes back may be lent again at once."""
        return now >= self.lends_from and self.held + self.foreign <= limit

    def open_loan(
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
        current = self.loans.get(router_id)
        if current is not None and current.session >= session:
            return
        self.lapses.pop(router_id, None)
        self.loans[router_id] = Loan(session, expires_at, granted=slots)
        self.history.note(self.lent, now)

    def grant(self, router_id: str, wanted: int, limit: int, now: float) -> int:
        """Lend up to ``wanted`` free slots; return how many were lent."""
        loan = self.loans.get(router_id)
        if loan is None or now >= loan.expires_at:
            return 0
        lent = min(wanted, self.free(limit, now))
        loan.granted += lent
        self.history.note(self.lent, now)
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
        self.history.note(self.lent, now)

    def give_back(
        self, router_id: str, session: int, returned: int, now: float
    ) -> int:
        """Take a router's count of returned slots; return how many are new."""
        loan = self.loans.get(router_id)
        if loan is None or loan.session != session:
            return 0
        newly = min(returned, loan.granted) - loan.returned
        if newly <= 0:
            return 0
        loan.returned += newly
        self.history.note(self.lent, now)
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
        allowed = limit if self.ceiling is None else min(limit, self.ceiling)
        excess = self.held - allowed
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
        if ended:
            self.history.note(self.lent, now)
        return ended

    def settle(
        self, running: int, limit: int, taken_at: float, now: float
    ) -> None:
        """Compare the loans with the work that the upstream reported.

        ``taken_at`` is the earliest reading of the clock at which the report
        can have been made. Work beyond the loans belongs to another home, or
        to a loan that lapsed, and counts against the limit. When the sum is
        over the limit, this home keeps its proportional share of it.
        """
        self.history.note(self.lent, now)
        beyond = max(running - self.history.most, 0)
        for router_id, lapse in list(self.lapses.items()):
            self._settle_lapse(router_id, lapse, beyond, taken_at, now)
        lapsed = sum(one.slots for one in self.lapses.values())
        at_most = running - self.history.mean - lapsed
        at_least = beyond - lapsed
        self.foreign = max(min(self.foreign, at_most), at_least, 0)
        self.ceiling = None
        total = self.held + self.foreign
        if self.foreign and total > limit:
            self.ceiling = max(limit * self.held // total, min(limit, 1))

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
