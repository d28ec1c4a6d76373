"""Builds an entry process, runs it, and shuts it down gracefully.

``Deployment`` is what differs between deployments: the store, how its records
and the headers are read. Everything else is the same on all of them.
"""

import asyncio
import datetime as dt
import logging
import random
import signal
from collections.abc import Coroutine
from typing import Any, Final, Protocol, final

from aiohttp import web

from hickorymux._internal.coordination import membership_messages
from hickorymux._internal.coordination.crash_suspects import (
    CrashSuspects,
    SuspectSettings,
)
from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.coordination.deployment_view import (
    DeploymentView,
    RecordDecoder,
)
from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.cold_share import ColdShare
from hickorymux._internal.coordination.keyed_follower import (
    KeyedFollower,
    ReadTiming,
)
from hickorymux._internal.coordination.load_exchange import LoadExchange
from hickorymux._internal.coordination.load_messages import LoadReport
from hickorymux._internal.coordination.membership import Membership
from hickorymux._internal.coordination.ports import (
    HostEntry,
    KeyedLog,
    Member,
)
from hickorymux._internal.coordination.retry_budget import (
    RetryBudget,
    RetrySettings,
)
from hickorymux._internal.coordination.shared_log import SharedLog
from hickorymux._internal.coordination.topic_messages import (
    TopicAsk,
    TopicPage,
)
from hickorymux._internal.exceptions import (
    HickorymuxError,
    HostListUnavailable,
    LogUnavailable,
)
from hickorymux._internal.protocol.frames import FrameSealer
from hickorymux._internal.protocol.msgpack_codec import msgpack_codec
from hickorymux._internal.protocol.upstream_http import Dialect
from hickorymux._internal.state.routing import HttpRoute, PoolPolicy
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.entry_dispatcher import EntryDispatcher
from hickorymux._internal.transport.entry_server import EntryServer, TableView
from hickorymux._internal.transport.entry_settings import EntrySettings
from hickorymux._internal.transport.metrics import RouterMetrics
from hickorymux._internal.transport.peer_network import PeerNetwork
from hickorymux._internal.transport.upstream_client import (
    UpstreamClient,
    UpstreamTimeouts,
)
from hickorymux._internal.utils.clock import Clock, SystemClock
from hickorymux._internal.utils.ids import new_incarnation
from hickorymux._internal.utils.json_logging import FIELDS
from hickorymux._internal.utils.tasks import log_task_crash

# Changes of the tables arrive at once; this only bounds how long a view may
# go unconfirmed while nothing changes.
TABLE_PACE: Final = ReadTiming(wait_seconds=1)
# Entries are renewed all the time, so a read that waits would never rest.
UPSTREAM_PACE: Final = ReadTiming(wait_seconds=0, interval_seconds=0.5)
# Routers that come later make themselves known by heartbeats.
ROUTER_LIST_SECONDS: Final = 30.0
ROUTERS_SECONDS: Final = 0.5
# Kept of the age at which keys may no longer be trusted, for the request to
# reach its upstream.
KEY_AGE_MARGIN: Final = dt.timedelta(milliseconds=300)
# The age of the keys, as a share of the limit, at which callers are better
# off at another router.
READY_KEY_SHARE: Final = 0.6
CONNECT_LIMIT: Final = dt.timedelta(milliseconds=250)
# Below the idle limits of upstreams, which drop connections without notice.
UPSTREAM_KEEP_ALIVE: Final = dt.timedelta(seconds=1.5)
# A route's own limit ends an answer; this is only above all of them.
UPSTREAM_LIMIT: Final = dt.timedelta(seconds=120)
# The parts of what operators allow that the routers use, since their counts
# of one another lag.
RETRY_SHARE: Final = 0.8
RETRY_FLOOR_SHARE: Final = 0.6
# An upstream's crash can be told from chance after as many as this.
CRASHES_UNTIL_REFUSED: Final = 3
# How long a stopping router waits until nobody opens connections to it.
NOTICE_SECONDS: Final = 3.0
# When a stopping router begins to refuse: by then the balancer sends no new
# connections, and what comes on kept ones would be cut off.
REFUSE_SECONDS: Final = 2.5
# The share of the shutdown time after which requests that still run are cut.
# Callers may expect them to last five sixths of it; the rest is for closing.
CUT_SHARE: Final = 0.88
# How long connections may take to end once nothing runs any more.
CLOSING_SECONDS: Final = 0.2
DRAIN_POLL_SECONDS: Final = 0.05
LISTEN_BACKLOG: Final = 1024

_logger = logging.getLogger(__name__)


class EntryStore(KeyedLog, Protocol):
    """The store: topics, and the list of routers."""

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the routers; raises ``HostListUnavailable``."""

    async def announce(self, host: HostEntry) -> None:
        """Add this router to the list; raises ``LogUnavailable``."""

    async def close(self) -> None:
        """Close all connections."""


class Deployment(RecordDecoder, Protocol):
    """What a deployment brings."""

    operator_topic: str
    upstream_topic: str
    dialect: Dialect

    def open_store(self, address: Address) -> EntryStore:
        """Return a client of the store."""

    def load_settings(self) -> EntrySettings:
        """Return the settings as they are now; raises ``ConfigError``."""


@final
class EntryProcess:
    """One entry host's process."""

    __slots__ = (
        'allocator',
        'chance',
        'client',
        'clock',
        'cold_share',
        'decisions',
        'deployment',
        'exchange',
        'is_ready',
        'listed',
        'membership',
        'metrics',
        'network',
        'retries',
        'runners',
        'server',
        'settings',
        'shared_log',
        'stopping',
        'store',
        'suspects',
        'tables',
        'tasks',
        'upstreams',
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
        self.chance = random.Random()
        self.stopping = asyncio.Event()
        self.is_ready = False
        self.listed: frozenset[str] = frozenset()
        self.tasks: list[asyncio.Task[None]] = []
        self.runners: list[web.ServerRunner] = []
        self.metrics = RouterMetrics()
        self.decisions = DecisionLog(settings.router_id, clock, 0)
        self._build_network()
        self._build_path()

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        deployment: Deployment,
    ) -> 'EntryProcess':
        """Return a process; must be called on a running event loop."""
        return cls(settings, deployment, SystemClock())

    async def run(self) -> None:
        """Serve until told to stop, then end what runs."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        _report('started', settings=str(self.settings))
        await self.stopping.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Listen and start all tasks."""
        self.server.lag.start()
        peers = self.settings.peers
        await self.network.start(peers.host, peers.port)
        works = (
            self.tables.run(),
            self.upstreams.run(),
            self.membership.run(),
            self.exchange.run(),
            self._follow_routers(),
            self._count_routers(),
        )
        for work in works:
            self._spawn(work)
        await self._listen(self.server.web_server, self.settings.callers)
        await self._listen(
            web.Server(self._answer_readiness, access_log=None),
            self.settings.readiness,
        )
        await self._listen(
            web.Server(self._answer_metrics, access_log=None),
            self.settings.metrics,
        )

    def reload(self) -> None:
        """Take the settings that may change while the process runs."""
        try:
            settings = self.deployment.load_settings()
        except HickorymuxError as error:
            _report('reload_refused', reason=str(error))
            return
        self.settings = settings
        self._use_bounds()
        _report('reloaded', settings=str(settings))

    async def shut_down(self) -> None:
        """Let the balancer notice, end what runs, and close."""
        started_at = self.clock.monotonic()
        _report('stopping', running=len(self.server.running))
        self.server.is_stopping = True
        self.server.refuse_from = started_at + REFUSE_SECONDS
        self.membership.update_myself(is_leaving=True)
        self.membership.tick()
        limit = self.settings.bounds.shutdown.total_seconds()
        end_at = started_at + limit * CUT_SHARE
        await self.clock.sleep(NOTICE_SECONDS)
        while self.server.running and self.clock.monotonic() < end_at:
            await self.clock.sleep(DRAIN_POLL_SECONDS)
        _report('stopped', cut_requests=len(self.server.running))
        await self.close()

    async def close(self) -> None:
        """End all tasks and connections at once."""
        running = [*self.tasks, *self.server.running]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await asyncio.gather(*(runner.cleanup() for runner in self.runners))
        await self.network.close()
        await self.client.close()
        await self.store.close()

    def read_readiness(self) -> bool:
        """Return whether callers are well served here."""
        limit = self.server.view.max_key_age
        if self.server.is_stopping or self.view.table is None:
            return False
        if not self.view.has_upstream_listing:
            return False
        return (
            limit is None
            or self.tables.staleness_seconds() < READY_KEY_SHARE * limit
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
        )
        self.membership = Membership(
            me,
            self.clock,
            self.network.send_datagram,
        )
        self.network.find = self.membership.find
        self.network.handler = self._on_message
        self.suspects = CrashSuspects.from_config(
            self.membership,
            self.network,
            self.clock,
            SuspectSettings(crashes_until_refused=CRASHES_UNTIL_REFUSED),
        )

    def _build_path(self) -> None:
        settings, deployment = self.settings, self.deployment
        self.store = deployment.open_store(settings.store)
        self.view = DeploymentView(deployment, self.clock, self._on_change)
        self.shared_log = SharedLog(
            self.store,
            self.membership,
            self.network,
            self.clock,
            {deployment.upstream_topic: UPSTREAM_PACE.interval_seconds},
        )
        self.tables = KeyedFollower(
            self.shared_log,
            self.clock,
            deployment.operator_topic,
            TABLE_PACE,
            self.view.apply_operator_record,
            self.view.apply_operator_listing,
            _ignore_return,
        )
        self.upstreams = KeyedFollower(
            self.shared_log,
            self.clock,
            deployment.upstream_topic,
            UPSTREAM_PACE,
            self.view.apply_upstream_record,
            self.view.apply_upstream_listing,
            self._on_upstreams_return,
        )
        self.cold_share = ColdShare(settings.router_id)
        self.allocator = Allocator(
            self.view.registry,
            self.cold_share,
            self._cold_bound,
            self.clock,
            settings.zone,
            self._region_of,
        )
        self.exchange = LoadExchange(
            self.allocator,
            self.membership,
            self.network.send_datagram,
            self.clock,
        )
        self.client = UpstreamClient.from_config(
            UpstreamTimeouts(
                connect=CONNECT_LIMIT,
                keep_alive=UPSTREAM_KEEP_ALIVE,
                first_byte=UPSTREAM_LIMIT,
                idle=UPSTREAM_LIMIT,
            )
        )
        self.retries = RetryBudget.from_config(self.clock)
        self.server = EntryServer(
            EntryDispatcher(
                self.allocator,
                self.client,
                deployment.dialect,
                self.suspects,
                self.retries,
                self.decisions,
                self.metrics,
                self.clock,
            ),
            TableView(
                self.view, self.tables.staleness_seconds, self._max_key_age()
            ),
            self._choose_pool,
        )
        self._use_bounds()

    def _use_bounds(self) -> None:
        """Apply what operators allow, split over the routers."""
        bounds = self.settings.bounds
        routers = max(1, len(self.cold_share.routers))
        self.server.view.max_key_age = self._max_key_age()
        self.retries.settings = RetrySettings(
            share=bounds.retry_share * RETRY_SHARE,
            floor=bounds.retry_floor * RETRY_FLOOR_SHARE / routers,
            window=bounds.retry_window,
        )

    def _max_key_age(self) -> float | None:
        limit = self.settings.bounds.key_revocation
        if limit is None:
            return None
        return (limit - KEY_AGE_MARGIN).total_seconds()

    def _cold_bound(self, pool: PoolPolicy) -> float:
        bounds = self.settings.bounds
        return pool.cold_rate * bounds.cold_burst + bounds.cold_floor

    def _region_of(self, zone: str) -> str:
        return self.settings.region_of_zone.get(zone, '')

    def _choose_pool(self, route: HttpRoute) -> str:
        if len(route.pools) == 1:
            return route.pools[0].pool
        weights = [share.weight for share in route.pools]
        return self.chance.choices(route.pools, weights)[0].pool

    def _on_change(self) -> None:
        self.allocator.clear_candidate_cache()
        self.allocator.dispatch_all()

    def _on_upstreams_return(self) -> None:
        if self.view.has_upstream_listing:
            self.view.registry.start_grace_period(self.clock.monotonic())

    def _on_message(self, sender_id: str, message: Any) -> None:
        """Give a message of another router to the part that it is for."""
        if isinstance(message, LoadReport):
            self.exchange.on_message(sender_id, message)
        elif isinstance(message, TopicAsk | TopicPage):
            self.shared_log.on_message(sender_id, message)
        elif type(message).__module__ == membership_messages.__name__:
            self.membership.on_message(message, sender_id)
        else:
            self.suspects.on_message(sender_id, message)

    async def _follow_routers(self) -> None:
        """Join the list of routers, and read it now and then."""
        settings = self.settings
        me = HostEntry(
            settings.router_id,
            settings.zone,
            settings.peers.host,
            settings.peers.port,
        )
        is_announced = False
        while True:
            try:
                if not is_announced:
                    await self.store.announce(me)
                    is_announced = True
                self._use_list(await self.store.fetch())
            except (LogUnavailable, HostListUnavailable) as error:
                _report('router_list_unavailable', reason=str(error))
                await self.clock.sleep(ROUTERS_SECONDS)
                continue
            await self.clock.sleep(ROUTER_LIST_SECONDS)

    def _use_list(self, hosts: tuple[HostEntry, ...]) -> None:
        self.listed = frozenset(host.router_id for host in hosts)
        self.membership.replace_seeds(
            Member(host.router_id, 0, host.zone, host.host, host.port)
            for host in hosts
        )

    async def _count_routers(self) -> None:
        """Keep the parts of what is split over all routers up to date."""
        while True:
            if self.listed:
                live = {one.router_id for one in self.membership.live()}
                self.cold_share.update_routers(self.listed | live)
                self._use_bounds()
            self.view.registry.expire(self.clock.monotonic())
            self._note_readiness()
            await self.clock.sleep(ROUTERS_SECONDS)

    def _note_readiness(self) -> None:
        is_ready = self.read_readiness()
        if is_ready != self.is_ready:
            self.is_ready = is_ready
            _report('readiness', is_ready=is_ready)

    async def _answer_readiness(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        """Answer the balancer."""
        if not self.deployment.dialect.is_readiness_path(request.path):
            return web.Response(status=404)
        return web.Response(status=200 if self.read_readiness() else 503)

    async def _answer_metrics(
        self,
        _request: web.BaseRequest,
    ) -> web.StreamResponse:
        """Show the metrics."""
        return web.Response(body=self.metrics.render())

    async def _listen(
        self,
        server: web.Server,
        address: Address,
    ) -> None:
        runner = web.ServerRunner(
            server,
            shutdown_timeout=CLOSING_SECONDS,
        )
        await runner.setup()
        self.runners.append(runner)
        site = web.TCPSite(
            runner,
            address.host,
            address.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        await site.start()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(log_task_crash)
        self.tasks.append(task)


def _ignore_return() -> None:
    """Do nothing: the tables did not lapse meanwhile."""


def _report(event: str, **fields: Any) -> None:
    _logger.info(event, extra={FIELDS: {'event': event, **fields}})
