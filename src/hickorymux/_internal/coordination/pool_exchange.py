"""The counter exchange of one pool at one router.

In each zone one live router is the zone delegate, chosen by a rendezvous hash
of its id and the pool's name. The other routers of the zone report to it what
they have served. It sends the zone's total to the delegates of the other
zones, and sends each router of its zone what all others have served.

Any router can become the delegate at any moment. It then asks all peers to
send everything. Until they have, its figures are lower bounds that may be far
too low, and the counters are not synced.
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
from hickorymux._internal.state.zone_columns import Source, ZoneTotals
from hickorymux._internal.utils.clock import Clock

# An unanswered request is repeated after this time.
REQUEST_INTERVAL_SECONDS = 5
# The counters count as synced after this time even if a peer did not answer.
SYNC_TIMEOUT_SECONDS = 60
# A new delegate collects reports for at least this time, which is longer than
# the membership needs to discover all peers.
MIN_COLLECT_SECONDS = 5
# The first term is the router's incarnation modulo this.
INITIAL_TERM_LIMIT = 1 << 20

_MS_PER_SECOND = 1000

_logger = logging.getLogger(__name__)


@final
class PoolExchange:
    """Links to peers, zone totals and synchronisation state of one pool.

    ``zone_totals`` is None at a router that is not the zone delegate.

    The delegate's peers are the other routers of its zone, by router id, and
    the other zones, by name; messages to a zone go to its current delegate.
    ``present_peers`` and ``departed_peers`` map them to an incarnation, which
    is 0 for a zone. ``outstanding`` holds the requests to peers that are not
    answered. ``term`` is the number of the latest request.

    The totals are not settled before ``earliest_sync``; after
    ``sync_deadline`` missing answers are not waited for. Both are on the
    monotonic clock. ``is_isolated`` is true until this router knows of another
    zone or follows another delegate. ``is_rejoining`` is true while synced
    counters are being synced again after a network partition.
    """

    __slots__ = (
        'clock',
        'counters',
        'delegate',
        'departed_peers',
        'earliest_sync',
        'is_isolated',
        'is_rejoining',
        'links',
        'members',
        'outstanding',
        'present_peers',
        'queue',
        'revision',
        'sync_deadline',
        'term',
        'touched_customers',
        'waits_at_routers',
        'waits_in_zones',
        'zone_totals',
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
        self.zone_totals: ZoneTotals | None = None
        self.delegate: Source | None = None
        self.departed_peers: dict[str, int] = {}
        self.present_peers: dict[str, int] = {}
        self.links: dict[LinkKey, ServiceLink] = {}
        self.outstanding: dict[str, Request] = {}
        self.is_rejoining = False
        self.is_isolated = True
        self.sync_deadline = clock.monotonic()
        self.earliest_sync = clock.monotonic()
        self.revision = 0
        # Starts at a different value in each incarnation, so that a late answer
        # to an earlier incarnation is not taken for one to this.
        self.term = members.myself.incarnation % INITIAL_TERM_LIMIT
        self.touched_customers: set[int] = set()
        self.waits_at_routers = WaitingPeers()
        self.waits_in_zones = WaitingPeers()

    @property
    def pool(self) -> str:
        """Return the name of the pool."""
        return self.queue.pool.name

    def prepare(self) -> None:
        """Apply membership changes and mark the changed rows for sending."""
        myself = self.members.myself
        delegates = {myself.zone: self._own_zone_delegate()}
        self._update_delegate(delegates[myself.zone])
        if self.zone_totals is not None:
            delegates = self._delegates_by_zone()
            self._update_peers(self.zone_totals, delegates)
        self._update_links(delegates)
        changed = self._take_changed()
        for link in self.links.values():
            link.add_pending(changed)
        self.queue.apply_merged_counters()

    def due_requests(self) -> Iterator[tuple[str, ServiceRequest]]:
        """Yield the requests to send now with the ids of their recipients.

        Those that were not sent for the longest time come first. Each counts
        as sent once it is yielded.
        """
        if self.zone_totals is None or not self.outstanding:
            return
        asked_before = self.clock.monotonic() - REQUEST_INTERVAL_SECONDS
        delegates = self._delegates_by_zone()
        longest_unasked_first = sorted(
            self.outstanding.items(),
            key=lambda pair: pair[1].asked_at,
        )
        for peer, request in longest_unasked_first:
            if request.asked_at > asked_before:
                continue
            request.asked_at = self.clock.monotonic()
            delegate = delegates.get(peer)
            router_id = delegate.router_id if delegate else peer
            message = ServiceRequest(self.pool, request.term, request.is_full)
            yield router_id, message

    def handle_request(self, sender: str, message: ServiceRequest) -> None:
        """Handle a peer's request to send everything, or all unsent rows.

        Once they are sent, messages to the peer carry the request's term and
        ``is_complete``.
        """
        for link in self.links.values():
            if link.key.router_id != sender or link.term == message.term:
                continue
            link.term = message.term
            if message.is_full:
                link.reset()
            else:
                link.start_catch_up()

    def apply_zone_totals(self, customer_ids: Iterable[int]) -> None:
        """Update the accounts of customers from the zone totals."""
        totals = self.zone_totals
        if totals is None:
            return
        for customer_id in tuple(customer_ids):
            self.touched_customers.add(customer_id)
            update = AccountUpdate(
                customer_id,
                in_zone=totals.service_of_others(customer_id),
                other_zones=totals.other_zones.get(customer_id, 0),
            )
            self.counters.merge(update)
            self.counters.set_waits_elsewhere(
                self.counters.account_by_id(customer_id),
                waits=self._waits_elsewhere(customer_id),
            )

    def mark_complete(self, peer: str, term: int) -> bool:
        """Record that a peer has sent everything for a request.

        Return False when ``term`` is not that of an outstanding request.
        """
        request = self.outstanding.get(peer)
        if request is None or request.term != term:
            return False
        self.outstanding.pop(peer)
        return True

    def end_isolation(self, totals: ZoneTotals) -> None:
        """Accept the zone's earlier total from other zones, at first contact.

        This happens once in an incarnation. Afterwards the other zones also
        know the service of this incarnation, which would count twice.
        """
        if self.is_isolated:
            self.is_isolated = False
            totals.reopen_base()
            self.earliest_sync = self.clock.monotonic() + MIN_COLLECT_SECONDS

    def apply_delegate_state(self, *, is_complete: bool) -> None:
        """Set whether the counters are synced, as the delegate reports it."""
        if not is_complete:
            self._start_rejoin()
        elif not self.counters.is_synced:
            self._mark_synced()

    def _waits_elsewhere(self, customer_id: int) -> bool:
        if customer_id in self.waits_at_routers.peers_by_customer:
            return True
        return customer_id in self.waits_in_zones.peers_by_customer

    def _own_zone_delegate(self) -> Member:
        myself = self.members.myself
        delegate = choose_delegate(
            self.members.live_in_zone(myself.zone),
            self.pool,
        )
        return delegate or myself

    def _delegates_by_zone(self) -> dict[str, Member]:
        zones = {member.zone for member in self.members.live()}
        chosen = {}
        for zone in sorted(zones):
            delegate = choose_delegate(
                self.members.live_in_zone(zone),
                self.pool,
            )
            if delegate is not None:
                chosen[zone] = delegate
        chosen[self.members.myself.zone] = self._own_zone_delegate()
        return chosen

    def _update_delegate(self, delegate: Member) -> None:
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
        self.is_rejoining = False
        self.counters.mark_unsynced()
        self._clear_waiting()
        if source.router_id == self.members.myself.router_id:
            self._become_delegate()
        else:
            self.zone_totals = None
            self.is_isolated = False

    def _clear_waiting(self) -> None:
        self.waits_at_routers = WaitingPeers()
        self.waits_in_zones = WaitingPeers()
        for account in self.counters.accounts.values():
            self.counters.set_waits_elsewhere(account, waits=False)

    def _become_delegate(self) -> None:
        started = self.clock.wall().timestamp() * _MS_PER_SECOND
        accounts = self.counters.accounts.values()
        self.zone_totals = ZoneTotals.from_base(
            int(started),
            {account.customer_id: account.in_zone for account in accounts},
        )
        self.earliest_sync = self.clock.monotonic() + MIN_COLLECT_SECONDS
        self.present_peers.clear()
        self.departed_peers.clear()
        self.outstanding.clear()

    def _update_peers(
        self,
        totals: ZoneTotals,
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
        self._remove_departed(present)
        if len(delegates) > 1:
            self.end_isolation(totals)
        for peer, incarnation in present.items():
            if self.present_peers.get(peer) != incarnation:
                self._add_arrived(peer, incarnation)
        self.present_peers = present
        totals.retire_silent((Source(*pair) for pair in routers.items()), now)
        self.finish_sync_if_ready()

    def _remove_departed(self, present: dict[str, int]) -> None:
        for peer, incarnation in self.present_peers.items():
            if peer not in present:
                self.departed_peers[peer] = incarnation
                self.outstanding.pop(peer, None)
                self.apply_zone_totals(
                    self.waits_at_routers.remove_peer(peer)
                    + self.waits_in_zones.remove_peer(peer),
                )

    def _add_arrived(self, peer: str, incarnation: int) -> None:
        is_back = self.departed_peers.pop(peer, None) == incarnation
        if is_back or not incarnation:
            self._start_rejoin()
        self.term += 1
        self.outstanding[peer] = Request(self.term, is_full=not is_back)
        now = self.clock.monotonic()
        self.sync_deadline = now + SYNC_TIMEOUT_SECONDS

    def _start_rejoin(self) -> None:
        if self.counters.is_synced:
            self.is_rejoining = True
            self.counters.mark_unsynced()

    def finish_sync_if_ready(self) -> None:
        """Settle the zone totals and mark the counters as synced.

        Does nothing before ``earliest_sync``, or while peers have requests to
        answer and ``sync_deadline`` has not passed.
        """
        totals = self.zone_totals
        if totals is None:
            return
        now = self.clock.monotonic()
        if now < self.earliest_sync:
            return
        if self.outstanding and now < self.sync_deadline:
            return
        self._settle_totals(totals)
        if not self.counters.is_synced:
            self._mark_synced()
            for link in self.links.values():
                if link.key.kind is LinkKind.fleet:
                    link.start_catch_up()

    def _settle_totals(self, totals: ZoneTotals) -> None:
        if totals.is_settled:
            return
        totals.settle()
        self.apply_zone_totals(self.counters.accounts)
        for link in self.links.values():
            link.add_pending(self.counters.accounts)

    def _mark_synced(self) -> None:
        self.counters.mark_synced()
        _logger.info(
            'service counters synced',
            extra={
                'event': 'fairness.synced',
                'pool': self.pool,
                'is_debt_forgiven': self.is_rejoining,
            },
        )
        if self.is_rejoining:
            self.is_rejoining = False
            self.queue.forgive_partition_debt()
        else:
            self.queue.lift_returned_customers()

    def _update_links(self, delegates: dict[str, Member]) -> None:
        wanted = dict(self._wanted_links(delegates))
        for key in self.links.keys() - wanted.keys():
            self.links.pop(key)
        for key, sends_once in wanted.items():
            if key in self.links:
                continue
            self.links[key] = ServiceLink(
                key,
                self.counters.accounts,
                sends_once=sends_once,
            )

    def _wanted_links(
        self,
        delegates: dict[str, Member],
    ) -> Iterator[tuple[LinkKey, bool]]:
        myself = self.members.myself
        if self.zone_totals is None:
            yield _link_key(LinkKind.report, delegates[myself.zone]), False
            return
        for member in self.members.live_in_zone(myself.zone):
            if member.router_id != myself.router_id:
                yield _link_key(LinkKind.fleet, member), False
        for zone, delegate in delegates.items():
            if zone == myself.zone:
                continue
            yield _link_key(LinkKind.zone, delegate, myself.zone), False
            for known in self._zones_to_return(zone, delegates):
                yield _link_key(LinkKind.zone, delegate, known), True

    def _zones_to_return(
        self,
        zone: str,
        delegates: dict[str, Member],
    ) -> Iterator[str]:
        # A delegate that lost its counters in a restart gets back the total of
        # its own zone, and those of zones without a live router.
        known_zones = self.zone_totals.zones if self.zone_totals else ()
        for known in known_zones:
            if known == zone or known not in delegates:
                yield known

    def _take_changed(self) -> set[int]:
        changed = {
            account.customer_id
            for account in self.counters.changed_since(self.revision)
        }
        changed |= self.touched_customers
        self.touched_customers.clear()
        self.revision = self.counters.next_revision()
        return changed


def _link_key(kind: LinkKind, member: Member, zone: str = '') -> LinkKey:
    return LinkKey(kind, member.router_id, member.incarnation, zone)
