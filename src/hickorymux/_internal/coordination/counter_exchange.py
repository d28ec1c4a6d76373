"""Exchange of service counters between routers within a byte budget.

At each tick the links of all pools send their unsent changes, the link with
the largest changes first, until the budget is spent. What does not fit is
sent at a later tick. No messages are queued: every message carries cumulative
figures, so only the latest ones matter.
"""

import dataclasses
import itertools
import math
from typing import Any, Self, final

from hickorymux._internal.coordination.fair_queue import FairQueue
from hickorymux._internal.coordination.pool_exchange import PoolExchange
from hickorymux._internal.coordination.ports import MemberView, PeerSender
from hickorymux._internal.coordination.service_handlers import (
    handle_service_message,
)
from hickorymux._internal.coordination.service_link import (
    MESSAGE_OVERHEAD_BYTES,
    Batch,
    LinkKind,
    ReadRow,
    ServiceLink,
)
from hickorymux._internal.coordination.service_messages import (
    FleetService,
    ServiceReport,
    ZoneService,
)
from hickorymux._internal.coordination.service_rows import row_reader
from hickorymux._internal.utils.clock import Clock

EXCHANGE_INTERVAL_SECONDS = 0.5
BUDGET_BYTES_PER_SECOND = 2000
BUDGET_BURST_SECONDS = 1.0
# Links examined at a tick, which limits its processor time. The byte budget
# allows messages on fewer links than this.
LINKS_PER_TICK = 12
# Part of the budget that requests may use; the answers need the larger part.
REQUEST_SHARE = 0.25

# A message is sent only if its rows may take at least this many bytes.
_FIRST_ROW_BYTES = 32


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A link with something to send.

    ``urgency`` is the sum of its unsent changes in virtual units, or infinite
    when only the link's status has to be sent.
    """

    urgency: float
    exchange: PoolExchange
    link: ServiceLink
    read_row: ReadRow


@final
class CounterExchange:
    """Exchanges the counters of all pools with the other routers.

    ``allowance`` and ``request_allowance`` are the bytes that may be sent now:
    token buckets that fill at the rate of the budget.

    Example::

        exchange = CounterExchange.from_config(members, sender, clock)
        exchange.add_pool(queue)
        task = asyncio.create_task(exchange.run())
    """

    __slots__ = (
        'allowance',
        'bytes_per_second',
        'clock',
        'interval',
        'members',
        'pools',
        'refilled_at',
        'request_allowance',
        'sender',
        'sent_bytes',
        'ticks',
    )

    def __init__(
        self,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        bytes_per_second: int,
        interval: float,
    ) -> None:
        self.members = members
        self.sender = sender
        self.clock = clock
        self.bytes_per_second = bytes_per_second
        self.interval = interval
        self.pools: dict[str, PoolExchange] = {}
        self.allowance: float = 0
        self.request_allowance: float = 0
        self.refilled_at = clock.monotonic()
        self.sent_bytes = 0
        self.ticks = 0

    @classmethod
    def from_config(
        cls,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        bytes_per_second: int = BUDGET_BYTES_PER_SECOND,
        interval: float = EXCHANGE_INTERVAL_SECONDS,
    ) -> Self:
        """Return an exchange without pools; ``interval`` is in seconds."""
        return cls(members, sender, clock, bytes_per_second, interval)

    def add_pool(self, queue: FairQueue) -> None:
        """Start the exchange for the pool of a queue."""
        exchange = PoolExchange(queue, self.members, self.clock)
        self.pools[queue.pool.name] = exchange

    def remove_pool(self, pool: str) -> None:
        """Stop the exchange for a pool that is no longer configured."""
        self.pools.pop(pool, None)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(self.interval)

    def tick(self) -> None:
        """Send as much as the budget allows, the largest changes first."""
        self._refill_allowance()
        self._send_changes()

    def flush(self) -> None:
        """Send all unsent changes, regardless of the budget.

        Called at shutdown, after the last request has ended.
        """
        self.allowance = math.inf
        self._send_changes()
        self.allowance = 0

    def on_message(self, sender_id: str, message: Any) -> None:
        """Handle a message from another router.

        Messages for unknown pools and those of other types are ignored.
        """
        exchange = self.pools.get(getattr(message, 'pool', ''))
        if exchange is not None:
            handle_service_message(message, sender_id, exchange)

    def _refill_allowance(self) -> None:
        now = self.clock.monotonic()
        gained = (now - self.refilled_at) * self.bytes_per_second
        burst_bytes = self.bytes_per_second * BUDGET_BURST_SECONDS
        self.allowance = min(self.allowance + gained, burst_bytes)
        self.request_allowance = min(
            self.request_allowance + gained * REQUEST_SHARE,
            burst_bytes,
        )
        self.refilled_at = now

    def _send_changes(self) -> None:
        for exchange in self.pools.values():
            exchange.prepare()
            self._send_requests(exchange)
        candidates = self._candidates()
        candidates.sort(key=lambda one: one.urgency, reverse=True)
        for candidate in candidates:
            self._send_link(candidate)

    def _candidates(self) -> list[Candidate]:
        links = [
            (exchange, link)
            for exchange in self.pools.values()
            for link in exchange.links.values()
        ]
        if self.allowance < math.inf:
            links.sort(key=lambda pair: pair[1].examined_at_tick)
            links = links[:LINKS_PER_TICK]
        self.ticks += 1
        for _, link in links:
            link.examined_at_tick = self.ticks
        found = (find_candidate(*pair) for pair in links)
        return [candidate for candidate in found if candidate is not None]

    def _send_requests(self, exchange: PoolExchange) -> None:
        max_requests = max(
            int(self.request_allowance // MESSAGE_OVERHEAD_BYTES), 0
        )
        for router_id, request in itertools.islice(
            exchange.due_requests(), max_requests
        ):
            self.request_allowance -= MESSAGE_OVERHEAD_BYTES
            self._spend(MESSAGE_OVERHEAD_BYTES)
            self.sender.send(router_id, request)

    def _send_link(self, candidate: Candidate) -> None:
        while self.allowance >= MESSAGE_OVERHEAD_BYTES + _FIRST_ROW_BYTES:
            link = candidate.link
            batch = link.next_batch(candidate.read_row, self.allowance)
            self._spend(batch.size)
            message = compose_message(candidate.exchange, link, batch)
            if not self.sender.send(link.key.router_id, message):
                link.reset()
                return
            if self.allowance < math.inf or not link.pending:
                return

    def _spend(self, size: int) -> None:
        self.allowance -= size
        self.sent_bytes += size


def find_candidate(
    exchange: PoolExchange,
    link: ServiceLink,
) -> Candidate | None:
    """Return a candidate for the link, or None when it has nothing to send."""
    floor = int(exchange.counters.floor)
    read = row_reader(exchange, link)
    urgency = link.unsent_change(read, floor)
    if not link.pending and is_status_unsent(exchange, link):
        urgency = math.inf
    return Candidate(urgency, exchange, link, read) if urgency else None


def is_status_unsent(exchange: PoolExchange, link: ServiceLink) -> bool:
    """Return whether the peer lacks the link's current term or completeness."""
    if link.sends_once:
        return False
    if link.sent_term != link.term:
        return True
    return link.sent_complete != is_complete(exchange, link)


def is_complete(exchange: PoolExchange, link: ServiceLink) -> bool:
    """Return whether the peer has everything once it gets this message.

    A peer that is sent several zone totals has everything when all its links
    of that kind are complete.
    """
    if link.key.kind is LinkKind.fleet:
        return exchange.counters.is_synced and link.is_complete
    return all(
        other.is_complete
        for other in exchange.links.values()
        if other.key.router_id == link.key.router_id
        and other.key.kind is link.key.kind
    )


def compose_message(
    exchange: PoolExchange,
    link: ServiceLink,
    batch: Batch,
) -> ServiceReport | ZoneService | FleetService:
    """Return the message that carries a batch of rows over a link."""
    floor = int(exchange.counters.floor)
    complete = is_complete(exchange, link)
    link.note_sent(floor, is_complete=complete)
    if link.key.kind is LinkKind.report:
        return ServiceReport(
            pool=exchange.pool,
            incarnation=exchange.members.myself.incarnation,
            rows=batch.rows,
            zone_known=batch.second_column if any(batch.second_column) else [],
            floor=floor,
            term=link.term,
            is_complete=complete,
        )
    if link.key.kind is LinkKind.zone:
        return ZoneService(
            pool=exchange.pool,
            zone=link.key.zone,
            rows=batch.rows,
            floor=floor,
            term=link.term,
            is_complete=complete,
        )
    return FleetService(
        pool=exchange.pool,
        incarnation=exchange.members.myself.incarnation,
        rows=batch.rows,
        other_zones=batch.second_column,
        floor=floor,
        is_complete=complete,
        recipient=link.key.incarnation,
    )
