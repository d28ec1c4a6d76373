"""Reads from connections in small pieces.

uvloop reads up to 256 KB at once. What the HTTP library can't pass on at the
moment then waits in its parser, on each connection. A protocol with a buffer
of its own bounds a read by the size of that buffer. All connections share one
buffer, as it is emptied before the next read.
"""

import asyncio
from typing import Any, Final

READ_BYTES: Final = 1 << 14

_shared_buffer: Final = memoryview(bytearray(READ_BYTES))


class BoundedReads(asyncio.BufferedProtocol):
    """Passes all events of a connection on to a protocol of the HTTP library.

    Example::

        def connection_made(self, transport):
            super().connection_made(transport)
            transport.set_protocol(BoundedReads(self))
    """

    __slots__ = ('handler',)

    def __init__(self, handler: Any) -> None:
        self.handler = handler

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _shared_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that were read."""
        self.handler.data_received(bytes(_shared_buffer[:nbytes]))

    def eof_received(self) -> Any:
        """Pass on the end of what is received."""
        return self.handler.eof_received()

    def pause_writing(self) -> None:
        """Pass on that the peer reads too slowly."""
        self.handler.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the peer has read what was sent."""
        self.handler.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the end of the connection."""
        self.handler.connection_lost(exc)
