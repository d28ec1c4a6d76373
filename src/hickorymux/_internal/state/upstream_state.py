"""Track the state of each upstream and how many requests it may run.

No function here reads a clock: callers pass in the time of the monotonic
clock, in seconds. Limits are numbers of concurrent requests.
"""

import dataclasses
import datetime as dt
import enum
from collections.abc import Mapping
from typing import Any

from hickorymux._internal.state.tables import Upstream

REFUSED = 'refused'
# The limit of a ramping upstream doubles after each step.
RAMP_STEP_SECONDS = 0.5
RAMP_MAX_DOUBLINGS = 30
# Greatest age of a load report when a router applies it.
REPORT_LAG_SECONDS = 2.0
# After this many samples, a time to the first byte is an outlier if it exceeds
# the mean by both ``FIRST_BYTE_OUTLIER_RATIO`` (a factor) and
# ``FIRST_BYTE_OUTLIER_SECONDS``.
FIRST_BYTE_MIN_SAMPLES = 20
FIRST_BYTE_OUTLIER_RATIO = 8.0
FIRST_BYTE_OUTLIER_SECONDS = 1.0
FIRST_BYTE_OUTLIERS_IN_A_ROW = 2
# Weight of the newest time in the moving average, once there are enough.
FIRST_BYTE_SMOOTHING = 0.1


class Phase(enum.StrEnum):
    """How close an upstream is to accepting its full load.

    An ``unknown`` or ``down`` upstream gets no requests, a ``cold`` one only
    its cold limit, and the limit of a ``ramping`` one doubles step by step
    until it is ``warm``.
    """

    unknown = 'unknown'
    cold = 'cold'
    ramping = 'ramping'
    warm = 'warm'
    down = 'down'


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """The load that an upstream reported of itself at a moment in the past.

    ``slots`` and ``cold_slots`` are limits of concurrent requests, or 0 if the
    report states none. ``running`` and ``waiting`` are numbers of requests.
    ``reported_at`` is in seconds on the clock of the upstream, and is only
    compared with other times of the same clock.
    """

    instance: str
    state: str
    slots: int = 0
    cold_slots: int = 0
    running: int = 0
    waiting: int = 0
    models: tuple[str, ...] = ()
    reported_at: float = 0

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> 'LoadReport':
        """Build a report from the decoded answer of ``GET /load``.

        Raises ``KeyError``, ``TypeError`` or ``ValueError`` when the body is
        not a load report.
        """
        return cls(
            instance=str(body['instance']),
            state=str(body['state']),
            slots=int(body.get('slots', 0)),
            cold_slots=int(body.get('cold_slots', 0)),
            running=int(body.get('running', 0)),
            waiting=int(body.get('waiting', 0)),
            models=tuple(body.get('models', ())),
            reported_at=_timestamp(body.get('reported_at', 0)),
        )


def _timestamp(moment: object) -> float:
    if isinstance(moment, str):
        return dt.datetime.fromisoformat(moment).timestamp()
    return float(str(moment))


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """The phase of one upstream, and its limit of concurrent requests.

    A connection failure, a new instance or several late first bytes in a row
    make the upstream unknown. An unknown upstream gets no new requests until
    a newer report or answer states its phase.

    Example::

        state = UpstreamState(upstream)
        state.on_report(LoadReport('i1', 'warm', running=3), now)
        state.request_limit(now)
    """

    upstream: Upstream
    phase: Phase = Phase.unknown
    instance: str = ''
    running: int = 0
    report: LoadReport | None = None
    reported_since: float = 0
    ramp_from: int = 1
    ramp_since: float = 0
    former_instances: set[str] = dataclasses.field(default_factory=set)
    first_byte_mean: float = 0
    first_byte_samples: int = 0
    first_byte_outliers: int = 0

    @property
    def is_known(self) -> bool:
        """Return whether the upstream has reported an instance yet."""
        return bool(self.instance)

    @property
    def slots(self) -> int:
        """Return the limit when warm: the lower of table and report."""
        reported = self.report.slots if self.report else 0
        return min(self.upstream.slots, reported or self.upstream.slots)

    @property
    def cold_slots(self) -> int:
        """Return the limit in a cold start: the lower of table and report."""
        reported = self.report.cold_slots if self.report else 0
        table = min(self.upstream.cold_slots, self.upstream.slots)
        return min(table, reported or table)

    def request_limit(self, now: float) -> int:
        """Return how many requests the upstream may run at this moment."""
        if self.phase is Phase.cold:
            return self.cold_slots
        if self.phase is Phase.warm:
            return self.slots
        if self.phase is not Phase.ramping:
            return 0
        steps = int((now - self.ramp_since) / RAMP_STEP_SECONDS)
        doublings = min(max(steps, 0), RAMP_MAX_DOUBLINGS)
        ramped = self.ramp_from << doublings
        if ramped >= self.slots:
            self.phase = Phase.warm
        return min(ramped, self.slots)

    def lease_limit(self, now: float) -> int:
        """Return how many slots may be leased out; none if it is cold."""
        return 0 if self.phase is Phase.cold else self.request_limit(now)

    @property
    def free_cold_slots(self) -> int:
        """Return how many more requests a cold upstream may get.

        It is 0 unless a load report states that the upstream is cold.
        """
        if self.phase is not Phase.cold or self.report is None:
            return 0
        present = self.report.running + self.report.waiting
        return max(self.cold_slots - present, 0)

    def on_report(self, report: LoadReport, now: float) -> bool:
        """Apply a load report; return whether it was newer than the last.

        A report of a former instance, or one that is not newer than the last
        of the same instance, is ignored.
        """
        if report.instance in self.former_instances:
            return False
        if self._is_stale(report):
            return False
        self._set_instance(report.instance)
        self.report = report
        self.running = report.running
        self.reported_since = now
        self._set_phase(report.state, now)
        return True

    def on_answer(self, instance: str, state: str, now: float) -> None:
        """Apply the instance and state from the headers of an answer."""
        if not instance or instance in self.former_instances:
            return
        self._set_instance(instance)
        if state:
            self._set_phase(state, now)

    def on_connection_failure(self) -> None:
        """Make the upstream unknown until a newer report or answer arrives."""
        self.phase = Phase.unknown

    def reset(self) -> None:
        """Drop the phase, the instance and the last load report."""
        self.phase = Phase.unknown
        self.instance = ''
        self.report = None

    def take_over(self, instance: str, limit: int, now: float) -> None:
        """Continue the ramp at the limit of the earlier slot coordinator.

        This does nothing if an instance is known already.
        """
        if self.is_known or not instance or limit <= 0:
            return
        self.instance = instance
        self.phase = Phase.ramping
        self.ramp_from = limit
        self.ramp_since = now

    def on_drained(self) -> None:
        """Make a drained upstream unknown.

        After the drain it needs a new report, and its limit ramps up again.
        """
        if self.phase in {Phase.warm, Phase.ramping}:
            self.phase = Phase.unknown

    def on_refusal(self, now: float) -> None:
        """Halve the limit of an upstream that refused a request, and ramp."""
        if self.phase not in {Phase.warm, Phase.ramping}:
            return
        lowered = max(self.request_limit(now) // 2, 1)
        self.phase = Phase.ramping
        self.ramp_from = lowered
        self.ramp_since = now

    def on_first_byte(self, seconds: float) -> bool:
        """Compare the time to the first byte with the upstream's own mean.

        Several outliers in a row make the upstream unknown, as they are the
        first sign of an upstream that turned cold without a new instance.
        Return whether that happened. ``seconds`` is the time to the first
        byte.
        """
        if self._is_outlier(seconds):
            self.first_byte_outliers += 1
            if self.first_byte_outliers < FIRST_BYTE_OUTLIERS_IN_A_ROW:
                return False
            self.first_byte_outliers = 0
            self.on_connection_failure()
            return True
        self.first_byte_outliers = 0
        self.first_byte_samples += 1
        share = max(FIRST_BYTE_SMOOTHING, 1 / self.first_byte_samples)
        self.first_byte_mean += share * (seconds - self.first_byte_mean)
        return False

    def _is_stale(self, report: LoadReport) -> bool:
        last = self.report
        if last is None or last.instance != report.instance:
            return False
        return report.reported_at <= last.reported_at

    def _is_outlier(self, seconds: float) -> bool:
        if self.first_byte_samples < FIRST_BYTE_MIN_SAMPLES:
            return False
        excess = seconds - self.first_byte_mean
        if excess < FIRST_BYTE_OUTLIER_SECONDS:
            return False
        return seconds > self.first_byte_mean * FIRST_BYTE_OUTLIER_RATIO

    def _set_instance(self, instance: str) -> None:
        if instance == self.instance:
            return
        if self.instance:
            self.former_instances.add(self.instance)
        self.instance = instance
        self.phase = Phase.unknown
        self.report = None
        self.running = 0
        self.first_byte_samples = 0
        self.first_byte_outliers = 0

    def _set_phase(self, state: str, now: float) -> None:
        if state == Phase.cold:
            self.phase = Phase.cold
            return
        if state in {Phase.warm, Phase.ramping}:
            self._start_ramp(now)
            return
        self.phase = Phase.down

    def _start_ramp(self, now: float) -> None:
        if self.phase in {Phase.warm, Phase.ramping}:
            return
        self.phase = Phase.ramping
        self.ramp_from = max(self.cold_slots, self.running, 1)
        self.ramp_since = now


@dataclasses.dataclass(slots=True)
class UpstreamStates:
    """The states of the upstreams that this router has dealt with, by name."""

    states: dict[str, UpstreamState] = dataclasses.field(default_factory=dict)

    def state_of(self, upstream: Upstream) -> UpstreamState:
        """Return the state of an upstream, created as unknown if missing."""
        state = self.states.get(upstream.name)
        if state is None:
            state = UpstreamState(upstream)
            self.states[upstream.name] = state
        state.upstream = upstream
        return state

    def find(self, name: str) -> UpstreamState | None:
        """Return the state of an upstream by name, or none."""
        return self.states.get(name)
