"""Refuses new connections at the least cost while a router can't keep up.

Load pattern: one caller opens hundreds of connections a second to one router.
Reading each request in full takes a share of the processor that then lacks
for the requests that are served. Here only the headers are looked at, for the
id that the answer repeats; nothing is passed on, so the request has not run.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, final

from aiohttp import web

# Longer headers end the connection.
MAX_HEAD_BYTES: Final = 65536
# How long the rest of a request is read and dropped, so that the answer is
# not lost to a reset.
LINGERING_SECONDS: Final = 1.0
_HEAD_END: Final = b'\r\n\r\n'

# Returns the octets of the refusal for the octets of a request's head.
BuildRefusal = Callable[[bytes], bytes]


@final
class RefusalProtocol(asyncio.Protocol):
    """Answers the first request of a connection with a refusal."""

    __slots__ = ('close_timer', 'head', 'is_answered', 'refuse', 'transport')

    def __init__(self, refuse: BuildRefusal) -> None:
        self.refuse = refuse
        self.head = b''
        self.is_answered = False
        self.transport: asyncio.Transport | None = None
        self.close_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Wait for a request, for a while."""
        self.transport = transport
        loop = asyncio.get_running_loop()
        self.close_timer = loop.call_later(LINGERING_SECONDS, transport.close)

    def data_received(self, data: bytes) -> None:
        """Answer once the head is there; drop what follows."""
        if self.is_answered or self.transport is None:
            return
        self.head += data
        end = self.head.find(_HEAD_END)
        if end >= 0:
            self.is_answered = True
            self.transport.write(self.refuse(self.head[:end]))
            self.transport.write_eof()
            self.head = b''
        elif len(self.head) > MAX_HEAD_BYTES:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        if self.close_timer is not None:
            self.close_timer.cancel()


@final
class LoadSheddingServer(web.Server):
    """Serves new connections, or refuses them while ``is_overloaded`` says so."""

    def __init__(
        self,
        handler: Any,
        is_overloaded: Callable[[], bool],
        refuse: BuildRefusal,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.is_overloaded = is_overloaded
        self.refuse = refuse

    def __call__(self) -> Any:
        """Return the protocol of a new connection."""
        if self.is_overloaded():
            return RefusalProtocol(self.refuse)
        return super().__call__()
