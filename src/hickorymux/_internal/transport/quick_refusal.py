"""Load shedding of new connections, at little cost for each.

Load pattern: one caller opens hundreds of connections a second to one router.
Parsing each request would take processor time from the requests that are
served. Here a request is only searched for the end of its head and for the
request id that the refusal repeats. It is not sent to any upstream, so it
has not run.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, final

from aiohttp import web

# The connection is aborted if the head of its request is longer.
MAX_HEAD_BYTES: Final = 65536
# How long a connection is read and its data dropped before it is closed.
# Closing it with unread data would reset it, and the caller would lose the
# refusal.
LINGERING_SECONDS: Final = 1.0
_HEAD_END: Final = b'\r\n\r\n'

# Gets the head of a request and returns the complete refusal.
BuildRefusal = Callable[[bytes], bytes]


@final
class RefusalProtocol(asyncio.Protocol):
    """Protocol that answers the first request of a connection by a refusal."""

    __slots__ = (
        'close_timer',
        'head',
        'is_answered',
        'build_refusal',
        'transport',
    )

    def __init__(self, build_refusal: BuildRefusal) -> None:
        self.build_refusal = build_refusal
        self.head = b''
        self.is_answered = False
        self.transport: asyncio.Transport | None = None
        self.close_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Limit the life of the connection to ``LINGERING_SECONDS``."""
        self.transport = transport
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
        if self.close_timer is not None:
            self.close_timer.cancel()


@final
class LoadSheddingServer(web.Server):
    """Serves connections, and refuses new ones while overloaded."""

    def __init__(
        self,
        handler: Any,
        is_overloaded: Callable[[], bool],
        build_refusal: BuildRefusal,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.is_overloaded = is_overloaded
        self.build_refusal = build_refusal

    def __call__(self) -> Any:
        """Return the protocol for a new connection."""
        if self.is_overloaded():
            return RefusalProtocol(self.build_refusal)
        return super().__call__()
