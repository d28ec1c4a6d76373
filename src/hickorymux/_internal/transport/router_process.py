"""One router process: everything between callers and upstreams, assembled.

The process starts without the log service; it then takes the configuration
from peers, and says what it lacks until there is one.
"""

import asyncio
import contextlib
import dataclasses
import logging
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final, Self, final

from aiohttp import ClientSession, web

from hickorymux._internal.coordination import (
    claim_messages,
    config_messages,
    membership_messages,
    service_messages,
    slot_messages,
    suspect_messages,
)
from hickorymux._internal.coordination.claims import Claimer
from hickorymux._internal.coordination.cold_starts import ColdStarts
from hickorymux._internal.coordination.config_follower import ConfigFollower
from hickorymux._internal.coordination.config_relay import ConfigRelay
from hickorymux._internal.coordination.config_snapshots import SnapshotPolicy
from hickorymux._internal.coordination.counter_exchange import CounterExchange
from hickorymux._internal.coordination.crash_suspects import CrashSuspects
from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.coordination.ended_incarnations import (
    EndedIncarnations,
)
from hickorymux._internal.coordination.membership import Membership
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.coordination.retry_budget import RetryBudget
from hickorymux._internal.coordination.scheduler import Scheduler
from hickorymux._internal.coordination.slot_holder import SlotHolder
from hickorymux._internal.coordination.slot_home import SlotCoordinator
from hickorymux._internal.coordination.slot_placement import all_upstreams
from hickorymux._internal.exceptions import (
    HickorymuxError,
    HostListUnavailable,
)
from hickorymux._internal.protocol.frames import FrameSealer
from hickorymux._internal.protocol.thrift_codec import thrift_codec
from hickorymux._internal.state.customers import CustomerKeys
from hickorymux._internal.state.tables import Tables, Upstream
from hickorymux._internal.state.upstream_state import LoadReport, UpstreamStates
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.admin_server import AdminServer
from hickorymux._internal.transport.assumed_load import (
    ASSUMED_INSTANCE,
    AssumedLoadReporter,
)
from hickorymux._internal.transport.caller_server import CallerServer
from hickorymux._internal.transport.calls import Call
from hickorymux._internal.transport.claiming import ClaimLike
from hickorymux._internal.transport.connection_gate import ConnectionGate
from hickorymux._internal.transport.dispatcher import Dispatcher
from hickorymux._internal.transport.host_list_client import HttpHostListClient
from hickorymux._internal.transport.log_client import HttpLogClient
from hickorymux._internal.transport.metrics import RouterMetrics
from hickorymux._internal.transport.peer_network import PeerNetwork
from hickorymux._internal.transport.router_settings import (
    RouterSettings,
)
from hickorymux._internal.transport.upstream_client import UpstreamClient
from hickorymux._internal.utils.clock import Clock, SystemClock
from hickorymux._internal.utils.ids import new_incarnation
from hickorymux._internal.utils.tasks import report_crash

HOST_LIST_SECONDS: Final = 2
FOLLOW_SECONDS: Final = 0.5
MAX_FAR_ANCHORS: Final = 64
KEEPALIVE_SECONDS: Final = 75
LAST_WRITES_SECONDS: Final = 3
MAX_HEADER_OCTETS: Final = 16384

_logger = logging.getLogger(__name__)

MessageHandler = Callable[[str, Any], None]


@dataclasses.dataclass(slots=True, frozen=True)
class BoundAddresses:
    """Where the router listens once it has started."""

    callers: Address
    admin: Address
    peers: Address


@final
class RouterProcess:
    """The parts of one router and the tasks that keep them going."""

    def __init__(self, settings: RouterSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.stopping = asyncio.Event()
        self.second_stop = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.session = ClientSession()
        self.runners: list[web.AppRunner] = []
        self._build_network()
        self._build_path()
        self.handlers = self._message_handlers()

    @classmethod
    def from_config(cls, settings: RouterSettings) -> Self:
        """Assemble a router; must be called on a running event loop."""
        return cls(settings, SystemClock())

    async def start(self) -> BoundAddresses:
        """Listen and start all tasks; return where the router listens."""
        peers = await self._start_network()
        for work in self._work():
            self._spawn(work)
        callers = await self._listen(
            self.callers.application(),
            self.settings.listen,
        )
        admin = await self._listen(
            self.admin.application(),
            self.settings.admin_listen,
        )
        return BoundAddresses(callers, admin, peers)

    async def run(self, announce: Callable[[BoundAddresses], None]) -> None:
        """Serve until a signal asks to stop, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        announce(await self.start())
        await self.stopping.wait()
        await self.shut_down()

    async def shut_down(self) -> None:
        """Hand over, let the balancer notice, end what runs, and close."""
        _logger.info('shutting down', extra={'event': 'drain_started'})
        self.admin.is_draining = True
        self.membership.update_myself(is_leaving=True)
        self.membership.tick()
        self.home.hand_over_all()
        drained = self._spawn(self._drain())
        second_signal = self._spawn(self._second_signal())
        await asyncio.wait(
            (drained, second_signal),
            return_when=asyncio.FIRST_COMPLETED,
        )
        self.exchange.flush()
        cut = await self.callers.cut()
        _logger.info(
            'shut down',
            extra={'event': 'drain_ended', 'cut_requests': cut},
        )
        await self.close()

    async def close(self) -> None:
        """End all tasks and connections at once."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()
        await self.claimer.close()
        await self.network.close()
        await self.gate.close()
        await self.client.close()
        await self.session.close()

    def read_tables(self) -> Tables:
        """Return the tables in force."""
        return self.follower.tables

    def missing(self) -> tuple[str, ...]:
        """Return what the router lacks to serve."""
        return self.follower.missing()

    def on_message(self, sender_id: str, message: Any) -> None:
        """Give a message of a peer to the part that it is for."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(sender_id, message)
        except HickorymuxError as error:
            _logger.warning(
                'message refused',
                extra={
                    'event': 'message_refused',
                    'sender': sender_id,
                    'reason': str(error),
                },
            )

    def _build_network(self) -> None:
        settings = self.settings
        me = Member(
            router_id=settings.router_id,
            incarnation=new_incarnation(),
            zone=settings.zone,
            host=settings.advertise or settings.peer_listen.host,
            port=settings.peer_listen.port,
        )
        self.network = PeerNetwork(
            me,
            FrameSealer(settings.fleet_key, thrift_codec()),
            self.clock,
        )
        self.membership = Membership(
            me,
            self.clock,
            self.network.send_datagram,
        )
        self.membership.replace_seeds(settings.peers)
        self.network.find_member = self.membership.find
        self.network.handler = self.on_message
        self.log = HttpLogClient.from_config(settings.log_url, self.session)
        self.follower = ConfigFollower(
            self.log,
            self.clock,
            router_id=settings.router_id,
            policy=SnapshotPolicy.from_retention(settings.claims.retention),
        )
        self.relay = ConfigRelay(
            self.follower,
            self.membership,
            self.network,
            self.clock,
        )

    def _build_path(self) -> None:
        settings = self.settings
        self.metrics = RouterMetrics()
        self.decisions = DecisionLog(settings.router_id, self.clock)
        self.client = UpstreamClient.from_config(settings.timeouts)
        self.book = UpstreamStates()
        self.home = SlotCoordinator(
            self.membership,
            self.network,
            self.clock,
            self.book,
            self.read_tables,
            head_virtual_time=self._rank_head,
        )
        self.gone = EndedIncarnations(self.membership)
        self.gate = ConnectionGate(
            self.clock,
            self._on_report,
            self._on_lost,
            self._is_polled,
        )
        self.cold_starts = ColdStarts(
            self.membership,
            self.log,
            self.clock,
            self.gone.has_ended,
            self._on_permit,
        )
        self.holder = SlotHolder(
            self.membership,
            self.network,
            self.clock,
            self.book,
            self.read_tables,
            self._on_slots,
            cold_starts=self.cold_starts,
            is_verified=self._is_verified,
        )
        self.scheduler = Scheduler(
            self.holder,
            self.clock,
            settings.max_waiting,
        )
        self.exchange = CounterExchange.from_config(
            self.membership,
            self.network,
            self.clock,
        )
        self.follower.subscribe(self._use_tables)
        self.assumed_load = AssumedLoadReporter(
            self.clock,
            self.home.upstreams,
            self.home.on_load_report,
        )
        self.suspects = CrashSuspects.from_config(
            self.membership,
            self.network,
            self.clock,
        )
        dispatcher = Dispatcher(
            self.scheduler,
            self.client,
            self.decisions,
            self.metrics,
            self.clock,
            RetryBudget.from_config(self.clock),
            self.suspects,
            self._verify,
        )
        self.claimer = Claimer.from_config(
            self.log,
            self.clock,
            settings.claims,
            self.membership,
            self.network,
        )
        self.callers = CallerServer(
            dispatcher,
            CustomerKeys.load(settings.customers),
            self.read_tables,
            self._claim,
            settings.limits,
            self.missing,
        )
        self.admin = AdminServer(
            self.membership,
            self.follower,
            self.scheduler,
            self.decisions,
            self.metrics,
            self.network.meter,
        )

    def _message_handlers(self) -> dict[type, MessageHandler]:
        handlers: dict[type, MessageHandler] = {}
        for message_class in _messages_of(membership_messages):
            handlers[message_class] = self._on_membership
        for message_class in _messages_of(config_messages):
            handlers[message_class] = self.relay.on_message
        for message_class in _messages_of(claim_messages):
            handlers[message_class] = self.claimer.on_message
        for message_class in _messages_of(service_messages):
            handlers[message_class] = self.exchange.on_message
        for message_class in _messages_of(suspect_messages):
            handlers[message_class] = self.suspects.on_message
        for message_class in _messages_of(slot_messages):
            handlers[message_class] = self.home.on_message
        handlers[slot_messages.SlotGrant] = self.holder.on_message
        handlers[slot_messages.ColdOffer] = self.holder.on_message
        return handlers

    def _work(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self.membership.run(),
            self.follower.run(),
            self.relay.run(),
            self.home.run(),
            self.holder.run(),
            self.exchange.run(),
            self.assumed_load.run(),
            self.claimer.run(),
            self.cold_starts.run(),
            self._follow_upstreams(),
            self._follow_host_list(),
        ]

    async def _claim(self, call: Call) -> ClaimLike:
        return await self.claimer.claim(
            call.customer,
            call.route.name,
            call.idempotency_key,
            call.body_digest,
            call.queue_deadline(),
        )

    def _on_membership(self, sender_id: str, message: Any) -> None:
        self.membership.on_message(message, sender_id)

    def _use_tables(self, tables: Tables) -> None:
        self.scheduler.use_tables(tables)
        queues = self.scheduler.queues
        for added in queues.keys() - self.exchange.pools.keys():
            self.exchange.add_pool(queues[added])
        for gone in self.exchange.pools.keys() - queues.keys():
            self.exchange.remove_pool(gone)
        self.membership.update_myself(config_version=tables.version)

    def _on_slots(self, pool: str) -> None:
        self.scheduler.dispatch(pool)

    def _on_report(self, upstream: Upstream, report: LoadReport) -> None:
        self.book.state_of(upstream)
        self.home.on_load_report(upstream.name, report)
        self.holder.on_load_report(upstream, report)

    def _rank_head(self, pool: str, head: slot_messages.HeadCustomer) -> float:
        return self.scheduler.corrected_virtual_time(pool, head)

    def _on_lost(self, upstream: Upstream) -> None:
        self.holder.on_connection_failure(upstream)

    def _on_permit(self, upstream: Upstream) -> None:
        self.holder.announce_idle_slots()

    def _is_polled(self, upstream: Upstream) -> bool:
        if (
            self.home.coordinator_map.coordinator_of(upstream)
            == self.membership.me.router_id
        ):
            return True
        return upstream in self.cold_starts.upstreams_to_poll()

    def _is_verified(self, upstream: Upstream, instance: str) -> bool:
        if not upstream.reports_load:
            return instance == ASSUMED_INSTANCE
        return self.gate.is_verified(upstream, instance)

    async def _verify(
        self,
        upstream: Upstream,
        instance: str,
        connection: Any,
    ) -> None:
        if upstream.reports_load:
            await self.gate.verify(upstream, instance, connection)

    async def _follow_upstreams(self) -> None:
        """Keep connections to the upstreams that work may go to.

        These are all of the own zone and of this router's homes, and a
        limited number in other zones, so that the first request which goes
        there need not wait for the instance to be known.
        """
        while True:
            self.gate.follow(self._wanted_anchors())
            await self.clock.sleep(FOLLOW_SECONDS)

    def _wanted_anchors(self) -> list[Upstream]:
        near: list[Upstream] = []
        far: list[Upstream] = []
        for upstream in all_upstreams(self.read_tables()):
            if upstream.reports_load:
                is_near = upstream.zone == self.settings.zone
                (near if is_near else far).append(upstream)
        adopted = [one for one in self.home.upstreams() if one.reports_load]
        return [*near, *adopted, *far[:MAX_FAR_ANCHORS]]

    def _spawn(
        self,
        work: Coroutine[Any, Any, None],
    ) -> 'asyncio.Task[None]':
        task = asyncio.create_task(work)
        task.add_done_callback(report_crash)
        self.tasks.append(task)
        return task

    async def _start_network(self) -> Address:
        listen = self.settings.peer_listen
        port = await self.network.start(listen.host, listen.port)
        self.membership.update_myself(port=port)
        return Address(listen.host, port)

    async def _listen(self, app: web.Application, at: Address) -> Address:
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_SECONDS,
            shutdown_timeout=LAST_WRITES_SECONDS,
            max_field_size=MAX_HEADER_OCTETS,
            max_line_size=MAX_HEADER_OCTETS,
        )
        await runner.setup()
        self.runners.append(runner)
        site = web.TCPSite(runner, at.host, at.port)
        await site.start()
        host, port = runner.addresses[0][:2]
        return Address(host, port)

    async def _follow_host_list(self) -> None:
        """Take the platform's list of hosts as addresses to try."""
        if not self.settings.host_list_url:
            return
        client = HttpHostListClient.from_config(
            self.settings.host_list_url,
            self.session,
        )
        while True:
            with contextlib.suppress(HostListUnavailable):
                hosts = await client.fetch()
                self.gone.update_host_list(hosts)
                seeds = [
                    Member(host.router_id, 0, host.zone, host.host, host.port)
                    for host in hosts
                ]
                self.membership.replace_seeds((*self.settings.peers, *seeds))
            await self.clock.sleep(HOST_LIST_SECONDS)

    async def _drain(self) -> None:
        await self.clock.sleep(self.settings.drain_notice.total_seconds())
        self.callers.refuse_new()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                self.settings.drain_limit.total_seconds(),
            ):
                await self.callers.drained()

    def _on_signal(self) -> None:
        if self.stopping.is_set():
            self.second_stop.set()
        self.stopping.set()

    async def _second_signal(self) -> None:
        await self.second_stop.wait()


def _messages_of(module: Any) -> list[type]:
    return [
        member
        for member in module.__dict__.values()
        if isinstance(member, type) and dataclasses.is_dataclass(member)
    ]
