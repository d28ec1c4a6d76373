"""The state that a lease holder keeps of its session with one coordinator."""

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
    """The lease of one upstream's slots that this router holds.

    ``busy`` slots carry a request; those that are held and not busy are idle.
    ``granted``, ``returned`` and ``revoked`` are totals of the session.
    ``generation`` is incremented when the upstream may have changed its
    state. This voids the slots that were acquired before and not used yet.
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
        """Return how many slots the coordinator counts for this router."""
        return self.granted - self.returned

    @property
    def idle(self) -> int:
        """Return how many slots carry no request."""
        return max(self.held - self.busy, 0)

    @property
    def revocation_due(self) -> int:
        """Return how many idle slots have to be returned as revoked."""
        return min(max(self.revoked - self.returned, 0), self.idle)

    def return_slots(self, slots: int) -> None:
        """Count idle slots as returned, to be sent with the next return."""
        if slots > 0:
            self.returned += slots
            self.is_return_due = True

    def reset_counts(self, slots: int) -> None:
        """Reset the totals for a new session that starts with ``slots``."""
        self.granted = slots
        self.returned = 0
        self.revoked = 0
        self.is_return_due = False

    def apply_grant(self, granted_slots: GrantedSlots) -> None:
        """Apply the totals of a grant; older totals change nothing."""
        self.granted = max(self.granted, granted_slots.granted)
        self.revoked = max(self.revoked, granted_slots.recalled)
        self.instance = granted_slots.instance or self.instance


@dataclasses.dataclass(slots=True)
class CoordinatorSession:
    """The session with one slot coordinator, on the clock of the holder.

    The slots may be used until ``usable_until``, in seconds on the monotonic
    clock. This is before the leases expire at the coordinator, because it
    counts from before the renewal was sent. ``seen`` is the version up to
    which all changes of the leases have arrived. ``targets`` and
    ``demand_sent_at`` hold, by pool, the number of slots last asked for and
    the time of that message.
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
        """Return the sequence number of a message that is sent at ``now``."""
        self.sequence += 1
        self.sent_at[self.sequence] = now
        return self.sequence

    def on_grant(self, grant: SlotGrant, lease_seconds: float) -> None:
        """Extend the lease and record the version of a grant.

        The lease counts from when the last message was sent that the
        coordinator had received.
        """
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
