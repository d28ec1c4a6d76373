"""Sends requests to upstreams and relays the answers, with retries.

Each attempt reserves a slot at an upstream, sends the request and relays the
answer to the caller. A failed attempt is repeated where the route, the retry
budget and what the caller has already been sent allow it.

A request that was sent counts as possibly run unless the upstream itself
declares in its answer that it did not run it.
"""

import asyncio
import contextlib
import functools
import math
from typing import Any, Final, final

from hickorymux._internal.coordination.crash_suspects import CrashSuspects
from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.coordination.engines.allocator import (
    Allocator,
    Reservation,
)
from hickorymux._internal.coordination.engines.demands import PlainDemand
from hickorymux._internal.coordination.engines.hedging import (
    Hedging,
    group_of,
    may_hedge,
)
from hickorymux._internal.coordination.part_guard import PartGuard
from hickorymux._internal.coordination.retry_budget import RetryBudget
from hickorymux._internal.coordination.rollouts.attempts import AttemptWatch
from hickorymux._internal.coordination.stream_directory import StreamDirectory
from hickorymux._internal.coordination.view_refresh import ViewRefresh
from hickorymux._internal.exceptions import (
    AnswerCut,
    CrashSuspect,
    ConnectionsShort,
    NoCapacity,
    NotReady,
    Ran,
    RequestError,
    UpstreamFailed,
    UpstreamTimeout,
)
from hickorymux._internal.protocol.upstream_http import ResponseHeaders, Dialect
from hickorymux._internal.state.routing import RequestKind
from hickorymux._internal.state.stream_origins import (
    StreamOrigin,
    stream_key,
)
from hickorymux._internal.transport.connection_policy import ConnectionEvent
from hickorymux._internal.state.upstream_registry import RegisteredUpstream
from hickorymux._internal.transport.entry_call import EntryCall
from hickorymux._internal.transport.hedge_race import HedgeRace
from hickorymux._internal.transport.hedged_copies import (
    CopyActions,
    HedgedCopies,
    SentCopy,
)
from hickorymux._internal.transport.metrics import RouterMetrics
from hickorymux._internal.transport.relay import EventRelay, Reply, relay_plain
from hickorymux._internal.transport.router_work import RouterWork
from hickorymux._internal.transport.upstream_client import (
    Attempt,
    AttemptError,
    AttemptTimeout,
    ConnectFailed,
    IdleDrop,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamCut,
)
from hickorymux._internal.utils.clock import Clock

# Failed connects that one request may retry; one more fails it.
MAX_FAILED_CONNECTS: Final = 4
# Subtracted from the deadline so that the answer reaches the caller in time.
ANSWER_MARGIN_SECONDS: Final = 0.02
# Connect timeout of the check whether an upstream that cut an answer is still
# running.
LISTENING_CHECK_SECONDS: Final = 0.3
# From this many events on, an answer proves that the engine can run the prompt.
# The first one may have been sent before the engine crashed.
MIN_PROOF_EVENTS: Final = 2
# Retry-After of a request that was not run for lack of a usable upstream.
NO_CAPACITY_RETRY_SECONDS: Final = 0.3
# Short, as another router can take the request at once.
STOPPING_RETRY_SECONDS: Final = 0.1
# Characters of an invalid header that a log line shows.
MAX_LOGGED_HEADER: Final = 60
_MS_PER_SECOND: Final = 1000
_STATUS_SERVER_ERROR: Final = 500
_STATUS_OK: Final = 200
_FIRST_NOT_OK: Final = 300
_FIRST_ERROR: Final = 400
# Statuses by which callers conclude that a request has not run. They are
# passed on only with the upstream's header that says so.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


class UpstreamRefused(AttemptError):
    """The upstream declared that it did not run the request."""

    code = 'upstream_refused'


class AnswerNotUsable(AttemptError):
    """The answer belongs to another request or must not be passed on."""

    code = 'answer_not_usable'


class UpstreamChanged(AttemptError):
    """The upstream is no longer the one that was chosen; nothing was sent."""

    code = 'upstream_changed'


class UpstreamError(AttemptError):
    """The upstream ran the request and failed; the request may be retried."""

    code = 'upstream_error'


@final
class EntryDispatcher:
    """Runs the calls of all callers; one instance for the whole process.

    ``running`` has the time limits of the calls that have not ended. From
    ``refuse_after`` on, in monotonic seconds, no request is sent for the first
    time, as it might not end before the process does.
    """

    __slots__ = (
        'allocator',
        'client',
        'clock',
        'decisions',
        'copy_actions',
        'dialect',
        'hedging',
        'metrics',
        'part_guard',
        'refuse_after',
        'retry_budget',
        'running',
        'streams',
        'suspects',
        'view_refresh',
        'work',
    )

    def __init__(
        self,
        allocator: Allocator,
        client: UpstreamClient,
        dialect: Dialect,
        suspects: CrashSuspects,
        part_guard: PartGuard,
        streams: StreamDirectory,
        view_refresh: ViewRefresh,
        retry_budget: RetryBudget,
        hedging: Hedging,
        decisions: DecisionLog,
        metrics: RouterMetrics,
        clock: Clock,
    ) -> None:
        self.allocator = allocator
        self.client = client
        self.dialect = dialect
        self.suspects = suspects
        self.part_guard = part_guard
        self.streams = streams
        self.view_refresh = view_refresh
        self.retry_budget = retry_budget
        self.hedging = hedging
        self.copy_actions = CopyActions(
            self._new_copy, self._open_copy, self._on_copy_failed
        )
        self.decisions = decisions
        self.metrics = metrics
        self.clock = clock
        self.refuse_after = math.inf
        self.running: dict[asyncio.Timeout, EntryCall] = {}
        self.work = RouterWork(clock.monotonic)

    async def run(self, call: EntryCall, reply: Reply) -> None:
        """Run the call until an answer has been relayed to ``reply``.

        Raises ``RequestError`` when no attempt succeeds before the deadline.
        Its ``ran`` tells whether the request may have run.
        """
        self.retry_budget.count_request(call.demand.pool.name)
        self.hedging.count_request(call.demand.pool.name)
        seconds = call.demand.deadline - self.clock.monotonic()
        is_answered = False
        limit = asyncio.timeout(seconds - ANSWER_MARGIN_SECONDS)
        self.running[limit] = call
        call.time_limit = limit
        call.reply = reply
        try:
            async with limit:
                while not is_answered:
                    is_answered = await self._run_attempt(call, reply)
        except TimeoutError:
            raise self._timeout_error(call) from None
        finally:
            self._end(call, limit)
            # It refers to the task, whose error refers to this frame.
            del limit

    def _end(self, call: EntryCall, limit: asyncio.Timeout) -> None:
        self.running.pop(limit)
        # The relay refers to the call. Without the cycle, the memory of a
        # request is free at once and not when the collector runs.
        call.forget_answer()

    def raise_if_stopping(self) -> None:
        """Raise ``NotReady`` if a new request might outlast this process."""
        if self.clock.monotonic() >= self.refuse_after:
            raise NotReady(
                'the router is shutting down',
                retry_after=STOPPING_RETRY_SECONDS,
            )

    def refuse_unsent(self) -> None:
        """Refuse the requests that wait and that no upstream has got."""
        for call in self.running.values():
            call.refuse_waiting()

    async def _run_attempt(self, call: EntryCall, reply: Reply) -> bool:
        """Run one attempt; return whether the whole answer was relayed."""
        self._raise_if_refused(call)
        reservation = await self._acquire(call)
        call.watch = self._watch(call, reservation)
        race = HedgeRace(self._new_copy(call, reservation))
        if call.relay is not None:
            call.events_before_attempt = call.relay.event_count
        try:
            await self._open_first(call, race)
            await self._exchange(call, race.kept, reply)
        except AttemptError as error:
            await self._note_failure(call, race.kept, error)
            self._raise_unless_retryable(call, race.kept, error)
            return False
        except asyncio.CancelledError:
            if call.is_out_of_time and race.kept.attempt.sent:
                # Not so if the caller has left, or the process stops.
                self._note_result(
                    call,
                    race.kept.reservation,
                    AttemptTimeout('no complete answer before the deadline'),
                )
            raise
        finally:
            race.kept.reservation.release()
            if call.watch is not None:
                self.allocator.rollout_gate.forget(
                    reservation.upstream, call.watch
                )
        self.allocator.health.on_success(
            race.kept.reservation.upstream.upstream_id
        )
        self._note_result(call, race.kept.reservation, None)
        return True

    async def _open_first(
        self, call: EntryCall, race: 'HedgeRace[SentCopy]'
    ) -> None:
        """Send the request and wait until its answer begins.

        If that takes too long, a hedge is sent to another upstream.
        """
        delay = None
        if race.kept.waits_for_body:
            delay = self.hedging.delay_seconds(
                group_of(call.route, call.demand)
            )
        if delay is None:
            await self._open_copy(call, race.kept)
            return
        copies = HedgedCopies(
            call,
            race.kept,
            self.copy_actions,
            self.hedging,
            self.allocator,
            self.retry_budget,
            self.decisions,
        )
        try:
            await race.run(copies, delay)
        except BaseException:
            race.kept.close_answer()
            raise
        copies.record_winner(race.kept)

    async def _open_copy(self, call: EntryCall, copy: SentCopy) -> None:
        """Send a copy and wait until its answer begins.

        Raises ``AttemptError`` if there is no answer that may be passed on.
        """
        if call.demand.version is not None:
            # An upstream of another version may have taken the chosen one's
            # place; the check before the send compares them.
            await self.view_refresh.run()
        answer = await self.client.open(copy.attempt)
        copy.answer = answer
        facts = self.dialect.read_response_headers(
            answer.status, answer.response.headers
        )
        copy.facts = facts
        self._note_limit(call, copy.reservation, facts)
        self._note_readiness(call, copy.reservation, facts)
        self._note_load(call, copy.reservation, facts)
        try:
            self._check_answer(call, answer, facts)
            if copy.waits_for_body:
                await answer.begin()
        except BaseException:
            answer.close()
            raise
        if copy.waits_for_body:
            seconds = self.clock.monotonic() - copy.started_at
            self.hedging.observe(group_of(call.route, call.demand), seconds)

    async def _note_failure(
        self, call: EntryCall, copy: SentCopy, error: AttemptError
    ) -> None:
        """Record a failed copy in the health of its upstream."""
        self._update_health(copy.reservation, copy.attempt, error)
        if copy.attempt.sent:
            self._note_result(call, copy.reservation, error)
        if not isinstance(error, UpstreamCut) or not copy.attempt.sent:
            return
        has_crashed = await self._report_crash(call, copy.reservation)
        if isinstance(error, IdleDrop):
            self._note_idle_drop(call, copy, has_crashed=has_crashed)

    async def _on_copy_failed(
        self, call: EntryCall, copy: SentCopy, error: AttemptError
    ) -> None:
        """Record that a copy failed while the other one runs."""
        self._count_failure(call, copy, error)
        self._record_failure(call, copy, error, 'copy_failed')
        await self._note_failure(call, copy, error)

    def _watch(
        self, call: EntryCall, reservation: Reservation
    ) -> AttemptWatch | None:
        choice = reservation.choice
        return self.allocator.rollout_gate.watch(
            choice.upstream,
            call.demand,
            call.route.name,
            choice.unprocessed_before + choice.load.unprocessed_tokens,
        )

    def _note_result(
        self,
        call: EntryCall,
        reservation: Reservation,
        error: AttemptError | None,
    ) -> None:
        """Count the end of an attempt for the roll-out of its pool."""
        upstream = reservation.upstream
        is_refused = isinstance(error, UpstreamRefused)
        if call.watch is None or (is_refused and self._may_refuse(upstream)):
            return
        is_failed = error is not None or call.watch.is_failed
        self.allocator.rollout_gate.on_result(
            upstream,
            call.watch,
            is_failed=is_failed,
            is_shared_cause=is_refused or isinstance(error, UpstreamCut),
        )
        self.metrics.count_rollout(
            upstream.pool,
            upstream.version,
            'failed' if is_failed else 'answered',
        )

    def _raise_if_refused(self, call: EntryCall) -> None:
        """Raise if the request or a part of its prompt crashes upstreams."""
        if call.is_trial:
            return
        try:
            call.is_trial = self.part_guard.admit(call.shared_parts)
            call.is_trial |= self.suspects.check(call.fingerprint)
        except CrashSuspect as error:
            if call.may_have_run:
                raise UpstreamFailed(error.detail, ran=Ran.unknown) from error
            raise

    async def _acquire(self, call: EntryCall) -> Reservation:
        arrived_at = self.clock.monotonic()
        try:
            reservation = await self.allocator.acquire(call.demand)
        except RequestError as error:
            if call.may_have_run:
                raise UpstreamFailed(
                    f'no upstream for a retry: {error.detail}',
                    ran=Ran.unknown,
                ) from error
            raise
        waited = self.clock.monotonic() - arrived_at
        self.metrics.observe('queue_wait', call.demand.pool.name, waited)
        choice = reservation.choice
        self.decisions.record(
            call.request_id,
            'placed',
            'fetches cached prefix' if choice.fetch_from else 'first choice',
            customer=call.demand.customer,
            pool=call.demand.pool.name,
            upstream=reservation.upstream.upstream_id,
            version=reservation.upstream.version,
            resumes=call.facts.first_request_id,
            after_event=call.last_event_id,
            attempt=call.sent_attempts + 1,
            waited_ms=_milliseconds(waited),
            expected_ms=_milliseconds(choice.expected_seconds),
            unread_before=choice.unprocessed_before,
            running_before=choice.running_before,
        )
        return reservation

    def _new_copy(self, call: EntryCall, reservation: Reservation) -> SentCopy:
        # The results of a roll-out are those of one version each.
        is_hedgeable = (
            self.hedging.is_active
            and not call.is_trial
            and call.watch is None
            and may_hedge(call.route, call.demand, call.sent_attempts)
        )
        return SentCopy(
            reservation,
            self._new_attempt(call, reservation),
            self.clock.monotonic(),
            waits_for_body=is_hedgeable,
        )

    def _may_refuse(self, upstream: RegisteredUpstream) -> bool:
        """Return whether a refusal tells nothing about the version."""
        now = self.clock.monotonic()
        return self.allocator.registry.is_cold(
            upstream, now
        ) or not self.allocator.notices.may_send(upstream.incarnation, now)

    def _new_attempt(
        self, call: EntryCall, reservation: Reservation
    ) -> Attempt:
        headers = call.headers.copy()
        left = call.demand.deadline - self.clock.monotonic()
        self.dialect.set_attempt_headers(
            headers,
            reservation.upstream.upstream_id,
            left,
            call.last_event_id,
            reservation.choice.fetch_from,
        )
        is_stream = call.route.kind is RequestKind.streaming
        return Attempt(
            attempt_id='',
            upstream_request_id=call.request_id,
            address=reservation.upstream.address,
            method=call.method,
            path=call.path,
            headers=headers,
            body=call.body,
            may_reuse_connection=is_stream or call.route.is_repeatable,
            is_stream=is_stream,
            may_be_resent=self._may_be_resent(call),
            needs_new_connection=call.needs_new_connection,
            pool=reservation.upstream.pool,
            max_connections=call.demand.pool.max_connections,
            verify_connection=_accept_any_connection,
            check_before_send=functools.partial(
                self._check_send, call, reservation
            ),
        )

    def _check_send(self, call: EntryCall, reservation: Reservation) -> None:
        """Check and count an attempt just before its first byte is sent.

        Since the attempt began to wait for its slot and its connection, a part
        of the prompt may have been refused, or the upstream may have left or
        started again, cold and at another version.
        """
        self._raise_if_refused(call)
        chosen = reservation.upstream
        registry = self.allocator.registry
        if not registry.is_available(chosen.upstream_id):
            raise UpstreamChanged(
                f'upstream {chosen.upstream_id} has left or its zone was'
                ' evacuated since it was chosen'
            )
        current = registry.upstreams[chosen.upstream_id]
        if current.incarnation != chosen.incarnation:
            raise UpstreamChanged(
                f'upstream {chosen.incarnation} is {current.incarnation} now'
            )
        if not self.allocator.notices.may_send(
            chosen.incarnation, self.clock.monotonic()
        ):
            raise UpstreamChanged(
                f'upstream {chosen.incarnation} leaves or pauses since it was'
                ' chosen'
            )
        if not self.allocator.rollout_gate.may_send(chosen, call.demand):
            raise UpstreamChanged(
                f'version "{chosen.version}" gets no new requests since the'
                ' upstream was chosen'
            )
        call.sent_attempts += 1

    async def _exchange(
        self,
        call: EntryCall,
        copy: SentCopy,
        reply: Reply,
    ) -> None:
        """Relay the answer that has begun.

        Raises ``AttemptError`` if it must not be passed on, or is cut.
        """
        answer, facts, reservation = copy.answer, copy.facts, copy.reservation
        if answer is None or facts is None:
            raise RuntimeError('the answer has not begun')
        try:
            await self._relay_answer(call, reservation, answer, reply)
        except BaseException:
            answer.close()
            raise
        answer.release()
        self.work.counts.answered += 1
        spent = self.clock.monotonic() - call.demand.arrived_at
        self.metrics.observe('whole_answer', call.demand.pool.name, spent)
        self.decisions.record(
            call.request_id,
            'answered',
            'whole',
            status=answer.status,
            upstream=reservation.upstream.upstream_id,
            is_framed=answer.is_framed,
            request_limit=facts.request_limit,
            events=call.attempt_events,
            began_ms=self._first_event_ms(call),
            took_ms=_milliseconds(spent),
        )

    async def _relay_answer(
        self,
        call: EntryCall,
        reservation: Reservation,
        answer: UpstreamAnswer,
        reply: Reply,
    ) -> None:
        if call.watch is not None:
            call.watch.is_failed = answer.status >= _FIRST_ERROR
        _check_resumption(call, answer)
        is_success = _STATUS_OK <= answer.status < _FIRST_NOT_OK
        if call.route.kind is RequestKind.streaming and is_success:
            await self._relay_stream(call, reservation, answer, reply)
            if call.attempt_events < MIN_PROOF_EVENTS:
                self.part_guard.on_answer_begun(call.shared_parts)
            self.suspects.on_answered(call.fingerprint)
            return
        headers = self.dialect.headers_to_caller(answer.response.headers)
        await relay_plain(answer, reply, headers, call.hold)
        if not is_success:
            return
        self.suspects.on_answered(call.fingerprint)
        if isinstance(call.demand, PlainDemand):
            self._observe_service_time(reservation)

    def _note_limit(
        self, call: EntryCall, reservation: Reservation, facts: ResponseHeaders
    ) -> None:
        """Record the request limit that the upstream names, or its end."""
        if facts.is_wrong_upstream or facts.request_id != call.request_id:
            return
        upstream = reservation.upstream
        if facts.invalid_limit:
            self.decisions.record(
                call.request_id,
                'limit_unreadable',
                f'request limit "{facts.invalid_limit}" is not a number of'
                ' requests per second',
                upstream=upstream.upstream_id,
            )
            return
        has_changed = self.allocator.request_limits.on_answer(
            upstream.incarnation,
            facts.request_limit,
            reservation.acquired_at,
            self.clock.monotonic(),
        )
        if has_changed:
            self.allocator.clear_candidate_cache()
            self.decisions.record(
                call.request_id,
                'upstream_limit',
                'named by the upstream'
                if facts.request_limit is not None
                else 'no longer named by the upstream',
                upstream=upstream.upstream_id,
                requests_per_second=facts.request_limit,
            )

    def _note_load(
        self, call: EntryCall, reservation: Reservation, facts: ResponseHeaders
    ) -> None:
        """Record the load that the upstream states."""
        if facts.is_wrong_upstream or facts.request_id != call.request_id:
            return
        self.allocator.on_load(reservation, facts.load)
        reported_loads = self.allocator.placement.reported_loads
        if facts.invalid_load and reported_loads.should_warn(
            self.clock.monotonic()
        ):
            self.decisions.record(
                call.request_id,
                'load_unreadable',
                f'load "{facts.invalid_load[:MAX_LOGGED_HEADER]}" is not three'
                ' or four whole numbers',
                upstream=reservation.upstream.upstream_id,
            )

    def _note_readiness(
        self, call: EntryCall, reservation: Reservation, facts: ResponseHeaders
    ) -> None:
        """Record that the upstream leaves, or wants nothing for a time."""
        if facts.is_wrong_upstream or facts.request_id not in {
            call.request_id,
            '',
        }:
            return
        upstream = reservation.upstream
        notices = self.allocator.notices
        now = self.clock.monotonic()
        event = ''
        if facts.invalid_pause:
            event = 'pause_unreadable'
        elif facts.pause_seconds is not None and notices.on_pause(
            upstream.incarnation, facts.pause_seconds, now
        ):
            event = 'upstream_paused'
        if facts.is_leaving and notices.on_leaving(upstream.incarnation, now):
            event = 'upstream_leaving'
        if event:
            self.allocator.clear_candidate_cache()
            self.decisions.record(
                call.request_id,
                event,
                'said by the upstream in its answer',
                upstream=upstream.upstream_id,
                incarnation=upstream.incarnation,
                seconds=facts.pause_seconds,
                text=facts.invalid_pause,
            )

    def _check_answer(
        self,
        call: EntryCall,
        answer: UpstreamAnswer,
        facts: ResponseHeaders,
    ) -> None:
        """Raise ``AttemptError`` if the answer must not be passed on."""
        status = answer.status
        if facts.request_id and facts.request_id != call.request_id:
            raise AnswerNotUsable(
                f'answer belongs to request {facts.request_id}'
            )
        if facts.is_not_run:
            raise _refusal_error(status, facts)
        if status in _NOT_RUN_STATUSES:
            raise AnswerNotUsable(
                f'status {status} without the header that proves that the'
                ' request did not run'
            )
        if not facts.is_signed:
            raise AnswerNotUsable(f'status {status} without a signature')
        may_repeat = call.is_racing or self._may_repeat(call)
        if status >= _STATUS_SERVER_ERROR and may_repeat:
            raise UpstreamError(f'status {status}')

    async def _relay_stream(
        self,
        call: EntryCall,
        reservation: Reservation,
        answer: UpstreamAnswer,
        reply: Reply,
    ) -> None:
        if call.relay is None or not call.relay.reply.has_started:
            # An earlier attempt of which no event was relayed leaves nothing.
            call.relay = EventRelay(
                reply,
                answer.status,
                self.dialect.headers_to_caller(answer.response.headers),
                functools.partial(self._record_first_event, call, reservation),
                needs_end_marker=False,
                hold=call.hold,
            )
        await call.relay.run(answer.chunks(), is_framed=answer.is_framed)
        await call.relay.finish()

    def _record_first_event(
        self,
        call: EntryCall,
        reservation: Reservation,
        events: int,
    ) -> None:
        """Count events, and record when an engine begins to stream."""
        self.work.counts.events += events
        if call.watch is not None:
            call.watch.on_events(events)
        if call.demand.version is None:
            self._record_origin(call, reservation)
        former_events = call.attempt_events - events
        if former_events < MIN_PROOF_EVENTS <= call.attempt_events:
            self.part_guard.on_answer_begun(call.shared_parts)
        if not reservation.is_prompt_processed:
            now = self.clock.monotonic()
            call.answer_started_at = now
            self.metrics.observe(
                'first_byte',
                call.demand.pool.name,
                now - call.demand.arrived_at,
            )
            reservation.on_answer_begun()

    def _record_origin(self, call: EntryCall, reservation: Reservation) -> None:
        """Bind the stream to the version that begins it."""
        demand = call.demand
        version = reservation.upstream.version
        demand.version = version
        if call.route.is_resumable:
            self.streams.record(
                stream_key(demand.customer, call.request_id),
                StreamOrigin(demand.pool.name, version),
                call.caller_timeout_seconds,
            )

    def _first_event_ms(self, call: EntryCall) -> float | None:
        if call.answer_started_at is None:
            return None
        return _milliseconds(call.answer_started_at - call.demand.arrived_at)

    def _observe_service_time(self, reservation: Reservation) -> None:
        """Record how long the upstream held a slot for the request."""
        self.allocator.speeds.observe_service(
            reservation.upstream.upstream_id,
            reservation.choice.running_before + 1,
            reservation.upstream.slots,
            self.clock.monotonic() - reservation.acquired_at,
        )

    def _update_health(
        self,
        reservation: Reservation,
        attempt: Attempt,
        error: AttemptError,
    ) -> None:
        """Record a failed attempt in the health of the upstream."""
        self.allocator.clear_candidate_cache()
        if isinstance(error, UpstreamChanged | IdleDrop):
            return
        health = self.allocator.health
        upstream_id = reservation.upstream.upstream_id
        now = self.clock.monotonic()
        if isinstance(error, UpstreamRefused):
            health.on_full(upstream_id, now)
        elif isinstance(error, ConnectFailed) or not attempt.sent:
            health.on_connect_failed(upstream_id, now)
        else:
            pool = self.allocator.registry.all_in_pool(
                reservation.upstream.pool
            )
            ids = [upstream.upstream_id for upstream in pool]
            health.on_failure(upstream_id, ids, now)

    def _note_idle_drop(
        self,
        call: EntryCall,
        copy: SentCopy,
        *,
        has_crashed: bool,
    ) -> None:
        """Record that the upstream reset a connection that was idle before.

        The cause of a reset is the crash if the upstream is down.
        """
        policy = self.client.policy
        attempt = copy.attempt
        policy.count(attempt.address, ConnectionEvent.reset_on_reuse)
        call.needs_new_connection = True
        if has_crashed or attempt.idle_seconds is None:
            return
        limit = policy.on_idle_drop(attempt.address, attempt.idle_seconds)
        if limit is not None:
            self.decisions.record(
                call.request_id,
                'idle_limit_lowered',
                'the upstream reset a connection that was idle',
                upstream=copy.reservation.upstream.upstream_id,
                pool=attempt.pool,
                idle_seconds=attempt.idle_seconds,
                limit_seconds=limit,
            )

    async def _report_crash(
        self, call: EntryCall, reservation: Reservation
    ) -> bool:
        """Report the request as a crash suspect if its upstream is down.

        Returns whether it is.
        """
        if await _is_listening(reservation.upstream.address):
            self.decisions.record(
                call.request_id,
                'crash_ruled_out',
                'the connection was cut, but the upstream accepts new ones',
                upstream=reservation.upstream.upstream_id,
                fingerprint=_hexadecimal(call.fingerprint),
            )
            return False
        self.decisions.record(
            call.request_id,
            'upstream_crashed',
            'the connection was cut and the upstream refuses new ones',
            upstream=reservation.upstream.upstream_id,
            incarnation=reservation.upstream.incarnation,
            fingerprint=_hexadecimal(call.fingerprint),
            events=call.attempt_events,
            shared_parts=call.shared_parts,
        )
        self.allocator.health.on_connect_failed(
            reservation.upstream.upstream_id,
            self.clock.monotonic(),
        )
        if call.attempt_events < MIN_PROOF_EVENTS:
            self.part_guard.on_crash(
                reservation.upstream.incarnation,
                call.fingerprint,
                call.shared_parts,
            )
        await self.suspects.on_crash(
            reservation.upstream.upstream_id,
            str(reservation.upstream.born_ms),
            [call.fingerprint],
        )
        return True

    def _raise_unless_retryable(
        self,
        call: EntryCall,
        copy: SentCopy,
        error: AttemptError,
    ) -> None:
        """Record a failed attempt and raise unless the call may be retried."""
        self._count_failure(call, copy, error)
        final_error = self._error_unless_retryable(call, copy.attempt, error)
        outcome = 'retry' if final_error is None else 'failed'
        self._record_failure(call, copy, error, outcome)
        if final_error is not None:
            raise final_error from error

    def _count_failure(
        self, call: EntryCall, copy: SentCopy, error: AttemptError
    ) -> None:
        """Record in the call what a failed attempt means for the next one."""
        if not isinstance(error, IdleDrop):
            call.demand.excluded_ids.add(copy.reservation.upstream.upstream_id)
        if not copy.attempt.sent:
            call.failed_connects += 1
        elif not isinstance(error, UpstreamRefused):
            call.may_have_run = True

    def _record_failure(
        self,
        call: EntryCall,
        copy: SentCopy,
        error: AttemptError,
        outcome: str,
    ) -> None:
        self.decisions.record(
            call.request_id,
            outcome,
            str(error),
            upstream=copy.reservation.upstream.upstream_id,
            method=call.method,
            fingerprint=_hexadecimal(call.fingerprint),
            sent=copy.attempt.sent,
            attempt=call.sent_attempts,
            events=call.attempt_events,
        )

    def _error_unless_retryable(
        self,
        call: EntryCall,
        attempt: Attempt,
        error: AttemptError,
    ) -> RequestError | None:
        """Return the error that ends the call, ``None`` if it is retried."""
        if self._may_retry(call, attempt, error):
            return None
        if call.has_answer_begun:
            return AnswerCut(str(error), ran=Ran.unknown)
        if not call.may_have_run:
            return NoCapacity(
                f'the request was not run: {error.detail}',
                retry_after=NO_CAPACITY_RETRY_SECONDS,
            )
        return UpstreamFailed(error.detail, ran=Ran.unknown)

    def _may_retry(
        self,
        call: EntryCall,
        attempt: Attempt,
        error: AttemptError,
    ) -> bool:
        """Return whether another attempt is allowed, and count it if so."""
        pool = call.demand.pool.name
        if not attempt.sent:
            if call.failed_connects > MAX_FAILED_CONNECTS:
                return False
            # No attempt has been sent yet, so this is no retry.
            return call.sent_attempts == 0 or self.retry_budget.try_acquire(
                pool
            )
        is_safe = call.route.is_repeatable or not call.may_have_run
        if (
            call.is_trial
            or not is_safe
            or call.sent_attempts >= call.route.max_attempts
        ):
            return False
        if _is_unresumable(call):
            return False
        return self.retry_budget.try_acquire(pool)

    def _may_be_resent(self, call: EntryCall) -> bool:
        """Return whether the next attempt can be followed by another."""
        return (
            call.route.is_repeatable
            and not call.is_trial
            and call.sent_attempts + 1 < call.route.max_attempts
        )

    def _may_repeat(self, call: EntryCall) -> bool:
        """Return whether a server error is retried rather than relayed."""
        return (
            call.route.is_repeatable
            and call.sent_attempts < call.route.max_attempts
            and call.relay is None
        )

    def _timeout_error(self, call: EntryCall) -> RequestError:
        if call.has_answer_begun:
            return AnswerCut(
                'the answer was not complete at the deadline',
                ran=Ran.unknown,
            )
        if call.sent_attempts:
            return UpstreamTimeout(
                'no answer before the deadline',
                ran=Ran.unknown,
            )
        self.raise_if_stopping()
        if call.is_displaced:
            return ConnectionsShort(
                'the request waited for an upstream while others waited for a'
                ' connection',
                retry_after=NO_CAPACITY_RETRY_SECONDS,
            )
        return NoCapacity(
            'not sent to any upstream before the deadline',
            retry_after=NO_CAPACITY_RETRY_SECONDS,
        )


def _check_resumption(call: EntryCall, answer: UpstreamAnswer) -> None:
    """Raise unless the answer can be the rest of a stream that has begun.

    The caller gets one answer, so the text of an error would be taken for a
    part of the stream.
    """
    if call.relay is None:
        return
    if answer.status != _STATUS_OK:
        raise AnswerNotUsable(
            f'status {answer.status} in reply to a resumed stream'
        )
    if call.relay.reply.has_started and not answer.is_event_stream:
        raise AnswerNotUsable(
            f'content type "{answer.response.content_type}" in reply to a'
            ' resumed stream'
        )


def _refusal_error(status: int, facts: ResponseHeaders) -> AttemptError:
    """Return the error of a refusal, which must name the request.

    Without a name, it may be a copy of the refusal of an earlier request.
    """
    if facts.request_id:
        return UpstreamRefused(f'status {status}')
    return AnswerNotUsable(
        f'refusal with status {status} that names no request'
    )


def _milliseconds(seconds: float) -> float:
    """Return a duration in milliseconds, rounded for log lines."""
    return round(seconds * _MS_PER_SECOND, 1)


def _hexadecimal(fingerprint: int) -> str:
    """Return a fingerprint as log lines show it."""
    return f'{fingerprint:016x}'


async def _accept_any_connection(_protocol: Any) -> None:
    """Accept any connection.

    The request names the upstream that it is for, and the upstream refuses
    a request for another one.
    """


def _is_unresumable(call: EntryCall) -> bool:
    """Return whether the caller got part of an answer that can't go on."""
    if not call.has_answer_begun:
        return False
    if call.relay is None:
        # Only streams of events can go on with another answer.
        return True
    return not (call.route.is_resumable and call.relay.position.can_resume)


async def _is_listening(address: str) -> bool:
    """Return whether something accepts connections at ``host:port``."""
    host, _, port = address.rpartition(':')
    writer: asyncio.StreamWriter | None = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(LISTENING_CHECK_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    if writer is None:
        return False
    writer.close()
    return True
