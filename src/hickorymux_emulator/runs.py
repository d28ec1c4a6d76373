"""The runs of an engine: one for each request that it took."""

import asyncio
import dataclasses
import datetime as dt
import enum
from typing import Any

from hickorymux_emulator.completions import AnswerBuilder, CompletionRequest


class RunEnd(enum.StrEnum):
    """How a run ended."""

    none = ''
    finished = 'finished'
    cancelled = 'cancelled'
    crashed = 'crashed'


@dataclasses.dataclass(slots=True)
class Run:
    """One request on the engine, with the events that it produced so far.

    ``peak_running`` is the highest number of requests that ran on the engine
    while this one did; ``peak_running_cold`` counts cold moments only.
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
        """Return whether the run will produce nothing more."""
        return self.end is not RunEnd.none

    def add_event(self, event: bytes) -> None:
        """Keep an event and wake the readers."""
        self.events.append(event)
        self.progress.set()

    def close(self, end: RunEnd) -> None:
        """End the run once and wake the readers."""
        if self.is_over:
            return
        self.end = end
        self.progress.set()
        if self.task is not None and end is not RunEnd.finished:
            self.task.cancel()

    async def wait_for_events(self, count: int) -> None:
        """Return when there are more than ``count`` events or it is over."""
        while len(self.events) <= count and not self.is_over:
            self.progress.clear()
            await self.progress.wait()

    async def wait_until_over(self) -> None:
        """Return when the run is over."""
        while not self.is_over:
            self.progress.clear()
            await self.progress.wait()

    def record(self) -> dict[str, Any]:
        """Return what the engine tells about the run."""
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
