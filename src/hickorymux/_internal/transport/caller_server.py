"""HTTP server for callers: authenticates requests and runs them.

Errors are answered as problem details (RFC 9457). They carry an error code,
whether the request was run, and after how many seconds to retry.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol, final

from aiohttp import web
from multidict import CIMultiDict

from hickorymux._internal.coordination.claims import MAX_KEY_CHARS
from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.exceptions import (
    BadRequest,
    BodyTooLarge,
    HickorymuxError,
    NotReady,
    Ran,
    RequestError,
    TooManyRequests,
    Unauthorized,
    UpstreamTimeout,
)
from hickorymux._internal.protocol import http
from hickorymux._internal.state.tables import Tables
from hickorymux._internal.transport import calls
from hickorymux._internal.transport.claiming import ClaimLike, Unclaimed
from hickorymux._internal.transport.dispatcher import Dispatcher
from hickorymux._internal.transport.http_reply import HttpReply
from hickorymux._internal.transport.metrics import RouterMetrics
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.ids import new_request_id
from hickorymux._internal.utils.tasks import log_unawaited_error

MAX_REQUEST_ID_CHARACTERS: Final = 128
BODY_TIMEOUT_SECONDS: Final = 30
RETRY_AFTER_SECONDS: Final = 2.0
DRAIN_POLL_SECONDS: Final = 0.05

_logger = logging.getLogger(__name__)


class CustomerDirectory(Protocol):
    """Finds the customer that an API key belongs to."""

    def customer_for_key(self, key: str) -> str | None:
        """Return the customer, or ``None`` if the key is unknown."""


AcquireClaim = Callable[[calls.Call], Awaitable[ClaimLike]]


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits of one router on the requests that it accepts.

    ``max_requests`` bounds the requests that run or wait at the same time.
    """

    max_body_bytes: int = 8 << 20
    max_requests: int = 4096


@final
class CallerServer:
    """Accepts requests of callers and runs them through the dispatcher.

    Each of ``handler_tasks`` handles one HTTP request, and each of
    ``running_tasks`` runs one call. A call that may be repeated runs in its
    handler task, any other in a task of its own. ``acquire_claim`` claims the
    idempotency key of a call. ``missing_reasons`` returns why the router can't
    serve yet.
    """

    __slots__ = (
        'acquire_claim',
        'clock',
        'customers',
        'decisions',
        'dispatcher',
        'handler_tasks',
        'is_closing',
        'is_cancelling',
        'limits',
        'metrics',
        'missing_reasons',
        'read_tables',
        'running_tasks',
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        customers: CustomerDirectory,
        read_tables: Callable[[], Tables],
        acquire_claim: AcquireClaim,
        limits: CallerLimits,
        missing_reasons: Callable[[], tuple[str, ...]],
    ) -> None:
        self.dispatcher = dispatcher
        self.customers = customers
        self.read_tables = read_tables
        self.acquire_claim = acquire_claim
        self.limits = limits
        self.missing_reasons = missing_reasons
        self.clock: Clock = dispatcher.clock
        self.decisions: DecisionLog = dispatcher.decisions
        self.metrics: RouterMetrics = dispatcher.metrics
        self.running_tasks: set[asyncio.Task[Any]] = set()
        self.handler_tasks: set[asyncio.Task[Any]] = set()
        self.is_closing = False
        self.is_cancelling = False

    def application(self) -> web.Application:
        """Return the web application that handles all paths."""
        app = web.Application(client_max_size=self.limits.max_body_bytes)
        app.router.add_route('*', '/{tail:.*}', self.handle)
        app.on_response_prepare.append(self._on_prepare)
        return app

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request; track its task until the answer is sent."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('a request is handled outside of a task')
        self.handler_tasks.add(task)
        try:
            return await self._handle(request)
        finally:
            self.handler_tasks.discard(task)

    def refuse_new(self) -> None:
        """Refuse new requests from now on; running ones continue."""
        self.is_closing = True

    async def cancel_all(self) -> int:
        """Cancel all requests and return how many there were."""
        self.is_cancelling = True
        tasks = self.handler_tasks | self.running_tasks
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return len(tasks)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        request_id = _request_id(request)
        reply = HttpReply(request)
        try:
            await self._serve(request, request_id, reply)
        except RequestError as error:
            return self._refuse(error, request_id, reply)
        except (ConnectionError, asyncio.CancelledError):
            self._record_cancelled(request_id)
            raise
        if reply.response is None:
            raise RuntimeError('the call ended without an answer')
        return reply.response

    def _record_cancelled(self, request_id: str) -> None:
        if self.is_cancelling:
            self.decisions.record(request_id, 'cut', 'the router was shut down')
            self.metrics.count_outcome('', 'cut')
            return
        self.decisions.record(request_id, 'cancelled', 'the caller left')
        self.metrics.count_outcome('', 'caller_left')

    async def wait_until_drained(self) -> None:
        """Wait until no request is running."""
        while self.handler_tasks or self.running_tasks:
            await self.clock.sleep(DRAIN_POLL_SECONDS)

    async def _on_prepare(
        self,
        _request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Close the connection after the answer once the router shuts down.

        Callers then connect anew and reach another router.
        """
        if self.is_closing:
            response.force_close()
            response.headers['Connection'] = 'close'

    async def _serve(
        self,
        request: web.Request,
        request_id: str,
        reply: HttpReply,
    ) -> None:
        customer = self._authenticate(request)
        self._check_ready()
        body = await self._read_body(request)
        call = self._build_call(request, request_id, customer, body)
        if call.is_repeatable:
            await self._run_tracked(call, reply, asyncio.current_task())
        else:
            await self._run_shielded(call, reply)
        self.metrics.count_outcome(call.pool.name, 'answered')

    async def _run_tracked(
        self,
        call: calls.Call,
        reply: HttpReply,
        task: 'asyncio.Task[Any] | None',
    ) -> None:
        """Run a call in the handler task; it ends when the caller leaves."""
        if task is None:
            raise RuntimeError('a call runs outside of a task')
        self.running_tasks.add(task)
        try:
            await self._run(call, reply)
        finally:
            self.running_tasks.discard(task)

    async def _run_shielded(self, call: calls.Call, reply: HttpReply) -> None:
        """Run a call to its end even if the caller leaves.

        The call runs in a task of its own. That task is tracked from here on,
        and the handler task no longer is.
        """
        task = asyncio.create_task(self._run(call, reply))
        self.running_tasks.add(task)
        self.handler_tasks -= {asyncio.current_task()}
        task.add_done_callback(self.running_tasks.discard)
        task.add_done_callback(log_unawaited_error)
        await asyncio.shield(task)

    async def _run(self, call: calls.Call, reply: HttpReply) -> None:
        claim: ClaimLike = Unclaimed()
        if call.idempotency_key and not call.is_repeatable:
            claim = await self.acquire_claim(call)
        timeout_seconds = call.route.total_timeout.total_seconds()
        try:
            async with asyncio.timeout(timeout_seconds):
                await self.dispatcher.run(call, reply, claim)
        except TimeoutError:
            raise UpstreamTimeout(
                f'no complete answer within {timeout_seconds:g} s',
                ran=Ran.unknown,
                retry_after=RETRY_AFTER_SECONDS,
            ) from None
        finally:
            # Has no effect if the request was sent.
            claim.release()

    def _authenticate(self, request: web.Request) -> str:
        key = http.caller_api_key(request.headers)
        customer = self.customers.customer_for_key(key) if key else None
        if customer is None:
            raise Unauthorized('the request carries no valid customer key')
        return customer

    def _check_ready(self) -> None:
        if self.is_closing:
            raise NotReady(
                'the router is shutting down',
                retry_after=RETRY_AFTER_SECONDS,
            )
        missing_reasons = self.missing_reasons()
        if missing_reasons:
            raise NotReady(
                '; '.join(missing_reasons),
                retry_after=RETRY_AFTER_SECONDS,
            )
        if len(self.running_tasks) >= self.limits.max_requests:
            raise TooManyRequests(
                f'the router already handles {len(self.running_tasks)} requests,'
                ' the most that it accepts',
                retry_after=RETRY_AFTER_SECONDS,
            )

    async def _read_body(self, request: web.Request) -> bytes:
        if not request.body_exists:
            return b''
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                return await request.read()
        except web.HTTPRequestEntityTooLarge:
            limit = self.limits.max_body_bytes
            raise BodyTooLarge(
                f'the body exceeds the limit of {limit} bytes'
            ) from None
        except TimeoutError:
            raise BadRequest('the body did not arrive in time') from None

    def _build_call(
        self,
        request: web.Request,
        request_id: str,
        customer: str,
        body: bytes,
    ) -> calls.Call:
        """Match the request to a route and return it as a call.

        Raises ``RouteNotFound`` or ``BadRequest``.
        """
        tables = self.read_tables()
        cost_hint: float = 0
        if request.path == calls.CHAT_PATH:
            fields = calls.parse_chat_fields(body)
            route = calls.match_model(tables, customer, fields.model)
            cost_hint = calls.cost_hint_of(fields)
        else:
            route = calls.match_path(tables, customer, request.path)
        call = calls.Call(
            request_id=request_id,
            customer=customer,
            route=route,
            pool=calls.pool_of(tables, route),
            method=request.method,
            path=request.path_qs,
            headers=CIMultiDict(request.headers),
            body=body,
            arrived_at=self.clock.monotonic(),
            idempotency_key=_idempotency_key(request),
            cost_hint=cost_hint,
        )
        if route.requires_key and not call.is_repeatable:
            _require_key(call)
        return call

    def _refuse(
        self,
        error: RequestError,
        request_id: str,
        reply: HttpReply,
    ) -> web.StreamResponse:
        self.decisions.record(
            request_id,
            'refused',
            str(error),
            code=error.code,
            ran=error.ran.value,
        )
        self.metrics.count_outcome('', error.code)
        if reply.response is not None:
            reply.abort()
            return reply.response
        return problem_response(error, request_id)


def problem_response(error: HickorymuxError, request_id: str) -> web.Response:
    """Return an error as an answer with problem details."""
    return web.Response(
        status=error.http_status,
        body=http.problem_body(error, request_id),
        content_type=http.PROBLEM_TYPE,
        headers=http.problem_headers(error, request_id),
    )


def _request_id(request: web.Request) -> str:
    """Return the caller's request id if it is usable, else a new one."""
    caller_id = request.headers.get(http.REQUEST_ID, '')
    is_usable = caller_id.isascii() and caller_id.isprintable()
    if caller_id and is_usable and len(caller_id) <= MAX_REQUEST_ID_CHARACTERS:
        return caller_id
    return new_request_id()


def _idempotency_key(request: web.Request) -> str:
    key = request.headers.get(http.IDEMPOTENCY_KEY, '')
    if len(key) > MAX_KEY_CHARS:
        raise BadRequest(
            f'the idempotency key exceeds {MAX_KEY_CHARS} characters',
            where=http.IDEMPOTENCY_KEY,
        )
    return key


def _require_key(call: calls.Call) -> None:
    if not call.idempotency_key:
        raise BadRequest(
            f'route "{call.route.name}" requires an idempotency key for'
            f' {call.method}',
            where=http.IDEMPOTENCY_KEY,
            hint='send a UUID of version 7 in this header',
        )
