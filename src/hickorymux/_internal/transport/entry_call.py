"""A request on its way from a caller to an upstream."""

import dataclasses

import xxhash
from multidict import CIMultiDict

from hickorymux._internal.coordination.engines.demands import Demand
from hickorymux._internal.protocol.upstream_http import CallFacts
from hickorymux._internal.state.routing import HttpRoute
from hickorymux._internal.transport.relay import EventRelay


@dataclasses.dataclass(slots=True, eq=False)
class EntryCall:
    """One request, matched to its route, and what became of it so far.

    ``sends`` counts upstreams that got octets of it; ``may_have_run`` is set
    once one of them did not prove that it did not run. ``began_at`` is when
    the answer began, in monotonic seconds. ``relay`` is the stream that the
    caller is being sent.
    """

    facts: CallFacts
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
    relay: EventRelay | None = None

    @property
    def request_id(self) -> str:
        """Return the caller's id of the request."""
        return self.facts.request_id

    @property
    def last_event_id(self) -> str:
        """Return after which event the next upstream is to go on."""
        if self.relay is not None and self.relay.last_event_id:
            return self.relay.last_event_id
        return self.facts.last_event_id

    @property
    def fingerprint(self) -> int:
        """Return a number that is the same when the request comes again."""
        digest = xxhash.xxh3_64(self.body)
        caller = f'{self.demand.customer}\n{self.method}\n{self.path}'
        digest.update(caller.encode(errors='replace'))
        return digest.intdigest()
