"""Verifies which upstream instance a connection ends at before it is used.

One *anchor* connection to each upstream stays open. Load reports on it prove
which instance serves it, and a crash of the instance closes it. After a new
connection was opened, one more report is fetched on the anchor. If the anchor
answers, its instance was still alive when the new connection was opened and
therefore serves that connection too. The check costs one round trip for a new
connection and nothing for a reused one.
"""

import asyncio
import contextlib
import logging
import weakref
from collections.abc import Callable, Iterable
from email.utils import parsedate_to_datetime
from typing import Any, Final, final

import aiohttp
import msgspec

from hickorymux._internal.state.instance_proof import InstanceProof
from hickorymux._internal.state.tables import Upstream
from hickorymux._internal.state.upstream_state import LoadReport
from hickorymux._internal.transport.upstream_client import AttemptError
from hickorymux._internal.utils.clock import Clock

POLL_SECONDS: Final = 0.5
# Interval for upstreams whose reports this router does not need often.
IDLE_POLL_SECONDS: Final = 15.0
REQUEST_TIMEOUT_SECONDS: Final = 2.0
LOAD_PATH: Final = '/load'

_logger = logging.getLogger(__name__)


class ConnectionUnverified(AttemptError):
    """The connection does not end at the slot's instance; nothing was sent."""

    code = 'connection_unverified'


@final
class UpstreamAnchor:
    """The connection to one upstream on which its instance is proved.

    ``connection_number`` grows with each connection that is opened, so a
    change of it shows that the previous connection was lost.
    """

    __slots__ = (
        'clock',
        'exchanges_finished',
        'lock',
        'proof',
        'connection_number',
        'session',
        'exchanges_started',
        'upstream',
        'wakeup',
    )

    def __init__(self, upstream: Upstream, clock: Clock) -> None:
        self.upstream = upstream
        self.clock = clock
        self.lock = asyncio.Lock()
        self.wakeup = asyncio.Event()
        self.proof = InstanceProof(connected_at=clock.monotonic())
        self.connection_number = 0
        self.exchanges_started = 0
        self.exchanges_finished = 0
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._on_connection_opened)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=1,
                keepalive_timeout=2 * IDLE_POLL_SECONDS,
            ),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
            trace_configs=[trace],
        )

    async def fetch_report(self) -> LoadReport | None:
        """Fetch a load report; return it if it proves the instance.

        Returns ``None`` if the report does not prove the instance. Concurrent
        callers share one exchange if it began after their calls; only the
        caller that ran it gets the report. Raises ``aiohttp.ClientError``,
        ``OSError``, ``TimeoutError`` or ``ValueError`` if there is no valid
        answer.
        """
        required = self.exchanges_started + 1
        async with self.lock:
            if self.exchanges_finished >= required:
                return None
            self.exchanges_started += 1
            report = await self._fetch()
            self.exchanges_finished = self.exchanges_started
            return report

    async def close(self) -> None:
        """Close the anchor connection."""
        await self.session.close()

    async def _fetch(self) -> LoadReport | None:
        url = f'http://{self.upstream.address}{LOAD_PATH}'
        async with self.session.get(url) as response:
            response.raise_for_status()
            body = msgspec.json.decode(await response.read())
            served_at = _unix_seconds(response.headers.get('Date'))
        report = LoadReport.from_body(body)
        now = self.clock.monotonic()
        return (
            report if self.proof.apply_report(report, served_at, now) else None
        )

    async def _on_connection_opened(self, *_details: Any) -> None:
        self.connection_number += 1
        self.proof = InstanceProof(connected_at=self.clock.monotonic())


@final
class ConnectionGate:
    """Keeps an anchor to each upstream and verifies connections by it.

    ``on_report`` is called with each report that proves its instance, and
    ``on_connection_lost`` with an upstream whose anchor was lost. ``is_polled``
    returns whether to fetch an upstream's reports often, as the router that
    coordinates its slots does.

    Example::

        gate = ConnectionGate(clock, on_report, on_connection_lost, is_polled)
        gate.open_anchors(upstreams_of_own_zone)
        await gate.verify(upstream, slot.instance, connection.protocol)
    """

    __slots__ = (
        'anchors',
        'clock',
        'is_polled',
        'on_connection_lost',
        'on_report',
        'tasks',
        'verified_instances',
    )

    def __init__(
        self,
        clock: Clock,
        on_report: Callable[[Upstream, LoadReport], None],
        on_connection_lost: Callable[[Upstream], None],
        is_polled: Callable[[Upstream], bool],
    ) -> None:
        self.clock = clock
        self.on_report = on_report
        self.on_connection_lost = on_connection_lost
        self.is_polled = is_polled
        self.anchors: dict[str, UpstreamAnchor] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.verified_instances: weakref.WeakKeyDictionary[Any, str]
        self.verified_instances = weakref.WeakKeyDictionary()

    def open_anchors(self, upstreams: Iterable[Upstream]) -> None:
        """Open an anchor to each of the upstreams that has none yet."""
        for upstream in upstreams:
            if upstream.name not in self.anchors:
                anchor = UpstreamAnchor(upstream, self.clock)
                self.anchors[upstream.name] = anchor
                self.tasks[upstream.name] = asyncio.create_task(
                    self._maintain(anchor),
                )

    def is_verified(self, upstream: Upstream, instance: str) -> bool:
        """Return whether the upstream's anchor has proved the instance.

        Opens an anchor to the upstream if it has none.
        """
        self.open_anchors((upstream,))
        proof = self.anchors[upstream.name].proof
        return bool(instance) and proof.instance == instance

    async def verify(
        self,
        upstream: Upstream,
        instance: str,
        connection: Any,
    ) -> None:
        """Verify that the connection ends at the instance.

        ``connection`` is any object that lives as long as the connection.
        Raises ``ConnectionUnverified`` if that can't be verified; the caller
        must then close the connection without sending anything on it.
        """
        if self.verified_instances.get(connection) == instance:
            return
        if not self.is_verified(upstream, instance):
            raise _unverified_error(upstream)
        anchor = self.anchors[upstream.name]
        connection_number = anchor.connection_number
        try:
            await anchor.fetch_report()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self._reset_proof(anchor)
            raise _unverified_error(upstream) from error
        if anchor.connection_number != connection_number:
            anchor.wakeup.set()
            self.on_connection_lost(upstream)
        if anchor.proof.instance != instance:
            raise _unverified_error(upstream)
        self.verified_instances[connection] = instance

    async def close(self) -> None:
        """Close all anchors."""
        for task in self.tasks.values():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for anchor in self.anchors.values():
            await anchor.close()

    async def _maintain(self, anchor: UpstreamAnchor) -> None:
        """Fetch reports on an anchor until cancelled."""
        while True:
            await self._poll(anchor)
            seconds = IDLE_POLL_SECONDS
            if not anchor.proof.instance or self.is_polled(anchor.upstream):
                seconds = POLL_SECONDS
            anchor.wakeup.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(anchor.wakeup.wait(), seconds)

    async def _poll(self, anchor: UpstreamAnchor) -> None:
        connection_number = anchor.connection_number
        try:
            report = await anchor.fetch_report()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            _logger.info(
                'fetching the load report failed',
                extra={
                    'event': 'anchor_failed',
                    'upstream': anchor.upstream.name,
                    'reason': repr(error),
                },
            )
            self._reset_proof(anchor)
            return
        # Opening the first connection is not a loss.
        if anchor.connection_number > max(connection_number, 1):
            self.on_connection_lost(anchor.upstream)
        if report is not None:
            self.on_report(anchor.upstream, report)

    def _reset_proof(self, anchor: UpstreamAnchor) -> None:
        """Drop the proved instance and report the connection as lost."""
        anchor.wakeup.set()
        if anchor.proof.instance:
            anchor.proof = InstanceProof(self.clock.monotonic())
            self.on_connection_lost(anchor.upstream)


def _unix_seconds(date_header: str | None) -> float | None:
    """Return the Unix time of a ``Date`` header, if it is valid."""
    if date_header is None:
        return None
    try:
        return parsedate_to_datetime(date_header).timestamp()
    except ValueError:
        return None


def _unverified_error(upstream: Upstream) -> ConnectionUnverified:
    return ConnectionUnverified(
        'the instance that serves the connection is not verified',
        where=upstream.name,
    )
