"""The slots that this router holds, and how it asks homes for more."""

import dataclasses
import enum
import functools
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Any, final

from hickorymux._internal.coordination.cold_starts import (
    ColdPermit,
    ColdStarts,
    Offer,
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
from hickorymux._internal.coordination.slot_placement import HomeMap
from hickorymux._internal.coordination.slot_session import (
    Holding,
    HomeSession,
)
from hickorymux._internal.state.tables import Pool, Tables, Upstream
from hickorymux._internal.state.upstream_state import (
    REFUSED,
    LoadReport,
    Phase,
    UpstreamBook,
)
from hickorymux._internal.utils.clock import Clock

RENEW_SECONDS = 1.0
IDLE_KEEP_SECONDS = 1.0
CONTENTION_SECONDS = 1.5
COUNTERS_SECONDS = 0.25
COUNTERS_SECONDS_PER_HOME = 0.07
MIN_STOCK_SLOTS = 4
STOCK_PART = 4
MAX_HEADS = 4
MAX_TARGET_SLOTS = 4096
PERMIT_KEEP_SECONDS = 2.0
WARM_PHASES = frozenset((Phase.ramping, Phase.warm))

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """The right to run one request on an upstream.

    It rests on a lease or, for a cold upstream, on a permit. It is checked with ``is_valid`` immediately before the request is sent,
    and given back when the request has ended.
    """

    upstream: Upstream
    pool: str
    lease_id: str
    instance: str
    holder: 'SlotHolder'
    permit: ColdPermit | None = None
    generation: int = 0
    is_returned: bool = False

    def is_valid(self, now: float) -> bool:
        """Return whether the request may still be sent at this moment."""
        return self.holder.is_usable(self, now)


class Reach(enum.IntEnum):
    """Which homes are asked: a few near ones, all, all and urgently."""

    few = 0
    every = 1
    urgent = 2


@dataclasses.dataclass(slots=True)
class Backlog:
    """What waits at this router for slots of one pool.

    ``unanswered`` names the homes that were asked and not yet heard.
    """

    waiting: int = 0
    heads: list[HeadCustomer] = dataclasses.field(default_factory=list)
    idle_since: float = 0
    contended_until: float = 0
    reach: Reach = Reach.few
    unanswered: set[str] = dataclasses.field(default_factory=set)

    def keeps_idle(self, now: float) -> bool:
        """Return whether idle slots are kept for requests to come."""
        if self.waiting:
            return True
        if now < self.contended_until:
            return False
        return now - self.idle_since < IDLE_KEEP_SECONDS


def _is_any(_upstream: Upstream, _instance: str) -> bool:
    """Take every instance as verified."""
    return True


@final
class SlotHolder:
    """Borrows slots for the requests that wait at this router.

    Homes of the own zone are asked first; those of other zones only for what
    the own zone leaves waiting. Slots that nothing waits for are kept for a
    moment, unless other routers wait for slots of the pool. ``is_verified``
    tells whether an instance is known to serve the connections to an
    upstream; slots of others are held back.

    Example::

        holder.set_demand('chat', heads, waiting=3)
        slot = holder.take('chat', clock.monotonic())
        if slot is not None and slot.is_valid(clock.monotonic()):
            ...
    """

    __slots__ = (
        'asked',
        'backlogs',
        'book',
        'clock',
        'cold_starts',
        'holdings',
        'home_map',
        'is_verified',
        'lease_seconds',
        'members',
        'on_available',
        'read_tables',
        'sender',
        'session_number',
        'sessions',
    )

    def __init__(
        self,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        book: UpstreamBook,
        read_tables: Callable[[], Tables],
        on_available: Callable[[str], None],
        lease_seconds: float = LEASE_SECONDS,
        cold_starts: ColdStarts | None = None,
        is_verified: Callable[[Upstream, str], bool] = _is_any,
    ) -> None:
        self.is_verified = is_verified
        self.cold_starts = cold_starts
        self.members = members
        self.sender = sender
        self.clock = clock
        self.book = book
        self.read_tables = read_tables
        self.on_available = on_available
        self.lease_seconds = lease_seconds
        self.home_map = HomeMap(members)
        self.backlogs: dict[str, Backlog] = {}
        self.holdings: dict[str, Holding] = {}
        self.sessions: dict[str, HomeSession] = {}
        self.asked = 0
        self.session_number = members.myself.incarnation

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(TICK_SECONDS)

    def set_demand(
        self, pool: str, heads: Sequence[HeadCustomer], waiting: int
    ) -> None:
        """Say how many requests wait for a pool, and whose are next.

        The homes hear of it at once when requests begin to wait, or when
        twice as many wait as they were told, and otherwise with the next
        renewal.
        """
        now = self.clock.monotonic()
        backlog = self.backlogs.setdefault(pool, Backlog())
        backlog.waiting = waiting
        backlog.heads = list(heads[:MAX_HEADS])
        if waiting > 0:
            backlog.idle_since = now
            self._ask(pool, now)
        else:
            backlog.reach = Reach.few
            backlog.unanswered.clear()

    def take(
        self, pool: str, now: float, preferred: Sequence[str] = ()
    ) -> Slot | None:
        """Take an idle slot of a pool, or return none.

        ``preferred`` names upstreams that hold a cached prefix of the
        request, best first. Otherwise the own zone goes first, then the
        upstream with the smallest share of its slots busy.
        """
        usable = [
            holding
            for holding in self._holdings_of(pool)
            if holding.idle > holding.recall_due
            and self._may_send(holding, now)
        ]
        if not usable:
            return self._take_permit(pool, now)
        order = functools.partial(
            _placement_order,
            own_zone=self.members.myself.zone,
            preferred=preferred,
        )
        return self._occupy(min(usable, key=order), pool)

    def give_back(self, slot: Slot, *, is_ended: bool = True) -> None:
        """Free a slot; safe to call twice.

        ``is_ended`` is false when the request was cut and the upstream has
        not confirmed that it stopped.
        """
        if slot.is_returned:
            return
        slot.is_returned = True
        if slot.permit is None:
            self._free_lease(slot)
        elif self.cold_starts is not None:
            self.cold_starts.give_back(slot.permit, is_ended=is_ended)
        now = self.clock.monotonic()
        backlog = self.backlogs.setdefault(slot.pool, Backlog())
        if backlog.waiting and self.idle_slots(slot.pool, now):
            self.on_available(slot.pool)

    def is_usable(self, slot: Slot, now: float) -> bool:
        """Return whether a slot that was taken may be sent on now."""
        if slot.is_returned:
            return False
        if slot.permit is not None:
            return self._may_use_permit(slot.permit, now)
        holding = self.holdings.get(slot.upstream.name)
        if holding is None or holding.generation != slot.generation:
            return False
        return holding.instance == slot.instance and self._may_send(
            holding, now
        )

    def tick(self) -> None:
        """Follow the homes, end what lapsed, renew, return what is idle."""
        now = self.clock.monotonic()
        self._follow_homes(now)
        self._return_surplus()
        self._return_idle(now)
        self._release_permits(now)
        for session in list(self.sessions.values()):
            self._keep(session, now)
        for pool, backlog in self.backlogs.items():
            if backlog.waiting > 0:
                backlog.reach = Reach.urgent
                backlog.unanswered.clear()
                self._ask(pool, now)

    def on_message(self, sender_id: str, message: Any) -> None:
        """Take a message of a home."""
        if isinstance(message, ColdOffer):
            self._take_offer(message)
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
        self._apply_loans(session, message, now)

    def on_connection_failure(self, upstream: Upstream) -> None:
        """Distrust an upstream here and at its home."""
        state = self.book.state_of(upstream)
        state.on_connection_failure()
        self._distrust(upstream, state.instance, Phase.unknown)

    def on_answer(self, upstream: Upstream, instance: str, state: str) -> None:
        """Take the instance and state that an answer carried."""
        known = self.book.state_of(upstream)
        before = known.instance
        was_cold = known.phase is Phase.cold
        known.on_answer(instance, state, self.clock.monotonic())
        is_cold = known.phase is Phase.cold
        if known.instance != before and self.cold_starts is not None:
            self.cold_starts.on_instance(upstream.name, known.instance)
        if known.instance != before or (is_cold and not was_cold):
            self._distrust(upstream, instance, state)

    def on_load_report(self, upstream: Upstream, report: LoadReport) -> None:
        """Take a load report that was made on the present connection."""
        if self.cold_starts is not None:
            self.cold_starts.on_instance(upstream.name, report.instance)
            self.cold_starts.on_load_report(upstream.name, report)
        self.offer_idle()

    def offer_idle(self) -> None:
        """Tell the queues of all pools that wait and have idle slots."""
        now = self.clock.monotonic()
        for pool, backlog in list(self.backlogs.items()):
            if backlog.waiting and self.idle_slots(pool, now):
                self.on_available(pool)

    def on_refusal(self, upstream: Upstream) -> None:
        """Lower the limit of an upstream that refused work."""
        self.book.state_of(upstream).on_refusal(self.clock.monotonic())
        self._distrust(upstream, '', REFUSED)

    def on_first_byte(self, upstream: Upstream, seconds: float) -> None:
        """Compare a time to first byte with the upstream's history."""
        state = self.book.state_of(upstream)
        if state.on_first_byte(seconds):
            self._distrust(upstream, state.instance, Phase.unknown)

    def idle_slots(self, pool: str, now: float) -> int:
        """Return how many slots of a pool could be taken now."""
        leased = sum(
            holding.idle
            for holding in self._holdings_of(pool)
            if self._may_send(holding, now)
        )
        return leased + len(self._idle_permits(pool, now))

    def _free_lease(self, slot: Slot) -> None:
        holding = self.holdings[slot.upstream.name]
        holding.busy -= 1
        now = self.clock.monotonic()
        backlog = self.backlogs.setdefault(slot.pool, Backlog())
        if not backlog.keeps_idle(now):
            holding.give_up(holding.idle)
        self._return_recalled((holding,), now)

    def _take_offer(self, message: ColdOffer) -> None:
        upstream = _find_upstream(self.read_tables(), message.upstream)
        if upstream is None or self.cold_starts is None:
            return
        offer = Offer(upstream, message.instance, message.limit)
        self.cold_starts.offer(offer)

    def _take_permit(self, pool: str, now: float) -> Slot | None:
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
            for permit in self.cold_starts.idle(names, now)
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
                # A release would let the next holder skip the quarantine.
                continue
            is_unused = now - permit.used_at >= PERMIT_KEEP_SECONDS
            is_idle = is_unused and not permit.is_busy
            if is_idle or self._is_warm(permit):
                self.cold_starts.release(permit)

    def _is_warm(self, permit: ColdPermit) -> bool:
        holding = self.holdings.get(permit.key.upstream)
        if holding is not None and holding.held > 0:
            return True
        state = self.book.find(permit.key.upstream)
        return state is not None and state.phase in WARM_PHASES

    def _occupy(self, holding: Holding, pool: str) -> Slot:
        holding.busy += 1
        session = self.sessions[holding.home_id]
        lease_id = f'{session.home_id}/{session.number}'
        return Slot(
            holding.upstream,
            pool,
            lease_id,
            holding.instance,
            self,
            generation=holding.generation,
        )

    def _may_send(self, holding: Holding, now: float) -> bool:
        session = self.sessions.get(holding.home_id)
        if session is None or now >= session.usable_until:
            return False
        if self.read_tables().is_drained(holding.upstream):
            return False
        return self.is_verified(holding.upstream, holding.instance)

    def _pool(self, name: str) -> Pool | None:
        return self.read_tables().pools.get(name)

    def _holdings_of(self, pool_name: str) -> list[Holding]:
        pool = self._pool(pool_name)
        if pool is None:
            return []
        found = (self.holdings.get(one.name) for one in pool.upstreams)
        return [holding for holding in found if holding is not None]

    def _ask(self, pool_name: str, now: float) -> None:
        pool = self._pool(pool_name)
        if pool is None:
            return
        backlog = self.backlogs[pool_name]
        wanted = backlog.waiting - self.idle_slots(pool_name, now)
        if wanted <= len(backlog.unanswered):
            return
        for home_id in self._homes_in_reach(pool, backlog, wanted):
            session = self._session(home_id, now)
            demand = self._demand(pool_name, session)
            demand.is_urgent = backlog.reach is Reach.urgent
            if demand.is_urgent and self._is_told(demand, session, now):
                continue
            if not demand.is_urgent:
                backlog.unanswered.add(home_id)
            if session.is_open:
                self._request(session, [demand], now)

    def _ask_further(
        self, pool_name: str, backlog: Backlog, home_id: str, now: float
    ) -> None:
        """Widen the reach when the homes that were asked have answered."""
        backlog.unanswered.discard(home_id)
        if backlog.unanswered:
            return
        if backlog.reach is not Reach.urgent:
            backlog.reach = Reach(backlog.reach + 1)
        self._ask(pool_name, now)

    def _homes_in_reach(
        self, pool: Pool, backlog: Backlog, wanted: int
    ) -> list[str]:
        is_widened = backlog.reach is not Reach.few
        homes = self._homes_to_ask(pool, is_widened=is_widened)
        if is_widened or not homes:
            return homes
        self.asked += 1
        first = self.asked % len(homes)
        return (homes[first:] + homes[:first])[:wanted]

    def _is_told(
        self, demand: PoolDemand, session: HomeSession, now: float
    ) -> bool:
        """Return whether the home knows the demand well enough."""
        held = self._held_in(demand.pool, session.home_id)
        owed = session.targets.get(demand.pool, 0) - held
        if owed <= 0 or demand.target - held >= 2 * owed:
            return False
        return not self._is_outdated(demand.pool, session, now)

    def _is_outdated(
        self, pool_name: str, session: HomeSession, now: float
    ) -> bool:
        """Return whether a home needs newer counters to share slots fairly.

        The interval grows with the number of homes, so that the bytes do not.
        """
        if now >= self.backlogs[pool_name].contended_until:
            return False
        interval = max(
            COUNTERS_SECONDS, COUNTERS_SECONDS_PER_HOME * len(self.sessions)
        )
        return now - session.told_at.get(pool_name, 0) >= interval

    def _homes_to_ask(self, pool: Pool, *, is_widened: bool) -> list[str]:
        tables = self.read_tables()
        own_zone = self.members.myself.zone
        upstreams = [
            one for one in pool.upstreams if not tables.is_drained(one)
        ]
        near = [one for one in upstreams if one.zone == own_zone]
        asked = upstreams if is_widened or not near else near
        homes = [self.home_map.home_of(one) for one in asked]
        return list(dict.fromkeys(home_id for home_id in homes if home_id))

    def _held_in(self, pool_name: str, home_id: str) -> int:
        return sum(
            holding.held
            for holding in self._holdings_of(pool_name)
            if holding.home_id == home_id
        )

    def _demand(self, pool_name: str, session: HomeSession) -> PoolDemand:
        backlog = self.backlogs.setdefault(pool_name, Backlog())
        idle = self.idle_slots(pool_name, self.clock.monotonic())
        held = self._held_in(pool_name, session.home_id)
        wanted = max(backlog.waiting - idle, 0)
        target = min(held + wanted, MAX_TARGET_SLOTS)
        return PoolDemand(pool_name, target, wanted > 0, list(backlog.heads))

    def _session(self, home_id: str, now: float) -> HomeSession:
        session = self.sessions.get(home_id)
        if session is None:
            session = HomeSession(home_id, 0, 0)
            self.sessions[home_id] = session
            self._reopen(session, now)
        return session

    def _reopen(
        self, session: HomeSession, now: float, *, is_refused: bool = False
    ) -> None:
        """Open a session with what is held; only what is busy if refused."""
        is_live = now < session.usable_until and not is_refused
        self.session_number += 1
        fresh = HomeSession(
            session.home_id, self.session_number, session.usable_until
        )
        for holding in self._holdings_at(session.home_id):
            slots = max(holding.held, holding.busy)
            holding.restart(slots if is_live else holding.busy)
            if holding.granted:
                count = SlotCount(holding.upstream.name, holding.granted)
                fresh.opening.append(count)
        fresh.is_busy_only = not is_live
        self.sessions[session.home_id] = fresh
        self._renew(fresh, now)

    def _holdings_at(self, home_id: str) -> list[Holding]:
        return [
            holding
            for holding in self.holdings.values()
            if holding.home_id == home_id
        ]

    def _renew(self, session: HomeSession, now: float) -> None:
        session.renewed_at = now
        holdings = self._holdings_at(session.home_id)
        demands = [
            self._demand(pool, session)
            for pool, backlog in self.backlogs.items()
            if self._concerns(pool, session.home_id)
            and (backlog.waiting > 0 or session.targets.get(pool, 0) > 0)
        ]
        self._note_targets(session, demands, now)
        message = SlotRenew(
            session=session.number,
            sequence=session.next_sequence(now),
            is_opening=not session.is_open,
            seen=session.seen,
            is_busy_only=session.is_busy_only,
            held_total=sum(holding.held for holding in holdings),
            held=[] if session.is_open else session.opening,
            demands=demands,
        )
        self.sender.send(session.home_id, message)

    def _concerns(self, pool_name: str, home_id: str) -> bool:
        pool = self._pool(pool_name)
        return pool is not None and home_id in self._homes_to_ask(
            pool, is_widened=True
        )

    def _request(
        self, session: HomeSession, demands: list[PoolDemand], now: float
    ) -> None:
        self._note_targets(session, demands, now)
        sequence = session.next_sequence(now)
        message = SlotRequest(session.number, sequence, demands)
        self.sender.send(session.home_id, message)

    def _note_targets(
        self, session: HomeSession, demands: Iterable[PoolDemand], now: float
    ) -> None:
        for demand in demands:
            session.targets[demand.pool] = demand.target
            session.told_at[demand.pool] = now

    def _keep(self, session: HomeSession, now: float) -> None:
        if session.is_open and now >= session.usable_until:
            self._reopen(session, now)
            return
        if now - session.renewed_at < RENEW_SECONDS:
            return
        holdings = self._holdings_at(session.home_id)
        is_used = any(one.held or one.busy for one in holdings)
        if is_used or any(session.targets.values()) or self._is_waiting():
            self._renew(session, now)

    def _is_waiting(self) -> bool:
        return any(backlog.waiting for backlog in self.backlogs.values())

    def _apply_loans(
        self, session: HomeSession, grant: SlotGrant, now: float
    ) -> None:
        touched = []
        for loan in grant.loans:
            holding = self._holding_for(loan.upstream, session.home_id)
            if holding is not None:
                holding.apply(loan)
                touched.append(holding)
        for pool in grant.short_pools:
            backlog = self.backlogs.setdefault(pool, Backlog())
            backlog.contended_until = now + CONTENTION_SECONDS
        self._return_recalled(touched, now)
        self._return_idle(now)
        self.offer_idle()
        if touched and grant.short_pools:
            self._confirm(session, grant.short_pools, now)
        for pool, backlog in list(self.backlogs.items()):
            if backlog.waiting:
                self._ask_further(pool, backlog, session.home_id, now)

    def _confirm(
        self, session: HomeSession, pools: Iterable[str], now: float
    ) -> None:
        """Tell the home that its grant arrived, with the newest counters."""
        demands = [self._demand(pool, session) for pool in pools]
        self._request(session, demands, now)

    def _holding_for(self, name: str, home_id: str) -> Holding | None:
        holding = self.holdings.get(name)
        if holding is None:
            upstream = _find_upstream(self.read_tables(), name)
            if upstream is None:
                return None
            holding = Holding(upstream, home_id)
            self.holdings[name] = holding
        return holding if holding.home_id == home_id else None

    def _return_recalled(self, holdings: Iterable[Holding], now: float) -> None:
        for holding in holdings:
            holding.give_up(holding.recall_due)
        self._flush_returns(now)

    def _return_idle(self, now: float) -> None:
        for pool, backlog in self.backlogs.items():
            if backlog.keeps_idle(now):
                continue
            for holding in self._holdings_of(pool):
                holding.give_up(holding.idle)
        self._flush_returns(now)

    def _return_surplus(self) -> None:
        """Keep a stock of idle slots in proportion to the busy ones."""
        for pool, backlog in self.backlogs.items():
            if backlog.waiting:
                continue
            holdings = self._holdings_of(pool)
            busy = sum(holding.busy for holding in holdings)
            idle = sum(holding.idle for holding in holdings)
            surplus = idle - max(MIN_STOCK_SLOTS, busy // STOCK_PART)
            for holding in sorted(holdings, key=lambda one: one.home_id):
                returned = min(holding.idle, max(surplus, 0))
                holding.give_up(returned)
                surplus -= returned

    def _flush_returns(self, now: float) -> None:
        due: dict[str, list[Holding]] = {}
        for holding in self.holdings.values():
            if holding.is_return_due:
                due.setdefault(holding.home_id, []).append(holding)
        for home_id, holdings in due.items():
            session = self.sessions.get(home_id)
            if session is not None and session.is_open:
                self._send_return(session, holdings, now)

    def _send_return(
        self, session: HomeSession, holdings: Sequence[Holding], now: float
    ) -> None:
        returned = []
        for holding in holdings:
            holding.is_return_due = False
            count = SlotCount(holding.upstream.name, holding.returned)
            returned.append(count)
        demands = [
            self._demand(pool, session)
            for pool in self._pools_of(holdings)
            if pool in self.backlogs
        ]
        self._note_targets(session, demands, now)
        message = SlotReturn(
            session.number, session.next_sequence(now), returned, demands
        )
        self.sender.send(session.home_id, message)

    def _pools_of(self, holdings: Iterable[Holding]) -> list[str]:
        names = {holding.upstream.name for holding in holdings}
        return [
            pool.name
            for pool in self.read_tables().pools.values()
            if any(upstream.name in names for upstream in pool.upstreams)
        ]

    def _follow_homes(self, now: float) -> None:
        self.home_map.refresh(self.read_tables())
        moved: dict[str, float] = {}
        for holding in self.holdings.values():
            home_id = self.home_map.home_of(holding.upstream)
            if home_id in {'', holding.home_id}:
                continue
            earlier = self.sessions.get(holding.home_id)
            until = earlier.usable_until if earlier else 0
            if now >= until:
                holding.restart(holding.busy)
            holding.home_id = home_id
            moved[home_id] = min(moved.get(home_id, until), until)
        for home_id, until in moved.items():
            session = self.sessions.get(home_id)
            if session is None:
                session = HomeSession(home_id, 0, until)
            session.usable_until = min(session.usable_until, until)
            self._reopen(session, now)
        self._forget_sessions()

    def _forget_sessions(self) -> None:
        """Drop the sessions with routers that are home of nothing here."""
        wanted = set(self.home_map.homes.values())
        wanted.update(one.home_id for one in self.holdings.values())
        for home_id in self.sessions.keys() - wanted:
            self.sessions.pop(home_id)

    def _distrust(self, upstream: Upstream, instance: str, state: str) -> None:
        """Tell the home first, then give back every slot that is unused."""
        home_id = self.home_map.home_of(upstream)
        if home_id:
            sign = UpstreamSign(upstream.name, instance, str(state))
            self.sender.send(home_id, sign)
        holding = self.holdings.get(upstream.name)
        if holding is not None and state != REFUSED:
            holding.generation += 1
            holding.give_up(holding.idle)
            self._flush_returns(self.clock.monotonic())


def _placement_order(
    holding: Holding, *, own_zone: str, preferred: Sequence[str]
) -> tuple[int, bool, float, str]:
    upstream = holding.upstream
    name = upstream.name
    rank = preferred.index(name) if name in preferred else len(preferred)
    load = holding.busy / upstream.slots
    return rank, upstream.zone != own_zone, load, name


def _find_upstream(tables: Tables, name: str) -> Upstream | None:
    for pool in tables.pools.values():
        for upstream in pool.upstreams:
            if upstream.name == name:
                return upstream
    return None
