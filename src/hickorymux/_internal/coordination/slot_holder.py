"""Lease upstream slots from slot coordinators for this router's requests.

A slot is the right to run one request on an upstream. The slot coordinator of
an upstream is the router that leases its slots out.
"""

import dataclasses
import enum
import functools
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Any, final

from hickorymux._internal.coordination.cold_starts import (
    ColdPermit,
    ColdStarts,
    PermitOffer,
)
from hickorymux._internal.coordination.ports import MemberView, PeerSender
from hickorymux._internal.coordination.slot_home import (
    LEASE_SECONDS,
    MS_PER_SECOND,
    TICK_SECONDS,
)
from hickorymux._internal.coordination.slot_messages import (
    ColdOffer,
    HeadCustomer,
    PoolDemand,
    SlotCount,
    SlotGrant,
    SlotRenew,
    SlotRequest,
    SlotReturn,
    UpstreamSign,
)
from hickorymux._internal.coordination.slot_placement import CoordinatorMap
from hickorymux._internal.coordination.slot_session import (
    CoordinatorSession,
    HeldLease,
)
from hickorymux._internal.state.tables import Pool, Tables, Upstream
from hickorymux._internal.state.upstream_state import (
    REFUSED,
    LoadReport,
    Phase,
    UpstreamStates,
)
from hickorymux._internal.utils.clock import Clock

RENEWAL_INTERVAL_SECONDS = 1.0
# Idle slots are returned once no request has waited for this long.
MAX_IDLE_SLOT_SECONDS = 1.0
# How long a pool counts as contended after a coordinator reported a shortage.
CONTENTION_VALID_SECONDS = 1.5
# Interval at which virtual times of a contended pool are reported. It is longer
# with many coordinators: ``VIRTUAL_TIME_SECONDS_PER_COORDINATOR`` for each.
VIRTUAL_TIME_INTERVAL_SECONDS = 0.25
VIRTUAL_TIME_SECONDS_PER_COORDINATOR = 0.07
# Idle slots that a router keeps: this many, or one for each
# ``BUSY_SLOTS_PER_SPARE_SLOT`` busy ones if that is more.
MIN_SPARE_SLOTS = 4
BUSY_SLOTS_PER_SPARE_SLOT = 4
MAX_HEAD_CUSTOMERS = 4
MAX_TARGET_SLOTS = 4096
# An unused permit for a cold upstream is released after this.
MAX_IDLE_PERMIT_SECONDS = 2.0
WARM_PHASES = frozenset((Phase.ramping, Phase.warm))

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """The right to run one request on an upstream.

    It belongs to a lease or, for a cold upstream, to a permit. Callers check
    ``is_valid`` immediately before they send the request, and release the
    slot when the request has ended.
    """

    upstream: Upstream
    pool: str
    lease_id: str
    instance: str
    holder: 'SlotHolder'
    permit: ColdPermit | None = None
    generation: int = 0
    is_released: bool = False

    def is_valid(self, now: float) -> bool:
        """Return whether the request may still be sent at ``now``."""
        return self.holder.is_usable(self, now)


class RequestScope(enum.IntEnum):
    """Which slot coordinators are asked for slots of a pool.

    ``local`` asks one coordinator for each slot needed, if possible only
    coordinators of upstreams in the own zone. ``fleet`` asks all coordinators.
    ``urgent`` asks all again, and they may then revoke slots of other routers.
    """

    local = 0
    fleet = 1
    urgent = 2


@dataclasses.dataclass(slots=True)
class Backlog:
    """The requests that wait at this router for slots of one pool.

    ``waiting`` is their number, and ``heads`` the next customers to serve.
    Other routers are known to wait for slots of the pool until
    ``contended_until``. ``unanswered`` has the ids of the coordinators that
    were asked and have not answered yet.
    """

    waiting: int = 0
    heads: list[HeadCustomer] = dataclasses.field(default_factory=list)
    idle_since: float = 0
    contended_until: float = 0
    scope: RequestScope = RequestScope.local
    unanswered: set[str] = dataclasses.field(default_factory=set)

    def should_keep_idle(self, now: float) -> bool:
        """Return whether idle slots are kept for future requests."""
        if self.waiting:
            return True
        if now < self.contended_until:
            return False
        return now - self.idle_since < MAX_IDLE_SLOT_SECONDS


def _always_verified(_upstream: Upstream, _instance: str) -> bool:
    """Return true for every instance."""
    return True


@final
class SlotHolder:
    """Leases slots for the requests that wait at this router.

    Slots of upstreams in the own zone are requested first, and those of other
    zones only for requests that still wait. Idle slots are kept for a short
    time, unless other routers wait for slots of the pool. ``is_verified``
    takes an upstream and an instance, and returns whether the connections to
    the upstream are known to be served by that instance; slots of other
    instances are not used. ``on_available`` is called with the name of a pool
    that has both waiting requests and idle slots.

    Example::

        holder.set_demand('chat', heads, waiting=3)
        slot = holder.acquire('chat', clock.monotonic())
        if slot is not None and slot.is_valid(clock.monotonic()):
            ...
    """

    __slots__ = (
        'backlogs',
        'clock',
        'cold_starts',
        'coordinator_map',
        'held_leases',
        'is_verified',
        'lease_seconds',
        'members',
        'on_available',
        'read_tables',
        'rotation',
        'sender',
        'session_number',
        'sessions',
        'upstream_states',
    )

    def __init__(
        self,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        upstream_states: UpstreamStates,
        read_tables: Callable[[], Tables],
        on_available: Callable[[str], None],
        lease_seconds: float = LEASE_SECONDS,
        cold_starts: ColdStarts | None = None,
        is_verified: Callable[[Upstream, str], bool] = _always_verified,
    ) -> None:
        self.is_verified = is_verified
        self.cold_starts = cold_starts
        self.members = members
        self.sender = sender
        self.clock = clock
        self.upstream_states = upstream_states
        self.read_tables = read_tables
        self.on_available = on_available
        self.lease_seconds = lease_seconds
        self.coordinator_map = CoordinatorMap(members)
        self.backlogs: dict[str, Backlog] = {}
        self.held_leases: dict[str, HeldLease] = {}
        self.sessions: dict[str, CoordinatorSession] = {}
        self.rotation = 0
        self.session_number = members.myself.incarnation

    async def run(self) -> None:
        """Call ``tick`` at intervals until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(TICK_SECONDS)

    def set_demand(
        self, pool: str, heads: Sequence[HeadCustomer], waiting: int
    ) -> None:
        """Set how many requests wait for a pool and which customers are next.

        The coordinators are notified at once when requests begin to wait, or
        when twice as many wait as last reported, and otherwise with the next
        renewal.
        """
        now = self.clock.monotonic()
        backlog = self.backlogs.setdefault(pool, Backlog())
        backlog.waiting = waiting
        backlog.heads = list(heads[:MAX_HEAD_CUSTOMERS])
        if waiting > 0:
            backlog.idle_since = now
            self._request_slots(pool, now)
        else:
            backlog.scope = RequestScope.local
            backlog.unanswered.clear()

    def acquire(
        self, pool: str, now: float, preferred: Sequence[str] = ()
    ) -> Slot | None:
        """Return an idle slot of a pool and mark it as busy, or return none.

        ``preferred`` names upstreams that hold a cached prefix of the
        request, best first. Other upstreams are ordered by own zone first,
        then by the smallest share of their slots that this router uses.
        """
        usable = [
            lease
            for lease in self._leases_of_pool(pool)
            if lease.idle > lease.revocation_due and self._may_send(lease, now)
        ]
        if not usable:
            return self._acquire_permit(pool, now)
        order = functools.partial(
            _placement_order,
            own_zone=self.members.myself.zone,
            preferred=preferred,
        )
        return self._occupy(min(usable, key=order), pool)

    def release(self, slot: Slot, *, is_ended: bool = True) -> None:
        """Release a slot; a second call does nothing.

        ``is_ended`` is false if the request was cut off and the upstream has
        not confirmed that it stopped.
        """
        if slot.is_released:
            return
        slot.is_released = True
        if slot.permit is None:
            self._release_leased_slot(slot)
        elif self.cold_starts is not None:
            self.cold_starts.end_use(slot.permit, is_ended=is_ended)
        now = self.clock.monotonic()
        backlog = self.backlogs.setdefault(slot.pool, Backlog())
        if backlog.waiting and self.idle_slots(slot.pool, now):
            self.on_available(slot.pool)

    def is_usable(self, slot: Slot, now: float) -> bool:
        """Return whether a request may be sent on an acquired slot now."""
        if slot.is_released:
            return False
        if slot.permit is not None:
            return self._may_use_permit(slot.permit, now)
        lease = self.held_leases.get(slot.upstream.name)
        if lease is None or lease.generation != slot.generation:
            return False
        return lease.instance == slot.instance and self._may_send(lease, now)

    def tick(self) -> None:
        """Update coordinators and sessions, and return slots not needed.

        Sessions are renewed, or opened again once their leases have expired.
        """
        now = self.clock.monotonic()
        self._update_coordinators(now)
        self._return_surplus()
        self._return_idle(now)
        self._release_permits(now)
        for session in list(self.sessions.values()):
            self._maintain_session(session, now)
        for pool, backlog in self.backlogs.items():
            if backlog.waiting > 0:
                backlog.scope = RequestScope.urgent
                backlog.unanswered.clear()
                self._request_slots(pool, now)

    def on_message(self, sender_id: str, message: Any) -> None:
        """Handle a message of a slot coordinator."""
        if isinstance(message, ColdOffer):
            self._accept_offer(message)
        if not isinstance(message, SlotGrant):
            return
        session = self.sessions.get(sender_id)
        if session is None or session.number != message.session:
            return
        now = self.clock.monotonic()
        if message.is_unknown or session.epoch not in {0, message.epoch}:
            self._reopen(session, now, is_refused=not session.is_open)
            return
        session.on_grant(message, message.lease_ms / MS_PER_SECOND)
        self._apply_grant(session, message, now)

    def on_connection_failure(self, upstream: Upstream) -> None:
        """Make an upstream unknown here and at its slot coordinator."""
        state = self.upstream_states.state_of(upstream)
        state.on_connection_failure()
        self._report_upstream(upstream, state.instance, Phase.unknown)

    def on_answer(self, upstream: Upstream, instance: str, state: str) -> None:
        """Apply the instance and state from the headers of an answer."""
        known = self.upstream_states.state_of(upstream)
        before = known.instance
        was_cold = known.phase is Phase.cold
        known.on_answer(instance, state, self.clock.monotonic())
        is_cold = known.phase is Phase.cold
        if known.instance != before and self.cold_starts is not None:
            self.cold_starts.on_instance(upstream.name, known.instance)
        if known.instance != before or (is_cold and not was_cold):
            self._report_upstream(upstream, instance, state)

    def on_load_report(self, upstream: Upstream, report: LoadReport) -> None:
        """Apply a load report that was read on the current connection."""
        if self.cold_starts is not None:
            self.cold_starts.on_instance(upstream.name, report.instance)
            self.cold_starts.on_load_report(upstream.name, report)
        self.announce_idle_slots()

    def announce_idle_slots(self) -> None:
        """Call ``on_available`` for pools with idle slots and a backlog."""
        now = self.clock.monotonic()
        for pool, backlog in list(self.backlogs.items()):
            if backlog.waiting and self.idle_slots(pool, now):
                self.on_available(pool)

    def on_refusal(self, upstream: Upstream) -> None:
        """Lower the limit of an upstream that refused a request."""
        self.upstream_states.state_of(upstream).on_refusal(
            self.clock.monotonic()
        )
        self._report_upstream(upstream, '', REFUSED)

    def on_first_byte(self, upstream: Upstream, seconds: float) -> None:
        """Make an upstream unknown if its first bytes take unusually long.

        ``seconds`` is the time to the first byte of one answer.
        """
        state = self.upstream_states.state_of(upstream)
        if state.on_first_byte(seconds):
            self._report_upstream(upstream, state.instance, Phase.unknown)

    def idle_slots(self, pool: str, now: float) -> int:
        """Return how many slots of a pool could be acquired now."""
        leased = sum(
            lease.idle
            for lease in self._leases_of_pool(pool)
            if self._may_send(lease, now)
        )
        return leased + len(self._idle_permits(pool, now))

    def _release_leased_slot(self, slot: Slot) -> None:
        lease = self.held_leases[slot.upstream.name]
        lease.busy -= 1
        now = self.clock.monotonic()
        backlog = self.backlogs.setdefault(slot.pool, Backlog())
        if not backlog.should_keep_idle(now):
            lease.return_slots(lease.idle)
        self._return_revoked((lease,), now)

    def _accept_offer(self, message: ColdOffer) -> None:
        upstream = _find_upstream(self.read_tables(), message.upstream)
        if upstream is None or self.cold_starts is None:
            return
        offer = PermitOffer(upstream, message.instance, message.limit)
        self.cold_starts.add_offer(offer)

    def _acquire_permit(self, pool: str, now: float) -> Slot | None:
        for permit in self._idle_permits(pool, now):
            permit.is_busy = True
            lease_id = f'cold/{permit.key.index}/{permit.offset}'
            return Slot(
                permit.upstream,
                pool,
                lease_id,
                permit.key.instance,
                self,
                permit,
            )
        return None

    def _idle_permits(self, pool_name: str, now: float) -> list[ColdPermit]:
        pool = self._pool(pool_name)
        if pool is None or self.cold_starts is None:
            return []
        tables = self.read_tables()
        names = [
            one.name for one in pool.upstreams if not tables.is_drained(one)
        ]
        return [
            permit
            for permit in self.cold_starts.idle_permits(names, now)
            if self.is_verified(permit.upstream, permit.key.instance)
        ]

    def _may_use_permit(self, permit: ColdPermit, now: float) -> bool:
        if self.cold_starts is None:
            return False
        if self.read_tables().is_drained(permit.upstream):
            return False
        return self.cold_starts.is_usable(permit, now)

    def _release_permits(self, now: float) -> None:
        if self.cold_starts is None:
            return
        for permit in self.cold_starts.permits.values():
            if permit.is_quarantined:
                # After a release the next holder would skip the quarantine.
                continue
            is_unused = now - permit.used_at >= MAX_IDLE_PERMIT_SECONDS
            is_idle = is_unused and not permit.is_busy
            if is_idle or self._is_warm(permit):
                self.cold_starts.release(permit)

    def _is_warm(self, permit: ColdPermit) -> bool:
        lease = self.held_leases.get(permit.key.upstream)
        if lease is not None and lease.held > 0:
            return True
        state = self.upstream_states.find(permit.key.upstream)
        return state is not None and state.phase in WARM_PHASES

    def _occupy(self, lease: HeldLease, pool: str) -> Slot:
        lease.busy += 1
        session = self.sessions[lease.coordinator_id]
        lease_id = f'{session.coordinator_id}/{session.number}'
        return Slot(
            lease.upstream,
            pool,
            lease_id,
            lease.instance,
            self,
            generation=lease.generation,
        )

    def _may_send(self, lease: HeldLease, now: float) -> bool:
        session = self.sessions.get(lease.coordinator_id)
        if session is None or now >= session.usable_until:
            return False
        if self.read_tables().is_drained(lease.upstream):
            return False
        return self.is_verified(lease.upstream, lease.instance)

    def _pool(self, name: str) -> Pool | None:
        return self.read_tables().pools.get(name)

    def _leases_of_pool(self, pool_name: str) -> list[HeldLease]:
        pool = self._pool(pool_name)
        if pool is None:
            return []
        found = (self.held_leases.get(one.name) for one in pool.upstreams)
        return [lease for lease in found if lease is not None]

    def _request_slots(self, pool_name: str, now: float) -> None:
        pool = self._pool(pool_name)
        if pool is None:
            return
        backlog = self.backlogs[pool_name]
        wanted = backlog.waiting - self.idle_slots(pool_name, now)
        if wanted <= len(backlog.unanswered):
            return
        for coordinator_id in self._coordinators_in_scope(
            pool, backlog, wanted
        ):
            session = self._session_with(coordinator_id, now)
            demand = self._pool_demand(pool_name, session)
            demand.is_urgent = backlog.scope is RequestScope.urgent
            if demand.is_urgent and self._is_demand_known(demand, session, now):
                continue
            if not demand.is_urgent:
                backlog.unanswered.add(coordinator_id)
            if session.is_open:
                self._send_request(session, [demand], now)

    def _widen_scope(
        self, pool_name: str, backlog: Backlog, coordinator_id: str, now: float
    ) -> None:
        """Ask more coordinators once all that were asked have answered."""
        backlog.unanswered.discard(coordinator_id)
        if backlog.unanswered:
            return
        if backlog.scope is not RequestScope.urgent:
            backlog.scope = RequestScope(backlog.scope + 1)
        self._request_slots(pool_name, now)

    def _coordinators_in_scope(
        self, pool: Pool, backlog: Backlog, wanted: int
    ) -> list[str]:
        is_widened = backlog.scope is not RequestScope.local
        coordinators = self._coordinators_of(pool, is_widened=is_widened)
        if is_widened or not coordinators:
            return coordinators
        self.rotation += 1
        first = self.rotation % len(coordinators)
        return (coordinators[first:] + coordinators[:first])[:wanted]

    def _is_demand_known(
        self, demand: PoolDemand, session: CoordinatorSession, now: float
    ) -> bool:
        """Return whether the coordinator needs no new report of the demand.

        That is so while less than twice as many slots are wanted as were last
        reported, and its virtual times are recent enough.
        """
        held = self._slots_held_from(demand.pool, session.coordinator_id)
        outstanding = session.targets.get(demand.pool, 0) - held
        if outstanding <= 0 or demand.target - held >= 2 * outstanding:
            return False
        return not self._is_outdated(demand.pool, session, now)

    def _is_outdated(
        self, pool_name: str, session: CoordinatorSession, now: float
    ) -> bool:
        """Return whether a coordinator needs newer virtual times.

        It shares contended slots fairly by them. The interval grows with the
        number of coordinators, so that the bytes sent per second do not.
        """
        if now >= self.backlogs[pool_name].contended_until:
            return False
        interval = max(
            VIRTUAL_TIME_INTERVAL_SECONDS,
            VIRTUAL_TIME_SECONDS_PER_COORDINATOR * len(self.sessions),
        )
        return now - session.demand_sent_at.get(pool_name, 0) >= interval

    def _coordinators_of(self, pool: Pool, *, is_widened: bool) -> list[str]:
        tables = self.read_tables()
        own_zone = self.members.myself.zone
        upstreams = [
            one for one in pool.upstreams if not tables.is_drained(one)
        ]
        local_upstreams = [one for one in upstreams if one.zone == own_zone]
        asked = (
            upstreams if is_widened or not local_upstreams else local_upstreams
        )
        coordinators = [
            self.coordinator_map.coordinator_of(one) for one in asked
        ]
        return list(
            dict.fromkeys(
                coordinator_id
                for coordinator_id in coordinators
                if coordinator_id
            )
        )

    def _slots_held_from(self, pool_name: str, coordinator_id: str) -> int:
        return sum(
            lease.held
            for lease in self._leases_of_pool(pool_name)
            if lease.coordinator_id == coordinator_id
        )

    def _pool_demand(
        self, pool_name: str, session: CoordinatorSession
    ) -> PoolDemand:
        backlog = self.backlogs.setdefault(pool_name, Backlog())
        idle = self.idle_slots(pool_name, self.clock.monotonic())
        held = self._slots_held_from(pool_name, session.coordinator_id)
        wanted = max(backlog.waiting - idle, 0)
        target = min(held + wanted, MAX_TARGET_SLOTS)
        return PoolDemand(pool_name, target, wanted > 0, list(backlog.heads))

    def _session_with(
        self, coordinator_id: str, now: float
    ) -> CoordinatorSession:
        session = self.sessions.get(coordinator_id)
        if session is None:
            session = CoordinatorSession(coordinator_id, 0, 0)
            self.sessions[coordinator_id] = session
            self._reopen(session, now)
        return session

    def _reopen(
        self,
        session: CoordinatorSession,
        now: float,
        *,
        is_refused: bool = False,
    ) -> None:
        """Open a new session with the slots that this router holds.

        Only the busy ones are kept if the leases have expired or the last
        opening was refused.
        """
        is_live = now < session.usable_until and not is_refused
        self.session_number += 1
        fresh = CoordinatorSession(
            session.coordinator_id, self.session_number, session.usable_until
        )
        for lease in self._leases_from(session.coordinator_id):
            slots = max(lease.held, lease.busy)
            lease.reset_counts(slots if is_live else lease.busy)
            if lease.granted:
                count = SlotCount(lease.upstream.name, lease.granted)
                fresh.slots_at_opening.append(count)
        fresh.is_busy_only = not is_live
        self.sessions[session.coordinator_id] = fresh
        self._renew(fresh, now)

    def _leases_from(self, coordinator_id: str) -> list[HeldLease]:
        return [
            lease
            for lease in self.held_leases.values()
            if lease.coordinator_id == coordinator_id
        ]

    def _renew(self, session: CoordinatorSession, now: float) -> None:
        session.renewed_at = now
        leases = self._leases_from(session.coordinator_id)
        demands = [
            self._pool_demand(pool, session)
            for pool, backlog in self.backlogs.items()
            if self._coordinates_pool(pool, session.coordinator_id)
            and (backlog.waiting > 0 or session.targets.get(pool, 0) > 0)
        ]
        self._record_targets(session, demands, now)
        message = SlotRenew(
            session=session.number,
            sequence=session.next_sequence(now),
            is_opening=not session.is_open,
            seen=session.seen,
            is_busy_only=session.is_busy_only,
            held_total=sum(lease.held for lease in leases),
            held=[] if session.is_open else session.slots_at_opening,
            demands=demands,
        )
        self.sender.send(session.coordinator_id, message)

    def _coordinates_pool(self, pool_name: str, coordinator_id: str) -> bool:
        pool = self._pool(pool_name)
        return pool is not None and coordinator_id in self._coordinators_of(
            pool, is_widened=True
        )

    def _send_request(
        self, session: CoordinatorSession, demands: list[PoolDemand], now: float
    ) -> None:
        self._record_targets(session, demands, now)
        sequence = session.next_sequence(now)
        message = SlotRequest(session.number, sequence, demands)
        self.sender.send(session.coordinator_id, message)

    def _record_targets(
        self,
        session: CoordinatorSession,
        demands: Iterable[PoolDemand],
        now: float,
    ) -> None:
        for demand in demands:
            session.targets[demand.pool] = demand.target
            session.demand_sent_at[demand.pool] = now

    def _maintain_session(
        self, session: CoordinatorSession, now: float
    ) -> None:
        if session.is_open and now >= session.usable_until:
            self._reopen(session, now)
            return
        if now - session.renewed_at < RENEWAL_INTERVAL_SECONDS:
            return
        leases = self._leases_from(session.coordinator_id)
        is_used = any(one.held or one.busy for one in leases)
        if is_used or any(session.targets.values()) or self._is_waiting():
            self._renew(session, now)

    def _is_waiting(self) -> bool:
        return any(backlog.waiting for backlog in self.backlogs.values())

    def _apply_grant(
        self, session: CoordinatorSession, grant: SlotGrant, now: float
    ) -> None:
        changed_leases = []
        for granted_slots in grant.loans:
            lease = self._lease_for(
                granted_slots.upstream, session.coordinator_id
            )
            if lease is not None:
                lease.apply_grant(granted_slots)
                changed_leases.append(lease)
        for pool in grant.short_pools:
            backlog = self.backlogs.setdefault(pool, Backlog())
            backlog.contended_until = now + CONTENTION_VALID_SECONDS
        self._return_revoked(changed_leases, now)
        self._return_idle(now)
        self.announce_idle_slots()
        if changed_leases and grant.short_pools:
            self._confirm_grant(session, grant.short_pools, now)
        for pool, backlog in list(self.backlogs.items()):
            if backlog.waiting:
                self._widen_scope(pool, backlog, session.coordinator_id, now)

    def _confirm_grant(
        self, session: CoordinatorSession, pools: Iterable[str], now: float
    ) -> None:
        """Confirm a grant to the coordinator, with the newest virtual times."""
        demands = [self._pool_demand(pool, session) for pool in pools]
        self._send_request(session, demands, now)

    def _lease_for(self, name: str, coordinator_id: str) -> HeldLease | None:
        lease = self.held_leases.get(name)
        if lease is None:
            upstream = _find_upstream(self.read_tables(), name)
            if upstream is None:
                return None
            lease = HeldLease(upstream, coordinator_id)
            self.held_leases[name] = lease
        return lease if lease.coordinator_id == coordinator_id else None

    def _return_revoked(self, leases: Iterable[HeldLease], now: float) -> None:
        for lease in leases:
            lease.return_slots(lease.revocation_due)
        self._flush_returns(now)

    def _return_idle(self, now: float) -> None:
        for pool, backlog in self.backlogs.items():
            if backlog.should_keep_idle(now):
                continue
            for lease in self._leases_of_pool(pool):
                lease.return_slots(lease.idle)
        self._flush_returns(now)

    def _return_surplus(self) -> None:
        """Return idle slots beyond a reserve in proportion to the busy ones."""
        for pool, backlog in self.backlogs.items():
            if backlog.waiting:
                continue
            leases = self._leases_of_pool(pool)
            busy = sum(lease.busy for lease in leases)
            idle = sum(lease.idle for lease in leases)
            surplus = idle - max(
                MIN_SPARE_SLOTS, busy // BUSY_SLOTS_PER_SPARE_SLOT
            )
            for lease in sorted(leases, key=lambda one: one.coordinator_id):
                returned = min(lease.idle, max(surplus, 0))
                lease.return_slots(returned)
                surplus -= returned

    def _flush_returns(self, now: float) -> None:
        due: dict[str, list[HeldLease]] = {}
        for lease in self.held_leases.values():
            if lease.is_return_due:
                due.setdefault(lease.coordinator_id, []).append(lease)
        for coordinator_id, leases in due.items():
            session = self.sessions.get(coordinator_id)
            if session is not None and session.is_open:
                self._send_return(session, leases, now)

    def _send_return(
        self,
        session: CoordinatorSession,
        leases: Sequence[HeldLease],
        now: float,
    ) -> None:
        returned = []
        for lease in leases:
            lease.is_return_due = False
            count = SlotCount(lease.upstream.name, lease.returned)
            returned.append(count)
        demands = [
            self._pool_demand(pool, session)
            for pool in self._pools_of(leases)
            if pool in self.backlogs
        ]
        self._record_targets(session, demands, now)
        message = SlotReturn(
            session.number, session.next_sequence(now), returned, demands
        )
        self.sender.send(session.coordinator_id, message)

    def _pools_of(self, leases: Iterable[HeldLease]) -> list[str]:
        names = {lease.upstream.name for lease in leases}
        return [
            pool.name
            for pool in self.read_tables().pools.values()
            if any(upstream.name in names for upstream in pool.upstreams)
        ]

    def _update_coordinators(self, now: float) -> None:
        self.coordinator_map.refresh(self.read_tables())
        moved: dict[str, float] = {}
        for lease in self.held_leases.values():
            coordinator_id = self.coordinator_map.coordinator_of(lease.upstream)
            if coordinator_id in {'', lease.coordinator_id}:
                continue
            earlier = self.sessions.get(lease.coordinator_id)
            until = earlier.usable_until if earlier else 0
            if now >= until:
                lease.reset_counts(lease.busy)
            lease.coordinator_id = coordinator_id
            moved[coordinator_id] = min(moved.get(coordinator_id, until), until)
        for coordinator_id, until in moved.items():
            session = self.sessions.get(coordinator_id)
            if session is None:
                session = CoordinatorSession(coordinator_id, 0, until)
            session.usable_until = min(session.usable_until, until)
            self._reopen(session, now)
        self._drop_unused_sessions()

    def _drop_unused_sessions(self) -> None:
        """Drop sessions with routers that coordinate no upstream any more."""
        wanted = set(self.coordinator_map.coordinators.values())
        wanted.update(one.coordinator_id for one in self.held_leases.values())
        for coordinator_id in self.sessions.keys() - wanted:
            self.sessions.pop(coordinator_id)

    def _report_upstream(
        self, upstream: Upstream, instance: str, state: str
    ) -> None:
        """Report an upstream's state to its coordinator, return idle slots.

        The report is sent first, so that the coordinator does not grant the
        returned slots again. A refusal keeps the idle slots.
        """
        coordinator_id = self.coordinator_map.coordinator_of(upstream)
        if coordinator_id:
            upstream_sign = UpstreamSign(upstream.name, instance, str(state))
            self.sender.send(coordinator_id, upstream_sign)
        lease = self.held_leases.get(upstream.name)
        if lease is not None and state != REFUSED:
            lease.generation += 1
            lease.return_slots(lease.idle)
            self._flush_returns(self.clock.monotonic())


def _placement_order(
    lease: HeldLease, *, own_zone: str, preferred: Sequence[str]
) -> tuple[int, bool, float, str]:
    upstream = lease.upstream
    name = upstream.name
    rank = preferred.index(name) if name in preferred else len(preferred)
    load = lease.busy / upstream.slots
    return rank, upstream.zone != own_zone, load, name


def _find_upstream(tables: Tables, name: str) -> Upstream | None:
    for pool in tables.pools.values():
        for upstream in pool.upstreams:
            if upstream.name == name:
                return upstream
    return None
