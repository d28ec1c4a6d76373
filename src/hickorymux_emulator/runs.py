"""Runs of the emulated engine: one for each request that it accepted."""

import asyncio
import dataclasses
import datetime as dt
import enum
from typing import Any

from hickorymux_emulator.completions import AnswerBuilder, CompletionRequest


class RunEnd(enum.StrEnum):
    """How a run ended; empty while it is running or waiting."""

    none = ''
    finished = 'finished'
    cancelled = 'cancelled'
    crashed = 'crashed'


@dataclasses.dataclass(slots=True)
class Run:
    """One request on an engine, with the stream events produced so far.

    ``readers`` is the number of connections that read the answer. ``progress``
    is set when an event is added and when the run ends; ``slot_granted`` when
    it gets a slot. ``peak_running`` is the largest number of requests on the
    engine while this one was there: running ones on a warm engine, running and
    waiting ones on a cold engine. ``peak_running_cold`` is the same for the
    time when the engine was cold.
    """

    request_id: str
    request: CompletionRequest
    answer_builder: AnswerBuilder
    started_at: dt.datetime
    events: list[bytes] = dataclasses.field(default_factory=list)
    tokens: list[str] = dataclasses.field(default_factory=list)
    finish_reason: str = ''
    end: RunEnd = RunEnd.none
    readers: int = 0
    peak_running: int = 0
    peak_running_cold: int = 0
    progress: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    slot_granted: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    task: asyncio.Task[None] | None = None

    @property
    def is_over(self) -> bool:
        """Return whether the run has ended."""
        return self.end is not RunEnd.none

    def add_event(self, event: bytes) -> None:
        """Append an event and wake the readers."""
        self.events.append(event)
        self.progress.set()

    def close(self, end: RunEnd) -> None:
        """End the run unless it is over, and wake the readers."""
        if self.is_over:
            return
        self.end = end
        self.progress.set()
        if self.task is not None and end is not RunEnd.finished:
            self.task.cancel()

    async def wait_for_events(self, count: int) -> None:
        """Wait until there are more than ``count`` events or it is over."""
        while len(self.events) <= count and not self.is_over:
            self.progress.clear()
            await self.progress.wait()

    async def wait_until_over(self) -> None:
        """Wait until the run is over."""
        while not self.is_over:
            self.progress.clear()
            await self.progress.wait()

    def record(self) -> dict[str, Any]:
        """Return the entry for this run in the answer of ``/runs``."""
        return {
            'request_id': self.request_id,
            'customer_text': self.request.messages[-1].text,
            'started_at': self.started_at.isoformat(),
            'finished': self.end is RunEnd.finished,
            'end': self.end.value,
            'token_count': len(self.tokens),
            'peak_running': self.peak_running,
            'peak_running_cold': self.peak_running_cold,
        }
