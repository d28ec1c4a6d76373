"""Measure the latency, log appends, bytes and memory of claims.

Routers run in this process and claim new idempotency keys. They append to the
emulator of the log service through the production HTTP client. Their messages
to each other are encoded and decoded, but pass over no network. The result is
printed as JSON.

Example::

    PYTHONPATH=src python -m tools.measure_claims --routers 7 --rate 100
"""

import asyncio
import dataclasses
import datetime as dt
import json
import resource
import sys
import time
import tracemalloc
from collections.abc import Sequence
from typing import Any, final

import aiohttp
import defopt

from hickorymux._internal.coordination.claim_settings import ClaimSettings
from hickorymux._internal.coordination.claims import Claimer
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.exceptions import RequestError
from hickorymux._internal.protocol.thrift_codec import thrift_codec
from hickorymux._internal.state.claim_fold import (
    ClaimEntry,
    ClaimFold,
    digest,
    encode_entries,
)
from hickorymux._internal.transport.log_client import HttpLogClient
from hickorymux._internal.utils.clock import SystemClock
from hickorymux_emulator.programs import ProgramGroup

_MS_PER_SECOND = 1000
_FOLD_KEYS = 100_000
_BATCH_ENTRIES = 8
_BODY = digest(b'body')


@dataclasses.dataclass(slots=True)
class FixedMembership:
    """A ``MemberView`` with members that do not change."""

    myself: Member
    members: list[Member]

    def live(self) -> Sequence[Member]:
        """Return all routers."""
        return self.members

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        """Return all routers; there is one availability zone."""
        return self.members


@final
class InMemoryNetwork:
    """Delivers encoded messages in the next iteration of the event loop.

    ``message_bytes`` and ``messages`` count all messages sent.
    """

    def __init__(self) -> None:
        self.routers: dict[str, Claimer] = {}
        self.message_bytes = 0
        self.messages = 0

    def deliver(self, sender_id: str, router_id: str, message: Any) -> None:
        """Encode and count a message, then schedule its delivery."""
        code, body = thrift_codec().encode(message)
        self.messages += 1
        self.message_bytes += len(body)
        received = thrift_codec().decode(code, body)
        loop = asyncio.get_running_loop()
        loop.call_soon(self.routers[router_id].on_message, sender_id, received)


@final
@dataclasses.dataclass(slots=True, frozen=True)
class NetworkSender:
    """A ``PeerSender`` for one router."""

    network: InMemoryNetwork
    router_id: str

    def send(self, router_id: str, message: Any) -> bool:
        """Send a message; return true, as every router is reachable."""
        self.network.deliver(self.router_id, router_id, message)
        return True


@final
class CountingLog:
    """A log client that counts the appends and their bytes."""

    def __init__(self, client: HttpLogClient) -> None:
        self.client = client
        self.appends = 0
        self.payload_bytes = 0

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and count it."""
        self.appends += 1
        self.payload_bytes += len(payload)
        return await self.client.append(stream, payload)

    async def read(self, stream: str, from_offset: int, **options: Any) -> Any:
        """Read records through the wrapped client."""
        return await self.client.read(stream, from_offset, **options)


@dataclasses.dataclass(slots=True)
class ClaimResults:
    """The outcomes of the claims of one run.

    ``latencies_ms`` has the times of the successful claims, ``refused`` the
    number of failed ones by error code.
    """

    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    refused: dict[str, int] = dataclasses.field(default_factory=dict)

    async def claim(self, router: Claimer, key: str) -> None:
        """Claim one key and record a successful outcome for its request."""
        started = time.perf_counter()
        try:
            claim = await router.claim('customer', 'route', key, _BODY)
        except RequestError as error:
            self.refused[error.code] = self.refused.get(error.code, 0) + 1
            return
        elapsed = time.perf_counter() - started
        self.latencies_ms.append(elapsed * _MS_PER_SECOND)
        claim.mark_sent(router.clock.monotonic())
        claim.record_outcome(200)

    def percentile(self, fraction: float) -> float:
        """Return the latency in milliseconds at a fraction of the sorted ones."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return 0
        return round(ordered[int(fraction * (len(ordered) - 1))], 2)


def _add_routers(
    network: InMemoryNetwork,
    count: int,
    log: CountingLog,
    settings: ClaimSettings,
) -> None:
    members = [
        Member(f'r{number}', 1, 'zone', '127.0.0.1', number)
        for number in range(count)
    ]
    for member in members:
        network.routers[member.router_id] = Claimer.from_config(
            log,
            SystemClock(),
            settings,
            FixedMembership(member, members),
            NetworkSender(network, member.router_id),
        )


async def _claim_at_rate(
    network: InMemoryNetwork, results: ClaimResults, rate: float, seconds: float
) -> None:
    """Claim new keys at a constant rate, at each router in turn."""
    routers = list(network.routers.values())
    started = time.perf_counter()
    claims: list[asyncio.Task[None]] = []
    for number in range(int(rate * seconds)):
        delay = started + number / rate - time.perf_counter()
        if delay > 0:
            await asyncio.sleep(delay)
        router = routers[number % len(routers)]
        work = results.claim(router, f'{started}-{number}')
        claims.append(asyncio.create_task(work))
    await asyncio.gather(*claims)


def _measure_fold() -> dict[str, float]:
    """Return the bytes of memory and the microseconds to fold each key."""
    payloads = []
    for first in range(0, _FOLD_KEYS, _BATCH_ENTRIES):
        numbers = range(first, first + _BATCH_ENTRIES)
        digests = [digest(str(number).encode()) for number in numbers]
        payloads.append(
            encode_entries(
                ClaimEntry(key_digest, key_digest, _BODY)
                for key_digest in digests
            ),
        )
    wall = dt.datetime.now(dt.UTC)
    tracemalloc.start()
    fold = ClaimFold()
    for offset, payload in enumerate(payloads):
        fold.apply(offset, wall, payload)
    fold_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.perf_counter()
    timed_fold = ClaimFold()
    for offset, payload in enumerate(payloads):
        timed_fold.apply(offset, wall, payload)
    fold_seconds = time.perf_counter() - started
    return {
        'octets_per_key': round(fold_bytes / _FOLD_KEYS, 1),
        'fold_us_per_key': round(fold_seconds / _FOLD_KEYS * 1e6, 2),
    }


async def _measure(
    log_url: str,
    count: int,
    rate: float,
    seconds: float,
    settings: ClaimSettings,
) -> dict[str, Any]:
    network = InMemoryNetwork()
    results = ClaimResults()
    async with aiohttp.ClientSession() as session:
        log = CountingLog(HttpLogClient.from_config(log_url, session))
        _add_routers(network, count, log, settings)
        cpu_seconds = time.process_time()
        await _claim_at_rate(network, results, rate, seconds)
        cpu_seconds = time.process_time() - cpu_seconds
        await asyncio.sleep(1)
        for router in network.routers.values():
            await router.close()
    claims = max(len(results.latencies_ms), 1)
    return {
        'routers': count,
        'partitions': settings.partitions,
        'append_interval_ms': settings.append_interval.total_seconds() * 1e3,
        'offered_per_second': rate,
        'seconds': seconds,
        'claims': len(results.latencies_ms),
        'refused': results.refused,
        'p50_ms': results.percentile(0.5),
        'p99_ms': results.percentile(0.99),
        'max_ms': results.percentile(1),
        'appends_per_second': round(log.appends / seconds, 1),
        'log_octets_per_claim': round(log.payload_bytes / claims, 1),
        'messages_per_claim': round(network.messages / claims, 2),
        'message_octets_per_claim': round(network.message_bytes / claims, 1),
        'cpu_ms_per_claim': round(cpu_seconds / claims * _MS_PER_SECOND, 3),
        'peak_rss_mib': resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        // 1024,
        'memory': _measure_fold(),
    }


def measure(
    *,
    routers: int = 7,
    rate: float = 100,
    seconds: float = 10,
    partitions: int = 4,
    append_interval_ms: float = 20,
    append_rate: float = 300,
) -> None:
    """Measure claims on new keys, each followed by a request outcome.

    :param routers: number of routers, all in this process
    :param rate: claims a second at all routers together
    :param seconds: duration of the run
    :param partitions: number of claim streams
    :param append_interval_ms: minimum time between appends of one writer
    :param append_rate: appends a second that the log service accepts
    """
    settings = ClaimSettings(
        partitions=partitions,
        append_interval=dt.timedelta(milliseconds=append_interval_ms),
    )
    with ProgramGroup() as programs:
        limit = ('--append-rate', str(append_rate))
        log = programs.start_emulator('log-service', *limit)
        result = asyncio.run(
            _measure(log.url, routers, rate, seconds, settings),
        )
    json.dump(result, sys.stdout, indent=2)
    sys.stdout.write('\n')


if __name__ == '__main__':
    defopt.run(measure, no_negated_flags=True)
