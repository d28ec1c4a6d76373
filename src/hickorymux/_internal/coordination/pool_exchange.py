"""The counter exchange of one pool at one router.

In each zone one live router, chosen by rendezvous hash of its id and the
pool's name, is the delegate. The others report to it what they have served;
it tells the zone's total to the delegates of the other zones, and to each
router of its zone what all others have served. Any router can become the
delegate at any moment: it asks all peers to send everything, and its figures
stay lower bounds until they have.
"""

import logging
from collections.abc import Iterable, Iterator
from typing import final

from hickorymux._internal.coordination.fair_queue import FairQueue
from hickorymux._internal.coordination.ports import Member, MemberView
from hickorymux._internal.coordination.service_link import (
    LinkKey,
    LinkKind,
    ServiceLink,
)
from hickorymux._internal.coordination.service_messages import ServiceRequest
from hickorymux._internal.coordination.service_peers import (
    Request,
    WaitingPeers,
    choose_delegate,
)
from hickorymux._internal.state.service_counters import AccountUpdate
from hickorymux._internal.state.zone_columns import Source, ZoneColumns
from hickorymux._internal.utils.clock import Clock

REQUEST_INTERVAL_SECONDS = 5
SYNC_TIMEOUT_SECONDS = 60
# A new delegate waits for longer than the membership needs to name all peers.
LEAST_TERM_SECONDS = 5
TERM_START_RANGE = 1 << 20

_MS_PER_SECOND = 1000

_logger = logging.getLogger(__name__)


@final
class PoolExchange:
    """Links, sums and synchronisation of one pool."""

    __slots__ = (
        'clock',
        'columns',
        'counters',
        'delegate',
        'departed',
        'is_cut',
        'is_isolated',
        'links',
        'members',
        'outstanding',
        'present',
        'queue',
        'revision',
        'sync_deadline',
        'sync_due',
        'term',
        'touched',
        'waits_at_routers',
        'waits_in_zones',
    )

    def __init__(
        self,
        queue: FairQueue,
        members: MemberView,
        clock: Clock,
    ) -> None:
        self.queue = queue
        self.counters = queue.counters
        self.members = members
        self.clock = clock
        self.columns: ZoneColumns | None = None
        self.delegate: Source | None = None
        self.departed: dict[str, int] = {}
        self.present: dict[str, int] = {}
        self.links: dict[LinkKey, ServiceLink] = {}
        self.outstanding: dict[str, Request] = {}
        self.is_cut = False
        self.is_isolated = True
        self.sync_deadline = clock.monotonic()
        self.sync_due = clock.monotonic()
        self.revision = 0
        # Terms of an earlier life of this router differ from those of this one.
        self.term = members.myself.incarnation % TERM_START_RANGE
        self.touched: set[int] = set()
        self.waits_at_routers = WaitingPeers()
        self.waits_in_zones = WaitingPeers()

    @property
    def pool(self) -> str:
        """Return the name of the pool."""
        return self.queue.pool.name

    def prepare(self) -> None:
        """Follow the membership and find what is to be sent."""
        myself = self.members.myself
        delegates = {myself.zone: self._own_delegate()}
        self._follow_role(delegates[myself.zone])
        if self.columns is not None:
            delegates = self._delegates()
            self._follow_presence(self.columns, delegates)
        self._follow_links(delegates)
        changed = self._changed()
        for link in self.links.values():
            link.note_changes(changed)
        self.queue.refresh()

    def requests(self) -> Iterator[tuple[str, ServiceRequest]]:
        """Yield routers to be asked to send, and note that they were asked."""
        if self.columns is None or not self.outstanding:
            return
        due = self.clock.monotonic() - REQUEST_INTERVAL_SECONDS
        delegates = self._delegates()
        oldest_first = sorted(
            self.outstanding.items(),
            key=lambda pair: pair[1].asked_at,
        )
        for peer, request in oldest_first:
            if request.asked_at > due:
                continue
            request.asked_at = self.clock.monotonic()
            delegate = delegates.get(peer)
            router_id = delegate.router_id if delegate else peer
            message = ServiceRequest(self.pool, request.term, request.is_full)
            yield router_id, message

    def answer(self, sender: str, message: ServiceRequest) -> None:
        """Do as a peer asks: send all, or what is unsent, and say when."""
        for link in self.links.values():
            if link.key.router_id != sender or link.term == message.term:
                continue
            link.term = message.term
            if message.is_full:
                link.reset()
            else:
                link.start_catch_up()

    def take_over(self, numbers: Iterable[int]) -> None:
        """Bring accounts up to date with the sums that this router keeps."""
        columns = self.columns
        if columns is None:
            return
        for number in tuple(numbers):
            self.touched.add(number)
            update = AccountUpdate(
                number,
                in_zone=columns.of_members(number),
                other_zones=columns.other_zones.get(number, 0),
            )
            self.counters.merge(update)
            self.counters.set_waits_elsewhere(
                self.counters.account_by_id(number),
                waits=self._waits_elsewhere(number),
            )

    def hear_complete(self, peer: str, term: int) -> bool:
        """Note that a peer has sent everything, if that was asked for."""
        request = self.outstanding.get(peer)
        if request is None or request.term != term:
            return False
        self.outstanding.pop(peer)
        return True

    def end_isolation(self, columns: ZoneColumns) -> None:
        """Take the zone's earlier total from the first other zone heard.

        It happens once in a life: later the others also know service of this
        life, which must not be added to itself.
        """
        if self.is_isolated:
            self.is_isolated = False
            columns.reopen()
            self.sync_due = self.clock.monotonic() + LEAST_TERM_SECONDS

    def follow_delegate(self, *, is_complete: bool) -> None:
        """Take the delegate's word on whether the counters are synced."""
        if not is_complete:
            self._start_rejoin()
        elif not self.counters.is_synced:
            self._mark_synced()

    def _waits_elsewhere(self, number: int) -> bool:
        if number in self.waits_at_routers.peers:
            return True
        return number in self.waits_in_zones.peers

    def _own_delegate(self) -> Member:
        myself = self.members.myself
        delegate = choose_delegate(
            self.members.live_in_zone(myself.zone),
            self.pool,
        )
        return delegate or myself

    def _delegates(self) -> dict[str, Member]:
        zones = {member.zone for member in self.members.live()}
        chosen = {}
        for zone in sorted(zones):
            delegate = choose_delegate(
                self.members.live_in_zone(zone),
                self.pool,
            )
            if delegate is not None:
                chosen[zone] = delegate
        chosen[self.members.myself.zone] = self._own_delegate()
        return chosen

    def _follow_role(self, delegate: Member) -> None:
        source = Source(delegate.router_id, delegate.incarnation)
        if source == self.delegate:
            return
        _logger.info(
            'delegate changed',
            extra={
                'event': 'fairness.delegate',
                'pool': self.pool,
                'delegate': source.router_id,
            },
        )
        self.delegate = source
        self.is_cut = False
        self.counters.mark_unsynced()
        self._forget_waiting()
        if source.router_id == self.members.myself.router_id:
            self._start_term()
        else:
            self.columns = None
            self.is_isolated = False

    def _forget_waiting(self) -> None:
        self.waits_at_routers = WaitingPeers()
        self.waits_in_zones = WaitingPeers()
        for account in self.counters.accounts.values():
            self.counters.set_waits_elsewhere(account, waits=False)

    def _start_term(self) -> None:
        started = self.clock.wall().timestamp() * _MS_PER_SECOND
        accounts = self.counters.accounts.values()
        self.columns = ZoneColumns.from_base(
            int(started),
            {account.customer_id: account.in_zone for account in accounts},
        )
        self.sync_due = self.clock.monotonic() + LEAST_TERM_SECONDS
        self.present.clear()
        self.departed.clear()
        self.outstanding.clear()

    def _follow_presence(
        self,
        columns: ZoneColumns,
        delegates: dict[str, Member],
    ) -> None:
        now = self.clock.monotonic()
        myself = self.members.myself
        routers = {
            member.router_id: member.incarnation
            for member in self.members.live_in_zone(myself.zone)
            if member.router_id != myself.router_id
        }
        present = dict.fromkeys(delegates, 0) | routers
        present.pop(myself.zone)
        self._note_departed(present)
        if len(delegates) > 1:
            self.end_isolation(columns)
        for peer, incarnation in present.items():
            if self.present.get(peer) != incarnation:
                self._note_arrived(peer, incarnation)
        self.present = present
        columns.fold((Source(*pair) for pair in routers.items()), now)
        self.check_synced()

    def _note_departed(self, present: dict[str, int]) -> None:
        for peer, incarnation in self.present.items():
            if peer not in present:
                self.departed[peer] = incarnation
                self.outstanding.pop(peer, None)
                self.take_over(
                    self.waits_at_routers.drop(peer)
                    + self.waits_in_zones.drop(peer),
                )

    def _note_arrived(self, peer: str, incarnation: int) -> None:
        is_back = self.departed.pop(peer, None) == incarnation
        if is_back or not incarnation:
            self._start_rejoin()
        self.term += 1
        self.outstanding[peer] = Request(self.term, is_full=not is_back)
        now = self.clock.monotonic()
        self.sync_deadline = now + SYNC_TIMEOUT_SECONDS

    def _start_rejoin(self) -> None:
        if self.counters.is_synced:
            self.is_cut = True
            self.counters.mark_unsynced()

    def check_synced(self) -> None:
        """Settle the sums once all peers that were asked have answered."""
        columns = self.columns
        if columns is None:
            return
        now = self.clock.monotonic()
        if now < self.sync_due:
            return
        if self.outstanding and now < self.sync_deadline:
            return
        self._settle(columns)
        if not self.counters.is_synced:
            self._mark_synced()
            for link in self.links.values():
                if link.key.kind is LinkKind.fleet:
                    link.start_catch_up()

    def _settle(self, columns: ZoneColumns) -> None:
        if columns.is_settled:
            return
        columns.settle()
        self.take_over(self.counters.accounts)
        for link in self.links.values():
            link.note_changes(self.counters.accounts)

    def _mark_synced(self) -> None:
        self.counters.mark_synced()
        _logger.info(
            'service counters synced',
            extra={
                'event': 'fairness.synced',
                'pool': self.pool,
                'is_debt_forgiven': self.is_cut,
            },
        )
        if self.is_cut:
            self.is_cut = False
            self.queue.rejoin()
        else:
            self.queue.lift_returned()

    def _follow_links(self, delegates: dict[str, Member]) -> None:
        wanted = dict(self._wanted_links(delegates))
        for key in self.links.keys() - wanted.keys():
            self.links.pop(key)
        for key, is_once in wanted.items():
            if key in self.links:
                continue
            self.links[key] = ServiceLink(
                key,
                self.counters.accounts,
                is_once=is_once,
            )

    def _wanted_links(
        self,
        delegates: dict[str, Member],
    ) -> Iterator[tuple[LinkKey, bool]]:
        myself = self.members.myself
        if self.columns is None:
            yield _key(LinkKind.report, delegates[myself.zone]), False
            return
        for member in self.members.live_in_zone(myself.zone):
            if member.router_id != myself.router_id:
                yield _key(LinkKind.fleet, member), False
        for zone, delegate in delegates.items():
            if zone == myself.zone:
                continue
            yield _key(LinkKind.zone, delegate, myself.zone), False
            for known in self._zones_to_return(zone, delegates):
                yield _key(LinkKind.zone, delegate, known), True

    def _zones_to_return(
        self,
        zone: str,
        delegates: dict[str, Member],
    ) -> Iterator[str]:
        # A delegate with no memory gets back its own zone's total, and those
        # of zones that nobody hears.
        known_zones = self.columns.zones if self.columns else ()
        for known in known_zones:
            if known == zone or known not in delegates:
                yield known

    def _changed(self) -> set[int]:
        changed = {
            account.customer_id
            for account in self.counters.changed_since(self.revision)
        }
        changed |= self.touched
        self.touched.clear()
        self.revision = self.counters.next_revision()
        return changed


def _key(kind: LinkKind, member: Member, zone: str = '') -> LinkKey:
    return LinkKey(kind, member.router_id, member.incarnation, zone)
