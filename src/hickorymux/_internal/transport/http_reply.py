"""The answer to one caller, on its HTTP connection."""

import contextlib
from typing import Final, final

from aiohttp import web
from multidict import CIMultiDict

from hickorymux._internal.transport.memory_budget import MemoryHold

# Smaller answers are bounded by the write buffer of their connection.
LARGE_ANSWER_BYTES: Final = 1 << 14


@final
class HttpReply:
    """The answer to one caller; implements ``relay.Reply``.

    With ``closes_connection`` the answer carries ``Connection: close``.
    ``hold`` accounts for the memory of the request and its answer, and
    ``whole`` is a large answer that is set and not sent yet.
    """

    __slots__ = (
        'closes_connection',
        'hold',
        'request',
        'response',
        'whole',
    )

    def __init__(
        self,
        request: web.BaseRequest,
        *,
        closes_connection: bool = False,
    ) -> None:
        self.request = request
        self.closes_connection = closes_connection
        self.response: web.StreamResponse | None = None
        self.hold: MemoryHold | None = None
        self.whole: bytes | bytearray = b''

    @property
    def has_started(self) -> bool:
        """Return whether the caller has been sent anything."""
        return self.response is not None

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the status and headers of a streamed answer."""
        self.response = web.StreamResponse(status=status, headers=headers)
        if self.closes_connection:
            self.response.force_close()
        await self.response.prepare(self.request)

    async def write(self, chunk: bytes | bytearray) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        response = self._started_response()
        if len(chunk) <= LARGE_ANSWER_BYTES:
            await response.write(chunk)
            return
        pieces = memoryview(chunk)
        for start in range(0, len(chunk), LARGE_ANSWER_BYTES):
            await response.write(pieces[start : start + LARGE_ANSWER_BYTES])

    async def finish(self) -> None:
        """End the body and thereby mark the answer as complete."""
        await self._started_response().write_eof()

    async def send_whole(
        self,
        status: int,
        headers: CIMultiDict[str],
        body: bytes | bytearray,
    ) -> None:
        """Set a complete answer; ``send_large`` or the web server sends it."""
        if len(body) > LARGE_ANSWER_BYTES:
            self.whole = body
            self.response = web.StreamResponse(status=status, headers=headers)
            if self.closes_connection:
                self.response.force_close()
            return
        self.response = web.Response(
            status=status,
            headers=headers,
            body=body,
        )
        if self.closes_connection:
            self.response.force_close()

    def close_connection(self) -> None:
        """Close the connection after an answer that has not begun."""
        self.closes_connection = True
        if self.response is not None and not self.response.prepared:
            self.response.force_close()

    async def send_large(self) -> None:
        """Send a large answer that is set, and wait until it has been sent.

        The web server would copy it to the write buffer of the connection, and
        send it after the memory has been released.
        """
        whole = self.whole
        if not whole:
            return
        self.whole = b''
        response = self._started_response()
        response.content_length = len(whole)
        with contextlib.suppress(ConnectionError):
            await response.prepare(self.request)
            await self.write(whole)
            await response.write_eof()

    def release(self) -> None:
        """Release the memory that is charged for the request."""
        if self.hold is not None:
            self.hold.close()
            self.hold = None

    def abort(self) -> None:
        """Abort the connection, so that the caller sees the answer as cut."""
        transport = self.request.transport
        if transport is not None:
            transport.abort()

    def _started_response(self) -> web.StreamResponse:
        if self.response is None:
            raise RuntimeError('the answer has not been started')
        return self.response
