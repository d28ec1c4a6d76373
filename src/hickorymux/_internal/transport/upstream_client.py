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
import select
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, final

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from hickorymux._internal.exceptions import HickorymuxError
from hickorymux._internal.protocol import http
from hickorymux._internal.transport.connection_policy import (
    EXCESS_IDLE_SECONDS,
    ConnectionEvent,
    ConnectionPolicy,
    ConnectionSettings,
    ReuseMode,
)
from hickorymux._internal.transport.sockets import open_keepalive_socket
from hickorymux._internal.transport.strict_responses import (
    FIRST_FINAL_STATUS,
    LAST_STATUS,
    BoundCounts,
    StrictResponseHandler,
    is_framed,
)
from hickorymux._internal.utils.clock import SystemClock

KEEPALIVE_SECONDS = 30
CANCEL_TIMEOUT_SECONDS = 2
RESUME_TIMEOUT_SECONDS = 2
MAX_LINE_BYTES = 16384
# What is read ahead of an answer while its caller reads slowly; up to twice
# this size on each connection.
READ_BUFFER_BYTES = 1 << 14

# A larger body is sent in pieces of this size.
LARGE_BODY_BYTES = 1 << 16
# Stale connections that one attempt discards before it fails.
MAX_STALE_CONNECTIONS = 8
# How often idle connections are checked for their age.
IDLE_CHECK_SECONDS = 1.0

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


class IdleDrop(UpstreamCut):
    """A reused connection was reset before any byte of an answer.

    The upstream had probably dropped it while it was idle. Nothing proves
    that, so the request may have run.
    """

    code = 'idle_drop'


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

    ``may_be_resent`` tells that a reset before the answer costs no more than
    another attempt, and ``needs_new_connection`` that an earlier attempt was
    reset on an idle connection. ``pool`` and ``max_connections`` are those of
    the upstream, the latter 0 if unknown. ``protocol`` is the connection that
    the attempt uses and ``idle_seconds`` how long that was idle, ``None`` if
    it is new or the connections of the pool are kept for a short time only.
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
    is_stream: bool = False
    may_be_resent: bool = False
    needs_new_connection: bool = False
    pool: str = ''
    max_connections: int = 0
    protocol: Any = None
    idle_seconds: float | None = None

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
        attempt = _current_attempt.get()
        if attempt is not None and attempt.protocol is not None:
            attempt.protocol.is_upload_written = True


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
            attempt.protocol = conn.protocol
            is_small = len(attempt.body) <= LARGE_BODY_BYTES
            conn.protocol.is_upload_written = is_small
            if conn.protocol.is_kept_long:
                attempt.idle_seconds = conn.protocol.idle_seconds
            await attempt.verify_connection(conn.protocol)
            attempt.check_before_send()
            attempt.sent = True
        return await super().send(conn)


@final
class UpstreamAnswer:
    """The answer of an upstream, with its body as a stream of chunks."""

    __slots__ = ('attempt', 'first_chunk', 'idle_timeout_seconds', 'response')

    def __init__(
        self,
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        idle: dt.timedelta,
    ) -> None:
        self.attempt = attempt
        self.response = response
        self.first_chunk = b''
        self.idle_timeout_seconds = idle.total_seconds()

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.response.status

    @property
    def is_framed(self) -> bool:
        """Return whether the answer itself tells where its body ends."""
        return is_framed(self.response.headers)

    @property
    def is_event_stream(self) -> bool:
        """Return whether the body is a stream of server-sent events."""
        return self.response.content_type == http.EVENT_STREAM_TYPE

    async def begin(self) -> None:
        """Wait for the first bytes of the body; raises like ``chunks``.

        ``chunks`` yields them first.
        """
        self.first_chunk = await self._read_chunk()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises ``UpstreamCut`` when it ends before it is complete and
        ``AttemptTimeout`` when nothing arrives within the idle timeout.
        """
        chunk = self.first_chunk or await self._read_chunk()
        self.first_chunk = b''
        while chunk:
            yield chunk
            chunk = await self._read_chunk()

    async def read(self) -> bytes:
        """Return the whole body; raises like ``chunks``."""
        return b''.join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """End the exchange; the connection is closed if the body is unread."""
        self.response.close()

    def release(self) -> None:
        """Return the connection for reuse after a complete answer."""
        self.response.release()

    async def _read_chunk(self) -> bytes:
        """Return some bytes of the body, none at its end."""
        try:
            return await self.response.content.readany()
        except aiohttp.ServerTimeoutError as error:
            raise AttemptTimeout('no data within the idle timeout') from error
        except (aiohttp.ClientError, OSError) as error:
            raise UpstreamCut(f'answer was cut: {error!r}') from error


@final
class UpstreamClient:
    """HTTP client for upstreams; one instance for the whole router.

    A kept-alive connection might be closed by the upstream at the same moment,
    which leaves open whether the request ran. So each request that may not be
    repeated gets a connection of its own, unless ``policy`` trusts an idle one.
    """

    __slots__ = ('policy', 'single_use_session', 'session', 'timeouts')

    def __init__(
        self,
        session: aiohttp.ClientSession,
        single_use_session: aiohttp.ClientSession,
        timeouts: UpstreamTimeouts,
        policy: ConnectionPolicy,
    ) -> None:
        self.policy = policy
        self.session = session
        self.single_use_session = single_use_session
        self.timeouts = timeouts

    @classmethod
    def from_config(
        cls,
        timeouts: UpstreamTimeouts,
        policy: ConnectionPolicy | None = None,
        counts: BoundCounts | None = None,
        max_connections: int = 0,
    ) -> 'UpstreamClient':
        """Return a client; must be called on a running event loop.

        Without a policy, connections are kept for ``timeouts.keep_alive``.
        ``counts`` counts the connections that are closed for a bound. Attempts
        beyond ``max_connections`` wait for a connection; 0 is no limit.
        """
        policy = policy or ConnectionPolicy(
            SystemClock(),
            ConnectionSettings(reuse=ReuseMode.disabled),
            timeouts.keep_alive,
        )
        if counts is None:
            counts = collections.Counter()
        reusing = _UpstreamConnector(
            policy, counts, limit=max_connections, keepalive_timeout=None
        )
        closing = _UpstreamConnector(
            policy, counts, limit=max_connections, force_close=True
        )
        return cls(
            _new_session(reusing, timeouts),
            _new_session(closing, timeouts),
            timeouts,
            policy,
        )

    @property
    def busy_connections(self) -> int:
        """Return how many connections are used by attempts."""
        connectors: Any = (
            self.session.connector,
            self.single_use_session.connector,
        )
        return sum(
            len(each._acquired) for each in connectors if each is not None
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
        self.policy.note_upstream(
            attempt.address, attempt.pool, attempt.max_connections
        )
        token = _current_attempt.set(attempt)
        try:
            async with asyncio.timeout(self._first_byte_seconds()):
                response = await self._request_skipping_stale(attempt)
        except (aiohttp.ClientError, aiohttp.EofStream, OSError) as error:
            raise _attempt_error(attempt, error) from error
        finally:
            _current_attempt.reset(token)
        self.policy.on_response(
            attempt.address, response.headers.get('Keep-Alive', '')
        )
        _check_status(response)
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
        _check_status(response)
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
        if self.policy.is_active(attempt.address):
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
class _UpstreamConnector(aiohttp.TCPConnector):
    """Opens connections that detect unreachable upstreams and resets.

    The policy decides which idle connections are kept and reused. Where it is
    active, the one that was used last is reused first, so that the others can
    expire. Idle connections count toward the limit, though aiohttp counts only
    those in use: the ones that were used least recently are closed for new ones.
    """

    def __init__(
        self, policy: ConnectionPolicy, counts: BoundCounts, **options: Any
    ) -> None:
        super().__init__(socket_factory=open_keepalive_socket, **options)
        self.policy = policy
        self.counts = counts
        self.idle_check: asyncio.TimerHandle | None = None
        self._factory: Any = functools.partial(
            StrictResponseHandler,
            loop=asyncio.get_running_loop(),
            counts=counts,
        )

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """Return an idle connection that may be reused, or a new one."""
        connection: Any = await super().connect(req, traces, timeout)
        is_new = connection.protocol.idle_seconds is None
        event = ConnectionEvent.new if is_new else ConnectionEvent.reused
        self.policy.count(_address_of(req.connection_key), event)
        return connection

    async def _create_connection(
        self, req: Any, traces: Any, timeout: Any
    ) -> Any:
        """Open a connection, and close idle ones beyond the limit before."""
        self._close_surplus()
        return await super()._create_connection(req, traces, timeout)

    def _close_surplus(self) -> None:
        """Close idle connections, least recently used first."""
        if not self.limit:
            return
        idle = sum(len(kept) for kept in self._conns.values())
        # Those in use include the one that is about to be opened.
        for _ in range(min(idle, idle + len(self._acquired) - self.limit)):
            kept: Any = min(filter(None, self._conns.values()), key=_oldest_use)
            is_first = _oldest_use(kept) == kept[0][0].idle_since
            protocol, _ = kept.popleft() if is_first else kept.pop()
            protocol.close()
            self.counts['upstream_idle_surplus'] += 1

    async def _get(self, key: Any, traces: Any) -> Any:
        """Take an idle connection, ``None`` if none may be reused."""
        address = _address_of(key)
        self._close_expired(key, address)
        idle = self._conns.get(key)
        if not idle:
            return None
        protocol: Any = idle[0][0]
        idle_seconds = self.policy.clock.monotonic() - protocol.idle_since
        attempt = _current_attempt.get()
        if attempt is not None and attempt.needs_new_connection:
            return None
        limit = self.policy.reuse_limit(
            address,
            may_be_resent=attempt is None or attempt.may_be_resent,
            is_stream=attempt is not None and attempt.is_stream,
        )
        if idle_seconds > limit:
            return None
        protocol.idle_seconds = idle_seconds
        protocol.is_kept_long = self.policy.is_active(address)
        return await super()._get(key, traces)

    def _release(
        self, key: Any, protocol: Any, *, should_close: bool = False
    ) -> None:
        """Keep the connection idle if it may be reused, else close it."""
        protocol.idle_since = self.policy.clock.monotonic()
        super()._release(key, protocol, should_close=should_close)
        idle = self._conns.get(key)
        if not idle or idle[-1][0] is not protocol:
            return
        address = _address_of(key)
        if self.policy.is_active(address):
            idle.rotate(1)
            while len(idle) > self.policy.max_idle_connections(address):
                idle.pop()[0].close()
        if self.idle_check is None:
            self.idle_check = self._loop.call_later(
                IDLE_CHECK_SECONDS, self._check_idle
            )

    def _check_idle(self) -> None:
        """Close the connections that were idle for too long."""
        self.idle_check = None
        for key in tuple(self._conns):
            self._close_expired(key, _address_of(key))
            if not self._conns[key]:
                self._conns.pop(key)
        self.policy.prune()
        if self._conns:
            self.idle_check = self._loop.call_later(
                IDLE_CHECK_SECONDS, self._check_idle
            )

    def _close_expired(self, key: Any, address: str) -> None:
        idle = self._conns.get(key)
        if not idle:
            return
        now = self.policy.clock.monotonic()
        limit = self.policy.idle_limit(address)
        share = self.policy.idle_share(address)
        kept: collections.deque[Any] = collections.deque()
        for protocol, stamp in idle:
            reusing: Any = protocol
            if self.policy.is_active(address) and len(kept) >= share:
                limit = min(limit, EXCESS_IDLE_SECONDS)
            if not reusing.is_connected():
                self.policy.count(address, ConnectionEvent.closed_idle)
            elif now - reusing.idle_since <= limit:
                kept.append((protocol, stamp))
                continue
            reusing.close()
        self._conns[key] = kept


def _oldest_use(idle: Any) -> float:
    """Return when the least recently used idle connection was used last.

    The idle connections to an upstream are in the order of their use or in the
    opposite order.
    """
    return float(min(idle[0][0].idle_since, idle[-1][0].idle_since))


def _address_of(key: Any) -> str:
    return f'{key.host}:{key.port}'


def _is_stale(protocol: Any) -> bool:
    """Return whether a kept-alive connection was closed or got more bytes.

    Bytes after a complete answer belong to no request; aiohttp would take
    them for the answer to the next one.
    """
    if protocol.should_close or protocol.exception() is not None:
        return True
    return protocol.is_kept_long and _has_input(protocol.transport)


def _has_input(transport: Any) -> bool:
    """Return whether a socket has bytes or was closed by its other end.

    The event loop may not have seen that yet.
    """
    poll = select.poll()
    poll.register(
        transport.get_extra_info('socket').fileno(),
        select.POLLIN | select.POLLRDHUP,
    )
    return bool(poll.poll(0))


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


def _check_status(response: aiohttp.ClientResponse) -> None:
    """Raise ``UpstreamCut`` if the status is none of a final response.

    Those have three digits, from 200 to 599 (RFC 9110, section 15).
    """
    if not FIRST_FINAL_STATUS <= response.status <= LAST_STATUS:
        response.close()
        raise UpstreamCut(
            f'status {response.status} is none of a final response'
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
    if attempt.idle_seconds is not None and not attempt.protocol.head_bytes:
        return IdleDrop(
            f'connection was reset, idle for {attempt.idle_seconds:.1f} s'
            f' before: {error!r}'
        )
    return UpstreamCut(f'no answer: {error!r}')
