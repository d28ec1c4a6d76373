"""Sends one attempt of a request to an upstream.

An attempt knows whether any octet of it went towards the upstream. The check
of its lease and its claim runs directly before the first octet is written;
a refusal there means that the attempt certainly did not run.
"""

import asyncio
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
from hickorymux._internal.transport.sockets import open_keepalive_socket

KEEPALIVE_SECONDS = 30
CANCEL_TIMEOUT_SECONDS = 2
RESUME_TIMEOUT_SECONDS = 2
MAX_LINE_BYTES = 16384
READ_BUFFER_BYTES = 1 << 16

# Stale connections that one attempt skips before it gives up.
MAX_STALE_CONNECTIONS = 8

# Headers that aiohttp adds to a request that has none of its own.
_AUTOMATIC_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type')

_current_attempt: contextvars.ContextVar['Attempt | None'] = (
    contextvars.ContextVar(
        'attempt',
        default=None,
    )
)


class AttemptError(HickorymuxError):
    """An attempt failed; ``attempt.sent`` tells whether it may have run."""

    code = 'attempt_failed'


class ConnectFailed(AttemptError):
    """No connection to the upstream; nothing was sent."""

    code = 'connect_failed'


class StaleConnection(AttemptError):
    """A kept connection is not fit for use; nothing was sent."""

    code = 'stale_connection'


class UpstreamCut(AttemptError):
    """The upstream closed the connection before its answer was whole."""

    code = 'upstream_cut'


class AttemptTimeout(AttemptError):
    """The upstream kept silent for longer than the limit."""

    code = 'attempt_timeout'


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamTimeouts:
    """How long to wait for an upstream."""

    connect: dt.timedelta = dt.timedelta(seconds=1)
    keep_alive: dt.timedelta = dt.timedelta(seconds=KEEPALIVE_SECONDS)
    first_byte: dt.timedelta = dt.timedelta(seconds=60)
    idle: dt.timedelta = dt.timedelta(seconds=30)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try to run a request on one upstream.

    ``upstream_id`` is the request id that the upstream sees and must echo.
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
        """Return where the attempt goes."""
        return URL(f'http://{self.address}{self.path}', encoded=True)


@final
class _CheckedRequest(aiohttp.ClientRequest):
    """A client request that checks its attempt before the first octet."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Check the attempt, mark it as sent, and write the request."""
        attempt = _current_attempt.get()
        if attempt is not None:
            if attempt.sent:
                # The library repeats PUT and DELETE on a stale connection.
                raise UpstreamCut('connection ended and nothing is repeated')
            if _is_stale(conn.protocol):
                raise StaleConnection('octets arrived after the last answer')
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
    def is_event_stream(self) -> bool:
        """Return whether the body is a stream of server-sent events."""
        return self.response.content_type == http.EVENT_STREAM_TYPE

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises ``UpstreamCut`` when it ends before it is whole and
        ``AttemptTimeout`` when nothing comes for the idle limit.
        """
        body = self.response.content
        try:
            while True:
                chunk = await body.readany()
                if not chunk:
                    return
                yield chunk
        except aiohttp.ServerTimeoutError as error:
            raise AttemptTimeout('no data within the idle limit') from error
        except (aiohttp.ClientError, OSError) as error:
            raise UpstreamCut(f'answer was cut: {error!r}') from error

    async def read(self) -> bytes:
        """Return the whole body."""
        return b''.join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """End the exchange; an unread answer closes the connection."""
        self.response.close()

    def release(self) -> None:
        """Give the connection back after a whole answer."""
        self.response.release()


@final
class UpstreamClient:
    """HTTP towards upstreams; one pair of sessions for the whole router.

    Requests that may not be repeated get a fresh connection each, so that an
    idle connection which the upstream is just closing leaves no doubt about
    whether they ran.
    """

    __slots__ = ('fresh_session', 'session', 'timeouts')

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        timeouts: UpstreamTimeouts,
    ) -> None:
        self.session = session
        self.fresh_session = fresh_session
        self.timeouts = timeouts

    @classmethod
    def from_config(cls, timeouts: UpstreamTimeouts) -> 'UpstreamClient':
        """Open a session; must be called on a running event loop."""
        reusing = _UpstreamConnector(
            keepalive_timeout=timeouts.keep_alive.total_seconds(),
        )
        closing = _UpstreamConnector(force_close=True)
        return cls(
            _new_session(reusing, timeouts),
            _new_session(closing, timeouts),
            timeouts,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
        await self.fresh_session.close()

    async def open(self, attempt: Attempt) -> UpstreamAnswer:
        """Send the attempt and return the answer once its headers are there.

        Raises ``ConnectFailed``, ``UpstreamCut`` or ``AttemptTimeout``, and
        whatever the attempt's check raises.
        """
        token = _current_attempt.set(attempt)
        try:
            async with asyncio.timeout(self._first_byte_seconds()):
                response = await self._request_skipping_stale(attempt)
        except TimeoutError as error:
            raise _timeout_error(attempt) from error
        except aiohttp.ClientConnectorError as error:
            raise ConnectFailed(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise UpstreamCut(f'no answer: {error!r}') from error
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
        """Return the rest of a model engine's stream after so many events.

        Raises ``UpstreamCut`` when the engine does not have it any more or
        is another instance than the one that began the answer.
        """
        try:
            async with asyncio.timeout(RESUME_TIMEOUT_SECONDS):
                response = await self.session.get(
                    f'{_engine_request_url(attempt)}/stream',
                    params={'after': after},
                    allow_redirects=False,
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise UpstreamCut(f'not resumed: {error!r}') from error
        received = response.headers.get(http.ENGINE_INSTANCE, '')
        if not response.ok or received != instance:
            response.close()
            raise UpstreamCut(f'not resumed: status {response.status}')
        _check_request_id(attempt, response)
        return UpstreamAnswer(attempt, response, self.timeouts.idle)

    async def cancel(self, attempt: Attempt) -> bool:
        """Ask a model engine to stop an attempt; return whether it did."""
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
        return self.fresh_session

    def _first_byte_seconds(self) -> float:
        return self.timeouts.first_byte.total_seconds()

    async def _request_skipping_stale(
        self,
        attempt: Attempt,
    ) -> aiohttp.ClientResponse:
        for _ in range(MAX_STALE_CONNECTIONS):
            with contextlib.suppress(StaleConnection):
                return await self._request(attempt)
        raise ConnectFailed('every kept connection is stale')

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
        return await send(data=attempt.body or None)


@final
class _StrictResponseHandler(ResponseHandler):
    """Does not take a reset for the end of an answer without a length."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark an answer that was under way as cut if the peer reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)


@final
class _UpstreamConnector(aiohttp.TCPConnector):
    """Opens connections that notice silence and resets."""

    def __init__(self, **options: Any) -> None:
        super().__init__(
            limit=0, socket_factory=open_keepalive_socket, **options
        )
        self._factory: Any = functools.partial(
            _StrictResponseHandler,
            loop=asyncio.get_running_loop(),
        )


def _is_stale(protocol: Any) -> bool:
    """Return whether anything arrived since the last answer was whole.

    Such octets belong to no request; the library would take them for the
    answer to the next one.
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
    """Refuse an answer that names another request as its own."""
    echoed = response.headers.get(http.REQUEST_ID, attempt.upstream_request_id)
    if echoed != attempt.upstream_request_id:
        response.close()
        raise UpstreamCut(f'answer belongs to request {echoed}')


def _engine_request_url(attempt: Attempt) -> str:
    """Return where a model engine knows the attempt."""
    return f'http://{attempt.address}/v1/requests/{attempt.upstream_request_id}'


def _timeout_error(attempt: Attempt) -> AttemptError:
    if attempt.sent:
        return AttemptTimeout('no first byte within the limit')
    return ConnectFailed('no connection within the limit')
