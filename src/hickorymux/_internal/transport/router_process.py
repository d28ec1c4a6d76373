"""The router process: creates all parts of a router, connects and runs them.

The process also starts while the log service is down. It then gets the
configuration from peers; until it has one, it is not ready and reports why.
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
from hickorymux._internal.utils.collector import (
    limit_collector_pauses,
    run_when_quiet,
)
from hickorymux._internal.utils.ids import new_incarnation
from hickorymux._internal.utils.tasks import log_task_crash

HOST_LIST_INTERVAL_SECONDS: Final = 2
ANCHOR_UPDATE_SECONDS: Final = 0.5
MAX_OTHER_ZONE_ANCHORS: Final = 64
CALLER_KEEPALIVE_SECONDS: Final = 75
SHUTDOWN_TIMEOUT_SECONDS: Final = 3
MAX_HEADER_BYTES: Final = 16384

_logger = logging.getLogger(__name__)

MessageHandler = Callable[[str, Any], None]


@dataclasses.dataclass(slots=True, frozen=True)
class BoundAddresses:
    """The addresses on which a started router listens."""

    callers: Address
    admin: Address
    peers: Address


@final
class RouterProcess:
    """One router: its parts, its servers and its background tasks."""

    def __init__(self, settings: RouterSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.stopping = asyncio.Event()
        self.second_signal = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.http_session = ClientSession()
        self.runners: list[web.AppRunner] = []
        self._build_network()
        self._build_request_path()
        self.handlers = self._message_handlers()

    @classmethod
    def from_config(cls, settings: RouterSettings) -> Self:
        """Assemble a router; must be called on a running event loop."""
        return cls(settings, SystemClock())

    async def start(self) -> BoundAddresses:
        """Start all servers and background tasks.

        Returns the addresses on which the router listens.
        """
        peers = await self._start_network()
        for coroutine in self._background_work():
            self._spawn(coroutine)
        callers = await self._listen(
            self.caller_server.application(),
            self.settings.listen,
        )
        admin = await self._listen(
            self.admin_server.application(),
            self.settings.admin_listen,
        )
        return BoundAddresses(callers, admin, peers)

    async def run(self, announce: Callable[[BoundAddresses], None]) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        ``announce`` is called with the addresses once the router listens. A
        second signal cuts the requests that are still running.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)
        announce(await self.start())
        limit_collector_pauses()
        self._spawn(
            run_when_quiet(self.caller_server.running_tasks, self.clock)
        )
        await self.stopping.wait()
        await self.shut_down()

    async def shut_down(self) -> None:
        """Leave the fleet, drain the running requests, and close.

        Hands the slot coordination over to peers and fails the readiness
        check, so that the balancer sends no new requests. Then waits for the
        running requests, up to ``drain_limit`` or a second signal, and cuts
        the rest.
        """
        _logger.info('shutting down', extra={'event': 'drain_started'})
        self.admin_server.is_draining = True
        self.membership.update_myself(is_leaving=True)
        self.membership.tick()
        self.slot_coordinator.hand_over_all()
        drain_task = self._spawn(self._drain())
        signal_task = self._spawn(self._wait_for_second_signal())
        await asyncio.wait(
            (drain_task, signal_task),
            return_when=asyncio.FIRST_COMPLETED,
        )
        self.counter_exchange.flush()
        cut_count = await self.caller_server.cancel_all()
        _logger.info(
            'shut down',
            extra={'event': 'drain_ended', 'cut_requests': cut_count},
        )
        await self.close()

    async def close(self) -> None:
        """Cancel all tasks and close all connections at once."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()
        await self.claimer.close()
        await self.network.close()
        await self.connection_gate.close()
        await self.upstream_client.close()
        await self.http_session.close()

    def read_tables(self) -> Tables:
        """Return the tables in force."""
        return self.follower.tables

    def missing_reasons(self) -> tuple[str, ...]:
        """Return why the router can't serve yet; empty if it can."""
        return self.follower.missing_reasons()

    def on_message(self, sender_id: str, message: Any) -> None:
        """Pass a peer's message to the handler of its class.

        Messages of unknown classes are ignored. An error that a handler raises
        for a message is logged.
        """
        handler = self.handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(sender_id, message)
        except HickorymuxError as error:
            _logger.warning(
                'peer message refused',
                extra={
                    'event': 'message_refused',
                    'sender': sender_id,
                    'reason': str(error),
                },
            )

    def _build_network(self) -> None:
        settings = self.settings
        myself = Member(
            router_id=settings.router_id,
            incarnation=new_incarnation(),
            zone=settings.zone,
            host=settings.advertise or settings.peer_listen.host,
            port=settings.peer_listen.port,
        )
        self.network = PeerNetwork(
            myself,
            FrameSealer(settings.fleet_key, thrift_codec()),
            self.clock,
        )
        self.membership = Membership(
            myself,
            self.clock,
            self.network.send_datagram,
        )
        self.membership.replace_seeds(settings.peers)
        self.network.find_member = self.membership.find
        self.network.handler = self.on_message
        self.log_client = HttpLogClient.from_config(
            settings.log_url, self.http_session
        )
        self.follower = ConfigFollower(
            self.log_client,
            self.clock,
            router_id=settings.router_id,
            policy=SnapshotPolicy.from_retention(settings.claims.retention),
        )
        self.config_relay = ConfigRelay(
            self.follower,
            self.membership,
            self.network,
            self.clock,
        )

    def _build_request_path(self) -> None:
        settings = self.settings
        self.metrics = RouterMetrics()
        self.decisions = DecisionLog(settings.router_id, self.clock)
        self.upstream_client = UpstreamClient.from_config(settings.timeouts)
        self.upstream_states = UpstreamStates()
        self.slot_coordinator = SlotCoordinator(
            self.membership,
            self.network,
            self.clock,
            self.upstream_states,
            self.read_tables,
            head_virtual_time=self._corrected_virtual_time,
        )
        self.ended_incarnations = EndedIncarnations(self.membership)
        self.connection_gate = ConnectionGate(
            self.clock,
            self._on_report,
            self._on_connection_lost,
            self._is_polled,
        )
        self.cold_starts = ColdStarts(
            self.membership,
            self.log_client,
            self.clock,
            self.ended_incarnations.has_ended,
            self._on_cold_permit,
        )
        self.slot_holder = SlotHolder(
            self.membership,
            self.network,
            self.clock,
            self.upstream_states,
            self.read_tables,
            self._on_slots_available,
            cold_starts=self.cold_starts,
            is_verified=self._is_verified,
        )
        self.scheduler = Scheduler(
            self.slot_holder,
            self.clock,
            settings.max_waiting,
        )
        self.counter_exchange = CounterExchange.from_config(
            self.membership,
            self.network,
            self.clock,
        )
        self.follower.subscribe(self._apply_tables)
        self.assumed_load = AssumedLoadReporter(
            self.clock,
            self.slot_coordinator.upstreams,
            self.slot_coordinator.on_load_report,
        )
        self.suspects = CrashSuspects.from_config(
            self.membership,
            self.network,
            self.clock,
        )
        dispatcher = Dispatcher(
            self.scheduler,
            self.upstream_client,
            self.decisions,
            self.metrics,
            self.clock,
            RetryBudget.from_config(self.clock),
            self.suspects,
            self._verify,
        )
        self.claimer = Claimer.from_config(
            self.log_client,
            self.clock,
            settings.claims,
            self.membership,
            self.network,
        )
        self.caller_server = CallerServer(
            dispatcher,
            CustomerKeys.load(settings.customers),
            self.read_tables,
            self._claim,
            settings.limits,
            self.missing_reasons,
        )
        self.admin_server = AdminServer(
            self.membership,
            self.follower,
            self.scheduler,
            self.decisions,
            self.metrics,
            self.network.meter,
        )

    def _message_handlers(self) -> dict[type, MessageHandler]:
        handlers: dict[type, MessageHandler] = {}
        for message_class in _message_classes(membership_messages):
            handlers[message_class] = self._on_membership
        for message_class in _message_classes(config_messages):
            handlers[message_class] = self.config_relay.on_message
        for message_class in _message_classes(claim_messages):
            handlers[message_class] = self.claimer.on_message
        for message_class in _message_classes(service_messages):
            handlers[message_class] = self.counter_exchange.on_message
        for message_class in _message_classes(suspect_messages):
            handlers[message_class] = self.suspects.on_message
        for message_class in _message_classes(slot_messages):
            handlers[message_class] = self.slot_coordinator.on_message
        handlers[slot_messages.SlotGrant] = self.slot_holder.on_message
        handlers[slot_messages.ColdOffer] = self.slot_holder.on_message
        return handlers

    def _background_work(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self.membership.run(),
            self.follower.run(),
            self.config_relay.run(),
            self.slot_coordinator.run(),
            self.slot_holder.run(),
            self.counter_exchange.run(),
            self.assumed_load.run(),
            self.claimer.run(),
            self.cold_starts.run(),
            self.suspects.run(),
            self._maintain_anchors(),
            self._poll_host_list(),
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

    def _apply_tables(self, tables: Tables) -> None:
        self.scheduler.use_tables(tables)
        queues = self.scheduler.queues
        for added_pool in queues.keys() - self.counter_exchange.pools.keys():
            self.counter_exchange.add_pool(queues[added_pool])
        for removed_pool in self.counter_exchange.pools.keys() - queues.keys():
            self.counter_exchange.remove_pool(removed_pool)
        self.membership.update_myself(config_version=tables.version)

    def _on_slots_available(self, pool: str) -> None:
        self.scheduler.dispatch(pool)

    def _on_report(self, upstream: Upstream, report: LoadReport) -> None:
        self.upstream_states.state_of(upstream)
        self.slot_coordinator.on_load_report(upstream.name, report)
        self.slot_holder.on_load_report(upstream, report)

    def _corrected_virtual_time(
        self, pool: str, head: slot_messages.HeadCustomer
    ) -> float:
        return self.scheduler.corrected_virtual_time(pool, head)

    def _on_connection_lost(self, upstream: Upstream) -> None:
        self.slot_holder.on_connection_failure(upstream)

    def _on_cold_permit(self, upstream: Upstream) -> None:
        self.slot_holder.announce_idle_slots()

    def _is_polled(self, upstream: Upstream) -> bool:
        if (
            self.slot_coordinator.coordinator_map.coordinator_of(upstream)
            == self.membership.me.router_id
        ):
            return True
        return upstream in self.cold_starts.upstreams_to_poll()

    def _is_verified(self, upstream: Upstream, instance: str) -> bool:
        if not upstream.reports_load:
            return instance == ASSUMED_INSTANCE
        return self.connection_gate.is_verified(upstream, instance)

    async def _verify(
        self,
        upstream: Upstream,
        instance: str,
        connection: Any,
    ) -> None:
        if upstream.reports_load:
            await self.connection_gate.verify(upstream, instance, connection)

    async def _maintain_anchors(self) -> None:
        """Keep anchor connections open to the likely upstreams.

        These are the upstreams of this router's zone, those whose slots it
        coordinates, and a limited number in other zones. The first request to
        such an upstream need not wait until its instance is known.
        """
        while True:
            self.connection_gate.open_anchors(self._upstreams_to_anchor())
            await self.clock.sleep(ANCHOR_UPDATE_SECONDS)

    def _upstreams_to_anchor(self) -> list[Upstream]:
        same_zone: list[Upstream] = []
        other_zones: list[Upstream] = []
        for upstream in all_upstreams(self.read_tables()):
            if upstream.reports_load:
                is_same_zone = upstream.zone == self.settings.zone
                (same_zone if is_same_zone else other_zones).append(upstream)
        coordinated = [
            one for one in self.slot_coordinator.upstreams() if one.reports_load
        ]
        return [*same_zone, *coordinated, *other_zones[:MAX_OTHER_ZONE_ANCHORS]]

    def _spawn(
        self,
        coroutine: Coroutine[Any, Any, None],
    ) -> 'asyncio.Task[None]':
        task = asyncio.create_task(coroutine)
        task.add_done_callback(log_task_crash)
        self.tasks.append(task)
        return task

    async def _start_network(self) -> Address:
        listen = self.settings.peer_listen
        port = await self.network.start(listen.host, listen.port)
        self.membership.update_myself(port=port)
        return Address(listen.host, port)

    async def _listen(self, app: web.Application, address: Address) -> Address:
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=CALLER_KEEPALIVE_SECONDS,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
        )
        await runner.setup()
        self.runners.append(runner)
        site = web.TCPSite(runner, address.host, address.port)
        await site.start()
        host, port = runner.addresses[0][:2]
        return Address(host, port)

    async def _poll_host_list(self) -> None:
        """Poll the platform's host list.

        The listed hosts become seeds of the membership. The list also shows
        which incarnations of routers have ended.
        """
        if not self.settings.host_list_url:
            return
        client = HttpHostListClient.from_config(
            self.settings.host_list_url,
            self.http_session,
        )
        while True:
            with contextlib.suppress(HostListUnavailable):
                hosts = await client.fetch()
                self.ended_incarnations.update_host_list(hosts)
                seeds = [
                    Member(host.router_id, 0, host.zone, host.host, host.port)
                    for host in hosts
                ]
                self.membership.replace_seeds((*self.settings.peers, *seeds))
            await self.clock.sleep(HOST_LIST_INTERVAL_SECONDS)

    async def _drain(self) -> None:
        """Refuse new requests after ``drain_notice``; wait for running ones.

        Until then requests are accepted, as the balancer needs time to notice
        that the readiness check fails. The wait ends after ``drain_limit``.
        """
        await self.clock.sleep(self.settings.drain_notice.total_seconds())
        self.caller_server.refuse_new()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                self.settings.drain_limit.total_seconds(),
            ):
                await self.caller_server.wait_until_drained()

    def _on_signal(self) -> None:
        if self.stopping.is_set():
            self.second_signal.set()
        self.stopping.set()

    async def _wait_for_second_signal(self) -> None:
        await self.second_signal.wait()


def _message_classes(module: Any) -> list[type]:
    """Return the message dataclasses that a module defines or imports."""
    return [
        member
        for member in module.__dict__.values()
        if isinstance(member, type) and dataclasses.is_dataclass(member)
    ]
