"""What a holder keeps of its session with one home."""

import dataclasses

from hickorymux._internal.coordination.slot_messages import (
    GrantedSlots,
    SlotCount,
    SlotGrant,
)
from hickorymux._internal.state.slot_ledger import usable_until
from hickorymux._internal.state.tables import Upstream


@dataclasses.dataclass(slots=True)
class HeldLease:
    """The slots of one upstream that this router holds.

    ``busy`` slots carry a request; those that are held and not busy are idle.
    ``generation`` grows when the upstream is distrusted, which voids the slots
    that were taken before and not sent on yet.
    """

    upstream: Upstream
    coordinator_id: str
    instance: str = ''
    granted: int = 0
    returned: int = 0
    revoked: int = 0
    busy: int = 0
    generation: int = 0
    is_return_due: bool = False

    @property
    def held(self) -> int:
        """Return the slots that the home counts for this router."""
        return self.granted - self.returned

    @property
    def idle(self) -> int:
        """Return the slots that carry no request."""
        return max(self.held - self.busy, 0)

    @property
    def revocation_due(self) -> int:
        """Return how many idle slots the home has asked back."""
        return min(max(self.revoked - self.returned, 0), self.idle)

    def return_slots(self, slots: int) -> None:
        """Mark idle slots as returned; the next message says so."""
        if slots > 0:
            self.returned += slots
            self.is_return_due = True

    def reset_counts(self, slots: int) -> None:
        """Begin the counts of a new session with the slots held now."""
        self.granted = slots
        self.returned = 0
        self.revoked = 0
        self.is_return_due = False

    def apply_grant(self, granted_slots: GrantedSlots) -> None:
        """Take the counts of a home; older ones change nothing."""
        self.granted = max(self.granted, granted_slots.granted)
        self.revoked = max(self.revoked, granted_slots.recalled)
        self.instance = granted_slots.instance or self.instance


@dataclasses.dataclass(slots=True)
class CoordinatorSession:
    """The session with one home, on the clock of the holder.

    ``usable_until`` ends before the home lets the lease lapse, because it
    counts from before the renewal was sent.
    """

    coordinator_id: str
    number: int
    usable_until: float
    slots_at_opening: list[SlotCount] = dataclasses.field(default_factory=list)
    is_busy_only: bool = False
    is_open: bool = False
    sequence: int = 0
    seen: int = 0
    epoch: int = 0
    renewed_at: float = 0
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    targets: dict[str, int] = dataclasses.field(default_factory=dict)
    demand_sent_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def next_sequence(self, now: float) -> int:
        """Number a message that is about to be sent."""
        self.sequence += 1
        self.sent_at[self.sequence] = now
        return self.sequence

    def on_grant(self, grant: SlotGrant, lease_seconds: float) -> None:
        """Extend the lease by what the home has heard, and note its version."""
        self.is_open = True
        self.epoch = grant.epoch
        sent_at = self.sent_at.get(grant.sequence)
        if sent_at is not None:
            until = usable_until(sent_at, lease_seconds)
            self.usable_until = max(self.usable_until, until)
        for sequence in list(self.sent_at):
            if sequence < grant.sequence:
                self.sent_at.pop(sequence)
        if grant.base <= self.seen:
            self.seen = max(self.seen, grant.version)
