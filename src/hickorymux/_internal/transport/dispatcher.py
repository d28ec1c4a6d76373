"""The walk of one request: claim, queue, slot, send, answer.

A request may be called "not run" only while no octet of it went towards an
upstream. What may not be repeated is sent once; everything else is tried
again within limits until the answer has begun.
"""

import asyncio
import dataclasses
import functools
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final, final

from multidict import CIMultiDict

from hickorymux._internal.coordination.crash_suspects import (
    Admission,
    CrashSuspects,
)
from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.coordination.retry_budget import RetryBudget
from hickorymux._internal.coordination.scheduler import (
    Demand,
    Placement,
    Scheduler,
)
from hickorymux._internal.exceptions import (
    AnswerCut,
    Ran,
    RequestError,
    UpstreamFailed,
    UpstreamTimeout,
)
from hickorymux._internal.protocol import http
from hickorymux._internal.state.tables import PoolKind, Upstream
from hickorymux._internal.transport.calls import Call
from hickorymux._internal.transport.claiming import ClaimLike
from hickorymux._internal.transport.metrics import RouterMetrics
from hickorymux._internal.transport.relay import EventRelay, Reply, relay_plain
from hickorymux._internal.transport.upstream_client import (
    Attempt,
    AttemptError,
    AttemptTimeout,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamCut,
)
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.ids import new_request_id

MAX_ATTEMPTS: Final = 3
MAX_RESUMES: Final = 3
RETRY_AFTER_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000
_STATUS_TOO_MANY: Final = 429
_STATUS_UNAVAILABLE: Final = 503

_PLACEMENT_REASON: Final = {
    True: 'route by model; least served customer took a free slot',
    False: 'route by path; least served customer took a free slot',
}

VerifyConnection = Callable[[Upstream, str, Any], Awaitable[None]]

_logger = logging.getLogger(__name__)


class LeaseLapsed(AttemptError):
    """The slot's lease ended before the send; nothing was sent."""

    code = 'lease_lapsed'


class UpstreamRefused(AttemptError):
    """The upstream refused the request as too much load."""

    code = 'upstream_refused'


NOT_THE_UPSTREAM: Final = (LeaseLapsed, UpstreamRefused)


@dataclasses.dataclass(slots=True)
class Exchange:
    """One attempt with its placement and what it has cost so far."""

    call: Call
    attempt: Attempt
    placement: Placement
    number: int
    admission: Admission
    cost: float = 0
    status: int = 0

    @property
    def upstream(self) -> Upstream:
        """Return where the attempt goes."""
        return self.placement.slot.upstream


@dataclasses.dataclass(slots=True)
class _History:
    """What a call has tried so far."""

    attempts: int = 0
    was_sent: bool = False


@final
class Dispatcher:
    """Runs calls; one instance for the whole router."""

    __slots__ = (
        'client',
        'clock',
        'decisions',
        'metrics',
        'retries',
        'scheduler',
        'suspects',
        'verify',
    )

    def __init__(
        self,
        scheduler: Scheduler,
        client: UpstreamClient,
        decisions: DecisionLog,
        metrics: RouterMetrics,
        clock: Clock,
        retries: RetryBudget,
        suspects: CrashSuspects,
        verify: VerifyConnection,
    ) -> None:
        self.scheduler = scheduler
        self.client = client
        self.decisions = decisions
        self.metrics = metrics
        self.clock = clock
        self.retries = retries
        self.suspects = suspects
        self.verify = verify

    async def run(self, call: Call, reply: Reply, claim: ClaimLike) -> None:
        """Bring the call to its answer.

        Raises ``RequestError`` when there is none; its ``ran`` is true.
        """
        history = _History()
        self.retries.count_request(call.pool.name)
        is_answered = False
        while not is_answered:
            admission = await self._admit(call, history)
            try:
                is_answered = await self._try(
                    call, reply, claim, history, admission
                )
            finally:
                self.suspects.end(admission)

    async def _admit(self, call: Call, history: '_History') -> Admission:
        """Wait until a suspect of a crash may run; others run at once."""
        seconds = call.queue_deadline() - self.clock.monotonic()
        try:
            return await self.suspects.admit(call.fingerprint, seconds)
        except RequestError as error:
            if history.was_sent:
                error.ran = Ran.unknown
            raise

    async def _try(
        self,
        call: Call,
        reply: Reply,
        claim: ClaimLike,
        history: '_History',
        admission: Admission,
    ) -> bool:
        """Run one attempt; return whether it brought the answer."""
        exchange = await self._place(call, claim, history, admission)
        try:
            await self._exchange(exchange, reply, claim)
        except AttemptError as error:
            history.was_sent |= exchange.attempt.sent
            await self._report_crash(exchange, error)
            self._judge(exchange, reply, error, history)
            return False
        self.suspects.on_finished(admission)
        return True

    async def _report_crash(
        self,
        exchange: Exchange,
        error: AttemptError,
    ) -> None:
        """Let the routers know of a crash before the caller hears of it."""
        attempt = exchange.attempt
        if not attempt.sent or not isinstance(error, UpstreamCut):
            return
        instance = exchange.placement.slot.instance
        if await self._is_alive(exchange.upstream, instance):
            return
        await self.suspects.on_crash(
            exchange.upstream.name,
            instance,
            [exchange.call.fingerprint],
        )

    async def _is_alive(self, upstream: Upstream, instance: str) -> bool:
        """Return whether the upstream still is the instance it was."""
        if not upstream.reports_load:
            return False
        try:
            await self.verify(upstream, instance, asyncio.Event())
        except AttemptError:
            return False
        return True

    async def _place(
        self,
        call: Call,
        claim: ClaimLike,
        history: '_History',
        admission: Admission,
    ) -> Exchange:
        history.attempts += 1
        try:
            placement = await self.scheduler.acquire(_demand_of(call))
        except RequestError as error:
            if history.was_sent:
                error.ran = Ran.unknown
            raise
        upstream = placement.slot.upstream
        waited = placement.waited_seconds
        attempt_id = new_request_id()
        upstream_id = _upstream_id(call, attempt_id)
        self.metrics.observe('queue_wait', call.pool.name, waited)
        attempt = Attempt(
            attempt_id=attempt_id,
            upstream_request_id=upstream_id,
            address=upstream.address,
            method=call.method,
            path=call.path,
            headers=_outgoing_headers(call, attempt_id, upstream_id),
            body=call.body,
            may_reuse_connection=call.is_repeatable,
            verify_connection=functools.partial(
                self.verify,
                upstream,
                placement.slot.instance,
            ),
            check_before_send=functools.partial(
                self._check_before_send,
                placement,
                claim,
            ),
        )
        self.decisions.record(
            call.request_id,
            'dispatch',
            _PLACEMENT_REASON[bool(call.route.model)],
            customer=call.customer,
            route=call.route.name,
            pool=call.pool.name,
            upstream=upstream.name,
            zone=upstream.zone,
            lease=placement.slot.lease_id,
            attempt=history.attempts,
            attempt_id=attempt_id,
            waited_ms=round(waited * _MS_PER_SECOND, 1),
        )
        return Exchange(call, attempt, placement, history.attempts, admission)

    def _check_before_send(
        self,
        placement: Placement,
        claim: ClaimLike,
    ) -> None:
        """Check lease and claim; runs directly before the first octet."""
        now = self.clock.monotonic()
        if not placement.slot.is_valid(now):
            raise LeaseLapsed('the slot may no longer be used')
        claim.check(now)

    async def _exchange(
        self,
        exchange: Exchange,
        reply: Reply,
        claim: ClaimLike,
    ) -> None:
        started_at = self.clock.monotonic()
        is_ended = False
        try:
            await self._send_and_relay(exchange, reply, claim)
            is_ended = True
        except BaseException:
            is_ended = await self._stop_work(exchange)
            raise
        finally:
            self._settle(exchange, started_at, is_ended=is_ended)
        call = exchange.call
        self.decisions.record(
            call.request_id,
            'answered',
            'whole',
            status=exchange.status,
            upstream=exchange.upstream.name,
            cost=round(exchange.cost, 1),
        )
        whole_seconds = self.clock.monotonic() - call.arrived_at
        self.metrics.observe('whole_answer', call.pool.name, whole_seconds)

    def _settle(
        self,
        exchange: Exchange,
        started_at: float,
        *,
        is_ended: bool,
    ) -> None:
        """Charge what the attempt cost and free its slot."""
        call = exchange.call
        if call.pool.kind is PoolKind.service:
            spent = self.clock.monotonic() - started_at
            exchange.cost = spent * _MS_PER_SECOND
        self.metrics.count_service(
            call.pool.name,
            call.customer,
            exchange.cost,
        )
        self.scheduler.finish(
            exchange.placement,
            exchange.cost,
            is_ended=is_ended,
        )

    async def _send_and_relay(
        self,
        exchange: Exchange,
        reply: Reply,
        claim: ClaimLike,
    ) -> None:
        sent_at = self.clock.monotonic()
        answer = await self.client.open(exchange.attempt)
        try:
            self._learn(exchange, answer, sent_at)
            await self._relay(exchange, answer, reply)
        except BaseException:
            answer.close()
            raise
        answer.release()
        claim.record_outcome(answer.status)
        exchange.status = answer.status

    def _learn(
        self,
        exchange: Exchange,
        answer: UpstreamAnswer,
        sent_at: float,
    ) -> None:
        """Take what the head of the answer tells of the upstream."""
        now = self.clock.monotonic()
        call = exchange.call
        upstream = exchange.upstream
        holder = self.scheduler.lease_holder
        received = answer.response.headers
        holder.on_answer(
            upstream,
            received.get(http.ENGINE_INSTANCE, ''),
            received.get(http.ENGINE_STATE, ''),
        )
        self.metrics.observe(
            'first_byte',
            call.pool.name,
            now - call.arrived_at,
        )
        if answer.status in {_STATUS_TOO_MANY, _STATUS_UNAVAILABLE}:
            holder.on_refusal(upstream)
            if call.is_repeatable:
                raise UpstreamRefused(f'upstream answered {answer.status}')
            return
        holder.on_first_byte(upstream, now - sent_at)

    async def _relay(
        self,
        exchange: Exchange,
        answer: UpstreamAnswer,
        reply: Reply,
    ) -> None:
        headers = http.headers_for_caller(answer.response.headers)
        headers[http.REQUEST_ID] = exchange.call.request_id
        if not answer.is_event_stream:
            await relay_plain(answer, reply, headers)
            return
        relay = EventRelay(
            reply,
            answer.status,
            headers,
            functools.partial(self._count_events, exchange),
            needs_end_marker=exchange.call.pool.kind is PoolKind.model,
        )
        await self._relay_events(exchange, answer, relay)
        await relay.finish()

    async def _relay_events(
        self,
        exchange: Exchange,
        answer: UpstreamAnswer,
        relay: EventRelay,
    ) -> None:
        """Relay a stream; one that an engine cuts goes on where it ended.

        The slot stays held meanwhile, as the engine works on. A stream of
        which nothing was passed on is tried again instead.
        """
        instance = answer.response.headers.get(http.ENGINE_INSTANCE, '')
        for _ in range(MAX_RESUMES):
            passed = relay.event_count
            cut = await _relay_until_cut(relay, answer)
            if cut is None:
                return
            if relay.event_count == passed or not relay.needs_end_marker:
                raise cut
            answer = await self._resume(exchange, relay, instance, cut)
        last_cut = await _relay_until_cut(relay, answer)
        if last_cut is not None:
            raise last_cut

    async def _resume(
        self,
        exchange: Exchange,
        relay: EventRelay,
        instance: str,
        cause: UpstreamCut,
    ) -> UpstreamAnswer:
        attempt = exchange.attempt
        answer = await self.client.resume(attempt, instance, relay.event_count)
        self.decisions.record(
            exchange.call.request_id,
            'resumed',
            str(cause),
            upstream=exchange.upstream.name,
            after_events=relay.event_count,
        )
        return answer

    def _count_events(self, exchange: Exchange, events: int) -> None:
        exchange.cost += events
        self.scheduler.charge(exchange.placement, events)

    async def _stop_work(self, exchange: Exchange) -> bool:
        """End work whose answer nobody takes, before its slot is freed.

        Return whether the upstream certainly does not work on it any more.
        """
        if not exchange.attempt.sent:
            return True
        if exchange.call.pool.kind is PoolKind.model:
            return await self.client.cancel(exchange.attempt)
        return False

    def _judge(
        self,
        exchange: Exchange,
        reply: Reply,
        error: AttemptError,
        history: '_History',
    ) -> None:
        """Return when the call may be tried again, else raise its error."""
        call, attempt = exchange.call, exchange.attempt
        if isinstance(error, NOT_THE_UPSTREAM):
            _logger.debug('attempt ended: %s', error)
        else:
            self.scheduler.lease_holder.on_connection_failure(exchange.upstream)
        final = self._final_error(exchange, reply, error, history)
        self.decisions.record(
            call.request_id,
            'retry' if final is None else 'failed',
            str(error),
            upstream=exchange.upstream.name,
            sent=attempt.sent,
            attempt=exchange.number,
        )
        if final is not None:
            raise final from error

    def _final_error(
        self,
        exchange: Exchange,
        reply: Reply,
        error: AttemptError,
        history: '_History',
    ) -> RequestError | None:
        if reply.has_started:
            return AnswerCut(error.detail, ran=Ran.unknown)
        call = exchange.call
        may_repeat = call.is_repeatable or not exchange.attempt.sent
        is_last = exchange.number >= MAX_ATTEMPTS
        if may_repeat and not is_last and self._may_retry(exchange):
            return None
        ran = Ran.unknown if history.was_sent else Ran.not_run
        error_class = (
            UpstreamTimeout
            if isinstance(error, AttemptTimeout)
            else UpstreamFailed
        )
        return error_class(
            f'{error.code}: {error.detail}',
            ran=ran,
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _may_retry(self, exchange: Exchange) -> bool:
        """Return whether the budget allows to send a request again."""
        if not exchange.attempt.sent:
            return True
        return self.retries.take(exchange.call.pool.name)


def _demand_of(call: Call) -> Demand:
    return Demand(
        pool=call.pool.name,
        customer=call.customer,
        cost_hint=call.cost_hint,
        deadline=call.queue_deadline(),
    )


async def _relay_until_cut(
    relay: EventRelay,
    answer: UpstreamAnswer,
) -> UpstreamCut | None:
    """Relay one answer of a stream; return how it was cut, if it was."""
    try:
        await relay.run(answer.chunks())
    except UpstreamCut as error:
        answer.close()
        return error
    except BaseException:
        answer.close()
        raise
    answer.release()
    return None


def _upstream_id(call: Call, attempt_id: str) -> str:
    """Return the request id for the upstream.

    An engine finds a run by this id, to resume or cancel it. Callers choose
    their ids, so two may choose the same; the id of the attempt is ours.
    """
    if call.pool.kind is PoolKind.model:
        return attempt_id
    return call.request_id


def _outgoing_headers(
    call: Call,
    attempt_id: str,
    upstream_id: str,
) -> CIMultiDict[str]:
    headers = http.headers_for_upstream(call.headers)
    headers[http.CUSTOMER] = call.customer
    headers[http.REQUEST_ID] = upstream_id
    headers[http.ATTEMPT_ID] = attempt_id
    return headers
