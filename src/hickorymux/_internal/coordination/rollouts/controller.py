"""Runs the roll-outs that the operators order.

Every router reports what it observes to the first few live routers, by id. The
first of them judges: it tells all others the stage and writes the status to the
store. When it falls silent, the next one takes over within a second. All of
them have the same reports, so nothing is lost.
"""

import asyncio
import logging
import math
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Final, final

from hickorymux._internal.coordination.membership import SendDatagram
from hickorymux._internal.coordination.ports import (
    KeyedRecord,
    Member,
    MemberView,
)
from hickorymux._internal.coordination.rollout_messages import (
    RolloutDirective,
    RolloutReport,
)
from hickorymux._internal.coordination.rollouts.analysis import Finding
from hickorymux._internal.coordination.rollouts.evidence import FleetEvidence
from hickorymux._internal.coordination.rollouts.exposure import ExposureBudget
from hickorymux._internal.coordination.rollouts.gate import (
    PoolRollout,
    RolloutGate,
)
from hickorymux._internal.coordination.rollouts.orders import (
    RolloutBounds,
    RolloutFormat,
    RolloutOrder,
    Stage,
)
from hickorymux._internal.coordination.rollouts.schedule import (
    STANDING_DOUBT,
    Situation,
    next_stage,
)
from hickorymux._internal.coordination.rollouts.status_log import (
    KnownStatus,
    StatusLog,
)
from hickorymux._internal.exceptions import ConfigError, LogUnavailable
from hickorymux._internal.state.upstream_registry import LAPSE_GRACE_SECONDS
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS

TICK_SECONDS: Final = 0.25
# The same in fleets of more routers than this, where the judging router has more
# reports to add up.
LARGE_FLEET_TICK_SECONDS: Final = 0.4
MAX_SMALL_FLEET: Final = 32
# The routers that get all reports and may judge, by the order of their ids.
MAX_JUDGES: Final = 3
# How long a router that may judge waits for a directive of those before it,
# and what each further one waits in addition.
TAKEOVER_SECONDS: Final = 0.9
TAKEOVER_STEP_SECONDS: Final = 0.5
# A router that hears of no directive for this long reads the status record.
STATUS_READ_SECONDS: Final = 1.5
# How long a verdict is repeated to the other routers.
REPEAT_VERDICT_SECONDS: Final = 5.0
# How long a verdict may be pending before the next router tries to write it.
PENDING_SECONDS: Final = 1.0
RETRY_SECONDS: Final = 0.3
# Part of the slots of the target's upstreams that requests may fill when they
# are all sent there.
MAX_SLOT_SHARE: Final = 0.8
STAGES: Final = frozenset(int(stage) for stage in Stage)
_MS_PER_SECOND: Final = 1000

_logger: Final = logging.getLogger(__name__)


@final
class ActiveRollout:
    """The roll-out of one pool: what is done, and what all have observed.

    ``written`` is the stage that the status record tells, ``None`` if it is
    not known. ``heard_at`` has when each judging router was last heard, and
    ``doubt_since`` when the finding was last below ``STANDING_DOUBT``.
    ``pending`` is a verdict that is not written, and ``is_writer`` tells that
    this router wrote the verdict.
    """

    __slots__ = (
        'doubt_since',
        'evidence',
        'finding',
        'heard_at',
        'is_busy',
        'is_start_written',
        'is_writer',
        'number',
        'pending',
        'pending_since',
        'read_at',
        'rollout',
        'written',
    )

    def __init__(self, rollout: PoolRollout, now: float) -> None:
        self.rollout = rollout
        self.evidence = FleetEvidence(now)
        self.finding = Finding()
        self.doubt_since = now
        self.heard_at: dict[str, float] = {}
        self.written: Stage | None = None
        self.is_busy = False
        self.is_start_written = False
        self.is_writer = False
        self.pending: Stage | None = None
        self.pending_since = now
        self.number = 0
        self.read_at = now

    @property
    def order(self) -> RolloutOrder:
        """Return the order of the operators."""
        return self.rollout.order


@final
class RolloutController:
    """Follows the orders, exchanges observations, judges and writes.

    ``running`` returns the number of requests at the upstreams of a pool, and
    ``on_change`` runs when the allowed versions of a pool have changed.
    ``unlisted`` are the pools whose orders the last listing lacks and that are
    kept until ``held_until``, in monotonic seconds.
    """

    __slots__ = (
        'active',
        'clock',
        'gate',
        'eras_seen',
        'has_listing',
        'held_until',
        'incarnation',
        'members',
        'on_change',
        'rng',
        'running',
        'send',
        'status_log',
        'tasks',
        'unlisted',
    )

    def __init__(
        self,
        gate: RolloutGate,
        status_log: StatusLog,
        members: MemberView,
        send: SendDatagram,
        running: Callable[[str], int],
        on_change: Callable[[], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.gate = gate
        self.status_log = status_log
        self.members = members
        self.send = send
        self.running = running
        self.on_change = on_change
        self.clock = clock
        self.rng = rng
        self.incarnation = members.myself.incarnation
        self.active: dict[str, ActiveRollout] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.has_listing = False
        self.eras_seen = 0
        self.held_until = -math.inf
        self.unlisted: set[str] = set()

    @property
    def record_format(self) -> RolloutFormat:
        """Return the decoder of the deployment's records."""
        return self.status_log.record_format

    async def run(self) -> None:
        """Run all roll-outs until cancelled."""
        try:
            while True:
                await self.clock.sleep(self.tick())
        finally:
            for task in self.tasks:
                task.cancel()

    def apply_record(self, record: KeyedRecord) -> None:
        """Start, replace or end a roll-out if the record is about one."""
        service = self.record_format.rollout_service(record.key)
        if service is None or self.gate.bounds is None:
            return
        self.unlisted.discard(service)
        if not record.value:
            self._end(service)
            return
        try:
            order = self.record_format.decode_order(service, record.value)
        except ConfigError as error:
            _report('rollout_unreadable', str(error), pool=service)
            return
        self._start(order, self.gate.bounds)

    def apply_listing(self, keys: frozenset[str]) -> None:
        """End the roll-outs of which a full listing lacks the order."""
        self.has_listing = True
        services = {self.record_format.rollout_service(key) for key in keys}
        self.unlisted = self.active.keys() - services
        self._end_unlisted()

    def hold_orders(self) -> None:
        """Keep orders that the next listing lacks for a grace period.

        A restored store may lack an order until the operators have written it
        again. Its verdict must not be forgotten meanwhile.
        """
        self.held_until = self.clock.monotonic() + LAPSE_GRACE_SECONDS

    def on_message(self, sender_id: str, message: Any) -> None:
        """Apply a report or a directive; ignore all other messages."""
        if not isinstance(message, RolloutReport | RolloutDirective):
            return
        active = self.active.get(message.pool)
        if active is None or active.order.target != message.target:
            return
        now = self.clock.monotonic()
        rollout = active.rollout
        started_at = now - message.elapsed_ms / _MS_PER_SECOND
        rollout.started_at = min(rollout.started_at, started_at)
        if isinstance(message, RolloutReport):
            active.evidence.apply(sender_id, message, now)
        elif message.stage in STAGES:
            self._note_pending(active, message.pending)
            self._follow(active, sender_id, Stage(message.stage))

    def on_era_change(self, _era: int) -> None:
        """Write the states again; the store may have lost them."""
        self.eras_seen += 1
        for active in self.active.values():
            active.written = None
            active.is_start_written = False

    def tick(self) -> float:
        """Exchange observations and take the decisions that are due.

        Returns the seconds until the next tick.
        """
        bounds = self.gate.bounds
        self._end_unlisted()
        if bounds is None:
            for service in tuple(self.active):
                self._end(service)
        if bounds is None or not self.active:
            return TICK_SECONDS
        live = [one for one in self.members.live() if not one.is_leaving]
        for active in tuple(self.active.values()):
            rollout = active.rollout
            if not rollout.stage.is_verdict:
                slack = self._slack(active, bounds)
                self.gate.update(rollout, len(live), slack)
            self._step(active, live)
        if len(live) > MAX_SMALL_FLEET:
            return LARGE_FLEET_TICK_SECONDS
        return TICK_SECONDS

    def _step(self, active: ActiveRollout, live: Sequence[Member]) -> None:
        rollout = active.rollout
        now = self.clock.monotonic()
        judges = live[:MAX_JUDGES]
        if not rollout.stage.is_verdict:
            self._send_report(active, judges, now)
        if not rollout.is_status_known or self._is_uninformed(active, now):
            active.read_at = now
            self._start_task(active, self._read_status(active))
        elif self._is_judge(active, judges, now):
            self._judge(active, live, now)
        else:
            self._write_pending(active, judges, now)
        if rollout.stage.is_verdict and active.is_writer:
            self._send_directive(active, live, now)
            active.is_writer = (
                now - rollout.stage_since < REPEAT_VERDICT_SECONDS
            )

    def _start(self, order: RolloutOrder, bounds: RolloutBounds) -> None:
        known = self.active.get(order.service)
        if known is not None and known.order.target == order.target:
            known.rollout.order = order
            return
        now = self.clock.monotonic()
        budget = ExposureBudget(bounds.exposure_share, self.rng)
        # A router that has just started doesn't know what its former
        # incarnation sent, so it uses no slack.
        budget.has_slack = self.has_listing
        rollout = PoolRollout(order, budget, now)
        self.active[order.service] = ActiveRollout(rollout, now)
        self.gate.pools[order.service] = rollout
        self.on_change()
        _report(
            'rollout_ordered',
            'operators',
            pool=order.service,
            target=order.target,
            seconds=order.duration.total_seconds(),
        )

    def _end(self, service: str) -> None:
        if self.active.pop(service, None) is None:
            return
        self.gate.pools.pop(service, None)
        self.on_change()
        _report('rollout_ended', 'no order any more', pool=service)

    def _end_unlisted(self) -> None:
        if self.clock.monotonic() < self.held_until:
            return
        for service in self.unlisted:
            self._end(service)
        self.unlisted = set()

    def _slack(self, active: ActiveRollout, bounds: RolloutBounds) -> float:
        has_slack = active.rollout.budget.has_slack
        return bounds.exposure_slack if has_slack else 0

    def _send_report(
        self, active: ActiveRollout, judges: Sequence[Member], now: float
    ) -> None:
        rollout = active.rollout
        active.number += 1
        routes, codes, counts = rollout.tally.encode()
        report = RolloutReport(
            pool=active.order.service,
            target=active.order.target,
            incarnation=self.incarnation,
            number=active.number,
            elapsed_ms=_elapsed_ms(rollout, now),
            stage=rollout.stage,
            stream_ms=int(rollout.usual_stream_seconds() * _MS_PER_SECOND),
            routes=routes,
            codes=codes,
            counts=counts,
        )
        me = self.members.myself.router_id
        active.evidence.apply(me, report, now)
        self.send([one for one in judges if one.router_id != me], report)

    def _is_uninformed(self, active: ActiveRollout, now: float) -> bool:
        """Return whether this router should read the status record."""
        if active.rollout.stage.is_verdict:
            return False
        silence = now - max(active.read_at, active.rollout.directive_at)
        return silence >= STATUS_READ_SECONDS

    def _is_judge(
        self, active: ActiveRollout, judges: Sequence[Member], now: float
    ) -> bool:
        """Return whether no router that ranks before this one judges."""
        me = self.members.myself.router_id
        ids = [judge.router_id for judge in judges]
        if me not in ids:
            return False
        rank = ids.index(me)
        min_silence = TAKEOVER_SECONDS + TAKEOVER_STEP_SECONDS * rank
        first_seen = active.evidence.started_at
        return all(
            now - active.heard_at.get(router_id, first_seen) >= min_silence
            for router_id in ids[:rank]
        )

    def _judge(
        self, active: ActiveRollout, live: Sequence[Member], now: float
    ) -> None:
        rollout = active.rollout
        if not rollout.stage.is_verdict:
            finding = active.evidence.judge(now)
            active.finding = finding
            if finding.log_ratio < STANDING_DOUBT:
                active.doubt_since = now
            stage = next_stage(self._situation(active, finding, now))
            active.pending = stage if stage.is_verdict else None
            if stage is Stage.succeeded:
                # All routers learn of it when it is written: requests still
                # have the old version to go to if the store is unreachable.
                self._start_task(active, self._write(active, stage))
            else:
                self._set_stage(active, stage, 'judged')
            rollout.directive_at = now
        self._write_due(active)
        if not rollout.stage.is_verdict or active.written is not rollout.stage:
            self._send_directive(active, live, now)

    def _write_pending(
        self, active: ActiveRollout, judges: Sequence[Member], now: float
    ) -> None:
        """Write a verdict that the judging router can't write."""
        me = self.members.myself.router_id
        ids = [judge.router_id for judge in judges]
        if active.pending is None or me not in ids:
            return
        if now - active.pending_since >= PENDING_SECONDS * ids.index(me):
            self._start_task(active, self._write(active, active.pending))

    def _situation(
        self,
        active: ActiveRollout,
        finding: Finding,
        now: float,
    ) -> Situation:
        rollout = active.rollout
        running = self.running(active.order.service)
        bounds = self.gate.bounds
        rollback = bounds.rollback.total_seconds() if bounds else math.inf
        return Situation(
            stage=rollout.stage,
            elapsed=now - rollout.started_at,
            duration=active.order.duration.total_seconds(),
            in_stage=now - rollout.stage_since,
            finding=finding,
            stream_seconds=active.evidence.usual_stream_seconds(),
            has_capacity=self.gate.has_capacity(
                rollout, running, MAX_SLOT_SHARE
            ),
            is_followed=active.evidence.is_followed(rollout.stage, now),
            in_doubt=now - active.doubt_since,
            rollback=rollback,
        )

    def _send_directive(
        self, active: ActiveRollout, live: Sequence[Member], now: float
    ) -> None:
        directive = RolloutDirective(
            pool=active.order.service,
            target=active.order.target,
            stage=active.rollout.stage,
            elapsed_ms=_elapsed_ms(active.rollout, now),
            pending=active.pending or 0,
        )
        me = self.members.myself.router_id
        self.send([one for one in live if one.router_id != me], directive)

    def _follow(
        self, active: ActiveRollout, sender_id: str, stage: Stage
    ) -> None:
        now = self.clock.monotonic()
        active.heard_at[sender_id] = now
        # Two routers judge for a moment if they don't know each other. The one
        # with the lower id counts; a verdict counts from any.
        is_outranked = any(
            router_id < sender_id and now - heard_at < TAKEOVER_SECONDS
            for router_id, heard_at in active.heard_at.items()
        )
        if is_outranked and not stage.is_verdict:
            return
        rollout = active.rollout
        rollout.directive_at = now
        rollout.is_status_known = True
        if stage.is_verdict and rollout.stage.is_verdict:
            if stage is not rollout.stage:
                # One of them was decided but not written.
                self._start_task(active, self._read_status(active))
            return
        self._set_stage(active, stage, f'told by {sender_id}')

    def _note_pending(self, active: ActiveRollout, pending: int) -> None:
        is_verdict = pending in STAGES and Stage(pending).is_verdict
        if not is_verdict or active.written is Stage(pending):
            active.pending = None
        elif active.pending is not Stage(pending):
            active.pending = Stage(pending)
            active.pending_since = self.clock.monotonic()

    def _set_stage(
        self, active: ActiveRollout, stage: Stage, reason: str
    ) -> None:
        if active.rollout.enter(stage, self.clock.monotonic()):
            self._report_stage(active, reason)

    def _report_stage(self, active: ActiveRollout, reason: str) -> None:
        self.on_change()
        rollout = active.rollout
        now = self.clock.monotonic()
        _report(
            'rollout_stage',
            reason,
            pool=active.order.service,
            target=active.order.target,
            stage=rollout.stage.name,
            elapsed_ms=_elapsed_ms(rollout, now),
            finding=active.finding.reason,
            log_ratio=round(active.finding.log_ratio, 2),
            answers=active.finding.answers,
            own_requests=rollout.budget.requests,
            own_exposed=rollout.budget.exposed,
        )

    def _write_due(self, active: ActiveRollout) -> None:
        """Write the state that the status record lacks."""
        stage = active.rollout.stage
        if active.written is None or (
            stage.is_verdict and active.written is not stage
        ):
            self._start_task(active, self._write(active, stage))

    async def _write(self, active: ActiveRollout, stage: Stage) -> None:
        order, eras_seen = active.order, self.eras_seen
        try:
            held = await self.status_log.write(
                order.service, order.target, stage
            )
            if not active.is_start_written and not held.is_verdict:
                await self._write_start(active)
        except LogUnavailable as error:
            _report('rollout_status_lost', str(error), pool=order.service)
            await self.clock.sleep(RETRY_SECONDS)
            return
        active.is_writer = held is stage and held.is_verdict
        self._adopt(active, held, eras_seen)

    async def _write_start(self, active: ActiveRollout) -> None:
        order = active.order
        elapsed_ms = _elapsed_ms(active.rollout, self.clock.monotonic())
        wall_ms = int(self.clock.wall().timestamp() * _MS_PER_SECOND)
        await self.status_log.write_start(
            order.service, order.target, wall_ms - elapsed_ms
        )
        active.is_start_written = True

    async def _read_status(self, active: ActiveRollout) -> None:
        order, eras_seen = active.order, self.eras_seen
        try:
            known = await self.status_log.read(order.service, order.target)
        except LogUnavailable as error:
            _report('rollout_status_lost', str(error), pool=order.service)
            await self.clock.sleep(RETRY_SECONDS)
            return
        self._apply_start(active, known)
        active.rollout.is_status_known = True
        if known.stage is not None:
            self._adopt(active, known.stage, eras_seen)

    def _apply_start(self, active: ActiveRollout, known: KnownStatus) -> None:
        """Continue a roll-out that began before this router started."""
        if not known.started_ms or active.rollout.budget.has_slack:
            return
        active.is_start_written = True
        wall_ms = self.clock.wall().timestamp() * _MS_PER_SECOND
        elapsed = max(0, wall_ms - known.started_ms) / _MS_PER_SECOND
        started_at = self.clock.monotonic() - elapsed
        rollout = active.rollout
        rollout.started_at = min(rollout.started_at, started_at)

    def _adopt(
        self, active: ActiveRollout, stage: Stage, eras_seen: int
    ) -> None:
        """Record what the status record tells; its verdict always holds.

        ``eras_seen`` is the number of eras when the call to the store began.
        If another began since, the record may be lost and is written again.
        """
        if eras_seen == self.eras_seen:
            active.written = stage
        else:
            active.is_start_written = False
        if not stage.is_verdict:
            return
        active.pending = None
        if active.rollout.replace_verdict(stage, self.clock.monotonic()):
            self._report_stage(active, 'written to the store')

    def _start_task(
        self, active: ActiveRollout, work: Coroutine[Any, Any, None]
    ) -> None:
        """Run one task of a roll-out at a time."""
        if active.is_busy:
            work.close()
            return
        active.is_busy = True
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda _: _set_idle(active))


def _set_idle(active: ActiveRollout) -> None:
    active.is_busy = False


def _elapsed_ms(rollout: PoolRollout, now: float) -> int:
    return int((now - rollout.started_at) * _MS_PER_SECOND)


def _report(event: str, reason: str, **fields: object) -> None:
    line = {'event': event, 'reason': reason, **fields}
    _logger.info(event, extra={FIELDS: line})
