"""HTTP server for operators, the balancer and metrics collectors.

``/livez`` and ``/readyz`` are health checks. ``/metrics`` is in the Prometheus
text format. ``/admin/status`` and ``/admin/explain/{request_id}`` return JSON
for the commands ``status`` and ``explain``.
"""

from collections.abc import Callable
from typing import Final, final

import msgspec
from aiohttp import web

from hickorymux._internal.coordination.config_follower import ConfigFollower
from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.coordination.membership import Membership
from hickorymux._internal.coordination.scheduler import Scheduler
from hickorymux._internal.protocol.admin_messages import (
    EXPLAIN_PATH,
    STATUS_PATH,
    PoolStatus,
    RouterStatus,
    UpstreamStatus,
)
from hickorymux._internal.protocol.peer_messages import MESSAGE_REGISTRY
from hickorymux._internal.state.tables import Pool, Upstream
from hickorymux._internal.transport.metrics import RouterMetrics
from hickorymux._internal.transport.peer_network import TrafficMeter

JSON_TYPE: Final = 'application/json'
METRICS_TYPE: Final = 'text/plain; version=0.0.4'
_NOT_READY: Final = 503


@final
class AdminServer:
    """Serves the router's health, metrics, status and decisions."""

    __slots__ = (
        'decisions',
        'follower',
        'is_draining',
        'membership',
        'meter',
        'metrics',
        'scheduler',
    )

    def __init__(
        self,
        membership: Membership,
        follower: ConfigFollower,
        scheduler: Scheduler,
        decisions: DecisionLog,
        metrics: RouterMetrics,
        meter: TrafficMeter,
    ) -> None:
        self.membership = membership
        self.follower = follower
        self.scheduler = scheduler
        self.decisions = decisions
        self.metrics = metrics
        self.meter = meter
        self.is_draining = False

    def application(self) -> web.Application:
        """Return the web application with all pages."""
        app = web.Application()
        app.router.add_get('/livez', self.live)
        app.router.add_get('/readyz', self.ready)
        app.router.add_get('/metrics', self.show_metrics)
        app.router.add_get(STATUS_PATH, self.show_status)
        app.router.add_get(f'{EXPLAIN_PATH}/{{request_id}}', self.explain)
        return app

    async def live(self, request: web.Request) -> web.Response:
        """Answer the liveness check."""
        return web.Response(text='alive\n')

    async def ready(self, request: web.Request) -> web.Response:
        """Answer the readiness check: whether to send requests here."""
        reasons = self.not_ready_reasons()
        if reasons:
            text = '\n'.join(reasons)
            return web.Response(status=_NOT_READY, text=f'{text}\n')
        return web.Response(text='ready\n')

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Return all metrics."""
        by_code = self.meter.bytes_out_by_code
        self.metrics.peer_message_bytes = {
            name: by_code[code] for code, _, name in MESSAGE_REGISTRY
        }
        self.metrics.gauges['peer_octets_out'] = self.meter.bytes_out
        self.metrics.gauges['peer_octets_in'] = self.meter.bytes_in
        self.metrics.gauges['peer_frames_out'] = self.meter.frames_out
        self.metrics.gauges['peer_frames_in'] = self.meter.frames_in
        self.metrics.gauges['peer_frames_refused'] = self.meter.refused
        self.metrics.gauges['config_version'] = self.follower.version
        return web.Response(
            body=self.metrics.render(),
            headers={'Content-Type': METRICS_TYPE},
        )

    async def show_status(self, request: web.Request) -> web.Response:
        """Return the router's status as JSON of a ``RouterStatus``."""
        return _json(msgspec.json.encode(self.status()))

    async def explain(self, request: web.Request) -> web.Response:
        """Return the decisions on a request as JSON, oldest first."""
        lines = self.decisions.explain(request.match_info['request_id'])
        return _json(msgspec.json.encode(lines, enc_hook=str))

    def not_ready_reasons(self) -> tuple[str, ...]:
        """Return why the router should get no requests; empty if it should."""
        if self.is_draining:
            return ('the router is shutting down',)
        return self.follower.missing_reasons()

    def status(self) -> RouterStatus:
        """Return the router's status, members, pools and upstreams."""
        myself = self.membership.myself
        pools = self.follower.tables.pools
        return RouterStatus(
            router_id=myself.router_id,
            zone=myself.zone,
            incarnation=myself.incarnation,
            config_version=self.follower.version,
            ready=not self.not_ready_reasons(),
            members=tuple(one.router_id for one in self.membership.live()),
            pools={
                name: self._pool_status(pool) for name, pool in pools.items()
            },
        )

    def _pool_status(self, pool: Pool) -> PoolStatus:
        show: Callable[[Upstream], UpstreamStatus] = self._upstream_status
        return PoolStatus(
            backlog=self.scheduler.backlog(pool.name),
            upstreams=tuple(show(one) for one in pool.upstreams),
        )

    def _upstream_status(self, upstream: Upstream) -> UpstreamStatus:
        holder = self.scheduler.lease_holder
        lease = holder.held_leases.get(upstream.name)
        state = holder.upstream_states.find(upstream.name)
        return UpstreamStatus(
            name=upstream.name,
            zone=upstream.zone,
            state=state.phase.value if state else 'unknown',
            slots=upstream.slots,
            in_use=lease.busy if lease else 0,
            leased=lease.held if lease else 0,
            drained=self.follower.tables.is_drained(upstream),
        )


def _json(body: bytes) -> web.Response:
    return web.Response(body=body, content_type=JSON_TYPE)
