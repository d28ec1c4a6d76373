"""The copies of one request that race for the first byte of an answer."""

import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, final

from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.coordination.engines.allocator import (
    Allocator,
    Reservation,
)
from hickorymux._internal.coordination.engines.hedging import (
    HedgeEvent,
    Hedging,
    group_of,
)
from hickorymux._internal.coordination.retry_budget import RetryBudget
from hickorymux._internal.exceptions import RequestError
from hickorymux._internal.protocol.upstream_http import ResponseHeaders
from hickorymux._internal.transport.entry_call import EntryCall
from hickorymux._internal.transport.upstream_client import (
    Attempt,
    AttemptError,
    UpstreamAnswer,
)


@dataclasses.dataclass(slots=True, eq=False)
class SentCopy:
    """A copy of a request at one upstream.

    ``started_at`` is in monotonic seconds. ``answer`` and ``facts`` are set
    once its headers have arrived. With ``waits_for_body`` the answer begins
    with the first byte of its body, and the time until then is recorded.
    """

    reservation: Reservation
    attempt: Attempt
    started_at: float
    waits_for_body: bool
    answer: UpstreamAnswer | None = None
    facts: ResponseHeaders | None = None
    has_failed: bool = False

    def close_answer(self) -> None:
        """End the exchange with the upstream, if it has answered."""
        if self.answer is not None:
            self.answer.close()


# Sends a copy, and returns once its answer has begun.
OpenCopy = Callable[[EntryCall, SentCopy], Coroutine[Any, Any, None]]
# Returns a copy for a reservation.
NewCopy = Callable[[EntryCall, Reservation], SentCopy]
# Records that a copy failed while the other one runs.
OnCopyFailed = Callable[
    [EntryCall, SentCopy, AttemptError], Coroutine[Any, Any, None]
]


@dataclasses.dataclass(slots=True, frozen=True)
class CopyActions:
    """What the dispatcher does with any copy of a request."""

    new: NewCopy
    open: OpenCopy
    on_failed: OnCopyFailed


@final
class HedgedCopies:
    """The copies of one request; implements ``hedge_race.Copies``."""

    __slots__ = (
        'actions',
        'allocator',
        'call',
        'decisions',
        'first',
        'hedge',
        'hedging',
        'retry_budget',
    )

    def __init__(
        self,
        call: EntryCall,
        first: SentCopy,
        actions: CopyActions,
        hedging: Hedging,
        allocator: Allocator,
        retry_budget: RetryBudget,
        decisions: DecisionLog,
    ) -> None:
        self.call = call
        self.first = first
        self.hedge: SentCopy | None = None
        self.actions = actions
        self.hedging = hedging
        self.allocator = allocator
        self.retry_budget = retry_budget
        self.decisions = decisions

    async def open_copy(self, copy: SentCopy) -> None:
        """Send a copy and return once its answer has begun."""
        await self.actions.open(self.call, copy)

    def place_hedge(self) -> SentCopy | None:
        """Return the second copy, ``None`` if none may be sent."""
        event, reservation = self._reserve()
        self.hedging.count(self._pool, event)
        if reservation is None:
            return None
        self.hedge = self.actions.new(self.call, reservation)
        self.hedge.waits_for_body = True
        self.call.is_racing = True
        self._record('hedge_sent', 'no answer from the first upstream yet')
        return self.hedge

    async def on_failed(self, copy: SentCopy, error: BaseException) -> None:
        """Record that a copy failed while the other one runs."""
        self.call.is_racing = False
        copy.has_failed = True
        if copy is self.hedge:
            self.hedging.count(self._pool, HedgeEvent.failed)
        if isinstance(error, AttemptError):
            await self.actions.on_failed(self.call, copy, error)
        elif not isinstance(error, RequestError):
            raise error

    def end_copy(self, copy: SentCopy) -> None:
        """End a copy that is no longer needed."""
        self.call.is_racing = False
        copy.close_answer()
        copy.reservation.release()
        if not copy.has_failed:
            seconds = self.allocator.clock.monotonic() - copy.started_at
            group = group_of(self.call.route, self.call.demand)
            self.hedging.observe(group, seconds)

    def record_winner(self, kept: SentCopy) -> None:
        """Record which copy's answer began first, if there was a hedge."""
        if self.hedge is None or self.hedge.has_failed:
            return
        if kept is self.hedge:
            self.hedging.count(self._pool, HedgeEvent.won)
            self._record('hedge_won', 'its answer began first')
        else:
            self.hedging.count(self._pool, HedgeEvent.lost)
            self._record('hedge_lost', "the first copy's answer began first")

    @property
    def _pool(self) -> str:
        return self.call.demand.pool.name

    def _reserve(self) -> tuple[HedgeEvent, Reservation | None]:
        """Reserve a slot for the hedge, if all limits allow one."""
        if not self.first.attempt.sent:
            return HedgeEvent.not_sent, None
        if not self.hedging.has_credit(self._pool):
            return HedgeEvent.over_share, None
        if not self.retry_budget.has_room(self._pool):
            return HedgeEvent.over_retry_budget, None
        reservation = self.allocator.try_acquire_hedge(
            self.call.demand, self.first.reservation.upstream.upstream_id
        )
        if reservation is None:
            return HedgeEvent.no_upstream, None
        self.hedging.spend(self._pool)
        self.retry_budget.try_acquire(self._pool)
        return HedgeEvent.sent, reservation

    def _record(self, event: str, reason: str) -> None:
        hedge = self.hedge
        self.decisions.record(
            self.call.request_id,
            event,
            reason,
            pool=self._pool,
            first_upstream=self.first.reservation.upstream.upstream_id,
            upstream=hedge and hedge.reservation.upstream.upstream_id,
        )
