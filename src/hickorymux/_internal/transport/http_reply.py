"""The answer to one caller, on its HTTP connection."""

from typing import final

from aiohttp import web
from multidict import CIMultiDict


@final
class HttpReply:
    """The answer to one caller; implements ``relay.Reply``.

    With ``closes_connection`` the answer carries ``Connection: close``.
    """

    __slots__ = ('closes_connection', 'request', 'response')

    def __init__(
        self,
        request: web.BaseRequest,
        *,
        closes_connection: bool = False,
    ) -> None:
        self.request = request
        self.closes_connection = closes_connection
        self.response: web.StreamResponse | None = None

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

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        await self._started_response().write(chunk)

    async def finish(self) -> None:
        """End the body and thereby mark the answer as complete."""
        await self._started_response().write_eof()

    async def send_whole(
        self,
        status: int,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> None:
        """Set a complete answer; the web server sends it."""
        self.response = web.Response(
            status=status,
            headers=headers,
            body=body,
        )
        if self.closes_connection:
            self.response.force_close()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees the answer as cut."""
        transport = self.request.transport
        if transport is not None:
            transport.abort()

    def _started_response(self) -> web.StreamResponse:
        if self.response is None:
            raise RuntimeError('the answer has not been started')
        return self.response
