"""Sends requests of all customers through all routers concurrently."""

import asyncio
import dataclasses
import itertools
import random
import secrets
import time
import uuid
from collections.abc import Sequence
from typing import Final, final

from demo.outcomes import Outcome, Result, WorkKind
from demo.requests import Caller

_SEED: Final = 20
_REQUEST_INTERVAL_SECONDS: Final = 0.05
_FAILED_REQUEST_INTERVAL_SECONDS: Final = 0.25
_TOKEN_COUNTS: Final = (5, 10, 20, 40, 80)
_LONG_STREAM_TOKENS: Final = 200
_LONG_STREAMS_PER_ROUTER: Final = 2
_NS_PER_MS: Final = 1_000_000
_UUID_VERSION_7: Final = 0x70
_UUID_VARIANT: Final = 0x80
_LOW_4_BITS: Final = 15
_LOW_6_BITS: Final = 63
_WORK_KINDS: Final = (
    WorkKind.stream,
    WorkKind.read,
    WorkKind.stream,
    WorkKind.write,
    WorkKind.answer,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """Name and base URL of a router that the load balancer may choose."""

    router: str
    url: str


@final
class Traffic:
    """The callers of all customers and the outcomes of their requests.

    ``callers`` holds each caller and the number of requests that it keeps in
    flight. Each request goes to a router chosen at random, as by the
    platform's load balancer.
    """

    __slots__ = ('callers', 'entries', 'is_stopping', 'outcomes', 'rng')

    def __init__(
        self,
        callers: Sequence[tuple[Caller, int]],
        entries: Sequence[Entry],
    ) -> None:
        self.callers = callers
        self.entries = entries
        self.is_stopping = False
        self.outcomes: list[Outcome] = []
        self.rng = random.Random(_SEED)

    async def run(self) -> None:
        """Send requests until ``stop``; return when all have ended."""
        async with asyncio.TaskGroup() as group:
            for caller, concurrency in self.callers:
                for number in range(concurrency):
                    group.create_task(self._send_sequentially(caller, number))

    def stop(self) -> None:
        """Send no more requests; those in flight run to their end."""
        self.is_stopping = True

    async def send_long_streams(self, sent: asyncio.Event) -> None:
        """Send long streams for each customer and router.

        They are more than the upstreams can run concurrently, so that some are
        queued. ``sent`` is set when all requests are in flight.
        """
        numbers = range(_LONG_STREAMS_PER_ROUTER)
        each = itertools.product(numbers, self.callers, self.entries)
        async with asyncio.TaskGroup() as group:
            for _, (caller, _), entry in each:
                outcome = _new_outcome(caller, WorkKind.stream, entry)
                self.outcomes.append(outcome)
                group.create_task(
                    caller.send(outcome, entry.url, _LONG_STREAM_TOKENS)
                )
            await asyncio.sleep(_REQUEST_INTERVAL_SECONDS)
            sent.set()

    async def _send_sequentially(self, caller: Caller, number: int) -> None:
        kinds = itertools.cycle(_WORK_KINDS)
        for kind in itertools.islice(kinds, number, None):
            if self.is_stopping:
                return
            entry = self.rng.choice(self.entries)
            outcome = _new_outcome(caller, kind, entry)
            self.outcomes.append(outcome)
            tokens = self.rng.choice(_TOKEN_COUNTS)
            await caller.send(outcome, entry.url, tokens)
            is_whole = outcome.result is Result.whole
            await asyncio.sleep(
                _REQUEST_INTERVAL_SECONDS
                if is_whole
                else _FAILED_REQUEST_INTERVAL_SECONDS
            )


def uuid7() -> str:
    """Return a UUID of version 7 (RFC 9562): a timestamp, then random bits."""
    milliseconds = time.time_ns() // _NS_PER_MS
    uuid_bytes = bytearray(milliseconds.to_bytes(6) + secrets.token_bytes(10))
    uuid_bytes[6] = _UUID_VERSION_7 | uuid_bytes[6] & _LOW_4_BITS
    uuid_bytes[8] = _UUID_VARIANT | uuid_bytes[8] & _LOW_6_BITS
    return str(uuid.UUID(bytes=bytes(uuid_bytes)))


def _new_outcome(caller: Caller, kind: WorkKind, entry: Entry) -> Outcome:
    request_id = uuid.uuid4().hex
    return Outcome(
        request_id=request_id,
        customer=caller.customer,
        kind=kind,
        router=entry.router,
        key=uuid7() if kind is WorkKind.write else '',
    )
