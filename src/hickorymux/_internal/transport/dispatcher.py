"""Runs requests: waits for a slot, sends to the upstream, relays the answer.

An error reports a request as not run only if no byte of it was sent to an
upstream. A request that may not be repeated is sent at most once. Any other
request is retried, within limits, until its answer to the caller has begun.
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
    """The lease of the slot ended before the send; nothing was sent."""

    code = 'lease_lapsed'


class UpstreamRefused(AttemptError):
    """The upstream refused the request because it is overloaded."""

    code = 'upstream_refused'


# These errors do not count as connection failures of the upstream.
NOT_UPSTREAM_FAULTS: Final = (LeaseLapsed, UpstreamRefused)


@dataclasses.dataclass(slots=True)
class PlacedAttempt:
    """An attempt, the slot that it occupies, and its cost so far.

    ``number`` counts the attempts of the call from 1. ``cost`` counts relayed
    events for model pools and milliseconds for service pools. ``status`` is
    the HTTP status of the answer, 0 until the answer is complete.
    """

    call: Call
    attempt: Attempt
    placement: Placement
    number: int
    admission: Admission
    cost: float = 0
    status: int = 0

    @property
    def upstream(self) -> Upstream:
        """Return the upstream that the attempt is sent to."""
        return self.placement.slot.upstream


@dataclasses.dataclass(slots=True)
class _AttemptHistory:
    """How often a call was attempted, and whether any attempt was sent."""

    attempts: int = 0
    was_sent: bool = False


@final
class Dispatcher:
    """Runs the calls of one router.

    ``verify_connection`` raises ``AttemptError`` unless the connection ends at
    the given instance of the upstream.
    """

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
        """Run a call until its answer was relayed, retrying as allowed.

        Raises ``RequestError`` if the call gets no complete answer; ``ran`` of
        the error tells whether an upstream may have executed the call.
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
        """Return the admission; a crash suspect waits until it may run."""
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
        """Run one attempt; return whether the call was answered by it.

        Raises the final error if the attempt failed and no other may follow.
        """
        placed = await self._prepare_attempt(call, claim, history, admission)
        try:
            await self._perform_attempt(placed, reply, claim)
        except AttemptError as error:
            history.was_sent |= placed.attempt.sent
            await self._report_crash(placed, error)
            self._handle_failure(placed, reply, error, history)
            return False
        self.suspects.on_answered(admission.fingerprint)
        return True

    async def _report_crash(
        self,
        placed: PlacedAttempt,
        error: AttemptError,
    ) -> None:
        """Report a crash of the upstream to the other routers.

        Wait for their receipts, so that they know the crash suspect before the
        caller gets the error and sends the request again.
        """
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
        """Return whether the upstream is still served by the instance.

        An upstream without load reports can't be checked and counts as crashed.
        """
        if not upstream.reports_load:
            return False
        try:
            # No result is kept for a new object, so this asks the upstream.
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
        """Wait for a slot and return an attempt that occupies it."""
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
            upstream_request_id=upstream_id,
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
        """Raise unless lease and claim are valid directly before the send."""
        now = self.clock.monotonic()
        if not placement.slot.is_valid(now):
            raise LeaseLapsed('the slot is no longer valid')
        claim.mark_sent(now)

    async def _perform_attempt(
        self,
        placed: PlacedAttempt,
        reply: Reply,
        claim: ClaimLike,
    ) -> None:
        """Send the attempt, relay its answer and free its slot."""
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
        """Charge the cost of the attempt to its customer and free its slot."""
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
        """Update the upstream's state from status and headers of the answer.

        Raises ``UpstreamRefused`` for a refused call that may be repeated.
        """
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
            needs_end_marker=placed.call.pool.kind is PoolKind.model,
        )
        await self._relay_events(placed, answer, relay)
        await relay.finish()

    async def _relay_events(
        self,
        placed: PlacedAttempt,
        answer: UpstreamAnswer,
        relay: EventRelay,
    ) -> None:
        """Relay an event stream; if an engine cuts it, resume it there.

        The slot is kept while the stream is cut, as the engine goes on with
        the request. Raises ``UpstreamCut`` if the stream was cut too often, or
        without a new event, or can't be resumed. The call may then be retried
        unless the caller has already received a part of the answer.
        """
        instance = answer.response.headers.get(http.ENGINE_INSTANCE, '')
        for _ in range(MAX_RESUMES):
            events_before = relay.event_count
            cut = await _relay_until_cut(relay, answer)
            if cut is None:
                return
            if relay.event_count == events_before or not relay.needs_end_marker:
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
        """Ask the engine for the rest of a stream that was cut."""
        attempt = placed.attempt
        answer = await self.client.resume(attempt, instance, relay.event_count)
        self.decisions.record(
            placed.call.request_id,
            'resumed',
            str(cause),
            upstream=placed.upstream.name,
            after_events=relay.event_count,
        )
        return answer

    def _count_events(self, placed: PlacedAttempt, events: int) -> None:
        placed.cost += events
        self.scheduler.charge(placed.placement, events)

    async def _cancel_at_upstream(self, placed: PlacedAttempt) -> bool:
        """Cancel an attempt that failed or whose caller has left.

        It is called before the slot is freed. Return whether the upstream has
        certainly stopped working on the attempt. Only model engines can cancel
        a request.
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
        """Return if the call is to be retried, else raise its final error."""
        call, attempt = placed.call, placed.attempt
        if isinstance(error, NOT_UPSTREAM_FAULTS):
            _logger.debug('attempt ended: %s', error)
        else:
            self.scheduler.lease_holder.on_connection_failure(placed.upstream)
        final_error = self._final_error(placed, reply, error, history)
        self.decisions.record(
            call.request_id,
            'retry' if final_error is None else 'failed',
            str(error),
            upstream=placed.upstream.name,
            sent=attempt.sent,
            attempt=placed.number,
        )
        if final_error is not None:
            raise final_error from error

    def _final_error(
        self,
        placed: PlacedAttempt,
        reply: Reply,
        error: AttemptError,
        history: '_AttemptHistory',
    ) -> RequestError | None:
        """Return the error for the caller, or ``None`` to retry the call."""
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
        """Count a retry against the budget; return whether it is allowed.

        An attempt that was not sent put no load on the upstream; retrying it
        is always allowed.
        """
        if not placed.attempt.sent:
            return True
        return self.retry_budget.try_acquire(placed.call.pool.name)


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
    """Relay one answer of a stream; return the error if it was cut."""
    try:
        await relay.run(answer.chunks(), is_framed=answer.is_framed)
    except UpstreamCut as error:
        answer.close()
        return error
    except BaseException:
        answer.close()
        raise
    answer.release()
    return None


def _upstream_request_id(call: Call, attempt_id: str) -> str:
    """Return the request id that the upstream sees.

    An engine finds a request by this id to resume or cancel it. Callers choose
    their own request ids, so two requests may have the same one. Engines
    therefore get the id of the attempt, which the router makes unique.
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
