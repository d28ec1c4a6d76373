"""Builds an entry process, runs it, and shuts it down gracefully.

An entry process is one router: it takes the requests of callers and forwards
them to upstreams. A ``Deployment`` supplies what differs between deployments:
the store, the format of its records, and the headers of requests and answers.
"""

import asyncio
import contextlib
import datetime as dt
import logging
import random
import signal
from collections.abc import Coroutine, Iterable
from typing import Any, Final, final

from aiohttp import web

from hickorymux._internal.coordination.crash_suspects import (
    CrashSuspects,
    SuspectSettings,
)
from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.coordination.deployment_view import (
    DeploymentView,
)
from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.cold_share import ColdShare
from hickorymux._internal.coordination.engines.hedging import Hedging
from hickorymux._internal.coordination.engines.request_limits import (
    RequestLimits,
)
from hickorymux._internal.coordination.engines.router_ranks import RouterRanks
from hickorymux._internal.coordination.keyed_follower import (
    KeyedFollower,
    ReadTiming,
)
from hickorymux._internal.coordination.limit_exchange import LimitExchange
from hickorymux._internal.coordination.load_exchange import LoadExchange
from hickorymux._internal.coordination.load_messages import (
    LimitReport,
    LoadReport,
)
from hickorymux._internal.coordination.membership import Membership
from hickorymux._internal.coordination.part_guard import PartGuard
from hickorymux._internal.coordination.ports import (
    HostEntry,
    KeyedRecord,
    Member,
)
from hickorymux._internal.coordination.retry_budget import (
    RetryBudget,
    RetrySettings,
)
from hickorymux._internal.coordination.rollouts.controller import (
    RolloutController,
)
from hickorymux._internal.coordination.rollouts.status_log import (
    StatusLog,
)
from hickorymux._internal.coordination.shared_log import SharedLog
from hickorymux._internal.coordination.stream_directory import StreamDirectory
from hickorymux._internal.coordination.suspect_messages import (
    PartCrash,
    PartsCleared,
    PartsRefused,
    PartsTried,
)
from hickorymux._internal.coordination.retained_versions import (
    RetainedVersions,
    read_retained_versions,
)
from hickorymux._internal.coordination.stream_archive import (
    StreamArchive,
)
from hickorymux._internal.coordination.topic_messages import (
    TopicAsk,
    TopicPage,
)
from hickorymux._internal.coordination.version_history import VersionHistory
from hickorymux._internal.coordination.view_refresh import ViewRefresh
from hickorymux._internal.exceptions import (
    HickorymuxError,
    HostListUnavailable,
    LogUnavailable,
)
from hickorymux._internal.protocol.frames import FrameSealer
from hickorymux._internal.protocol.msgpack_codec import msgpack_codec
from hickorymux._internal.protocol.placement_messages import PLACEMENT_PATH
from hickorymux._internal.state.routing import HttpRoute, PoolPolicy
from hickorymux._internal.transport.deployment import Deployment
from hickorymux._internal.transport.caller_connections import CallerConnections
from hickorymux._internal.transport.connection_policy import ConnectionPolicy
from hickorymux._internal.transport.entry_dispatcher import EntryDispatcher
from hickorymux._internal.transport.entry_server import EntryServer, TableView
from hickorymux._internal.transport.entry_settings import EntrySettings
from hickorymux._internal.transport.incoming_links import LinkLimits
from hickorymux._internal.transport.listener import Listener
from hickorymux._internal.transport.metrics import RouterMetrics
from hickorymux._internal.transport.peer_network import PeerNetwork
from hickorymux._internal.transport.placement_page import (
    answer_placement_query,
)
from hickorymux._internal.transport.service_port import ServicePort
from hickorymux._internal.transport.upstream_client import (
    UpstreamClient,
    UpstreamTimeouts,
)
from hickorymux._internal.utils.clock import Clock, SystemClock
from hickorymux._internal.utils.collector import (
    limit_collector_pauses,
    run_when_quiet,
)
from hickorymux._internal.utils.ids import new_incarnation
from hickorymux._internal.utils.json_logging import FIELDS
from hickorymux._internal.utils.tasks import (
    cancel_until_ended,
    log_task_crash,
)

# A read of the tables returns at once when they change. The wait limits how
# long the view goes unconfirmed while nothing changes.
TABLE_READ_TIMING: Final = ReadTiming(wait_seconds=1)
# Upstreams renew their entries all the time, so reads that wait for a change
# would follow each other without a pause.
UPSTREAM_READ_TIMING: Final = ReadTiming(wait_seconds=0, interval_seconds=0.5)
# How often the router list is read. Routers that start in between become
# known by their heartbeats.
ROUTER_LIST_INTERVAL_SECONDS: Final = 30.0
# How often the shares of the routers and the readiness are updated, and the
# delay before a failed read of the router list is repeated.
ROUTER_UPDATE_INTERVAL_SECONDS: Final = 0.5
# Subtracted from the operators' limit on the staleness of keys, as the time
# that a request takes from its authorization until it reaches the upstream.
KEY_STALENESS_MARGIN: Final = dt.timedelta(milliseconds=300)
# Share of the limit on the staleness of keys from which this router is not
# ready, so that the balancer sends callers to others before keys are refused.
MAX_READY_STALENESS_SHARE: Final = 0.6
CONNECT_TIMEOUT: Final = dt.timedelta(milliseconds=250)
# Below the idle timeouts of upstreams, which close connections without notice.
# Longer where the upstreams announce theirs; see ``ConnectionPolicy``.
UPSTREAM_KEEP_ALIVE: Final = dt.timedelta(seconds=1.5)
# Above the timeouts of all routes, which are what limits an answer.
UPSTREAM_TIMEOUT: Final = dt.timedelta(seconds=120)
# Shares of the operators' retry limits that all routers use together. The rest
# is a margin, as some routers may not know of others yet.
USED_RETRY_SHARE: Final = 0.8
USED_RETRY_FLOOR: Final = 0.6
# Upstream crashes after which a request is refused. With fewer, it may have
# been at the crashing upstreams by coincidence.
CRASHES_UNTIL_REFUSED: Final = 3
# How long a stopping router goes on serving until the balancer has noticed and
# no new connections arrive.
BALANCER_NOTICE_SECONDS: Final = 3.0
# How long after the stop signal a router begins to refuse requests. By then
# the balancer opens no new connections, and requests on kept-alive ones might
# not end before the process does.
REFUSE_AFTER_SECONDS: Final = 2.5
# The same as a share of the shutdown time where that is short, so that most of
# it is left for what has been taken.
REFUSE_AFTER_SHARE: Final = 0.35
# Share of the shutdown time after which running requests are cut. Callers may
# rely on five sixths of it; the rest is for closing.
CUT_AFTER_SHARE: Final = 0.88
# How long a server waits for its connections to end when it is closed.
CLOSE_TIMEOUT_SECONDS: Final = 0.2
DRAIN_POLL_INTERVAL_SECONDS: Final = 0.05
BOUNDS_LOG_INTERVAL_SECONDS: Final = 1.0

_logger = logging.getLogger(__name__)


@final
class EntryProcess:
    """The process of one router: its servers, tasks and connections."""

    __slots__ = (
        'allocator',
        'rng',
        'client',
        'bound_counts',
        'bounds_logged_at',
        'clock',
        'decisions',
        'deployment',
        'hedging',
        'limit_exchange',
        'listener',
        'load_exchange',
        'reported_ready',
        'era_changed',
        'listed_hosts',
        'logged_bounds',
        'membership',
        'metrics',
        'metrics_port',
        'network',
        'part_guard',
        'readiness_port',
        'retry_budget',
        'rollouts',
        'router_ranks',
        'runners',
        'server',
        'settings',
        'shared_log',
        'stopping',
        'store',
        'stream_archive',
        'streams',
        'suspects',
        'table_follower',
        'tasks',
        'upstream_follower',
        'view',
    )

    def __init__(
        self,
        settings: EntrySettings,
        deployment: Deployment,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.deployment = deployment
        self.clock = clock
        self.rng = random.Random()
        self.stopping = asyncio.Event()
        self.era_changed = asyncio.Event()
        self.reported_ready = False
        self.listed_hosts: tuple[HostEntry, ...] = ()
        self.tasks: list[asyncio.Task[None]] = []
        self.runners: list[web.ServerRunner] = []
        self.metrics = RouterMetrics()
        self.bound_counts = self.metrics.bounds
        self.logged_bounds: dict[str, int] = {}
        self.bounds_logged_at: float = 0
        self.decisions = DecisionLog(settings.router_id, clock, 0)
        self._build_network()
        self._build_request_path()
        self._build_service_ports()

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        deployment: Deployment,
    ) -> 'EntryProcess':
        """Return a process; must be called on a running event loop."""
        return cls(settings, deployment, SystemClock())

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        SIGHUP reloads the settings.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        limit_collector_pauses()
        self._start_task(run_when_quiet(self.server.running_tasks, self.clock))
        _report('started', settings=str(self.settings))
        await self.stopping.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Listen and start all tasks."""
        self.server.loop_lag.start()
        self.server.work.watch_collector()
        peers = self.settings.peers
        await self.network.start(peers.host, peers.port)
        coroutines = (
            self.table_follower.run(),
            self.upstream_follower.run(),
            self.membership.run(),
            self.load_exchange.run(),
            self.limit_exchange.run(),
            self.rollouts.run(),
            self.part_guard.run(),
            self.suspects.run(),
            self.stream_archive.run(),
            self._refresh_router_list(),
            self._update_router_shares(),
        )
        for coroutine in coroutines:
            self._start_task(coroutine)
        # The runner closes the connections that the listener accepts.
        await self._add_runner(self.server.web_server)
        callers = self.settings.callers
        self.listener.start(callers.host, callers.port)
        await self._add_runner(self.readiness_port.server)
        self.readiness_port.listen(self.settings.readiness)
        await self._add_runner(self.metrics_port.server)
        self.metrics_port.listen(self.settings.metrics)

    def reload(self) -> None:
        """Read the settings again and apply those that may change.

        Invalid settings are logged and change nothing.
        """
        try:
            settings = self.deployment.load_settings()
        except HickorymuxError as error:
            _report('reload_refused', reason=str(error))
            return
        self.settings = settings
        self._apply_bounds()
        _report('reloaded', settings=str(settings))

    async def shut_down(self) -> None:
        """Announce the stop, let running requests end, and close.

        Requests that no upstream has got after ``REFUSE_AFTER_SECONDS`` are
        refused. Those that still run after ``CUT_AFTER_SHARE`` of the shutdown
        time are cut.
        """
        started_at = self.clock.monotonic()
        _report('stopping', running=len(self.server.running_tasks))
        self.server.is_stopping = True
        limit = self.settings.bounds.shutdown.total_seconds()
        refuse_after = min(REFUSE_AFTER_SECONDS, limit * REFUSE_AFTER_SHARE)
        end_after = limit * CUT_AFTER_SHARE
        end_at = started_at + end_after
        dispatcher = self.server.dispatcher
        dispatcher.refuse_after = started_at + refuse_after
        self.membership.update_myself(is_leaving=True)
        self.membership.tick()
        await self.clock.sleep(refuse_after)
        dispatcher.refuse_unsent()
        notice = min(BALANCER_NOTICE_SECONDS, end_after)
        await self.clock.sleep(notice - refuse_after)
        while self.server.running_tasks and self.clock.monotonic() < end_at:
            await self.clock.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        _report('stopped', cut_requests=len(self.server.running_tasks))
        await self.close()

    async def close(self) -> None:
        """Cancel all tasks and close all connections at once."""
        running = [*self.tasks, *self.server.running_tasks]
        self.server.work.unwatch_collector()
        for listener in (
            self.listener,
            self.readiness_port.listener,
            self.metrics_port.listener,
        ):
            listener.close()
        self.server.socket_refusals.close()
        await cancel_until_ended(running)
        await asyncio.gather(*(runner.cleanup() for runner in self.runners))
        await self.network.close()
        await self.client.close()
        await self.store.close()

    def check_readiness(self) -> bool:
        """Return whether the balancer should send callers to this router."""
        limit = self.server.view.max_key_staleness
        if self.server.is_stopping or self.view.table is None:
            return False
        if not self.view.has_upstream_listing:
            return False
        return (
            limit is None
            or self.table_follower.staleness_seconds()
            < MAX_READY_STALENESS_SHARE * limit
        )

    def _build_network(self) -> None:
        settings = self.settings
        me = Member(
            router_id=settings.router_id,
            incarnation=new_incarnation(),
            zone=settings.zone,
            host=settings.peers.host,
            port=settings.peers.port,
        )
        self.network = PeerNetwork(
            me,
            FrameSealer(settings.fleet_key, msgpack_codec()),
            self.clock,
            LinkLimits(settings.limits.max_links, settings.limits.frame_bytes),
        )
        self.network.incoming.budget.counts = self.bound_counts
        self.membership = Membership(
            me,
            self.clock,
            self.network.send_datagram,
        )
        self.network.find_member = self.membership.find
        self.network.handler = self._on_message
        self.suspects = CrashSuspects.from_config(
            self.membership,
            self.network,
            self.clock,
            SuspectSettings(crashes_until_refused=CRASHES_UNTIL_REFUSED),
        )
        self.part_guard = PartGuard(
            self.membership, self.network.send_datagram, self.clock, self.rng
        )

    def _build_request_path(self) -> None:
        settings, deployment = self.settings, self.deployment
        self.store = deployment.open_store(settings.store)
        self.store.add_era_handler(self._on_era_change)
        self.view = DeploymentView(deployment, self.clock, self._on_view_change)
        self.shared_log = SharedLog(
            self.store,
            self.membership,
            self.network,
            self.clock,
            {deployment.upstream_topic: UPSTREAM_READ_TIMING.interval_seconds},
        )
        self.table_follower = KeyedFollower(
            self.shared_log,
            self.clock,
            deployment.operator_topic,
            TABLE_READ_TIMING,
            self._apply_operator_record,
            self._apply_operator_listing,
            self._on_operator_log_recovery,
        )
        self.upstream_follower = KeyedFollower(
            self.shared_log,
            self.clock,
            deployment.upstream_topic,
            UPSTREAM_READ_TIMING,
            self.view.apply_upstream_record,
            self.view.apply_upstream_listing,
            self._on_upstream_log_recovery,
        )
        self.stream_archive = StreamArchive(
            self.store, settings.router_id, self.clock
        )
        self.streams = StreamDirectory(
            self.membership,
            self.network.send_datagram,
            VersionHistory(
                self.view.registry,
                lambda: self.upstream_follower.confirmed_at,
                self.clock,
                self._read_retained_versions,
                self._longest_timeout,
            ),
            self.stream_archive,
            self.clock,
        )
        self.router_ranks = RouterRanks(settings.router_id)
        self.allocator = Allocator(
            self.view.registry,
            ColdShare(self.router_ranks),
            RequestLimits(self.router_ranks),
            self._cold_rate_limit,
            self.clock,
            settings.zone,
            self._region_of,
        )
        self.load_exchange = LoadExchange(
            self.allocator,
            self.membership,
            self.network.send_datagram,
            self.clock,
        )
        self.limit_exchange = LimitExchange(
            self.allocator.request_limits,
            self.membership,
            self.network.send_datagram,
            self.clock,
            self.rng,
        )
        self.rollouts = RolloutController(
            self.allocator.rollout_gate,
            StatusLog(self.store, deployment.rollout_format),
            self.membership,
            self.network.send_datagram,
            self.allocator.running_in_pool,
            self._on_view_change,
            self.clock,
            self.rng,
        )
        self.client = UpstreamClient.from_config(
            UpstreamTimeouts(
                connect=CONNECT_TIMEOUT,
                keep_alive=UPSTREAM_KEEP_ALIVE,
                first_byte=UPSTREAM_TIMEOUT,
                idle=UPSTREAM_TIMEOUT,
            ),
            ConnectionPolicy(
                self.clock, settings.connections, UPSTREAM_KEEP_ALIVE
            ),
            self.bound_counts,
            settings.limits.max_upstreams,
        )
        self.metrics.connections = self.client.policy.events
        self.retry_budget = RetryBudget.from_config(self.clock)
        self.hedging = Hedging(self.clock)
        self.metrics.hedges = self.hedging.events
        self.server = EntryServer(
            EntryDispatcher(
                self.allocator,
                self.client,
                deployment.dialect,
                self.suspects,
                self.part_guard,
                self.streams,
                ViewRefresh(self.upstream_follower, self.store, self.clock),
                self.retry_budget,
                self.hedging,
                self.decisions,
                self.metrics,
                self.clock,
            ),
            TableView(
                self.view,
                self.table_follower.staleness_seconds,
                self._max_key_staleness(),
            ),
            self._choose_pool,
            settings.limits,
        )
        # Upstream connections and callers' are counted together.
        self.server.budget.counts = self.bound_counts
        self.listener = Listener(
            self.server.web_server,
            self.server,
            self.server.connections.find_room,
            settings.limits.backlog,
        )
        self._apply_bounds()

    def _build_service_ports(self) -> None:
        most = self.settings.limits.max_service
        self.readiness_port = ServicePort.from_config(
            self._handle_readiness, self.clock, most
        )
        self.metrics_port = ServicePort.from_config(
            self._handle_metrics, self.clock, most
        )

    def _apply_bounds(self) -> None:
        """Apply this router's share of the operators' limits."""
        bounds = self.settings.bounds
        routers = max(1, len(self.router_ranks.routers))
        self.hedging.share = bounds.hedge_share
        self.client.policy.router_count = routers
        self.client.policy.settings = self.settings.connections
        self.allocator.rollout_gate.bounds = bounds.rollouts
        self.server.view.max_key_staleness = self._max_key_staleness()
        self.retry_budget.settings = RetrySettings(
            share=bounds.retry_share * USED_RETRY_SHARE,
            floor=bounds.retry_floor * USED_RETRY_FLOOR / routers,
            window=bounds.retry_window,
        )

    def _max_key_staleness(self) -> float | None:
        """Return the limit in seconds, ``None`` if there is none."""
        limit = self.settings.bounds.key_revocation
        if limit is None:
            return None
        return (limit - KEY_STALENESS_MARGIN).total_seconds()

    async def _read_retained_versions(self) -> RetainedVersions:
        """Return the versions that the store shows; may raise a log error."""
        return await read_retained_versions(
            self.store,
            self.deployment.upstream_topic,
            self.deployment,
            self.settings.upstream_renewal,
            self.clock.monotonic(),
        )

    def _longest_timeout(self) -> float:
        """Return the longest timeout of a route in seconds, 0 without any."""
        table = self.view.table
        return 0 if table is None else table.longest_timeout.total_seconds()

    def _cold_rate_limit(self, pool: PoolPolicy) -> float:
        """Return the requests a second of all routers to a cold upstream."""
        bounds = self.settings.bounds
        return pool.cold_rate * bounds.cold_burst + bounds.cold_floor

    def _region_of(self, zone: str) -> str:
        return self.settings.region_of_zone.get(zone, '')

    def _choose_pool(self, route: HttpRoute) -> str:
        """Return the name of a pool of the route, drawn by the weights."""
        if len(route.pools) == 1:
            return route.pools[0].pool
        weights = [share.weight for share in route.pools]
        return self.rng.choices(route.pools, weights)[0].pool

    def _apply_operator_record(self, record: KeyedRecord) -> None:
        self.view.apply_operator_record(record)
        self.rollouts.apply_record(record)

    def _apply_operator_listing(self, keys: frozenset[str]) -> None:
        self.view.apply_operator_listing(keys)
        self.rollouts.apply_listing(keys)

    def _on_view_change(self) -> None:
        """Dispatch waiting requests after the tables or upstreams changed."""
        self.allocator.clear_candidate_cache()
        self.allocator.dispatch_all()

    def _on_era_change(self, era: int) -> None:
        """Write again what the store lost when it was restored."""
        self.stream_archive.on_era_change(era)
        self.streams.history.on_era_change()
        self.rollouts.on_era_change(era)
        restores = self.metrics.gauges.get('store_restores', 0)
        self.metrics.gauges['store_restores'] = restores + 1
        self.era_changed.set()

    def _on_operator_log_recovery(self) -> None:
        """Give operators time to write again what a restored store lacks."""
        self.view.hold_evacuations()
        self.rollouts.hold_orders()

    def _on_upstream_log_recovery(self) -> None:
        """Give upstreams time to renew their entries after an outage."""
        if self.view.has_upstream_listing:
            self.view.registry.start_grace_period(self.clock.monotonic())

    def _on_message(self, sender_id: str, message: Any) -> None:
        """Pass a message of another router to the component it is for."""
        if isinstance(message, LoadReport):
            self.load_exchange.on_message(sender_id, message)
        elif isinstance(message, LimitReport):
            self.limit_exchange.on_message(message)
        elif isinstance(message, TopicAsk | TopicPage):
            self.shared_log.on_message(sender_id, message)
        elif isinstance(
            message, PartCrash | PartsCleared | PartsRefused | PartsTried
        ):
            self.part_guard.on_message(sender_id, message)
        else:
            # Each ignores messages that are not its own.
            self.streams.on_message(message, sender_id)
            self.membership.on_message(message, sender_id)
            self.suspects.on_message(sender_id, message)
            self.rollouts.on_message(sender_id, message)

    async def _refresh_router_list(self) -> None:
        """Add this router to the router list, and read the list at intervals.

        It is added again when the store was restored. The first list after
        that may lack others that were added since the copy, so they are kept
        until the next one.
        """
        settings = self.settings
        me = HostEntry(
            settings.router_id,
            settings.zone,
            settings.peers.host,
            settings.peers.port,
        )
        is_announced = False
        keeps_former = False
        while True:
            if self.era_changed.is_set():
                self.era_changed.clear()
                is_announced = False
                keeps_former = True
            try:
                if not is_announced:
                    await self.store.announce(me)
                    is_announced = True
                hosts = await self.store.fetch()
            except (LogUnavailable, HostListUnavailable) as error:
                _report('router_list_unavailable', reason=str(error))
                await self.clock.sleep(ROUTER_UPDATE_INTERVAL_SECONDS)
                continue
            self._apply_router_list(hosts, keeps_former=keeps_former)
            keeps_former = False
            await self._wait_for_era_change()

    async def _wait_for_era_change(self) -> None:
        """Wait until the next read of the router list is due."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ROUTER_LIST_INTERVAL_SECONDS):
                await self.era_changed.wait()

    def _apply_router_list(
        self, hosts: Iterable[HostEntry], *, keeps_former: bool
    ) -> None:
        if keeps_former:
            hosts = (*self.listed_hosts, *hosts)
        by_id = {host.router_id: host for host in hosts}
        self.listed_hosts = tuple(by_id.values())
        self.membership.replace_seeds(
            Member(host.router_id, 0, host.zone, host.host, host.port)
            for host in self.listed_hosts
        )

    async def _update_router_shares(self) -> None:
        """Keep the shares of limits that hold for all routers up to date.

        Also expires upstreams and logs changes of the readiness and how
        customers share the pools.
        """
        while True:
            if self.listed_hosts:
                live = {member.router_id for member in self.membership.live()}
                listed = {host.router_id for host in self.listed_hosts}
                self.router_ranks.update(frozenset(listed | live))
                self._apply_bounds()
            self.view.expire_held()
            self._forget_gone_upstreams()
            self.streams.observe_versions()
            self._report_readiness()
            self.allocator.log_shares()
            for each in self._all_connections():
                each.sweep()
            self._report_bounds()
            self.server.work.write_due(len(self.server.running_tasks))
            await self.clock.sleep(ROUTER_UPDATE_INTERVAL_SECONDS)

    def _all_connections(self) -> tuple[CallerConnections, ...]:
        """Return what bounds the connections of each HTTP port."""
        return (
            self.server.connections,
            self.readiness_port.connections,
            self.metrics_port.connections,
        )

    def _forget_gone_upstreams(self) -> None:
        """Drop what is kept for each incarnation of an upstream."""
        upstreams = self.view.registry.upstreams.values()
        incarnations = {upstream.incarnation for upstream in upstreams}
        self.router_ranks.prune(incarnations)
        now = self.clock.monotonic()
        for incarnation in self.allocator.notices.prune(incarnations, now):
            _report('upstream_pause_ended', incarnation=incarnation)
            self.allocator.clear_candidate_cache()
        self.allocator.request_limits.prune(incarnations, now)
        self.allocator.placement.reported_loads.prune(now)

    def _report_readiness(self) -> None:
        """Log the readiness if it changed."""
        is_ready = self.check_readiness()
        if is_ready != self.reported_ready:
            self.reported_ready = is_ready
            _report('readiness', is_ready=is_ready)

    def _report_bounds(self) -> None:
        """Log which bounds were reached, at most once a second."""
        budget = self.server.budget
        self.metrics.gauges['buffered_octets'] = budget.used_bytes
        self.metrics.gauges['caller_connections'] = len(
            self.server.connections.all
        )
        now = self.clock.monotonic()
        if now - self.bounds_logged_at < BOUNDS_LOG_INTERVAL_SECONDS:
            return
        counts = dict(self.bound_counts)
        if counts == self.logged_bounds:
            return
        reached = {
            name: count - self.logged_bounds.get(name, 0)
            for name, count in counts.items()
            if count != self.logged_bounds.get(name, 0)
        }
        self.bounds_logged_at = now
        self.logged_bounds = counts
        _report(
            'bounds_reached',
            reached=reached,
            buffered_bytes=budget.used_bytes,
            connections=len(self.server.connections.all),
        )

    async def _handle_readiness(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        """Answer a readiness check of the balancer."""
        if not self.deployment.dialect.is_readiness_path(request.path):
            return web.Response(status=404)
        return web.Response(status=200 if self.check_readiness() else 503)

    async def _handle_metrics(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        """Return all metrics, or where a request would be sent now."""
        if request.path == PLACEMENT_PATH:
            return answer_placement_query(
                request, self.view.table, self.allocator
            )
        return web.Response(body=self.metrics.render())

    async def _add_runner(self, server: web.Server) -> web.ServerRunner:
        runner = web.ServerRunner(
            server,
            shutdown_timeout=CLOSE_TIMEOUT_SECONDS,
        )
        await runner.setup()
        self.runners.append(runner)
        return runner

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(log_task_crash)
        self.tasks.append(task)


def _report(event: str, **fields: Any) -> None:
    _logger.info(event, extra={FIELDS: {'event': event, **fields}})
