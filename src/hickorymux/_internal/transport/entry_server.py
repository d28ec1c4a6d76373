"""HTTP server of an entry process towards callers.

Each request is matched to a route, authorized and passed to the dispatcher.
A request that can't be served is refused as soon as that is known. The
refusal states whether the request ran and when to retry.
"""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable
from typing import Any, Final, final

from aiohttp import web

from hickorymux._internal.coordination.admission import (
    MAX_LAG_SECONDS,
    TARGET_LAG_SECONDS,
    Admission,
)
from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.coordination.deployment_view import DeploymentView
from hickorymux._internal.coordination.engines.demands import (
    Demand,
    PlainDemand,
    PromptDemand,
)
from hickorymux._internal.coordination.engines.refusal import (
    MAX_RETRY_DEADLINE_SHARE,
    RETRY_FLOOR_SECONDS,
    RETRY_SPREAD,
)
from hickorymux._internal.exceptions import (
    ConnectionsShort,
    CrashSuspect,
    MemoryShort,
    NotReady,
    RequestError,
    RouteNotFound,
    StreamUnknown,
    StreamVersionGone,
    Unauthorized,
)
from hickorymux._internal.protocol.upstream_http import (
    Dialect,
    RawRequestHead,
    RequestHeaders,
)
from hickorymux._internal.state.routing import (
    DEFAULT_MAX_BODY_BYTES,
    Customer,
    HttpRoute,
    IngressLimits,
    RequestKind,
    RoutingTable,
)
from hickorymux._internal.state.stream_origins import (
    StreamOrigin,
    stream_key,
)
from hickorymux._internal.transport.body_reader import BodyLimits, BodyReader
from hickorymux._internal.transport.bounded_reads import READ_BYTES
from hickorymux._internal.transport.caller_connections import (
    CallerConnection,
    CallerConnections,
    ConnectionLimits,
)
from hickorymux._internal.transport.entry_call import EntryCall
from hickorymux._internal.transport.entry_dispatcher import EntryDispatcher
from hickorymux._internal.transport.entry_settings import (
    CALLER_CONNECTION_BYTES,
    UPSTREAM_CONNECTION_BYTES,
    ProcessLimits,
)
from hickorymux._internal.transport.http_reply import HttpReply
from hickorymux._internal.transport.loop_lag import LoopLag
from hickorymux._internal.transport.memory_budget import (
    MemoryBudget,
    MemoryHold,
)
from hickorymux._internal.transport.metrics import RouterMetrics
from hickorymux._internal.transport.quick_refusal import (
    LoadSheddingServer,
    EarlyDecision,
    SocketRefusals,
)
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.tasks import log_unawaited_error
from hickorymux._internal.utils.tracebacks import drop_tracebacks

NOT_READY_RETRY_SECONDS: Final = 0.5
# Short, as what keeps this router from knowing a stream is over soon or never.
STREAM_UNKNOWN_RETRY_SECONDS: Final = 0.2
# A resumed stream should go on within this time. Its answer has begun, so the
# objective of its route says nothing; its caller waits for two seconds.
RESUMED_OBJECTIVE_SECONDS: Final = 1.5
# Above this staleness of the tables, a route or key that is not found may have
# been added meanwhile, so the refusal asks the caller to retry.
MAX_CONCLUSIVE_STALENESS_SECONDS: Final = 3.0
# Longer than callers leave a connection idle, so that they close it first.
# A close by the server may lose a request that is already on its way.
KEEP_ALIVE_SECONDS: Final = 75.0
# How long the rest of a body is read and dropped after an answer that was
# sent before the body was complete.
LINGERING_SECONDS: Final = 2.0
MAX_HEADER_BYTES: Final = 65536
# A view that was never confirmed is infinitely stale, which JSON can't express.
MAX_LOGGED_STALENESS_SECONDS: Final = 1e6
# With more open connections than this, answers carry "Connection: close". Each
# connection takes some 14 KB of memory, which is scarce on small hosts.
MAX_KEEP_ALIVE_CONNECTIONS: Final = 1000
_MS_PER_SECOND: Final = 1000
_STATUS_UNAVAILABLE: Final = 503
_CLOSING_STATUSES: Final = frozenset((408, 413, _STATUS_UNAVAILABLE))
_DEFAULT_INGRESS_LIMITS: Final = IngressLimits()
# How soon a caller may find memory free again: an average request has ended.
MEMORY_RETRY_SECONDS: Final = 0.5
# How long an unread answer is kept beyond the longest timeout of a route.
MAX_UNREAD_SECONDS: Final = 5.0


@final
class TableView:
    """The routing table in force and the staleness of this router's view.

    ``staleness`` returns the seconds since the view was last confirmed.
    ``max_key_staleness`` is the limit in seconds up to which customers' keys
    may be used, ``None`` for no limit.
    """

    __slots__ = ('staleness', 'deployment', 'max_key_staleness')

    def __init__(
        self,
        deployment: DeploymentView,
        staleness: Callable[[], float],
        max_key_staleness: float | None,
    ) -> None:
        self.deployment = deployment
        self.staleness = staleness
        self.max_key_staleness = max_key_staleness

    @property
    def table(self) -> RoutingTable | None:
        """Return the table in force, ``None`` until one has been read."""
        return self.deployment.table

    def are_keys_fresh(self) -> bool:
        """Return whether the view is recent enough to authorize by its keys.

        Otherwise a key in it may have been withdrawn for longer than allowed.
        """
        return (
            self.max_key_staleness is None
            or self.staleness() < self.max_key_staleness
        )


@final
class EntryServer:
    """Answers the requests of callers; one instance for the process.

    ``choose_pool`` returns the name of the pool for a request on a route.
    """

    __slots__ = (
        'admission',
        'body_reader',
        'budget',
        'choose_pool',
        'clock',
        'connection_bytes',
        'connections',
        'decisions',
        'dialect',
        'dispatcher',
        'is_stopping',
        'loop_lag',
        'metrics',
        'running_tasks',
        'socket_refusals',
        'view',
        'web_server',
        'work',
    )

    def __init__(
        self,
        dispatcher: EntryDispatcher,
        view: TableView,
        choose_pool: Callable[[HttpRoute], str],
        limits: ProcessLimits,
    ) -> None:
        self.dispatcher = dispatcher
        self.view = view
        self.choose_pool = choose_pool
        self.dialect: Dialect = dispatcher.dialect
        self.clock: Clock = dispatcher.clock
        self.decisions: DecisionLog = dispatcher.decisions
        self.metrics: RouterMetrics = dispatcher.metrics
        self.work = dispatcher.work
        self.budget = MemoryBudget(
            self.clock, limits.buffer_bytes, limits.owner_bytes
        )
        self.connection_bytes = limits.connection_bytes
        self.budget.reserved_bytes = self._excess_connection_bytes
        self.body_reader = BodyReader(self.budget)
        self.connections = CallerConnections(
            self.budget,
            ConnectionLimits(
                limits.max_callers, self._ingress_limits, self._longest_seconds
            ),
        )
        self.admission = Admission()
        self.loop_lag = LoopLag(self.clock, self.work.observe_lag)
        self.socket_refusals = SocketRefusals(
            self._decide_refusal, limits.max_refusals
        )
        self.running_tasks: set[asyncio.Task[Any]] = set()
        self.is_stopping = False
        self.web_server = self._new_web_server()
        self.web_server.max_refusals = limits.max_refusals

    def _new_web_server(self) -> LoadSheddingServer:
        return LoadSheddingServer(
            self.handle,
            self._is_overloaded,
            self._build_refusal,
            self.connections,
            request_factory=self._new_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            lingering_time=LINGERING_SECONDS,
            read_bufsize=READ_BYTES,
        )

    def _excess_connection_bytes(self) -> int:
        """Return what open connections may hold beyond their own share."""
        callers = len(self.connections.all) * CALLER_CONNECTION_BYTES
        upstreams = (
            self.dispatcher.client.busy_connections * UPSTREAM_CONNECTION_BYTES
        )
        return max(0, callers + upstreams - self.connection_bytes)

    def _ingress_limits(self) -> IngressLimits:
        table = self.view.table
        return _DEFAULT_INGRESS_LIMITS if table is None else table.limits

    def _longest_seconds(self) -> float:
        """Return the longest time that a caller waits for an answer."""
        table = self.view.table
        if table is None:
            return MAX_UNREAD_SECONDS
        return table.longest_timeout.total_seconds() + MAX_UNREAD_SECONDS

    def _is_overloaded(self) -> bool:
        self.work.counts.connections += 1
        return self.loop_lag.seconds > MAX_LAG_SECONDS

    def _build_refusal(self, head: bytes) -> bytes:
        """Return the refusal of a request of which only the head was read."""
        return self._refusal_of(self.dialect.read_raw_head(head))

    def is_shedding(self) -> bool:
        """Return whether requests are refused for this router's load."""
        return (
            self.admission.is_limiting
            or self.loop_lag.seconds > TARGET_LAG_SECONDS
        )

    def decide_early(self, accepted: socket.socket) -> EarlyDecision:
        """Refuse the request on a new connection at the least cost, or not."""
        if not self.is_shedding():
            return EarlyDecision.admitted
        return self.socket_refusals.decide(accepted)

    def _decide_refusal(self, head: bytes) -> bytes | None:
        """Return the refusal of a request beyond its customer's share."""
        facts = self.dialect.read_raw_head(head)
        customer = self._customer_name(facts.key)
        now = self.clock.monotonic()
        if not self.admission.is_refused(customer, self.loop_lag.seconds, now):
            self.admission.admit_early(customer, now)
            return None
        self.work.counts.connections += 1
        return self._refusal_of(facts)

    def _refusal_of(self, facts: RawRequestHead) -> bytes:
        """Count a request as refused unread, and return its refusal."""
        request_id = facts.request_id
        customer = self._customer_name(facts.key)
        now = self.clock.monotonic()
        self.admission.on_refused(customer, now)
        error = self._overload_error(now, facts.caller_timeout_seconds)
        self.work.counts.refused_unread += 1
        self.work.count_customer(customer, is_refused=True)
        self._record_refusal(error, request_id)
        text = f'{error.code}: {error.detail}\n'
        lines = [
            'HTTP/1.1 503 Service Unavailable',
            'Connection: close',
            'Content-Type: text/plain; charset=utf-8',
            f'Content-Length: {len(text)}',
        ]
        headers = self.dialect.refusal_headers(request_id, error.retry_after)
        lines.extend(f'{name}: {value}' for name, value in headers.items())
        return '\r\n'.join((*lines, '', text)).encode()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; the handler of the web server."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('a request is handled outside of a task')
        self.running_tasks.add(task)
        try:
            response = await self._handle(request)
        except ConnectionError as error:
            drop_tracebacks(error)
            response = _close_lost(request)
        except asyncio.CancelledError as error:
            drop_tracebacks(error)
            raise
        finally:
            self.running_tasks.discard(task)
        if self.is_stopping:
            response.force_close()
        return response

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        facts = self.dialect.read_request_headers(request.headers)
        has_many_connections = (
            len(self.web_server.connections) > MAX_KEEP_ALIVE_CONNECTIONS
        )
        reply = HttpReply(
            request,
            closes_connection=has_many_connections or self.is_stopping,
        )
        try:
            await self._serve(request, facts, reply)
            await self._send_large(reply)
        except RequestError as error:
            drop_tracebacks(error)
            return self._refuse(error, facts.request_id, reply)
        except (ConnectionError, asyncio.CancelledError):
            self.decisions.record(
                facts.request_id,
                'cancelled',
                'the router is shutting down'
                if self.is_stopping
                else 'the caller left',
            )
            self.metrics.count_outcome('', 'caller_left')
            raise
        finally:
            reply.release()
        if reply.response is None:
            raise RuntimeError('the call ended without an answer')
        return reply.response

    async def _send_large(self, reply: HttpReply) -> None:
        if self.is_stopping:
            reply.close_connection()
        await reply.send_large()

    async def _serve(
        self,
        request: web.BaseRequest,
        facts: RequestHeaders,
        reply: HttpReply,
    ) -> None:
        arrived_at = self.clock.monotonic()
        self.dispatcher.raise_if_stopping()
        self._check_not_overloaded(facts, arrived_at)
        table = self.view.table
        if table is None:
            raise NotReady(
                'no routing table has been read from the store yet',
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        host = request.headers.get('Host', '')
        route = self._match_route(table, host, request.raw_path)
        customer = self._authorize(table, route, facts)
        hold = self.budget.open_hold(
            (request.remote or '') if customer is None else customer.name,
            arrived_at,
        )
        reply.hold = hold
        body = await self._read_body(request, route, facts, hold)
        # The body may have taken long to arrive.
        self.dispatcher.raise_if_stopping()
        origin = await self._find_origin(route, customer, facts)
        demand = self._build_demand(
            table, route, customer, facts, arrived_at, origin
        )
        call = EntryCall(
            facts=facts,
            route=route,
            demand=demand,
            method=request.method,
            path=request.raw_path,
            headers=self.dialect.headers_to_upstream(
                request.headers,
                host,
                customer.name if customer is not None else None,
            ),
            body=body,
            hold=hold,
        )
        connection = _connection_of(request)
        connection.waiting = call
        try:
            await self._run(call, reply)
        finally:
            connection.waiting = None
        self.metrics.count_outcome(demand.pool.name, 'answered')

    async def _run(self, call: EntryCall, reply: HttpReply) -> None:
        is_stream = call.route.kind is RequestKind.streaming
        if is_stream or call.route.is_repeatable:
            await self.dispatcher.run(call, reply)
            return
        # A request that may not be repeated runs to its end once it was sent,
        # even if the caller disconnects.
        work = asyncio.create_task(self._run_held(call, reply))
        self.running_tasks.add(work)
        work.add_done_callback(self.running_tasks.discard)
        work.add_done_callback(log_unawaited_error)
        try:
            await asyncio.shield(work)
        except asyncio.CancelledError:
            if not call.sent_attempts:
                work.cancel()
            raise
        finally:
            # The error of the task refers to this frame.
            del work

    async def _run_held(self, call: EntryCall, reply: HttpReply) -> None:
        """Run a call that may outlast its caller; its memory stays charged."""
        hold = None if call.hold is None else call.hold.share()
        try:
            await self.dispatcher.run(call, reply)
        except (RequestError, ConnectionError, asyncio.CancelledError) as error:
            drop_tracebacks(error)
            raise
        finally:
            if hold is not None:
                hold.close()

    def _check_not_overloaded(self, facts: RequestHeaders, now: float) -> None:
        """Refuse a request that exceeds its customer's share of the processor.

        That is checked before any work on it is done.
        """
        customer = self._customer_name(facts.key)
        is_early = self.admission.claim_early(customer)
        is_refused = not is_early and self.admission.is_refused(
            customer, self.loop_lag.seconds, now
        )
        self.work.counts.requests += 1
        self.work.count_customer(customer, is_refused=is_refused)
        if is_early:
            return
        if not is_refused:
            self.admission.on_taken(customer, now)
            return
        self.admission.on_refused(customer, now)
        self.work.counts.refused_busy += 1
        raise self._overload_error(now, facts.caller_timeout_seconds)

    def _customer_name(self, key: str) -> str:
        """Return the name of the customer with a key, empty if unknown."""
        table = self.view.table
        customer = None if table is None else table.customers_by_key.get(key)
        return '' if customer is None else customer.name

    def _overload_error(
        self, now: float, caller_timeout_seconds: float | None
    ) -> NotReady:
        seconds = _retry_seconds(
            self.admission.retry_seconds(now), caller_timeout_seconds
        )
        return NotReady(
            'the router is asked for more than its processor can serve, and'
            f' its event loop lags by {self.loop_lag.seconds:.2f} s',
            retry_after=seconds,
        )

    def _match_route(
        self,
        table: RoutingTable,
        host: str,
        path: str,
    ) -> HttpRoute:
        route = table.match(host, path)
        if route is not None:
            return route
        if self.view.staleness() > MAX_CONCLUSIVE_STALENESS_SECONDS:
            raise NotReady(
                'no such route in a routing table that may be out of date',
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        raise RouteNotFound(f'no route for {host}{path}')

    def _authorize(
        self,
        table: RoutingTable,
        route: HttpRoute,
        facts: RequestHeaders,
    ) -> Customer | None:
        """Return the customer of the key, ``None`` on a public route."""
        if route.is_public:
            return None
        if not self.view.are_keys_fresh():
            raise NotReady(
                f'the keys were last confirmed {self.view.staleness():.1f} s ago,'
                ' too long to authorize requests by them',
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        customer = table.customers_by_key.get(facts.key)
        if customer is not None:
            return customer
        if self.view.staleness() > MAX_CONCLUSIVE_STALENESS_SECONDS:
            raise NotReady(
                'unknown customer key in a routing table that may be out of date',
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        raise Unauthorized('the request carries no valid customer key')

    async def _read_body(
        self,
        request: web.BaseRequest,
        route: HttpRoute,
        facts: RequestHeaders,
        hold: MemoryHold,
    ) -> bytes:
        if not request.body_exists:
            return b''
        limits = self._ingress_limits()
        body_limits = BodyLimits(
            limits.max_body_bytes,
            limits.idle_timeout.total_seconds(),
            _time_limit_seconds(route, facts),
        )
        connection = _connection_of(request)
        connection.receiving = hold
        try:
            return await self.body_reader.read(request, hold, body_limits)
        except (ConnectionsShort, MemoryShort) as error:
            error.retry_after = _retry_seconds(
                MEMORY_RETRY_SECONDS, facts.caller_timeout_seconds
            )
            raise
        finally:
            connection.receiving = None

    async def _find_origin(
        self,
        route: HttpRoute,
        customer: Customer | None,
        facts: RequestHeaders,
    ) -> StreamOrigin | None:
        """Return where a resumed stream began, ``None`` for a new one.

        The stream may go on only at the same pool and software version.
        """
        is_stream = route.kind is RequestKind.streaming
        if not is_stream or not facts.resumes_stream:
            return None
        name = customer.name if customer is not None else ''
        pools = [share.pool for share in route.pools]
        asked_at = self.clock.monotonic()
        origin = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_time_limit_seconds(route, facts)):
                origin = await self.dispatcher.streams.find(
                    stream_key(name, facts.first_request_id), pools
                )
        if origin is None:
            raise StreamUnknown(
                f'unknown where request "{facts.first_request_id}" began the'
                ' stream',
                retry_after=STREAM_UNKNOWN_RETRY_SECONDS,
            )
        if origin.pool not in pools:
            raise StreamVersionGone(
                f'the stream began at pool "{origin.pool}", which route'
                f' "{route.name}" no longer has'
            )
        self.decisions.record(
            facts.request_id,
            'stream_resumed',
            'its origin is known',
            resumes=facts.first_request_id,
            pool=origin.pool,
            version=origin.version,
            searched_ms=round(
                _MS_PER_SECOND * (self.clock.monotonic() - asked_at), 1
            ),
        )
        return origin

    def _build_demand(
        self,
        table: RoutingTable,
        route: HttpRoute,
        customer: Customer | None,
        facts: RequestHeaders,
        arrived_at: float,
        origin: StreamOrigin | None,
    ) -> Demand:
        pool_name = self.choose_pool(route) if origin is None else origin.pool
        pool = table.pools.get(pool_name)
        if pool is None:
            raise NotReady(
                f'route "{route.name}" refers to an unknown pool',
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        limit = _time_limit_seconds(route, facts)
        objective = route.latency_objective.total_seconds() or limit
        if origin is not None:
            objective = max(objective, RESUMED_OBJECTIVE_SECONDS)
        regions = route.regions
        if customer is not None and customer.regions:
            regions = (
                regions & customer.regions if regions else customer.regions
            )
        times = (
            arrived_at,
            arrived_at + min(objective, limit),
            arrived_at + limit,
        )
        name = customer.name if customer is not None else ''
        version = None if origin is None else origin.version
        if facts.prompt is None or pool.engine is None:
            return PlainDemand(
                facts.request_id, name, pool, *times, regions, version=version
            )
        return PromptDemand(
            facts.request_id,
            name,
            pool,
            *times,
            regions,
            version=version,
            prompt=facts.prompt,
        )

    def _refuse(
        self,
        error: RequestError,
        request_id: str,
        reply: HttpReply,
    ) -> web.StreamResponse:
        self._record_refusal(error, request_id)
        if reply.response is not None:
            reply.abort()
            return reply.response
        response = web.Response(
            status=_status_of(error),
            headers=self.dialect.refusal_headers(
                request_id,
                error.retry_after,
            ),
            text=f'{error.code}: {error.detail}\n',
        )
        if response.status in _CLOSING_STATUSES:
            # The caller retries on a new connection, possibly at another
            # router. Idle connections would accumulate under overload.
            response.force_close()
        return response

    def _record_refusal(self, error: RequestError, request_id: str) -> None:
        self.decisions.record(
            request_id,
            'refused',
            str(error),
            code=error.code,
            ran=error.ran.value,
            retry_after=error.retry_after,
            table_version=self.view.table and self.view.table.version,
            table_age_ms=round(
                _MS_PER_SECOND
                * min(self.view.staleness(), MAX_LOGGED_STALENESS_SECONDS)
            ),
        )
        self.metrics.count_outcome('', error.code)

    def _new_request(
        self,
        message: Any,
        payload: Any,
        protocol: Any,
        writer: Any,
        task: Any,
    ) -> web.BaseRequest:
        table = self.view.table
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=(
                table.limits.max_body_bytes
                if table is not None
                else DEFAULT_MAX_BODY_BYTES
            ),
        )


def _close_lost(request: web.BaseRequest) -> web.StreamResponse:
    """Return an answer for a caller that has left, which is not sent.

    The HTTP server would keep the error in a cycle with its own frames.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _connection_of(request: web.BaseRequest) -> CallerConnection:
    """Return the connection of a request; raises if its caller has left."""
    handler: Any = request.protocol
    connection: CallerConnection | None = handler.connection
    if connection is None:
        raise ConnectionResetError('the caller has left')
    return connection


def _time_limit_seconds(route: HttpRoute, facts: RequestHeaders) -> float:
    """Return the time from the arrival of a request to its deadline."""
    limit = route.timeout.total_seconds()
    if facts.caller_timeout_seconds is None:
        return limit
    return min(limit, facts.caller_timeout_seconds)


def _retry_seconds(
    seconds: float, caller_timeout_seconds: float | None
) -> float:
    """Return a time to retry, spread and within what a caller honours."""
    spread = seconds * random.uniform(*RETRY_SPREAD)
    if caller_timeout_seconds is None:
        return spread
    limit = caller_timeout_seconds * MAX_RETRY_DEADLINE_SHARE
    return min(spread, max(RETRY_FLOOR_SECONDS, limit))


def _status_of(error: RequestError) -> int:
    """Return the HTTP status of a refusal.

    It is 503 for a crash suspect, since the caller may retry it later.
    """
    if isinstance(error, CrashSuspect):
        return _STATUS_UNAVAILABLE
    return error.http_status
