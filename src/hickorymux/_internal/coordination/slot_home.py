"""The home of upstreams: lends their slots to the routers of the fleet."""

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
from hickorymux._internal.coordination.slot_placement import HomeMap
from hickorymux._internal.coordination.slot_sharing import (
    Share,
    pick_furthest_ahead,
    pick_neediest,
)
from hickorymux._internal.state.slot_ledger import (
    SlotLedger,
    wait_out_seconds,
)
from hickorymux._internal.state.tables import Pool, Tables, Upstream
from hickorymux._internal.state.upstream_state import (
    REFUSED,
    REPORT_LAG_SECONDS,
    LoadReport,
    Phase,
    UpstreamBook,
    UpstreamState,
)
from hickorymux._internal.utils.clock import Clock

LEASE_SECONDS = 3.0
TICK_SECONDS = 0.25
MS_PER_SECOND = 1000
EPOCHS_PER_INCARNATION = 1_000_000
SHORTAGE_REPEAT_SECONDS = 0.5
COLD_OFFER_SECONDS = 2.0
SILENCE_SECONDS = 1.5

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Borrower:
    """The session of one router with this home.

    ``unconfirmed`` counts the slots lent since the router was heard. ``epoch``
    is never used again, also if a late message opens the session once more.
    """

    session: int
    expires_at: float
    epoch: int = 0
    sequence: int = 0
    unconfirmed: int = 0
    version: int = 0
    sent_version: int = 0
    warned_at: dict[str, float] = dataclasses.field(default_factory=dict)
    demands: dict[str, PoolDemand] = dataclasses.field(default_factory=dict)
    changed: dict[str, int] = dataclasses.field(default_factory=dict)
    opening: dict[str, int] = dataclasses.field(default_factory=dict)

    def touch(self, upstream: str) -> None:
        """Note that the loan of an upstream changed."""
        self.version += 1
        self.changed[upstream] = self.version


@dataclasses.dataclass(slots=True, frozen=True)
class Received:
    """A handover that arrived before this router knew that it is the home."""

    message: SlotHandover
    at: float


RankHead = Callable[[str, HeadCustomer], float]


def reported_counter(pool: str, head: HeadCustomer) -> float:
    """Return the counter of a waiting customer as its router reports it."""
    return head.counter


@final
class SlotHome:
    """Lends the slots of the upstreams that this router is home of.

    Any router may ask. A free slot goes at once to the router whose most
    underserved backlogged customer is furthest behind. An upstream that is
    drained, unknown or down lends nothing, and its unused slots are recalled.

    Example::

        home = SlotHome(members, sender, clock, UpstreamBook(), read_tables)
        home.on_message('router-b', SlotRenew(session=1, is_opening=True))
        home.tick()
    """

    __slots__ = (
        'begun',
        'book',
        'borrowers',
        'clock',
        'cold_offers',
        'handovers',
        'home_map',
        'lease_seconds',
        'ledgers',
        'members',
        'names_by_pool',
        'rank_head',
        'read_tables',
        'sender',
    )

    def __init__(
        self,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        book: UpstreamBook,
        read_tables: Callable[[], Tables],
        lease_seconds: float = LEASE_SECONDS,
        rank_head: RankHead = reported_counter,
    ) -> None:
        self.rank_head = rank_head
        self.members = members
        self.sender = sender
        self.clock = clock
        self.book = book
        self.begun = 0
        self.read_tables = read_tables
        self.lease_seconds = lease_seconds
        self.home_map = HomeMap(members)
        self.ledgers: dict[str, SlotLedger] = {}
        self.borrowers: dict[str, Borrower] = {}
        self.names_by_pool: dict[str, list[str]] = {}
        self.handovers: dict[str, Received] = {}
        self.cold_offers: dict[str, dict[str, float]] = {}

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams that this router is home of, by the tables.

        The caller polls the load reports of exactly these.
        """
        return self.home_map.upstreams_of(self.members.myself.router_id)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Follow the membership, end the leases that ran out, lend again."""
        now = self.clock.monotonic()
        self._follow_homes(now)
        for ledger in self.ledgers.values():
            ledger.expire(now)
        ended = [
            router_id
            for router_id, borrower in self.borrowers.items()
            if now >= borrower.expires_at
        ]
        for router_id in ended:
            self.borrowers.pop(router_id)
        self._serve_all(now)

    def on_load_report(self, name: str, report: LoadReport) -> None:
        """Take the load report of an upstream, and lend what it allows."""
        now = self.clock.monotonic()
        state = self.book.find(name)
        if state is None or not state.on_report(report, now):
            return
        ledger = self.ledgers.get(name)
        if ledger is None:
            return
        limit = self.limit(state.upstream, now)
        ledger.settle(report.running, limit, now - REPORT_LAG_SECONDS, now)
        for pool_name in self._wanted_pools():
            if name in self.names_by_pool.get(pool_name, ()):
                self.serve(pool_name, now)
        self._recall_excess(name, ledger, now)

    def on_message(self, sender_id: str, message: Any) -> None:
        """Take a message of another router, or of the own holder."""
        now = self.clock.monotonic()
        _handle(message, self, sender_id, now)

    def hand_over_all(self) -> None:
        """Hand every upstream to its next home; for a graceful shutdown.

        The membership must show this router as leaving.
        """
        self._follow_homes(self.clock.monotonic())

    def receive_handover(self, message: SlotHandover, now: float) -> None:
        """Take over from an earlier home, now or once this is the home."""
        if message.upstream not in self.ledgers:
            self.handovers[message.upstream] = Received(message, now)
            self._follow_homes(now)
            return
        self.take_over(message, now, now)

    def take_over(
        self, message: SlotHandover, received_at: float, now: float
    ) -> None:
        """Count the loans of the earlier home, and lend without a wait."""
        expires_at = received_at + wait_out_seconds(self.lease_seconds)
        if now >= expires_at:
            return
        held = {loan.router_id: loan.slots for loan in message.loans}
        self.ledgers[message.upstream].take_over(held, expires_at, now)
        state = self.book.find(message.upstream)
        if state is not None:
            state.take_over(message.instance, message.limit, now)

    def open_session(
        self, sender_id: str, message: SlotRenew, now: float
    ) -> bool:
        """Begin or extend a session; return whether it is known."""
        known = self.borrowers.get(sender_id)
        if known is not None and known.session > message.session:
            return False
        if known is None or known.session < message.session:
            if not self._may_adopt(sender_id, message, now):
                answer = SlotGrant(message.session, is_unknown=True)
                self.sender.send(sender_id, answer)
                return False
            self._begin(sender_id, message, now)
        return self.hear(sender_id, message.session, message.sequence, now)

    def hear(
        self, sender_id: str, session: int, sequence: int, now: float
    ) -> bool:
        """Extend a session; tell the router if it is not known."""
        borrower = self.borrowers.get(sender_id)
        if borrower is None or borrower.session != session:
            answer = SlotGrant(session, sequence, is_unknown=True)
            self.sender.send(sender_id, answer)
            return False
        borrower.sequence = max(borrower.sequence, sequence)
        borrower.expires_at = now + self.lease_seconds
        borrower.unconfirmed = 0
        for ledger in self.ledgers.values():
            ledger.renew(sender_id, session, borrower.expires_at)
        return True

    def take_demands(
        self, sender_id: str, demands: Iterable[PoolDemand]
    ) -> None:
        """Replace what a router says it can use of some pools."""
        borrower = self.borrowers[sender_id]
        for demand in demands:
            for head in demand.heads:
                head.counter = self.rank_head(demand.pool, head)
            borrower.demands[demand.pool] = demand

    def take_returns(
        self, sender_id: str, session: int, returned: Iterable[SlotCount]
    ) -> None:
        """Take slots back."""
        now = self.clock.monotonic()
        for count in returned:
            ledger = self.ledgers.get(count.upstream)
            if ledger is not None:
                ledger.give_back(sender_id, session, count.slots, now)

    def acknowledge(self, sender_id: str, message: SlotRenew) -> None:
        """Answer a renewal with all loans that the holder has not seen."""
        borrower = self.borrowers[sender_id]
        if self._lost_message(sender_id, borrower, message):
            self.borrowers.pop(sender_id)
            answer = SlotGrant(message.session, is_unknown=True)
            self.sender.send(sender_id, answer)
            return
        self._send_loans(sender_id, borrower, message.seen)

    def serve(self, pool_name: str, now: float) -> None:
        """Lend the free slots of a pool to whom they help most."""
        pool = self.read_tables().pools.get(pool_name)
        if pool is None:
            return
        served: set[str] = set()
        for upstream in pool.upstreams:
            ledger = self.ledgers.get(upstream.name)
            if ledger is not None:
                served |= self._serve_upstream(pool, upstream, ledger, now)
                self._offer_cold(pool, upstream, now)
        self._recall_for_waiting(pool, served, now)
        for router_id in sorted(served):
            self._push(router_id)

    def refuse_if_short(self, router_id: str, demand: PoolDemand) -> None:
        """Tell a router that asked this home only to ask the others too."""
        if demand.is_urgent or not demand.target:
            return
        held = self._held(router_id, self.names_by_pool.get(demand.pool, ()))
        if held < demand.target:
            borrower = self.borrowers[router_id]
            self._send_loans(router_id, borrower, borrower.sent_version)

    def limit(self, upstream: Upstream, now: float) -> int:
        """Return how many slots of an upstream may be lent in all.

        Nothing is lent of a cold upstream; see ``ColdStarts``.
        """
        if self.read_tables().is_drained(upstream):
            self.book.state_of(upstream).on_drained()
            return 0
        return self.book.state_of(upstream).lease_limit(now)

    def _may_adopt(
        self, sender_id: str, message: SlotRenew, now: float
    ) -> bool:
        """Return whether idle slots of the opening cannot be lent already.

        That is so while old leases are waited out, or if the router's loan
        is still counted here. An opening that arrives late is refused.
        """
        if message.is_busy_only:
            return True
        for count in message.held:
            ledger = self.ledgers.get(count.upstream)
            if ledger is None or now < ledger.lends_from:
                continue
            loan = ledger.loans.get(sender_id)
            if loan is None or loan.held < count.slots:
                return False
        return True

    def _begin(self, sender_id: str, message: SlotRenew, now: float) -> None:
        borrower = Borrower(message.session, now + self.lease_seconds)
        self.begun += 1
        incarnation = self.members.myself.incarnation
        borrower.epoch = incarnation * EPOCHS_PER_INCARNATION + self.begun
        borrower.opening = {
            count.upstream: count.slots for count in message.held
        }
        self.borrowers[sender_id] = borrower
        if not self.ledgers.keys() >= borrower.opening.keys():
            self._follow_homes(now)
        for name, ledger in self.ledgers.items():
            self._open_loan(sender_id, borrower, name, ledger, now)

    def _open_loan(
        self,
        router_id: str,
        borrower: Borrower,
        name: str,
        ledger: SlotLedger,
        now: float,
    ) -> None:
        ledger.open_loan(
            router_id,
            borrower.session,
            borrower.opening.get(name, 0),
            borrower.expires_at,
            now,
        )

    def _lost_message(
        self, sender_id: str, borrower: Borrower, message: SlotRenew
    ) -> bool:
        if message.is_opening or message.seen != borrower.version:
            return False
        held = self._held(sender_id, self.ledgers)
        return held != message.held_total

    def _held(self, router_id: str, names: Iterable[str]) -> int:
        held = 0
        for name in names:
            ledger = self.ledgers.get(name)
            loan = ledger.loans.get(router_id) if ledger else None
            held += loan.held if loan else 0
        return held

    def _follow_homes(self, now: float) -> None:
        if not self.home_map.refresh(self.read_tables()):
            return
        own = self.upstreams()
        self._sort_by_pool(own)
        names = {upstream.name for upstream in own}
        for name in list(self.ledgers):
            if name not in names:
                self._hand_over(name, self.ledgers.pop(name), now)
        for upstream in own:
            if upstream.name not in self.ledgers:
                self._become_home(upstream, now)

    def _sort_by_pool(self, own: Iterable[Upstream]) -> None:
        own_names = {upstream.name for upstream in own}
        self.names_by_pool = {
            pool.name: [
                one.name for one in pool.upstreams if one.name in own_names
            ]
            for pool in self.read_tables().pools.values()
        }

    def _become_home(self, upstream: Upstream, now: float) -> None:
        name = upstream.name
        self.book.state_of(upstream).forget()
        ledger = SlotLedger(now + wait_out_seconds(self.lease_seconds))
        self.ledgers[name] = ledger
        for router_id, borrower in self.borrowers.items():
            if name in borrower.opening:
                self._open_loan(router_id, borrower, name, ledger, now)
        received = self.handovers.pop(name, None)
        if received is not None:
            self.take_over(received.message, received.at, now)

    def _hand_over(self, name: str, ledger: SlotLedger, now: float) -> None:
        state = self.book.find(name)
        home_id = self.home_map.home_of(state.upstream) if state else ''
        if not home_id:
            return
        loans = [
            HandedLoan(router_id, slots)
            for router_id, slots in ledger.holdings().items()
        ]
        message = SlotHandover(
            upstream=name,
            epoch=self.members.myself.incarnation,
            instance=state.instance if state else '',
            limit=self.limit(state.upstream, now) if state else 0,
            loans=loans,
        )
        self.sender.send(home_id, message)

    def _serve_all(self, now: float) -> None:
        for pool_name in self._wanted_pools():
            self.serve(pool_name, now)
        for name, ledger in self.ledgers.items():
            self._recall_excess(name, ledger, now)

    def _wanted_pools(self) -> list[str]:
        """Return the pools that any borrower has a demand for, in order."""
        pools = {
            pool_name
            for borrower in self.borrowers.values()
            for pool_name in borrower.demands
        }
        return sorted(pools)

    def _serve_upstream(
        self, pool: Pool, upstream: Upstream, ledger: SlotLedger, now: float
    ) -> set[str]:
        limit = self.limit(upstream, now)
        served: set[str] = set()
        while ledger.free(limit, now) > 0:
            share = pick_neediest(self._borrowing(pool, ledger, now))
            if share is None:
                break
            self._lend(share, upstream, ledger, limit, now)
            served.add(share.router_id)
        return served

    def _offer_cold(self, pool: Pool, upstream: Upstream, now: float) -> None:
        """Let the neediest routers claim the permits of a cold upstream."""
        state = self.book.state_of(upstream)
        if self.read_tables().is_drained(upstream):
            return
        offered = self.cold_offers.setdefault(upstream.name, {})
        for router_id, offered_at in list(offered.items()):
            if now - offered_at >= COLD_OFFER_SECONDS:
                offered.pop(router_id)
        for _ in range(state.cold_room - len(offered)):
            waiting = [
                one
                for one in self._heard_lately(self._shares(pool), now)
                if one.router_id not in offered
            ]
            share = pick_neediest(waiting)
            if share is None:
                return
            offered[share.router_id] = now
            self._send_offer(share, state)

    def _send_offer(self, share: Share, state: UpstreamState) -> None:
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

    def _lend(
        self,
        share: Share,
        upstream: Upstream,
        ledger: SlotLedger,
        limit: int,
        now: float,
    ) -> None:
        borrower = self.borrowers[share.router_id]
        if share.router_id not in ledger.loans:
            ledger.open_loan(
                share.router_id,
                borrower.session,
                0,
                borrower.expires_at,
                now,
            )
        ledger.grant(share.router_id, 1, limit, now)
        borrower.touch(upstream.name)
        borrower.unconfirmed += 1
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

    def _shares(self, pool: Pool) -> list[Share]:
        names = self.names_by_pool.get(pool.name, ())
        shares = []
        for router_id, borrower in self.borrowers.items():
            held = self._held(router_id, names)
            demand = borrower.demands.get(pool.name, PoolDemand(pool.name))
            shares.append(Share.from_demand(router_id, demand, held))
        return shares

    def _borrowing(
        self, pool: Pool, ledger: SlotLedger, now: float
    ) -> list[Share]:
        """Return the shares of the routers that were heard lately."""
        return [
            one
            for one in self._heard_lately(self._shares(pool), now)
            if ledger.can_lend_to(
                one.router_id, self.borrowers[one.router_id].session
            )
        ]

    def _heard_lately(self, shares: Iterable[Share], now: float) -> list[Share]:
        silent_at = now + self.lease_seconds - SILENCE_SECONDS
        return [
            share
            for share in shares
            if self.borrowers[share.router_id].expires_at > silent_at
        ]

    def _recall_for_waiting(
        self, pool: Pool, served: set[str], now: float
    ) -> None:
        shares = self._shares(pool)
        urgent = [share for share in shares if share.is_urgent]
        waiting = pick_neediest(self._heard_lately(urgent, now))
        if waiting is None:
            return
        for share in shares:
            borrower = self.borrowers[share.router_id]
            warned_at = borrower.warned_at.get(pool.name, -math.inf)
            if share.held and now - warned_at >= SHORTAGE_REPEAT_SECONDS:
                served.add(share.router_id)
        ahead = pick_furthest_ahead(shares, waiting)
        if ahead is None or self._is_recalling(pool):
            return
        if self.borrowers[waiting.router_id].unconfirmed:
            # It may be cut off; what moves to it might stay idle.
            return
        self._recall(ahead.router_id, pool, 1, served, now)

    def _is_recalling(self, pool: Pool) -> bool:
        for upstream in pool.upstreams:
            ledger = self.ledgers.get(upstream.name)
            loans = ledger.loans.values() if ledger else ()
            if any(loan.recalled > loan.returned for loan in loans):
                return True
        return False

    def _recall(
        self,
        router_id: str,
        pool: Pool,
        slots: int,
        changed: set[str],
        now: float,
    ) -> None:
        """Ask back slots that can be lent to another router at once."""
        pending = slots
        for upstream in pool.upstreams:
            ledger = self.ledgers.get(upstream.name)
            if ledger is None or pending <= 0:
                continue
            if not ledger.can_move(self.limit(upstream, now), now):
                continue
            asked = ledger.recall(router_id, pending)
            if asked:
                pending -= asked
                self.borrowers[router_id].touch(upstream.name)
                changed.add(router_id)

    def _recall_excess(
        self,
        name: str,
        ledger: SlotLedger,
        now: float,
    ) -> None:
        """Ask back what is lent of one upstream above its limit."""
        state = self.book.find(name)
        if state is None or not state.is_known:
            return
        limit = self.limit(state.upstream, now)
        for router_id in ledger.recall_excess(limit):
            self._note_change(router_id, name)
            self._push(router_id)

    def _note_change(self, router_id: str, name: str) -> None:
        borrower = self.borrowers.get(router_id)
        if borrower is not None:
            borrower.touch(name)

    def _push(self, router_id: str) -> None:
        borrower = self.borrowers.get(router_id)
        if borrower is not None:
            self._send_loans(router_id, borrower, borrower.sent_version)

    def _send_loans(
        self, router_id: str, borrower: Borrower, base: int
    ) -> None:
        loans = [
            self._loan_message(router_id, name)
            for name, version in borrower.changed.items()
            if version > base and self._has_loan(router_id, name)
        ]
        borrower.sent_version = borrower.version
        grant = SlotGrant(
            session=borrower.session,
            sequence=borrower.sequence,
            epoch=borrower.epoch,
            lease_ms=int(self.lease_seconds * MS_PER_SECOND),
            base=base,
            version=borrower.version,
            loans=loans,
            short_pools=self._short_pools(borrower),
        )
        self.sender.send(router_id, grant)

    def _short_pools(self, borrower: Borrower) -> list[str]:
        now = self.clock.monotonic()
        short = [
            pool.name
            for pool in self.read_tables().pools.values()
            if any(
                share.is_short and share.is_urgent
                for share in self._shares(pool)
            )
        ]
        borrower.warned_at.update(dict.fromkeys(short, now))
        return short

    def _has_loan(self, router_id: str, name: str) -> bool:
        ledger = self.ledgers.get(name)
        return ledger is not None and router_id in ledger.loans

    def _loan_message(self, router_id: str, name: str) -> GrantedSlots:
        loan = self.ledgers[name].loans[router_id]
        state = self.book.find(name)
        instance = state.instance if state else ''
        return GrantedSlots(name, instance, loan.granted, loan.recalled)


@functools.singledispatch
def _handle(
    message: object, home: SlotHome, sender_id: str, now: float
) -> None:
    """Ignore a message that is not meant for a home."""


@_handle.register
def _handle_renew(
    message: SlotRenew, home: SlotHome, sender_id: str, now: float
) -> None:
    if message.is_opening:
        known = home.open_session(sender_id, message, now)
    else:
        known = home.hear(sender_id, message.session, message.sequence, now)
    if not known:
        return
    home.take_demands(sender_id, message.demands)
    home.acknowledge(sender_id, message)
    for demand in message.demands:
        home.serve(demand.pool, now)


@_handle.register
def _handle_request(
    message: SlotRequest, home: SlotHome, sender_id: str, now: float
) -> None:
    if not home.hear(sender_id, message.session, message.sequence, now):
        return
    home.take_demands(sender_id, message.demands)
    for demand in message.demands:
        home.serve(demand.pool, now)
        home.refuse_if_short(sender_id, demand)


@_handle.register
def _handle_return(
    message: SlotReturn, home: SlotHome, sender_id: str, now: float
) -> None:
    if not home.hear(sender_id, message.session, message.sequence, now):
        return
    home.take_returns(sender_id, message.session, message.returned)
    home.take_demands(sender_id, message.demands)
    for demand in message.demands:
        home.serve(demand.pool, now)


@_handle.register
def _handle_handover(
    message: SlotHandover, home: SlotHome, sender_id: str, now: float
) -> None:
    home.receive_handover(message, now)


@_handle.register
def _handle_sign(
    message: UpstreamSign, home: SlotHome, sender_id: str, now: float
) -> None:
    state = home.book.find(message.upstream)
    if state is None:
        return
    if message.state == REFUSED:
        state.on_refusal(now)
    elif message.state != Phase.unknown:
        state.on_answer(message.instance, message.state, now)
    elif message.instance in {'', state.instance}:
        state.on_connection_failure()
    home.tick()
