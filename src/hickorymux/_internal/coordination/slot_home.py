"""Lease the slots of upstreams out to the routers of the fleet.

Each upstream has one slot coordinator, the router that leases its slots out.
A slot is the right to run one request on the upstream.
"""

import dataclasses
import functools
import logging
import math
from collections.abc import Callable, Iterable
from typing import Any, final

from hickorymux._internal.coordination.ports import MemberView, PeerSender
from hickorymux._internal.coordination.slot_messages import (
    ColdOffer,
    GrantedSlots,
    HandedLoan,
    HeadCustomer,
    PoolDemand,
    SlotCount,
    SlotGrant,
    SlotHandover,
    SlotRenew,
    SlotRequest,
    SlotReturn,
    UpstreamSign,
)
from hickorymux._internal.coordination.slot_placement import CoordinatorMap
from hickorymux._internal.coordination.slot_sharing import (
    RouterShare,
    pick_least_served,
    pick_most_served,
)
from hickorymux._internal.state.slot_ledger import (
    SlotLedger,
    takeover_wait_seconds,
)
from hickorymux._internal.state.tables import Pool, Tables, Upstream
from hickorymux._internal.state.upstream_state import (
    REFUSED,
    REPORT_LAG_SECONDS,
    LoadReport,
    Phase,
    UpstreamState,
    UpstreamStates,
)
from hickorymux._internal.utils.clock import Clock

LEASE_SECONDS = 3.0
TICK_SECONDS = 0.25
MS_PER_SECOND = 1000
# Sessions of one incarnation that get distinct epochs.
EPOCHS_PER_INCARNATION = 1_000_000
# A lease holder is notified of a shortage at most this often.
SHORTAGE_REPEAT_SECONDS = 0.5
# An offer of a permit counts as open for this long.
COLD_OFFER_VALID_SECONDS = 2.0
# A router that was silent for longer gets no new slots.
MAX_SILENCE_SECONDS = 1.5

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class HolderSession:
    """The session of one lease holder with this coordinator.

    ``unconfirmed_slots`` counts the slots granted since the last message of
    the holder. ``epoch`` is never reused, even if a late message opens the
    same session again. ``version`` counts the changes of the holder's leases,
    and ``change_versions`` has the version of the last change by upstream.
    ``shortage_sent_at`` has by pool when the holder was last notified
    that routers wait for slots.
    """

    session: int
    expires_at: float
    epoch: int = 0
    sequence: int = 0
    unconfirmed_slots: int = 0
    version: int = 0
    sent_version: int = 0
    shortage_sent_at: dict[str, float] = dataclasses.field(default_factory=dict)
    demands: dict[str, PoolDemand] = dataclasses.field(default_factory=dict)
    change_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    slots_at_opening: dict[str, int] = dataclasses.field(default_factory=dict)

    def mark_changed(self, upstream: str) -> None:
        """Record that the lease of an upstream changed."""
        self.version += 1
        self.change_versions[upstream] = self.version


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedHandover:
    """A handover received before this router became the coordinator."""

    message: SlotHandover
    received_at: float


HeadVirtualTime = Callable[[str, HeadCustomer], float]


def reported_virtual_time(pool: str, head: HeadCustomer) -> float:
    """Return the virtual time of a waiting customer as its router reports it.

    The virtual time is the service received divided by the weight.
    """
    return head.counter


@final
class SlotCoordinator:
    """Leases out the slots of the upstreams that this router coordinates.

    Any router may ask for slots. A free slot goes at once to the router with
    the waiting customer whose virtual time is lowest. An upstream that is
    drained, unknown or down gets no new leases, and its idle slots are
    revoked.

    Example::

        states = UpstreamStates()
        coordinator = SlotCoordinator(
            members, sender, clock, states, read_tables
        )
        message = SlotRenew(session=1, is_opening=True)
        coordinator.on_message('router-b', message)
        coordinator.tick()
    """

    __slots__ = (
        'clock',
        'cold_offers',
        'coordinator_map',
        'handovers',
        'head_virtual_time',
        'holder_sessions',
        'lease_seconds',
        'ledgers',
        'members',
        'names_by_pool',
        'read_tables',
        'sender',
        'sessions_begun',
        'upstream_states',
    )

    def __init__(
        self,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        upstream_states: UpstreamStates,
        read_tables: Callable[[], Tables],
        lease_seconds: float = LEASE_SECONDS,
        head_virtual_time: HeadVirtualTime = reported_virtual_time,
    ) -> None:
        self.head_virtual_time = head_virtual_time
        self.members = members
        self.sender = sender
        self.clock = clock
        self.upstream_states = upstream_states
        self.sessions_begun = 0
        self.read_tables = read_tables
        self.lease_seconds = lease_seconds
        self.coordinator_map = CoordinatorMap(members)
        self.ledgers: dict[str, SlotLedger] = {}
        self.holder_sessions: dict[str, HolderSession] = {}
        self.names_by_pool: dict[str, list[str]] = {}
        self.handovers: dict[str, ReceivedHandover] = {}
        self.cold_offers: dict[str, dict[str, float]] = {}

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams that this router coordinates.

        The load reports of exactly these have to be polled.
        """
        return self.coordinator_map.upstreams_of(self.members.myself.router_id)

    async def run(self) -> None:
        """Call ``tick`` at intervals until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Apply membership changes, expire leases and grant free slots."""
        now = self.clock.monotonic()
        self._update_coordinators(now)
        for ledger in self.ledgers.values():
            ledger.expire(now)
        ended = [
            router_id
            for router_id, holder in self.holder_sessions.items()
            if now >= holder.expires_at
        ]
        for router_id in ended:
            self.holder_sessions.pop(router_id)
        self._grant_all(now)

    def on_load_report(self, name: str, report: LoadReport) -> None:
        """Apply the load report of an upstream, then grant or revoke slots."""
        now = self.clock.monotonic()
        state = self.upstream_states.find(name)
        if state is None or not state.on_report(report, now):
            return
        ledger = self.ledgers.get(name)
        if ledger is None:
            return
        limit = self.lease_limit(state.upstream, now)
        ledger.reconcile(report.running, limit, now - REPORT_LAG_SECONDS, now)
        for pool_name in self._wanted_pools():
            if name in self.names_by_pool.get(pool_name, ()):
                self.grant_free_slots(pool_name, now)
        self._revoke_excess(name, ledger, now)

    def on_message(self, sender_id: str, message: Any) -> None:
        """Handle a message of a peer or of this router's own slot holder."""
        now = self.clock.monotonic()
        _handle(message, self, sender_id, now)

    def hand_over_all(self) -> None:
        """Hand every upstream over to its next coordinator before a shutdown.

        The membership must show this router as leaving.
        """
        self._update_coordinators(self.clock.monotonic())

    def receive_handover(self, message: SlotHandover, now: float) -> None:
        """Handle a handover by the earlier coordinator of an upstream.

        It is kept for later if this router does not coordinate the upstream
        yet.
        """
        if message.upstream not in self.ledgers:
            self.handovers[message.upstream] = ReceivedHandover(message, now)
            self._update_coordinators(now)
            return
        self.take_over(message, now, now)

    def take_over(
        self, message: SlotHandover, received_at: float, now: float
    ) -> None:
        """Take over the leases of the earlier coordinator, without a wait.

        A handover is ignored once the leases in it have expired.
        """
        expires_at = received_at + takeover_wait_seconds(self.lease_seconds)
        if now >= expires_at:
            return
        held = {lease.router_id: lease.slots for lease in message.loans}
        self.ledgers[message.upstream].take_over(held, expires_at, now)
        state = self.upstream_states.find(message.upstream)
        if state is not None:
            state.take_over(message.instance, message.limit, now)

    def open_session(
        self, sender_id: str, message: SlotRenew, now: float
    ) -> bool:
        """Open or extend a session; return whether it is open."""
        known = self.holder_sessions.get(sender_id)
        if known is not None and known.session > message.session:
            return False
        if known is None or known.session < message.session:
            if not self._may_open_session(sender_id, message, now):
                answer = SlotGrant(message.session, is_unknown=True)
                self.sender.send(sender_id, answer)
                return False
            self._begin_session(sender_id, message, now)
        return self.extend_session(
            sender_id, message.session, message.sequence, now
        )

    def extend_session(
        self, sender_id: str, session: int, sequence: int, now: float
    ) -> bool:
        """Extend a session; return whether it is open.

        If the session is unknown here, the router gets an answer that says so.
        """
        holder = self.holder_sessions.get(sender_id)
        if holder is None or holder.session != session:
            answer = SlotGrant(session, sequence, is_unknown=True)
            self.sender.send(sender_id, answer)
            return False
        holder.sequence = max(holder.sequence, sequence)
        holder.expires_at = now + self.lease_seconds
        holder.unconfirmed_slots = 0
        for ledger in self.ledgers.values():
            ledger.renew(sender_id, session, holder.expires_at)
        return True

    def set_demands(
        self, sender_id: str, demands: Iterable[PoolDemand]
    ) -> None:
        """Replace a router's demands for the given pools."""
        holder = self.holder_sessions[sender_id]
        for demand in demands:
            for head in demand.heads:
                head.counter = self.head_virtual_time(demand.pool, head)
            holder.demands[demand.pool] = demand

    def apply_returns(
        self, sender_id: str, session: int, returned: Iterable[SlotCount]
    ) -> None:
        """Apply a router's totals of returned slots."""
        now = self.clock.monotonic()
        for count in returned:
            ledger = self.ledgers.get(count.upstream)
            if ledger is not None:
                ledger.return_slots(sender_id, session, count.slots, now)

    def acknowledge(self, sender_id: str, message: SlotRenew) -> None:
        """Answer a renewal with all lease changes the holder has not seen.

        If a message was lost, the session is ended instead, so that the
        holder opens a new one.
        """
        holder = self.holder_sessions[sender_id]
        if self._has_lost_message(sender_id, holder, message):
            self.holder_sessions.pop(sender_id)
            answer = SlotGrant(message.session, is_unknown=True)
            self.sender.send(sender_id, answer)
            return
        self._send_leases(sender_id, holder, message.seen)

    def grant_free_slots(self, pool_name: str, now: float) -> None:
        """Grant the free slots of a pool to the least served routers.

        For a cold upstream they are offered permits instead. If a router with
        an urgent demand still waits, a slot is revoked from a better served
        router.
        """
        pool = self.read_tables().pools.get(pool_name)
        if pool is None:
            return
        to_notify: set[str] = set()
        for upstream in pool.upstreams:
            ledger = self.ledgers.get(upstream.name)
            if ledger is not None:
                to_notify |= self._grant_upstream(pool, upstream, ledger, now)
                self._offer_permits(pool, upstream, now)
        self._revoke_for_waiting(pool, to_notify, now)
        for router_id in sorted(to_notify):
            self._send_unsent_changes(router_id)

    def report_shortage(self, router_id: str, demand: PoolDemand) -> None:
        """Notify a router that this coordinator has too few slots for it.

        The router then asks the other coordinators too. A router with an
        urgent demand has done so already.
        """
        if demand.is_urgent or not demand.target:
            return
        held = self._held_slots(
            router_id, self.names_by_pool.get(demand.pool, ())
        )
        if held < demand.target:
            holder = self.holder_sessions[router_id]
            self._send_leases(router_id, holder, holder.sent_version)

    def lease_limit(self, upstream: Upstream, now: float) -> int:
        """Return how many slots of an upstream may be leased out in all.

        It is 0 for a cold upstream, which needs permits; see ``ColdStarts``.
        """
        if self.read_tables().is_drained(upstream):
            self.upstream_states.state_of(upstream).on_drained()
            return 0
        return self.upstream_states.state_of(upstream).lease_limit(now)

    def _may_open_session(
        self, sender_id: str, message: SlotRenew, now: float
    ) -> bool:
        """Return whether the slots that the router claims to hold are its own.

        Busy slots are always accepted. Idle ones are accepted if they cannot
        have been granted to another router: while new grants wait for old
        leases to expire, or if the router's lease is still counted here. This
        refuses an opening message that arrives late.
        """
        if message.is_busy_only:
            return True
        for count in message.held:
            ledger = self.ledgers.get(count.upstream)
            if ledger is None or now < ledger.grants_from:
                continue
            lease = ledger.leases.get(sender_id)
            if lease is None or lease.held < count.slots:
                return False
        return True

    def _begin_session(
        self, sender_id: str, message: SlotRenew, now: float
    ) -> None:
        holder = HolderSession(message.session, now + self.lease_seconds)
        self.sessions_begun += 1
        incarnation = self.members.myself.incarnation
        holder.epoch = (
            incarnation * EPOCHS_PER_INCARNATION + self.sessions_begun
        )
        holder.slots_at_opening = {
            count.upstream: count.slots for count in message.held
        }
        self.holder_sessions[sender_id] = holder
        if not self.ledgers.keys() >= holder.slots_at_opening.keys():
            self._update_coordinators(now)
        for name, ledger in self.ledgers.items():
            self._open_lease(sender_id, holder, name, ledger, now)

    def _open_lease(
        self,
        router_id: str,
        holder: HolderSession,
        name: str,
        ledger: SlotLedger,
        now: float,
    ) -> None:
        ledger.open_lease(
            router_id,
            holder.session,
            holder.slots_at_opening.get(name, 0),
            holder.expires_at,
            now,
        )

    def _has_lost_message(
        self, sender_id: str, holder: HolderSession, message: SlotRenew
    ) -> bool:
        if message.is_opening or message.seen != holder.version:
            return False
        held = self._held_slots(sender_id, self.ledgers)
        return held != message.held_total

    def _held_slots(self, router_id: str, names: Iterable[str]) -> int:
        held = 0
        for name in names:
            ledger = self.ledgers.get(name)
            lease = ledger.leases.get(router_id) if ledger else None
            held += lease.held if lease else 0
        return held

    def _update_coordinators(self, now: float) -> None:
        if not self.coordinator_map.refresh(self.read_tables()):
            return
        own = self.upstreams()
        self._index_by_pool(own)
        names = {upstream.name for upstream in own}
        for name in list(self.ledgers):
            if name not in names:
                self._hand_over(name, self.ledgers.pop(name), now)
        for upstream in own:
            if upstream.name not in self.ledgers:
                self._become_coordinator(upstream, now)

    def _index_by_pool(self, own: Iterable[Upstream]) -> None:
        own_names = {upstream.name for upstream in own}
        self.names_by_pool = {
            pool.name: [
                one.name for one in pool.upstreams if one.name in own_names
            ]
            for pool in self.read_tables().pools.values()
        }

    def _become_coordinator(self, upstream: Upstream, now: float) -> None:
        name = upstream.name
        self.upstream_states.state_of(upstream).reset()
        ledger = SlotLedger(now + takeover_wait_seconds(self.lease_seconds))
        self.ledgers[name] = ledger
        for router_id, holder in self.holder_sessions.items():
            if name in holder.slots_at_opening:
                self._open_lease(router_id, holder, name, ledger, now)
        received = self.handovers.pop(name, None)
        if received is not None:
            self.take_over(received.message, received.received_at, now)

    def _hand_over(self, name: str, ledger: SlotLedger, now: float) -> None:
        state = self.upstream_states.find(name)
        coordinator_id = (
            self.coordinator_map.coordinator_of(state.upstream) if state else ''
        )
        if not coordinator_id:
            return
        handed_leases = [
            HandedLoan(router_id, slots)
            for router_id, slots in ledger.slots_by_router().items()
        ]
        message = SlotHandover(
            upstream=name,
            epoch=self.members.myself.incarnation,
            instance=state.instance if state else '',
            limit=self.lease_limit(state.upstream, now) if state else 0,
            loans=handed_leases,
        )
        self.sender.send(coordinator_id, message)

    def _grant_all(self, now: float) -> None:
        for pool_name in self._wanted_pools():
            self.grant_free_slots(pool_name, now)
        for name, ledger in self.ledgers.items():
            self._revoke_excess(name, ledger, now)

    def _wanted_pools(self) -> list[str]:
        """Return the names of the pools that any holder demands, sorted."""
        pools = {
            pool_name
            for holder in self.holder_sessions.values()
            for pool_name in holder.demands
        }
        return sorted(pools)

    def _grant_upstream(
        self, pool: Pool, upstream: Upstream, ledger: SlotLedger, now: float
    ) -> set[str]:
        limit = self.lease_limit(upstream, now)
        to_notify: set[str] = set()
        while ledger.free_slots(limit, now) > 0:
            share = pick_least_served(self._grantable_shares(pool, ledger, now))
            if share is None:
                break
            self._grant_slot(share, upstream, ledger, limit, now)
            to_notify.add(share.router_id)
        return to_notify

    def _offer_permits(
        self, pool: Pool, upstream: Upstream, now: float
    ) -> None:
        """Offer the permits of a cold upstream to the least served routers."""
        state = self.upstream_states.state_of(upstream)
        if self.read_tables().is_drained(upstream):
            return
        offered = self.cold_offers.setdefault(upstream.name, {})
        for router_id, offered_at in list(offered.items()):
            if now - offered_at >= COLD_OFFER_VALID_SECONDS:
                offered.pop(router_id)
        for _ in range(state.free_cold_slots - len(offered)):
            waiting = [
                one
                for one in self._recently_heard(self._shares(pool), now)
                if one.router_id not in offered
            ]
            share = pick_least_served(waiting)
            if share is None:
                return
            offered[share.router_id] = now
            self._send_offer(share, state)

    def _send_offer(self, share: RouterShare, state: UpstreamState) -> None:
        name = state.upstream.name
        offer = ColdOffer(name, state.instance, state.cold_slots)
        self.sender.send(share.router_id, offer)
        log.info(
            'cold start offered',
            extra={
                'event': 'cold_offer',
                'upstream': name,
                'instance': state.instance,
                'router': share.router_id,
                'customer': share.head.customer,
                'reason': 'furthest_behind',
            },
        )

    def _grant_slot(
        self,
        share: RouterShare,
        upstream: Upstream,
        ledger: SlotLedger,
        limit: int,
        now: float,
    ) -> None:
        holder = self.holder_sessions[share.router_id]
        if share.router_id not in ledger.leases:
            ledger.open_lease(
                share.router_id,
                holder.session,
                0,
                holder.expires_at,
                now,
            )
        ledger.grant(share.router_id, 1, limit, now)
        holder.mark_changed(upstream.name)
        holder.unconfirmed_slots += 1
        log.info(
            'slot granted',
            extra={
                'event': 'slot_grant',
                'upstream': upstream.name,
                'pool': share.pool,
                'router': share.router_id,
                'customer': share.head.customer,
                'reason': 'furthest_behind',
                'counter': share.head.counter,
                'held': ledger.held,
                'limit': limit,
            },
        )

    def _shares(self, pool: Pool) -> list[RouterShare]:
        names = self.names_by_pool.get(pool.name, ())
        shares = []
        for router_id, holder in self.holder_sessions.items():
            held = self._held_slots(router_id, names)
            demand = holder.demands.get(pool.name, PoolDemand(pool.name))
            shares.append(RouterShare.from_demand(router_id, demand, held))
        return shares

    def _grantable_shares(
        self, pool: Pool, ledger: SlotLedger, now: float
    ) -> list[RouterShare]:
        """Return the shares of the routers that may be granted a slot now.

        These have sent a message recently and hold no lease of another
        session.
        """
        return [
            one
            for one in self._recently_heard(self._shares(pool), now)
            if ledger.can_grant_to(
                one.router_id, self.holder_sessions[one.router_id].session
            )
        ]

    def _recently_heard(
        self, shares: Iterable[RouterShare], now: float
    ) -> list[RouterShare]:
        min_expires_at = now + self.lease_seconds - MAX_SILENCE_SECONDS
        return [
            share
            for share in shares
            if self.holder_sessions[share.router_id].expires_at > min_expires_at
        ]

    def _revoke_for_waiting(
        self, pool: Pool, to_notify: set[str], now: float
    ) -> None:
        shares = self._shares(pool)
        urgent = [share for share in shares if share.is_urgent]
        waiting = pick_least_served(self._recently_heard(urgent, now))
        if waiting is None:
            return
        for share in shares:
            holder = self.holder_sessions[share.router_id]
            shortage_sent_at = holder.shortage_sent_at.get(pool.name, -math.inf)
            if share.held and now - shortage_sent_at >= SHORTAGE_REPEAT_SECONDS:
                to_notify.add(share.router_id)
        most_served = pick_most_served(shares, waiting)
        if most_served is None or self._is_revocation_pending(pool):
            return
        if self.holder_sessions[waiting.router_id].unconfirmed_slots:
            # The router may be unreachable, and a revoked slot might then
            # stay idle.
            return
        self._revoke(most_served.router_id, pool, 1, to_notify, now)

    def _is_revocation_pending(self, pool: Pool) -> bool:
        for upstream in pool.upstreams:
            ledger = self.ledgers.get(upstream.name)
            leases = ledger.leases.values() if ledger else ()
            if any(lease.revoked > lease.returned for lease in leases):
                return True
        return False

    def _revoke(
        self,
        router_id: str,
        pool: Pool,
        slots: int,
        to_notify: set[str],
        now: float,
    ) -> None:
        """Revoke slots that can be granted to another router at once."""
        pending = slots
        for upstream in pool.upstreams:
            ledger = self.ledgers.get(upstream.name)
            if ledger is None or pending <= 0:
                continue
            if not ledger.can_regrant(self.lease_limit(upstream, now), now):
                continue
            newly_revoked = ledger.revoke(router_id, pending)
            if newly_revoked:
                pending -= newly_revoked
                self.holder_sessions[router_id].mark_changed(upstream.name)
                to_notify.add(router_id)

    def _revoke_excess(
        self,
        name: str,
        ledger: SlotLedger,
        now: float,
    ) -> None:
        """Revoke the slots of one upstream that exceed its limit."""
        state = self.upstream_states.find(name)
        if state is None or not state.is_known:
            return
        limit = self.lease_limit(state.upstream, now)
        for router_id in ledger.revoke_excess(limit):
            self._mark_changed(router_id, name)
            self._send_unsent_changes(router_id)

    def _mark_changed(self, router_id: str, name: str) -> None:
        holder = self.holder_sessions.get(router_id)
        if holder is not None:
            holder.mark_changed(name)

    def _send_unsent_changes(self, router_id: str) -> None:
        holder = self.holder_sessions.get(router_id)
        if holder is not None:
            self._send_leases(router_id, holder, holder.sent_version)

    def _send_leases(
        self, router_id: str, holder: HolderSession, base: int
    ) -> None:
        granted_slots = [
            self._lease_message(router_id, name)
            for name, version in holder.change_versions.items()
            if version > base and self._has_lease(router_id, name)
        ]
        holder.sent_version = holder.version
        grant = SlotGrant(
            session=holder.session,
            sequence=holder.sequence,
            epoch=holder.epoch,
            lease_ms=int(self.lease_seconds * MS_PER_SECOND),
            base=base,
            version=holder.version,
            loans=granted_slots,
            short_pools=self._short_pools(holder),
        )
        self.sender.send(router_id, grant)

    def _short_pools(self, holder: HolderSession) -> list[str]:
        """Return the pools with a shortage, and record that they are sent."""
        now = self.clock.monotonic()
        short = [
            pool.name
            for pool in self.read_tables().pools.values()
            if any(
                share.is_short and share.is_urgent
                for share in self._shares(pool)
            )
        ]
        holder.shortage_sent_at.update(dict.fromkeys(short, now))
        return short

    def _has_lease(self, router_id: str, name: str) -> bool:
        ledger = self.ledgers.get(name)
        return ledger is not None and router_id in ledger.leases

    def _lease_message(self, router_id: str, name: str) -> GrantedSlots:
        lease = self.ledgers[name].leases[router_id]
        state = self.upstream_states.find(name)
        instance = state.instance if state else ''
        return GrantedSlots(name, instance, lease.granted, lease.revoked)


@functools.singledispatch
def _handle(
    message: object, coordinator: SlotCoordinator, sender_id: str, now: float
) -> None:
    """Ignore a message of a class that a coordinator does not handle."""


@_handle.register
def _handle_renew(
    message: SlotRenew, coordinator: SlotCoordinator, sender_id: str, now: float
) -> None:
    if message.is_opening:
        known = coordinator.open_session(sender_id, message, now)
    else:
        known = coordinator.extend_session(
            sender_id, message.session, message.sequence, now
        )
    if not known:
        return
    coordinator.set_demands(sender_id, message.demands)
    coordinator.acknowledge(sender_id, message)
    for demand in message.demands:
        coordinator.grant_free_slots(demand.pool, now)


@_handle.register
def _handle_request(
    message: SlotRequest,
    coordinator: SlotCoordinator,
    sender_id: str,
    now: float,
) -> None:
    if not coordinator.extend_session(
        sender_id, message.session, message.sequence, now
    ):
        return
    coordinator.set_demands(sender_id, message.demands)
    for demand in message.demands:
        coordinator.grant_free_slots(demand.pool, now)
        coordinator.report_shortage(sender_id, demand)


@_handle.register
def _handle_return(
    message: SlotReturn,
    coordinator: SlotCoordinator,
    sender_id: str,
    now: float,
) -> None:
    if not coordinator.extend_session(
        sender_id, message.session, message.sequence, now
    ):
        return
    coordinator.apply_returns(sender_id, message.session, message.returned)
    coordinator.set_demands(sender_id, message.demands)
    for demand in message.demands:
        coordinator.grant_free_slots(demand.pool, now)


@_handle.register
def _handle_handover(
    message: SlotHandover,
    coordinator: SlotCoordinator,
    sender_id: str,
    now: float,
) -> None:
    coordinator.receive_handover(message, now)


@_handle.register
def _handle_upstream_sign(
    message: UpstreamSign,
    coordinator: SlotCoordinator,
    sender_id: str,
    now: float,
) -> None:
    state = coordinator.upstream_states.find(message.upstream)
    if state is None:
        return
    if message.state == REFUSED:
        state.on_refusal(now)
    elif message.state != Phase.unknown:
        state.on_answer(message.instance, message.state, now)
    elif message.instance in {'', state.instance}:
        state.on_connection_failure()
    coordinator.tick()
