"""Load shedding of new connections, at little cost for each.

Load pattern: one caller opens hundreds of connections a second to one router.
Parsing each request would take processor time from the requests that are
served. Here a request is only searched for the end of its head and for the
headers that the refusal needs. If its head has arrived when the connection is
accepted, it is refused on the plain socket, without setting up a connection of
the event loop. It is not sent to any upstream, so it has not run.
"""

import asyncio
import collections
import contextlib
import enum
import re
import socket
from collections.abc import Callable
from typing import Any, Final, final

from aiohttp import web

from hickorymux._internal.transport.caller_connections import (
    CallerConnections,
    CallerHandler,
)

# The connection is aborted if the head of its request is longer.
MAX_HEAD_BYTES: Final = 65536
# How long a connection is read and its data dropped before it is closed.
# Closing it with unread data would reset it, and the caller would lose the
# refusal.
LINGERING_SECONDS: Final = 1.0
# How long a socket is open after a refusal, for the rest of the request.
SOCKET_LINGERING_SECONDS: Final = 0.3
# How many connections may be open for a refusal, in each of both ways.
MAX_LINGERING_SOCKETS: Final = 500
MAX_PEEKED_BYTES: Final = 1 << 16
_HEAD_END: Final = b'\r\n\r\n'
_CONTENT_LENGTH: Final = re.compile(
    rb'\r\ncontent-length:[ \t]*(\d+)[ \t]*\r\n'
)
_TRANSFER_ENCODING: Final = b'\r\ntransfer-encoding:'

# Gets the head of a request and returns the complete refusal.
BuildRefusal = Callable[[bytes], bytes]
# Gets the head of a request and returns the complete refusal, ``None`` if the
# request is not refused.
DecideRefusal = Callable[[bytes], bytes | None]


class EarlyDecision(enum.Enum):
    """What becomes of an accepted socket.

    It was ``refused``, is ``admitted`` with nothing read from it, or nobody
    knows yet, as the head of the request is ``awaited``.
    """

    refused = 'refused'
    admitted = 'admitted'
    awaited = 'awaited'


@final
class SocketRefusals:
    """Refuses requests on accepted sockets.

    ``lingering`` are the sockets whose refused requests have not arrived whole,
    each with the time of the loop at which it is closed; there are at most
    ``max_lingering`` of them.
    """

    __slots__ = ('close_timer', 'decide_refusal', 'lingering', 'max_lingering')

    def __init__(
        self,
        decide_refusal: DecideRefusal,
        max_lingering: int = MAX_LINGERING_SOCKETS,
    ) -> None:
        self.decide_refusal = decide_refusal
        self.max_lingering = max_lingering
        self.lingering: collections.deque[tuple[float, socket.socket]]
        self.lingering = collections.deque()
        self.close_timer: asyncio.TimerHandle | None = None

    def decide(self, accepted: socket.socket) -> EarlyDecision:
        """Refuse the request on a new connection, or admit it.

        ``accepted`` is a non-blocking socket. If the request is refused, it is
        answered, and the socket is closed now or later.
        """
        try:
            received = accepted.recv(MAX_PEEKED_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return EarlyDecision.awaited
        except OSError:
            # The server notices on its own that the caller has left.
            return EarlyDecision.admitted
        end = received.find(_HEAD_END)
        if end < 0:
            is_ended = not received or len(received) == MAX_PEEKED_BYTES
            return EarlyDecision.admitted if is_ended else EarlyDecision.awaited
        refusal = self.decide_refusal(received[:end])
        if refusal is None:
            return EarlyDecision.admitted
        self._refuse(accepted, received, end + len(_HEAD_END), refusal)
        return EarlyDecision.refused

    def close(self) -> None:
        """Close all sockets that linger."""
        if self.close_timer is not None:
            self.close_timer.cancel()
        while self.lingering:
            self.lingering.popleft()[1].close()

    def _refuse(
        self,
        accepted: socket.socket,
        received: bytes,
        body_start: int,
        refusal: bytes,
    ) -> None:
        try:
            accepted.recv(len(received))
            accepted.send(refusal)
        except OSError:
            # The caller has left.
            accepted.close()
            return
        if _is_whole_request(received, body_start):
            accepted.close()
        else:
            self._close_later(accepted)

    def _close_later(self, accepted: socket.socket) -> None:
        """Close a socket once the rest of its request has arrived.

        Closing it with unread data, or before data arrives, would reset the
        connection, and the caller would lose the refusal.
        """
        with contextlib.suppress(OSError):
            accepted.shutdown(socket.SHUT_WR)
        loop = asyncio.get_running_loop()
        close_at = loop.time() + SOCKET_LINGERING_SECONDS
        self.lingering.append((close_at, accepted))
        if len(self.lingering) > min(self.max_lingering, MAX_LINGERING_SOCKETS):
            _drain_and_close(self.lingering.popleft()[1])
        if self.close_timer is None:
            self.close_timer = loop.call_at(close_at, self._close_due)

    def _close_due(self) -> None:
        loop = asyncio.get_running_loop()
        self.close_timer = None
        while self.lingering and self.lingering[0][0] <= loop.time():
            _drain_and_close(self.lingering.popleft()[1])
        if self.lingering:
            # Many sockets are closed in one go.
            self.close_timer = loop.call_later(
                SOCKET_LINGERING_SECONDS / 4, self._close_due
            )


def _drain_and_close(accepted: socket.socket) -> None:
    with accepted, contextlib.suppress(OSError):
        accepted.recv(MAX_PEEKED_BYTES)


def _is_whole_request(received: bytes, body_start: int) -> bool:
    """Return whether exactly one request has been received."""
    head = received[:body_start].lower()
    if _TRANSFER_ENCODING in head:
        return False
    length = _CONTENT_LENGTH.search(head)
    body_size = int(length.group(1)) if length else 0
    return len(received) == body_start + body_size


@final
class RefusalProtocol(asyncio.Protocol):
    """Protocol that answers the first request of a connection by a refusal.

    ``open_refusals`` are all connections of this kind, at most
    ``max_refusals``.
    """

    __slots__ = (
        'close_timer',
        'head',
        'is_answered',
        'build_refusal',
        'max_refusals',
        'open_refusals',
        'transport',
    )

    def __init__(
        self,
        build_refusal: BuildRefusal,
        open_refusals: 'set[RefusalProtocol]',
        max_refusals: int = MAX_LINGERING_SOCKETS,
    ) -> None:
        self.build_refusal = build_refusal
        self.open_refusals = open_refusals
        self.max_refusals = max_refusals
        self.head = b''
        self.is_answered = False
        self.transport: asyncio.Transport | None = None
        self.close_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Limit the life of the connection to ``LINGERING_SECONDS``."""
        self.transport = transport
        if len(self.open_refusals) >= self.max_refusals:
            transport.abort()
            return
        self.open_refusals.add(self)
        loop = asyncio.get_running_loop()
        self.close_timer = loop.call_later(LINGERING_SECONDS, transport.close)

    def data_received(self, data: bytes) -> None:
        """Answer once the head is complete; drop what follows it."""
        if self.is_answered or self.transport is None:
            return
        self.head += data
        end = self.head.find(_HEAD_END)
        if end >= 0:
            self.is_answered = True
            self.transport.write(self.build_refusal(self.head[:end]))
            self.transport.write_eof()
            self.head = b''
        elif len(self.head) > MAX_HEAD_BYTES:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer that closes the connection."""
        self.open_refusals.discard(self)
        if self.close_timer is not None:
            self.close_timer.cancel()


@final
class LoadSheddingServer(web.Server):
    """Serves connections, and refuses new ones while overloaded.

    ``connections_of_callers`` bounds what each holds, ``None`` if unbounded.
    At most ``max_refusals`` connections are open for a refusal.
    """

    def __init__(
        self,
        handler: Any,
        is_overloaded: Callable[[], bool],
        build_refusal: BuildRefusal,
        connections_of_callers: CallerConnections | None = None,
        *,
        request_factory: Any = None,
        handler_cancellation: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(
            handler,
            request_factory=request_factory,
            handler_cancellation=handler_cancellation,
            **options,
        )
        self.connections_of_callers = connections_of_callers
        self.options = options
        self.open_refusals: set[RefusalProtocol] = set()
        self.max_refusals = MAX_LINGERING_SOCKETS
        self.is_overloaded = is_overloaded
        self.build_refusal = build_refusal

    def __call__(self) -> Any:
        """Return the protocol for a new connection."""
        if self.is_overloaded():
            return RefusalProtocol(
                self.build_refusal, self.open_refusals, self.max_refusals
            )
        if self.connections_of_callers is None:
            return super().__call__()
        return CallerHandler(
            self,
            self.connections_of_callers,
            loop=asyncio.get_running_loop(),
            **self.options,
        )
