"""In-memory emulation of a model engine: slots, cold starts and crashes."""

import asyncio
import collections
import dataclasses
import datetime as dt
import enum
import secrets
from collections.abc import Callable
from typing import Final, final

from hickorymux_emulator.completions import (
    DONE_EVENT,
    AnswerBuilder,
    CompletionRequest,
    answer_tokens,
)
from hickorymux_emulator.runs import Run, RunEnd

_MS_PER_SECOND: Final = 1000


class EngineState(enum.StrEnum):
    """Whether an engine can run ``slots`` or only ``cold_slots`` requests."""

    cold = 'cold'
    warm = 'warm'


@dataclasses.dataclass(slots=True)
class EngineSettings:
    """Capacity, timing and injected faults of one engine.

    ``resume_seconds`` is the time after which a run that no client reads is
    cancelled. ``truncate_after`` is the number of events after which a
    stream is cut off: by a normal end of the response with
    ``truncate_cleanly``, otherwise by aborting the connection; resumed
    streams are cut off only with ``truncate_resumed``. A request whose text
    contains ``crash_on_text`` crashes the engine.
    """

    slots: int = 8
    cold_slots: int = 1
    cold_seconds: float = 0
    token_ms: float = 10
    resume_seconds: float = 5
    load_lag_seconds: float = 1
    models: list[str] = dataclasses.field(default_factory=lambda: ['default'])
    checks_fence: bool = False
    truncate_after: int | None = None
    truncate_cleanly: bool = False
    truncate_resumed: bool = True
    crash_on_text: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """The load of an engine or service at one moment, the body of ``/load``."""

    instance: str
    state: EngineState
    slots: int
    cold_slots: int
    running: int
    waiting: int
    models: tuple[str, ...]
    reported_at: dt.datetime


@final
class Engine:
    """Runs requests in its slots, queues the rest, and crashes on overload.

    A request that arrives while ``cold_slots`` requests are running or
    waiting on a cold engine crashes it: all runs end, all connections are
    aborted, and the engine restarts cold with a new instance id.

    ``on_crash`` is called to abort all connections except the one passed to
    it. ``all_runs`` holds every run since the process started,
    ``runs_by_id`` only those of the present instance. ``not_hung`` is
    cleared while a test makes the engine hang.
    """

    __slots__ = (
        'not_hung',
        'instance',
        'on_crash',
        'all_runs',
        'running',
        'runs_by_id',
        'settings',
        'state',
        'waiting',
        'warm_timer',
    )

    def __init__(
        self,
        settings: EngineSettings,
        on_crash: Callable[[asyncio.BaseTransport | None], None],
    ) -> None:
        self.settings = settings
        self.on_crash = on_crash
        self.not_hung = asyncio.Event()
        self.not_hung.set()
        self.all_runs: list[Run] = []
        self.runs_by_id: dict[str, Run] = {}
        self.running: list[Run] = []
        self.waiting: collections.deque[Run] = collections.deque()
        self.warm_timer: asyncio.TimerHandle | None = None
        self.instance = _new_instance()
        self.state = EngineState.warm
        if settings.cold_seconds > 0:
            self.turn_cold()

    @property
    def concurrency_limit(self) -> int:
        """Return how many requests may run concurrently now."""
        if self.state is EngineState.cold:
            return self.settings.cold_slots
        return self.settings.slots

    def turn_cold(self) -> None:
        """Become cold without a crash; present runs continue."""
        if self.warm_timer is not None:
            self.warm_timer.cancel()
        self.state = EngineState.cold
        self.warm_timer = asyncio.get_running_loop().call_later(
            self.settings.cold_seconds,
            self._turn_warm,
        )
        self._update_peaks()

    def crash(self, except_for: asyncio.BaseTransport | None = None) -> None:
        """End every run and restart cold with a new instance id.

        The connection ``except_for`` stays open.
        """
        for run in [*self.running, *self.waiting]:
            run.close(RunEnd.crashed)
        self.running.clear()
        self.waiting.clear()
        self.runs_by_id.clear()
        self.instance = _new_instance()
        self.turn_cold()
        self.on_crash(except_for)

    def start(self, request_id: str, request: CompletionRequest) -> Run | None:
        """Accept a request; return ``None`` if it crashed the engine."""
        run = Run(
            request_id=request_id,
            request=request,
            answer_builder=AnswerBuilder.from_request(request_id, request),
            started_at=dt.datetime.now(dt.UTC),
        )
        self.all_runs.append(run)
        self.runs_by_id[request_id] = run
        self.waiting.append(run)
        if self._must_crash(request.text):
            self._update_peaks()
            self.crash()
            return None
        run.task = asyncio.create_task(self._generate(run))
        self._start_waiting()
        return run

    def cancel(self, run: Run) -> None:
        """Cancel a run and free its slot."""
        run.close(RunEnd.cancelled)
        self._release(run)

    def report(self) -> LoadReport:
        """Return the present load."""
        return LoadReport(
            instance=self.instance,
            state=self.state,
            slots=self.settings.slots,
            cold_slots=self.settings.cold_slots,
            running=len(self.running),
            waiting=len(self.waiting),
            models=tuple(self.settings.models),
            reported_at=dt.datetime.now(dt.UTC),
        )

    def _must_crash(self, text: str) -> bool:
        crash_text = self.settings.crash_on_text
        if crash_text and crash_text in text:
            return True
        load = len(self.running) + len(self.waiting)
        return self.state is EngineState.cold and load > self.concurrency_limit

    def _turn_warm(self) -> None:
        self.warm_timer = None
        self.state = EngineState.warm
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.concurrency_limit:
            run = self.waiting.popleft()
            self.running.append(run)
            run.slot_granted.set()
        self._update_peaks()

    def _release(self, run: Run) -> None:
        if run in self.running:
            self.running.remove(run)
        if run in self.waiting:
            self.waiting.remove(run)
        self._start_waiting()

    def _update_peaks(self) -> None:
        is_cold = self.state is EngineState.cold
        count = len(self.running)
        if is_cold:
            count += len(self.waiting)
        for run in [*self.running, *self.waiting]:
            run.peak_running = max(run.peak_running, count)
            if is_cold:
                run.peak_running_cold = max(run.peak_running_cold, count)

    async def _generate(self, run: Run) -> None:
        await run.slot_granted.wait()
        request = run.request
        run.add_event(run.answer_builder.role_event())
        for token in answer_tokens(request.text, request.token_limit):
            await asyncio.sleep(self.settings.token_ms / _MS_PER_SECOND)
            await self.not_hung.wait()
            run.tokens.append(token)
            run.add_event(run.answer_builder.token_event(token))
        self._finish(run)

    def _finish(self, run: Run) -> None:
        count = len(run.tokens)
        is_cut_short = count >= run.request.token_limit
        run.finish_reason = 'length' if is_cut_short else 'stop'
        run.add_event(run.answer_builder.finish_event(run.finish_reason))
        if run.request.wants_usage:
            run.add_event(run.answer_builder.usage_event(count))
        run.add_event(DONE_EVENT)
        run.close(RunEnd.finished)
        self._release(run)


def _new_instance() -> str:
    return secrets.token_hex(8)
