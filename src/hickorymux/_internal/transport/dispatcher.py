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
_STATUS_TOO_MANY_REQUESTS: Final = 429
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


NOT_UPSTREAM_FAULTS: Final = (LeaseLapsed, UpstreamRefused)


@dataclasses.dataclass(slots=True)
class PlacedAttempt:
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
class _AttemptHistory:
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
        'retry_budget',
        'scheduler',
        'suspects',
        'verify_connection',
    )

    def __init__(
        self,
        scheduler: Scheduler,
        client: UpstreamClient,
        decisions: DecisionLog,
        metrics: RouterMetrics,
        clock: Clock,
        retry_budget: RetryBudget,
        suspects: CrashSuspects,
        verify_connection: VerifyConnection,
    ) -> None:
        self.scheduler = scheduler
        self.client = client
        self.decisions = decisions
        self.metrics = metrics
        self.clock = clock
        self.retry_budget = retry_budget
        self.suspects = suspects
        self.verify_connection = verify_connection

    async def run(self, call: Call, reply: Reply, claim: ClaimLike) -> None:
        """Bring the call to its answer.

        Raises ``RequestError`` when there is none; its ``ran`` is true.
        """
        history = _AttemptHistory()
        self.retry_budget.count_request(call.pool.name)
        is_answered = False
        while not is_answered:
            admission = await self._admit(call, history)
            try:
                is_answered = await self._run_attempt(
                    call, reply, claim, history, admission
                )
            finally:
                self.suspects.end_admission(admission)

    async def _admit(self, call: Call, history: '_AttemptHistory') -> Admission:
        """Wait until a suspect of a crash may run; others run at once."""
        seconds = call.queue_deadline() - self.clock.monotonic()
        try:
            return await self.suspects.admit(call.fingerprint, seconds)
        except RequestError as error:
            if history.was_sent:
                error.ran = Ran.unknown
            raise

    async def _run_attempt(
        self,
        call: Call,
        reply: Reply,
        claim: ClaimLike,
        history: '_AttemptHistory',
        admission: Admission,
    ) -> bool:
        """Run one attempt; return whether it brought the answer."""
        placed = await self._prepare_attempt(call, claim, history, admission)
        try:
            await self._perform_attempt(placed, reply, claim)
        except AttemptError as error:
            history.was_sent |= placed.attempt.sent
            await self._report_crash(placed, error)
            self._handle_failure(placed, reply, error, history)
            return False
        self.suspects.on_finished(admission)
        return True

    async def _report_crash(
        self,
        placed: PlacedAttempt,
        error: AttemptError,
    ) -> None:
        """Let the routers know of a crash before the caller hears of it."""
        attempt = placed.attempt
        if not attempt.sent or not isinstance(error, UpstreamCut):
            return
        instance = placed.placement.slot.instance
        if await self._is_same_instance(placed.upstream, instance):
            return
        await self.suspects.on_crash(
            placed.upstream.name,
            instance,
            [placed.call.fingerprint],
        )

    async def _is_same_instance(
        self, upstream: Upstream, instance: str
    ) -> bool:
        """Return whether the upstream still is the instance it was."""
        if not upstream.reports_load:
            return False
        try:
            await self.verify_connection(upstream, instance, asyncio.Event())
        except AttemptError:
            return False
        return True

    async def _prepare_attempt(
        self,
        call: Call,
        claim: ClaimLike,
        history: '_AttemptHistory',
        admission: Admission,
    ) -> PlacedAttempt:
        history.attempts += 1
        try:
            placement = await self.scheduler.acquire(_demand_for(call))
        except RequestError as error:
            if history.was_sent:
                error.ran = Ran.unknown
            raise
        upstream = placement.slot.upstream
        waited = placement.waited_seconds
        attempt_id = new_request_id()
        upstream_id = _upstream_request_id(call, attempt_id)
        self.metrics.observe('queue_wait', call.pool.name, waited)
        attempt = Attempt(
            attempt_id=attempt_id,
            upstream_id=upstream_id,
            address=upstream.address,
            method=call.method,
            path=call.path,
            headers=_outgoing_headers(call, attempt_id, upstream_id),
            body=call.body,
            may_reuse_connection=call.is_repeatable,
            verify_connection=functools.partial(
                self.verify_connection,
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
        return PlacedAttempt(
            call, attempt, placement, history.attempts, admission
        )

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

    async def _perform_attempt(
        self,
        placed: PlacedAttempt,
        reply: Reply,
        claim: ClaimLike,
    ) -> None:
        started_at = self.clock.monotonic()
        is_ended = False
        try:
            await self._send_and_relay(placed, reply, claim)
            is_ended = True
        except BaseException:
            is_ended = await self._cancel_at_upstream(placed)
            raise
        finally:
            self._charge_and_release(placed, started_at, is_ended=is_ended)
        call = placed.call
        self.decisions.record(
            call.request_id,
            'answered',
            'whole',
            status=placed.status,
            upstream=placed.upstream.name,
            cost=round(placed.cost, 1),
        )
        whole_seconds = self.clock.monotonic() - call.arrived_at
        self.metrics.observe('whole_answer', call.pool.name, whole_seconds)

    def _charge_and_release(
        self,
        placed: PlacedAttempt,
        started_at: float,
        *,
        is_ended: bool,
    ) -> None:
        """Charge what the attempt cost and free its slot."""
        call = placed.call
        if call.pool.kind is PoolKind.service:
            elapsed = self.clock.monotonic() - started_at
            placed.cost = elapsed * _MS_PER_SECOND
        self.metrics.count_service(
            call.pool.name,
            call.customer,
            placed.cost,
        )
        self.scheduler.finish(
            placed.placement,
            placed.cost,
            is_ended=is_ended,
        )

    async def _send_and_relay(
        self,
        placed: PlacedAttempt,
        reply: Reply,
        claim: ClaimLike,
    ) -> None:
        sent_at = self.clock.monotonic()
        answer = await self.client.open(placed.attempt)
        try:
            self._update_upstream_state(placed, answer, sent_at)
            await self._relay_answer(placed, answer, reply)
        except BaseException:
            answer.close()
            raise
        answer.release()
        claim.record_outcome(answer.status)
        placed.status = answer.status

    def _update_upstream_state(
        self,
        placed: PlacedAttempt,
        answer: UpstreamAnswer,
        sent_at: float,
    ) -> None:
        """Take what the head of the answer tells of the upstream."""
        now = self.clock.monotonic()
        call = placed.call
        upstream = placed.upstream
        holder = self.scheduler.lease_holder
        headers = answer.response.headers
        holder.on_answer(
            upstream,
            headers.get(http.ENGINE_INSTANCE, ''),
            headers.get(http.ENGINE_STATE, ''),
        )
        self.metrics.observe(
            'first_byte',
            call.pool.name,
            now - call.arrived_at,
        )
        if answer.status in {_STATUS_TOO_MANY_REQUESTS, _STATUS_UNAVAILABLE}:
            holder.on_refusal(upstream)
            if call.is_repeatable:
                raise UpstreamRefused(f'upstream answered {answer.status}')
            return
        holder.on_first_byte(upstream, now - sent_at)

    async def _relay_answer(
        self,
        placed: PlacedAttempt,
        answer: UpstreamAnswer,
        reply: Reply,
    ) -> None:
        headers = http.headers_for_caller(answer.response.headers)
        headers[http.REQUEST_ID] = placed.call.request_id
        if not answer.is_event_stream:
            await relay_plain(answer, reply, headers)
            return
        relay = EventRelay(
            reply,
            answer.status,
            headers,
            functools.partial(self._count_events, placed),
            needs_done=placed.call.pool.kind is PoolKind.model,
        )
        await self._relay_events(placed, answer, relay)
        await relay.finish()

    async def _relay_events(
        self,
        placed: PlacedAttempt,
        answer: UpstreamAnswer,
        relay: EventRelay,
    ) -> None:
        """Relay a stream; one that an engine cuts goes on where it ended.

        The slot stays held meanwhile, as the engine works on. A stream of
        which nothing was passed on is tried again instead.
        """
        instance = answer.response.headers.get(http.ENGINE_INSTANCE, '')
        for _ in range(MAX_RESUMES):
            events_before = relay.events
            cut = await _relay_until_cut(relay, answer)
            if cut is None:
                return
            if relay.events == events_before or not relay.needs_done:
                raise cut
            answer = await self._resume(placed, relay, instance, cut)
        last_cut = await _relay_until_cut(relay, answer)
        if last_cut is not None:
            raise last_cut

    async def _resume(
        self,
        placed: PlacedAttempt,
        relay: EventRelay,
        instance: str,
        cause: UpstreamCut,
    ) -> UpstreamAnswer:
        attempt = placed.attempt
        answer = await self.client.resume(attempt, instance, relay.events)
        self.decisions.record(
            placed.call.request_id,
            'resumed',
            str(cause),
            upstream=placed.upstream.name,
            after_events=relay.events,
        )
        return answer

    def _count_events(self, placed: PlacedAttempt, events: int) -> None:
        placed.cost += events
        self.scheduler.charge(placed.placement, events)

    async def _cancel_at_upstream(self, placed: PlacedAttempt) -> bool:
        """End work whose answer nobody takes, before its slot is freed.

        Return whether the upstream certainly does not work on it any more.
        """
        if not placed.attempt.sent:
            return True
        if placed.call.pool.kind is PoolKind.model:
            return await self.client.cancel(placed.attempt)
        return False

    def _handle_failure(
        self,
        placed: PlacedAttempt,
        reply: Reply,
        error: AttemptError,
        history: '_AttemptHistory',
    ) -> None:
        """Return when the call may be tried again, else raise its error."""
        call, attempt = placed.call, placed.attempt
        if isinstance(error, NOT_UPSTREAM_FAULTS):
            _logger.debug('attempt ended: %s', error)
        else:
            self.scheduler.lease_holder.on_connection_failure(placed.upstream)
        final = self._final_error(placed, reply, error, history)
        self.decisions.record(
            call.request_id,
            'retry' if final is None else 'failed',
            str(error),
            upstream=placed.upstream.name,
            sent=attempt.sent,
            attempt=placed.number,
        )
        if final is not None:
            raise final from error

    def _final_error(
        self,
        placed: PlacedAttempt,
        reply: Reply,
        error: AttemptError,
        history: '_AttemptHistory',
    ) -> RequestError | None:
        if reply.has_started:
            return AnswerCut(error.detail, ran=Ran.unknown)
        call = placed.call
        may_repeat = call.is_repeatable or not placed.attempt.sent
        is_last = placed.number >= MAX_ATTEMPTS
        if may_repeat and not is_last and self._acquire_retry(placed):
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

    def _acquire_retry(self, placed: PlacedAttempt) -> bool:
        """Return whether the budget allows to send a request again."""
        if not placed.attempt.sent:
            return True
        return self.retry_budget.take(placed.call.pool.name)


def _demand_for(call: Call) -> Demand:
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


def _upstream_request_id(call: Call, attempt_id: str) -> str:
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
