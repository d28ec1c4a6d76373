"""The state of a request while an entry process handles it."""

import asyncio
import dataclasses

import xxhash
from multidict import CIMultiDict

from hickorymux._internal.coordination.engines.demands import Demand
from hickorymux._internal.coordination.rollouts.attempts import AttemptWatch
from hickorymux._internal.protocol.upstream_http import RequestHeaders
from hickorymux._internal.state.routing import HttpRoute
from hickorymux._internal.transport.memory_budget import MemoryHold
from hickorymux._internal.transport.relay import EventRelay, Reply


@dataclasses.dataclass(slots=True, eq=False)
class EntryCall:
    """One request, its route, and the outcome of its attempts so far.

    ``sent_attempts`` counts the attempts of which an upstream may have got
    any byte, ``failed_connects`` those of which none was sent.
    ``may_have_run`` is set once an upstream got the request and did not
    declare that it did not run it. ``answer_started_at`` is when a model
    engine began to stream its answer, in monotonic seconds. ``relay`` is the
    stream to the caller; the attempts that resume the stream share it, and
    ``events_before_attempt`` is how many events the earlier ones relayed.
    ``reply`` is the answer to the caller while the request runs.
    ``is_trial`` is set for a request that tries again what is refused, itself
    or a part of its prompt, and so is sent once only. ``needs_new_connection``
    is set once a reused connection was reset. ``is_racing`` is set while two
    copies of the request run. ``watch`` observes the present attempt if its
    pool has a roll-out. ``hold`` accounts for the memory of its body and its
    answer. ``time_limit`` ends the request while it runs, and
    ``is_displaced`` tells that it did so for a connection that waited.
    """

    facts: RequestHeaders
    route: HttpRoute
    demand: Demand
    method: str
    path: str
    headers: 'CIMultiDict[str]'
    body: bytes
    sent_attempts: int = 0
    failed_connects: int = 0
    may_have_run: bool = False
    answer_started_at: float | None = None
    reply: Reply | None = None
    relay: EventRelay | None = None
    events_before_attempt: int = 0
    is_trial: bool = False
    needs_new_connection: bool = False
    is_racing: bool = False
    watch: AttemptWatch | None = None
    hold: MemoryHold | None = None
    time_limit: asyncio.Timeout | None = None
    is_displaced: bool = False

    @property
    def request_id(self) -> str:
        """Return the request id that the caller chose."""
        return self.facts.request_id

    @property
    def caller_timeout_seconds(self) -> float:
        """Return for how long the caller waited at most when it called."""
        if self.facts.caller_timeout_seconds is None:
            return self.route.timeout.total_seconds()
        return self.facts.caller_timeout_seconds

    @property
    def has_answer_begun(self) -> bool:
        """Return whether the caller has been sent any part of an answer.

        No other attempt may then write to the caller, except one that resumes
        the stream.
        """
        return self.reply is not None and self.reply.has_started

    @property
    def is_waiting(self) -> bool:
        """Return whether it runs and no upstream has got any of it."""
        limit = self.time_limit
        return (
            limit is not None and not self.sent_attempts and not limit.expired()
        )

    @property
    def is_out_of_time(self) -> bool:
        """Return whether its time limit has ended it."""
        return self.time_limit is not None and self.time_limit.expired()

    def refuse_waiting(self) -> None:
        """Refuse the request now if it is waiting; it has not run."""
        if self.is_waiting and self.time_limit is not None:
            self.time_limit.reschedule(asyncio.get_running_loop().time())

    def forget_answer(self) -> None:
        """Drop the references to the answer once the call has ended."""
        self.time_limit = None
        self.relay = None
        self.reply = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the names of the prompt parts that others may share."""
        prompt = self.facts.prompt
        if prompt is None:
            return ()
        return tuple(part.name for part in prompt.shared_parts)

    @property
    def attempt_events(self) -> int:
        """Return how many events the present attempt has relayed."""
        if self.relay is None:
            return 0
        return self.relay.event_count - self.events_before_attempt

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event that the caller has.

        The next attempt resumes the stream after it. Empty if there is none.
        """
        if self.relay is not None and self.relay.last_event_id:
            return self.relay.last_event_id
        return self.facts.last_event_id

    @property
    def fingerprint(self) -> int:
        """Return a hash by which a repeated request is recognized.

        It covers the customer, the method, the path and the body.
        """
        digest = xxhash.xxh3_64(self.body)
        caller = f'{self.demand.customer}\n{self.method}\n{self.path}'
        digest.update(caller.encode(errors='replace'))
        return digest.intdigest()
