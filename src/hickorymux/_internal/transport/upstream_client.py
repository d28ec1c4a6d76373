"""HTTP client that sends attempts to upstreams.

An attempt records whether any byte of it may have been sent. The caller's
check, such as that of a lease and a claim, runs directly before the first
byte is written, so an attempt that fails the check has not run.
"""

import asyncio
import collections
import contextlib
import contextvars
import dataclasses
import datetime as dt
import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from hickorymux._internal.exceptions import HickorymuxError
from hickorymux._internal.protocol import http
from hickorymux._internal.transport.bounded_reads import BoundedReads
from hickorymux._internal.transport.sockets import open_keepalive_socket

KEEPALIVE_SECONDS = 30
CANCEL_TIMEOUT_SECONDS = 2
RESUME_TIMEOUT_SECONDS = 2
MAX_LINE_BYTES = 16384
# What is read ahead of an answer while its caller reads slowly; up to twice
# this size on each connection.
READ_BUFFER_BYTES = 1 << 14

# A larger body is sent in pieces of this size.
LARGE_BODY_BYTES = 1 << 16
# Bytes that may arrive before the header of the final response is complete.
# They include interim responses and blank lines, which the HTTP library skips.
MAX_HEAD_BYTES = 1 << 17
# Stale connections that one attempt discards before it fails.
MAX_STALE_CONNECTIONS = 8

_FIRST_FINAL_STATUS = 200

BoundCounts = collections.Counter[str]

# Headers that aiohttp would add to a request that lacks them.
_AUTOMATIC_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type')

_current_attempt: contextvars.ContextVar['Attempt | None'] = (
    contextvars.ContextVar(
        'attempt',
        default=None,
    )
)


class AttemptError(HickorymuxError):
    """An attempt failed; ``Attempt.sent`` tells whether it may have run."""

    code = 'attempt_failed'


class ConnectFailed(AttemptError):
    """No connection to the upstream could be used; nothing was sent."""

    code = 'connect_failed'


class StaleConnection(AttemptError):
    """A kept-alive connection can't be reused; nothing was sent."""

    code = 'stale_connection'


class UpstreamCut(AttemptError):
    """The answer of the upstream ended early or can't be used."""

    code = 'upstream_cut'


class AttemptTimeout(AttemptError):
    """The upstream sent nothing for longer than the timeout."""

    code = 'attempt_timeout'


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamTimeouts:
    """Timeouts towards upstreams.

    ``connect`` limits the set-up of a connection, ``first_byte`` the time
    until the headers of the answer, ``idle`` the time between two parts of
    its body. An unused connection is kept for ``keep_alive``.
    """

    connect: dt.timedelta = dt.timedelta(seconds=1)
    keep_alive: dt.timedelta = dt.timedelta(seconds=KEEPALIVE_SECONDS)
    first_byte: dt.timedelta = dt.timedelta(seconds=60)
    idle: dt.timedelta = dt.timedelta(seconds=30)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to run a request on one upstream.

    ``upstream_request_id`` is the request id that the upstream gets and must
    echo. ``verify_connection`` and then ``check_before_send`` run directly
    before the first byte is sent; either may raise to prevent it. ``sent``
    is set once any byte may have been sent.
    """

    attempt_id: str
    upstream_request_id: str
    address: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    may_reuse_connection: bool
    verify_connection: Callable[[Any], Awaitable[None]]
    check_before_send: Callable[[], None]
    sent: bool = False

    @property
    def url(self) -> URL:
        """Return the URL of the request."""
        return URL(f'http://{self.address}{self.path}', encoded=True)


@final
class _PiecedBody(aiohttp.BytesPayload):
    """Sends a large body in pieces.

    aiohttp would copy it whole to the write buffer of the connection, where it
    stays while the upstream reads slowly.
    """

    async def write_with_length(
        self, writer: Any, content_length: int | None
    ) -> None:
        """Write the body, and wait for each piece until there is room."""
        pieces = memoryview(self._value)[:content_length]
        for start in range(0, len(pieces), LARGE_BODY_BYTES):
            await writer.write(pieces[start : start + LARGE_BODY_BYTES])


@final
class _CheckedRequest(aiohttp.ClientRequest):
    """A client request that checks its attempt before the first byte."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Check the attempt, mark it as sent, and write the request."""
        attempt = _current_attempt.get()
        if attempt is not None:
            if attempt.sent:
                raise UpstreamCut('an attempt must not be sent twice')
            if _is_stale(conn.protocol):
                raise StaleConnection(
                    'connection was closed or got bytes after its last answer'
                )
            await attempt.verify_connection(conn.protocol)
            attempt.check_before_send()
            attempt.sent = True
        return await super().send(conn)


@final
class UpstreamAnswer:
    """The answer of an upstream, with its body as a stream of chunks."""

    __slots__ = ('attempt', 'idle_timeout_seconds', 'response')

    def __init__(
        self,
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        idle: dt.timedelta,
    ) -> None:
        self.attempt = attempt
        self.response = response
        self.idle_timeout_seconds = idle.total_seconds()

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.response.status

    @property
    def is_framed(self) -> bool:
        """Return whether the answer itself tells where its body ends."""
        headers = self.response.headers
        codings = ','.join(headers.getall('Transfer-Encoding', ())).split(',')
        is_chunked = codings[-1].strip().lower() == 'chunked'
        return 'Content-Length' in headers or is_chunked

    @property
    def is_event_stream(self) -> bool:
        """Return whether the body is a stream of server-sent events."""
        return self.response.content_type == http.EVENT_STREAM_TYPE

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises ``UpstreamCut`` when it ends before it is complete and
        ``AttemptTimeout`` when nothing arrives within the idle timeout.
        """
        body = self.response.content
        try:
            while True:
                chunk = await body.readany()
                if not chunk:
                    return
                yield chunk
        except aiohttp.ServerTimeoutError as error:
            raise AttemptTimeout('no data within the idle timeout') from error
        except (aiohttp.ClientError, OSError) as error:
            raise UpstreamCut(f'answer was cut: {error!r}') from error

    async def read(self) -> bytes:
        """Return the whole body; raises like ``chunks``."""
        return b''.join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """End the exchange; the connection is closed if the body is unread."""
        self.response.close()

    def release(self) -> None:
        """Return the connection for reuse after a complete answer."""
        self.response.release()


@final
class UpstreamClient:
    """HTTP client for upstreams; one instance for the whole router.

    Each request that may not be repeated gets a connection of its own. A
    kept-alive connection might be closed by the upstream at the same moment,
    which leaves open whether the request ran.
    """

    __slots__ = ('single_use_session', 'session', 'timeouts')

    def __init__(
        self,
        session: aiohttp.ClientSession,
        single_use_session: aiohttp.ClientSession,
        timeouts: UpstreamTimeouts,
    ) -> None:
        self.session = session
        self.single_use_session = single_use_session
        self.timeouts = timeouts

    @classmethod
    def from_config(
        cls,
        timeouts: UpstreamTimeouts,
        counts: BoundCounts | None = None,
        max_connections: int = 0,
    ) -> 'UpstreamClient':
        """Return a client; must be called on a running event loop.

        ``counts`` counts the connections that are closed for a bound. Attempts
        beyond ``max_connections`` wait for a connection; 0 is no limit.
        """
        if counts is None:
            counts = collections.Counter()
        reusing = _UpstreamConnector(
            counts,
            limit=max_connections,
            keepalive_timeout=timeouts.keep_alive.total_seconds(),
        )
        closing = _UpstreamConnector(
            counts, limit=max_connections, force_close=True
        )
        return cls(
            _new_session(reusing, timeouts),
            _new_session(closing, timeouts),
            timeouts,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
        await self.single_use_session.close()

    async def open(self, attempt: Attempt) -> UpstreamAnswer:
        """Send the attempt and return the answer once its headers arrived.

        Raises ``ConnectFailed``, ``UpstreamCut`` or ``AttemptTimeout``, and
        whatever the checks of the attempt raise.
        """
        token = _current_attempt.set(attempt)
        try:
            async with asyncio.timeout(self._first_byte_seconds()):
                response = await self._request_skipping_stale(attempt)
        except (aiohttp.ClientError, aiohttp.EofStream, OSError) as error:
            raise _attempt_error(attempt, error) from error
        finally:
            _current_attempt.reset(token)
        _check_request_id(attempt, response)
        return UpstreamAnswer(attempt, response, self.timeouts.idle)

    async def resume(
        self,
        attempt: Attempt,
        instance: str,
        after: int,
    ) -> UpstreamAnswer:
        """Return a model engine's stream from after its first ``after`` events.

        Raises ``UpstreamCut`` when the engine no longer has the stream or is
        another instance than the one that began the answer.
        """
        try:
            async with asyncio.timeout(RESUME_TIMEOUT_SECONDS):
                response = await self.session.get(
                    f'{_engine_request_url(attempt)}/stream',
                    params={'after': after},
                    allow_redirects=False,
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise UpstreamCut(f'stream not resumed: {error!r}') from error
        received = response.headers.get(http.ENGINE_INSTANCE, '')
        if not response.ok or received != instance:
            response.close()
            raise UpstreamCut(
                f'stream not resumed: status {response.status} or another'
                ' engine instance'
            )
        _check_request_id(attempt, response)
        return UpstreamAnswer(attempt, response, self.timeouts.idle)

    async def cancel(self, attempt: Attempt) -> bool:
        """Ask a model engine to stop an attempt; return whether it agreed."""
        url = f'{_engine_request_url(attempt)}/cancel'
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_SECONDS)
        try:
            async with self.session.post(url, timeout=timeout) as response:
                return response.ok
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def _session_for(self, attempt: Attempt) -> aiohttp.ClientSession:
        if attempt.may_reuse_connection:
            return self.session
        return self.single_use_session

    def _first_byte_seconds(self) -> float:
        return self.timeouts.first_byte.total_seconds()

    async def _request_skipping_stale(
        self,
        attempt: Attempt,
    ) -> aiohttp.ClientResponse:
        for _ in range(MAX_STALE_CONNECTIONS):
            with contextlib.suppress(StaleConnection):
                return await self._request(attempt)
        raise ConnectFailed('all kept-alive connections tried were stale')

    async def _request(self, attempt: Attempt) -> aiohttp.ClientResponse:
        session = self._session_for(attempt)
        send = functools.partial(
            session.request,
            attempt.method,
            attempt.url,
            headers=attempt.headers,
            allow_redirects=False,
            skip_auto_headers=_AUTOMATIC_HEADERS,
        )
        body: Any = attempt.body or None
        if len(attempt.body) > LARGE_BODY_BYTES:
            body = _PiecedBody(attempt.body)
        return await send(data=body)


@final
class _StrictResponseHandler(ResponseHandler):
    """Reports an answer without a length as cut when the connection is reset.

    aiohttp takes any end of the connection for the end of such an answer.

    Also ends a connection on which bytes arrive and no response begins, and
    one that gets a byte while no response is due. aiohttp would queue whatever
    parses as a response, without a bound.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, counts: BoundCounts
    ) -> None:
        super().__init__(loop)
        self.counts = counts
        self.is_awaiting_head = False
        self.head_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Read from the connection in small pieces from now on."""
        super().connection_made(transport)
        transport.set_protocol(BoundedReads(self))

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the response to the request that is being sent."""
        self.is_awaiting_head = True
        self.head_bytes = 0
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the header of a response, final or interim."""
        if data[0].code >= _FIRST_FINAL_STATUS:
            self.is_awaiting_head = False
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless none or too many are due."""
        if data and self._is_response_over():
            # The pool discards a connection that is to be closed.
            self.counts['upstream_idle_bytes'] += 1
            self.force_close()
            self.abort()
            return
        super().data_received(data)
        if not self.is_awaiting_head:
            return
        self.head_bytes += len(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.counts['upstream_head_bytes'] += 1
            self.is_awaiting_head = False
            self.set_exception(
                aiohttp.ClientPayloadError(
                    f'no response header in {self.head_bytes} bytes'
                )
            )
            self.abort()

    def _is_response_over(self) -> bool:
        """Return whether bytes that arrive now belong to no response."""
        payload = self._payload
        return not self.is_awaiting_head and (
            payload is None or payload.is_eof()
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the answer in progress if the connection broke."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)


@final
class _UpstreamConnector(aiohttp.TCPConnector):
    """Opens connections that detect unreachable upstreams and resets."""

    def __init__(self, counts: BoundCounts, **options: Any) -> None:
        super().__init__(socket_factory=open_keepalive_socket, **options)
        self._factory: Any = functools.partial(
            _StrictResponseHandler,
            loop=asyncio.get_running_loop(),
            counts=counts,
        )


def _is_stale(protocol: Any) -> bool:
    """Return whether a kept-alive connection was closed or got more bytes.

    Bytes after a complete answer belong to no request; aiohttp would take
    them for the answer to the next one.
    """
    return bool(protocol.should_close or protocol.exception() is not None)


def _new_session(
    connector: aiohttp.TCPConnector,
    timeouts: UpstreamTimeouts,
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        request_class=_CheckedRequest,
        middlewares=(_raise_cut_if_sent,),
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=MAX_LINE_BYTES,
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=timeouts.connect.total_seconds(),
            sock_read=timeouts.idle.total_seconds(),
        ),
    )


def _check_request_id(
    attempt: Attempt,
    response: aiohttp.ClientResponse,
) -> None:
    """Raise ``UpstreamCut`` if the answer echoes another request's id."""
    echoed = response.headers.get(http.REQUEST_ID, attempt.upstream_request_id)
    if echoed != attempt.upstream_request_id:
        response.close()
        raise UpstreamCut(f'answer belongs to request {echoed}')


def _engine_request_url(attempt: Attempt) -> str:
    """Return the URL under which a model engine serves the running request."""
    return f'http://{attempt.address}/v1/requests/{attempt.upstream_request_id}'


async def _raise_cut_if_sent(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Report the loss of a sent request at once; a client middleware.

    On these errors, aiohttp repeats requests of idempotent methods by itself
    and then reports only how the repetition ended.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        attempt = _current_attempt.get()
        if attempt is None or not attempt.sent:
            raise
        raise _attempt_error(attempt, error) from error


def _attempt_error(attempt: Attempt, error: Exception) -> AttemptError:
    """Return the error of an attempt without an answer.

    ``ConnectFailed`` promises that nothing was sent, so whether anything was
    decides before the kind of the error does.
    """
    if not attempt.sent:
        return ConnectFailed(str(error) or f'no connection: {error!r}')
    if isinstance(error, TimeoutError):
        return AttemptTimeout('no answer within the first-byte timeout')
    return UpstreamCut(f'no answer: {error!r}')
