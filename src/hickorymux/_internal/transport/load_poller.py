"""Asks the upstreams that this router is home of for their load reports."""

import asyncio
import datetime as dt
import logging
from collections.abc import Callable, Iterable
from typing import Final, final

import msgspec

from hickorymux._internal.state.tables import Upstream
from hickorymux._internal.state.upstream_state import LoadReport
from hickorymux._internal.transport.upstream_client import (
    AttemptError,
    UpstreamClient,
)
from hickorymux._internal.utils.clock import Clock

POLL_SECONDS: Final = 0.5
LOAD_PATH: Final = '/load'
SILENT_INSTANCE: Final = 'no-load-report'


class _LoadBody(msgspec.Struct):
    """The body of ``GET /load``; the time is RFC 3339."""

    instance: str
    state: str
    reported_at: dt.datetime
    slots: int = 0
    cold_slots: int = 0
    running: int = 0
    waiting: int = 0
    models: tuple[str, ...] = ()


_logger = logging.getLogger(__name__)

TakeReport = Callable[[str, LoadReport], None]


def parse_report(body: bytes) -> LoadReport:
    """Return the load report; raises ``msgspec.DecodeError``."""
    load = msgspec.json.decode(body, type=_LoadBody)
    return LoadReport(
        instance=load.instance,
        state=load.state,
        slots=load.slots,
        cold_slots=load.cold_slots,
        running=load.running,
        waiting=load.waiting,
        models=load.models,
        reported_at=load.reported_at.timestamp(),
    )


@final
class LoadPoller:
    """One task for each upstream of this home, for as long as it is."""

    __slots__ = ('client', 'clock', 'list_upstreams', 'report_to', 'tasks')

    def __init__(
        self,
        client: UpstreamClient,
        clock: Clock,
        list_upstreams: Callable[[], Iterable[Upstream]],
        report_to: TakeReport,
    ) -> None:
        self.client = client
        self.clock = clock
        self.list_upstreams = list_upstreams
        self.report_to = report_to
        self.tasks: dict[Upstream, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start and end the tasks as homes move, until cancelled."""
        try:
            while True:
                self._follow()
                await self.clock.sleep(POLL_SECONDS)
        finally:
            for task in self.tasks.values():
                task.cancel()

    def _follow(self) -> None:
        present = set(self.list_upstreams())
        for gone in self.tasks.keys() - present:
            self.tasks.pop(gone).cancel()
        for added in present - self.tasks.keys():
            self.tasks[added] = asyncio.create_task(self._poll(added))

    async def _poll(self, upstream: Upstream) -> None:
        while True:
            await self._poll_once(upstream)
            await self.clock.sleep(POLL_SECONDS)

    async def _poll_once(self, upstream: Upstream) -> None:
        if not upstream.reports_load:
            self.report_to(upstream.name, self._assumed(upstream))
            return
        try:
            body = await self.client.get_json(upstream, LOAD_PATH)
            report = parse_report(body)
        except (AttemptError, msgspec.DecodeError) as error:
            _logger.debug('no load report of %s: %r', upstream.name, error)
            return
        self.report_to(upstream.name, report)

    def _assumed(self, upstream: Upstream) -> LoadReport:
        """Return a report for an upstream that gives none."""
        return LoadReport(
            instance=SILENT_INSTANCE,
            state='warm',
            slots=upstream.slots,
            reported_at=self.clock.monotonic(),
        )
