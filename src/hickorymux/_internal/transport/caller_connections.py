"""Bounds what each connection of a caller may hold, in each of its states.

The HTTP library has no bound on the time and the bytes of a whole head, parses
pipelined requests ahead, and waits without end for a caller that doesn't read
an answer. ``CallerConnection`` counts the bytes of each connection that belong
to no complete request yet, and ``CallerConnections`` closes those that exceed
a bound. The states and bounds are listed in ``docs/design/memory-bounds.md``.
"""

import asyncio
import collections
import dataclasses
import enum
from collections.abc import Callable
from typing import Any, Final, final

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hickorymux._internal.exceptions import ConnectionsShort
from hickorymux._internal.state.routing import IngressLimits
from hickorymux._internal.transport.bounded_reads import (
    READ_BYTES,
    BoundedReads,
)
from hickorymux._internal.transport.entry_call import EntryCall
from hickorymux._internal.transport.memory_budget import (
    PROGRESS_WINDOW_SECONDS,
    MemoryBudget,
    MemoryHold,
)

# Pipelined requests are read ahead up to this size. Beyond it the connection
# isn't read, and the end of the caller is noticed only after its request.
MAX_PIPELINED_BYTES: Final = 1 << 14
# The writing to a caller pauses above this size, which is what a slow reader
# holds of an answer that is streamed.
WRITE_BUFFER_BYTES: Final = 1 << 14
# What an answer costs beside its own buffer while its caller does not read: the
# write buffer, and what is read ahead from the upstream.
UNREAD_ANSWER_BYTES: Final = 4 * WRITE_BUFFER_BYTES
# Share of the connections that are closed at once when there are too many, so
# that the search for them is rare.
MAX_CLOSED_SHARE: Final = 1 / 16
# How long the order in which connections make room is kept.
RANKING_SECONDS: Final = 0.1
# An answer of which the caller reads nothing for this long makes room too.
MIN_UNREAD_SECONDS: Final = 2.0
# A request that has waited this long for an upstream makes room last.
MIN_QUEUED_SECONDS: Final = 1.0
# A connection that makes room is aborted after this time at the latest.
MAX_CLOSING_SECONDS: Final = 1.0


@final
class YieldRank(enum.IntEnum):
    """Which connections are closed first for one that waits."""

    slow = 0
    incomplete = 1
    unread = 2
    queued = 3


@final
@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Limits of the connections of callers.

    ``ingress`` returns the limits of the routing table in force, and
    ``longest_seconds`` the longest time that a caller waits for an answer.
    """

    max_connections: int
    ingress: Callable[[], IngressLimits]
    longest_seconds: Callable[[], float]


@final
class CallerConnection(BoundedReads):
    """One connection; counts what it holds beside its current request.

    ``pending_bytes`` belong to an incomplete head or to a trailer, and
    ``pipelined_bytes`` to requests that wait for the current one.
    ``pending_since`` and ``unread_since`` are monotonic times in seconds, the
    latter of when the caller ceased to read an answer. ``receiving`` is the
    hold of the request whose body arrives, and ``waiting`` the request that is
    complete and not answered.
    """

    __slots__ = (
        'body_bytes',
        'connections',
        'opened_at',
        'payload',
        'pending_bytes',
        'pending_since',
        'pipelined_bytes',
        'receiving',
        'requests',
        'transport',
        'unread_since',
        'waiting',
    )

    def __init__(
        self,
        handler: Any,
        transport: Any,
        connections: 'CallerConnections',
    ) -> None:
        super().__init__(handler)
        self.transport = transport
        self.connections = connections
        self.opened_at = connections.now()
        self.receiving: MemoryHold | None = None
        self.waiting: EntryCall | None = None
        self.requests = 0
        self.payload: Any = None
        self.body_bytes = 0
        self.pending_bytes = 0
        self.pending_since: float = 0
        self.pipelined_bytes = 0
        self.unread_since: float = 0

    @property
    def is_idle(self) -> bool:
        """Return whether it waits for a request."""
        waiter = self.handler._waiter
        return waiter is not None and not waiter.done()

    @property
    def address(self) -> str:
        """Return the IP address of the caller, empty if it has left."""
        peer = self.transport.get_extra_info('peername')
        return peer[0] if peer else ''

    @property
    def is_lingering(self) -> bool:
        """Return whether the rest of a refused request is read and dropped."""
        handler = self.handler
        return (
            bool(self.requests)
            and handler._waiter is None
            and not handler._request_in_progress
        )

    def yield_rank(self, now: float) -> YieldRank | None:
        """Return how soon it is closed for a connection that waits.

        ``None`` is for one whose request is complete and at work, or whose
        answer is being read.
        """
        hold = self.receiving
        if hold is not None:
            return YieldRank.slow if hold.is_slow(now) else YieldRank.incomplete
        if self.is_idle:
            since = self.pending_since if self.pending_bytes else self.opened_at
            is_begun = bool(self.pending_bytes) or not self.requests
            is_slow = is_begun and now - since > PROGRESS_WINDOW_SECONDS
            return YieldRank.slow if is_slow else YieldRank.incomplete
        if self.is_lingering:
            return YieldRank.slow
        return self._rank_at_work(now)

    def _rank_at_work(self, now: float) -> YieldRank | None:
        if self.unread_since and now - self.unread_since > MIN_UNREAD_SECONDS:
            return YieldRank.unread
        call = self.waiting
        if call is None or not call.is_waiting:
            return None
        has_waited = now - call.demand.arrived_at > MIN_QUEUED_SECONDS
        return YieldRank.queued if has_waited else None

    def waiting_since(self) -> float:
        """Return since when it waits for its caller, in monotonic seconds."""
        if self.receiving is not None:
            return self.receiving.opened_at
        if self.pending_bytes:
            return self.pending_since
        if self.unread_since:
            return self.unread_since
        if self.waiting is not None:
            return self.waiting.demand.arrived_at
        handler = self.handler
        idle_since: float = (
            handler._next_keepalive_close_time - handler.keepalive_timeout
        )
        return max(self.opened_at, idle_since)

    def is_head_late(self, now: float, seconds: float) -> bool:
        """Return whether a head has been incomplete for too long.

        One that waits behind a request in progress has as much time as any
        other once that request has ended.
        """
        if not self.is_idle:
            self.pending_since = now
        return bool(self.pending_bytes) and now - self.pending_since > seconds

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that were read, and bound those that wait."""
        super().buffer_updated(nbytes)
        handler = self.handler
        if handler._request_count != self.requests:
            self.requests = handler._request_count
            self._on_requests(nbytes)
            return
        if not self._has_body_advanced():
            self._add_pending(nbytes)
        elif self.pending_bytes:
            self._clear_pending()

    def pause_writing(self) -> None:
        """Note since when the caller reads too slowly."""
        if not self.unread_since:
            self.connections.budget.charge(UNREAD_ANSWER_BYTES)
        self.unread_since = self.connections.now()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Note that the caller has read what was sent."""
        self._clear_unread()
        super().resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection held."""
        self.connections.remove(self)
        self._clear_pending()
        self._clear_unread()
        self._set_pipelined(0)
        super().connection_lost(exc)
        # Without cycles, its memory is free at once and not when the collector
        # runs, which is rare while callers come and go.
        self.handler.connection = None
        self.handler._keepalive_handle = None
        self.transport = None

    def close(self, reason: str) -> None:
        """Close the connection at once and count the reason."""
        self.connections.budget.counts[reason] += 1
        self.transport.abort()

    def yield_now(self) -> None:
        """Make room for a connection that waits.

        A request that is incomplete or waits for an upstream is refused, and
        has not run.
        """
        call = self.waiting
        if self.receiving is not None:
            self.receiving.evict(_incomplete_request)
        elif call is not None and call.is_waiting:
            call.is_displaced = True
            call.refuse_waiting()
        else:
            self.close('connections')
            return
        self.connections.budget.counts['connections'] += 1
        # The rest of the body is not awaited.
        self.handler._lingering_time = 0

    def _has_body_advanced(self) -> bool:
        """Return whether the last read had content or the end of a body."""
        payload = self.payload
        if payload is None:
            return False
        if payload.is_eof():
            self.payload = None
            return True
        former = self.body_bytes
        self.body_bytes = payload.total_bytes
        return self.body_bytes != former

    def _on_requests(self, nbytes: int) -> None:
        """Bound the requests that are read while another one is handled."""
        self._clear_pending()
        handler = self.handler
        queued = handler._messages
        if queued:
            _drop_traceback(queued[-1][0])
        payload = queued[-1][1] if queued else None
        is_whole = payload is None or payload.is_eof()
        self.payload = None if is_whole else payload
        self.body_bytes = 0
        if len(queued) < 2 and not handler._request_in_progress:
            if self.pipelined_bytes:
                self._set_pipelined(0)
            return
        self._set_pipelined(self.pipelined_bytes + nbytes if queued else 0)
        if (
            self.pipelined_bytes > MAX_PIPELINED_BYTES
            and not handler._buffer_paused
        ):
            handler._pause_reading_for_buffer()

    def _set_pipelined(self, size: int) -> None:
        change = size - self.pipelined_bytes
        self.pipelined_bytes = size
        if change > 0:
            self.connections.budget.charge(change)
        elif change:
            # Also lets the bodies go on that wait for room.
            self.connections.budget.release(-change)

    def _add_pending(self, nbytes: int) -> None:
        connections = self.connections
        if not self.pending_bytes:
            self.pending_since = connections.now()
        self.pending_bytes += nbytes
        connections.budget.charge(nbytes)
        limits = connections.limits.ingress()
        if self.pending_bytes > limits.max_header_bytes + READ_BYTES:
            self.close('head_bytes')
        elif connections.budget.is_exceeded:
            connections.close_pending('head_memory')

    def _clear_unread(self) -> None:
        if self.unread_since:
            self.unread_since = 0
            self.connections.budget.release(UNREAD_ANSWER_BYTES)

    def _clear_pending(self) -> None:
        if self.pending_bytes:
            self.connections.budget.release(self.pending_bytes)
            self.pending_bytes = 0


def _drop_traceback(message: Any) -> None:
    """Drop the traceback of a message that could not be parsed.

    It refers to the frame that queued the message, a cycle which would keep
    the connection and the bytes that were read.
    """
    error = getattr(message, 'exc', None)
    if error is not None:
        error.__traceback__ = None


def _incomplete_request() -> ConnectionsShort:
    return ConnectionsShort(
        'the request was incomplete while others waited for a connection'
    )


@final
class CallerConnections:
    """All connections of callers; one instance for the process.

    ``all`` has them in the order in which they were opened, and ``closing``
    those of them that were closed to make room, with the monotonic time in
    seconds. ``ranked`` are those that may be closed next, the last one first.
    """

    __slots__ = (
        'all',
        'budget',
        'closing',
        'limits',
        'ranked',
        'ranked_at',
    )

    def __init__(self, budget: MemoryBudget, limits: ConnectionLimits) -> None:
        self.budget = budget
        self.limits = limits
        self.all: dict[CallerConnection, None] = {}
        self.closing: dict[CallerConnection, float] = {}
        self.ranked: list[CallerConnection] = []
        self.ranked_at: float = 0

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.budget.clock.monotonic()

    def add(self, connection: CallerConnection) -> None:
        """Take a new connection."""
        self.all[connection] = None

    def find_room(self, starting: int) -> int:
        """Return how many connections may be accepted now.

        ``starting`` are accepted already and not set up yet. Without room for
        the one that waits, others are closed to make some.
        """
        room = self.limits.max_connections - len(self.all) - starting
        if room > 0:
            return room
        self._make_room()
        return 0

    def remove(self, connection: CallerConnection) -> None:
        """Forget a connection that has ended."""
        self.all.pop(connection, None)
        self.closing.pop(connection, None)

    def close_pending(self, reason: str) -> None:
        """Close those whose heads are longest incomplete."""
        pending = [each for each in self._open() if each.pending_bytes]
        pending.sort(key=lambda each: each.pending_since)
        for each in pending[: self._closed_at_once()]:
            self.closing[each] = self.now()
            each.close(reason)

    def sweep(self) -> None:
        """Close the connections that exceed a limit; called at intervals."""
        now = self.now()
        head_seconds = self.limits.ingress().header_timeout.total_seconds()
        unread_seconds = self.limits.longest_seconds()
        for each in self._open():
            if each.is_head_late(now, head_seconds):
                each.close('head_time')
            elif each.unread_since and now - each.unread_since > unread_seconds:
                each.close('unread_time')
        self._end_closing(now)
        if self.budget.is_exceeded:
            self.close_pending('head_memory')

    def _open(self) -> list[CallerConnection]:
        return [each for each in self.all if each not in self.closing]

    def _end_closing(self, now: float) -> None:
        """Abort connections whose closing takes too long.

        One whose request was complete or sent in the same moment goes on.
        """
        for each, since in tuple(self.closing.items()):
            if now - since <= MAX_CLOSING_SECONDS:
                continue
            if each.yield_rank(now) is None:
                self.closing.pop(each)
            else:
                each.transport.abort()

    def _make_room(self) -> None:
        """Close some connections that wait for their callers.

        First those whose requests make no progress, then other incomplete
        requests and idle connections, then answers that are not read, and last
        requests that have waited for an upstream for a while. Among them,
        addresses and customers with the most such connections come first, so
        that a crowd makes room for others, and then the oldest.
        """
        now = self.now()
        count = self._closed_at_once() - len(self.closing)
        if count <= 0:
            return
        if now - self.ranked_at > RANKING_SECONDS or not self.ranked:
            self.ranked = self._rank(now)
            self.ranked_at = now
        while self.ranked and count:
            each = self.ranked.pop()
            is_open = each in self.all and each not in self.closing
            if is_open and each.yield_rank(now) is not None:
                self.closing[each] = now
                each.yield_now()
                count -= 1

    def _rank(self, now: float) -> list[CallerConnection]:
        """Return the connections that may be closed; the first ones come last."""
        ranks = {
            each: rank
            for each in self._open()
            if (rank := each.yield_rank(now)) is not None
        }
        sizes = collections.Counter(
            name for each in ranks for name in _owners_of(each)
        )
        return sorted(
            ranks,
            key=lambda each: (
                -ranks[each],
                max(sizes[name] for name in _owners_of(each)),
                -each.waiting_since(),
            ),
        )

    def _closed_at_once(self) -> int:
        """Return how many connections may be closed in one go.

        They have descriptors until the loop has closed them.
        """
        return max(1, int(len(self.all) * MAX_CLOSED_SHARE))


def _owners_of(connection: CallerConnection) -> set[str]:
    """Return the address of a caller and, if it is known, the customer."""
    hold = connection.receiving
    if hold is not None:
        return {connection.address, hold.owner}
    if connection.waiting is not None:
        return {connection.address, connection.waiting.demand.customer}
    return {connection.address}


@final
class CallerHandler(RequestHandler):
    """The HTTP protocol of one connection of a caller."""

    __slots__ = ('connection', 'connections')

    def __init__(
        self,
        manager: web.Server,
        connections: CallerConnections,
        **options: Any,
    ) -> None:
        super().__init__(manager, **options)
        self.connections = connections
        self.connection: CallerConnection | None = None
        # What is read ahead is bounded by its size, so the queue is refilled
        # only when it is empty.
        self._msg_queue_resume_size = 0

    def connection_made(self, transport: Any) -> None:
        """Bound what the connection holds from now on."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        connection = CallerConnection(self, transport, self.connections)
        transport.set_protocol(connection)
        self.connection = connection
        self.connections.add(connection)


@final
class BoundedServer(web.Server):
    """A web server whose connections are bounded by ``CallerConnections``."""

    def __init__(
        self, handler: Any, connections: CallerConnections, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self.bounded_connections = connections
        self.options = options

    def __call__(self) -> Any:
        """Return the protocol for a new connection."""
        return CallerHandler(
            self,
            self.bounded_connections,
            loop=asyncio.get_running_loop(),
            **self.options,
        )
