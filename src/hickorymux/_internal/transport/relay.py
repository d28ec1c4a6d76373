"""Passes an upstream's answer on to the caller, whole or visibly cut.

Server-sent events go on event by event, so that a stream that was cut can be
resumed after the last whole event. The answer to the caller starts with the
first whole event, so that a stream cut before it can be tried again. A plain answer is held back until it is
whole or too large to hold, so that a cut one can be tried again elsewhere.
"""

import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Any, Final, Protocol, final

from multidict import CIMultiDict

from hickorymux._internal.protocol import http
from hickorymux._internal.transport.upstream_client import (
    UpstreamAnswer,
    UpstreamCut,
)

MAX_BUFFERED_ANSWER_BYTES: Final = 1 << 20
_TAIL_BYTES: Final = 64
_EVENT_ID: Final = b'id:'

OnEvents = Callable[[int], Any]


class Reply(Protocol):
    """Where an answer to the caller goes."""

    @property
    def has_started(self) -> bool:
        """Return whether the caller has been sent anything."""

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the status and headers of a streamed answer."""

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body: the answer is whole."""

    async def send_whole(
        self,
        status: int,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> None:
        """Send a whole answer at once."""


@final
@dataclasses.dataclass(slots=True)
class EventRelay:
    """Relays one stream of server-sent events, over one or more answers."""

    reply: Reply
    status: int
    headers: CIMultiDict[str]
    on_events: OnEvents
    needs_end_marker: bool
    event_count: int = 0
    partial_event: bytes = b''
    last_event_id: str = ''
    tail: bytes = b''

    @property
    def has_end_marker(self) -> bool:
        """Return whether the stream's end marker was passed on."""
        return http.STREAM_DONE in self.tail

    async def run(self, chunks: AsyncIterator[bytes]) -> None:
        """Pass whole events on; raises ``UpstreamCut`` if the end is missing.

        What is left of an event that was cut is dropped, so that a resumed
        stream goes on with the whole event.
        """
        self.partial_event = b''
        async for chunk in chunks:
            await self._forward(chunk)
        if self.needs_end_marker and not self.has_end_marker:
            raise UpstreamCut('stream ended without its end marker')
        if self.partial_event:
            await self._write(self.partial_event)

    async def finish(self) -> None:
        """End the stream to the caller: it is whole."""
        if not self.reply.has_started:
            await self.reply.start(self.status, self.headers)
        await self.reply.finish()

    async def _forward(self, chunk: bytes) -> None:
        if self.partial_event:
            chunk = self.partial_event + chunk
        end = chunk.rfind(http.EVENT_END) + len(http.EVENT_END)
        if end < len(http.EVENT_END):
            self.partial_event = chunk
            return
        self.partial_event = chunk[end:]
        whole = chunk[:end] if self.partial_event else chunk
        events = whole.count(http.EVENT_END)
        self.event_count += events
        self.tail = whole[-_TAIL_BYTES:]
        self.last_event_id = _last_event_id(whole) or self.last_event_id
        self.on_events(events)
        await self._write(whole)

    async def _write(self, chunk: bytes) -> None:
        if not self.reply.has_started:
            await self.reply.start(self.status, self.headers)
        await self.reply.write(chunk)


def _last_event_id(events: bytes) -> str:
    """Return the id of the last event that has one, else an empty text."""
    start = events.rfind(_EVENT_ID)
    if start < 0 or (start and events[start - 1 : start] != b'\n'):
        return ''
    end = events.find(b'\n', start)
    return events[start + len(_EVENT_ID) : end].decode('latin-1').strip()


async def relay_plain(
    answer: UpstreamAnswer,
    reply: Reply,
    headers: CIMultiDict[str],
) -> None:
    """Relay an answer that is not a stream of events."""
    buffered: list[bytes] = []
    size = 0
    async for chunk in answer.chunks():
        if reply.has_started:
            await reply.write(chunk)
            continue
        buffered.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_ANSWER_BYTES:
            await reply.start(answer.status, headers)
            await reply.write(b''.join(buffered))
    if reply.has_started:
        await reply.finish()
        return
    await reply.send_whole(answer.status, headers, b''.join(buffered))
