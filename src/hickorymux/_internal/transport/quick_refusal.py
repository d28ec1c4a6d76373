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
MAX_HEAD_OCTETS: Final = 65536
# How long the rest of a request is read and dropped, so that the answer is
# not lost to a reset.
LINGERING_SECONDS: Final = 1.0
_HEAD_END: Final = b'\r\n\r\n'

# Returns the octets of the refusal for the octets of a request's head.
WriteRefusal = Callable[[bytes], bytes]


@final
class QuickRefusal(asyncio.Protocol):
    """Answers the first request of a connection with a refusal."""

    __slots__ = ('closing', 'head', 'is_answered', 'refuse', 'transport')

    def __init__(self, refuse: WriteRefusal) -> None:
        self.refuse = refuse
        self.head = b''
        self.is_answered = False
        self.transport: asyncio.Transport | None = None
        self.closing: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Wait for a request, for a while."""
        self.transport = transport
        loop = asyncio.get_running_loop()
        self.closing = loop.call_later(LINGERING_SECONDS, transport.close)

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
        elif len(self.head) > MAX_HEAD_OCTETS:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        if self.closing is not None:
            self.closing.cancel()


@final
class GatedServer(web.Server):
    """Serves new connections, or refuses them while ``is_behind`` says so."""

    def __init__(
        self,
        handler: Any,
        is_behind: Callable[[], bool],
        refuse: WriteRefusal,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.is_behind = is_behind
        self.refuse = refuse

    def __call__(self) -> Any:
        """Return the protocol of a new connection."""
        if self.is_behind():
            return QuickRefusal(self.refuse)
        return super().__call__()
