"""Relays an upstream's answer to the caller.

A stream of server-sent events is relayed in whole events, so that a stream
that is cut can be resumed after the last of them. The answer to the caller
starts with the first whole event; a stream that is cut before it can be
retried. Any other answer is buffered up to a limit before the caller gets
any of it, so that it can be retried at another upstream if it is cut.
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
# No event of a stream is larger; a rest that is has no end.
MAX_EVENT_BYTES: Final = 1 << 20
# How much of the end of a stream is kept to search it for the end marker.
_TAIL_BYTES: Final = 64
_EVENT_ID: Final = b'id:'

# Gets the number of events that are about to be relayed.
OnEvents = Callable[[int], Any]


class Reply(Protocol):
    """The answer to one caller, as the relay writes it."""

    @property
    def has_started(self) -> bool:
        """Return whether the caller has been sent anything."""

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the status and headers of a streamed answer."""

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body and thereby mark the answer as complete."""

    async def send_whole(
        self,
        status: int,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> None:
        """Send a complete answer at once."""


@final
@dataclasses.dataclass(slots=True)
class EventRelay:
    """Relays one stream of server-sent events from one or more answers.

    A stream that was cut goes on with the answer of the attempt that resumes
    it: call ``run`` once for each answer, then ``finish``.

    ``needs_end_marker`` tells whether a complete stream ends with
    ``http.STREAM_DONE``. ``event_count`` is the number of events relayed,
    ``last_event_id`` the last id among them, empty if none had an id.
    ``resumes_after`` is the id after which the next event must go on, empty if
    any event will do.
    """

    reply: Reply
    status: int
    headers: CIMultiDict[str]
    on_events: OnEvents
    needs_end_marker: bool
    event_count: int = 0
    partial_event: bytes = b''
    last_event_id: str = ''
    resumes_after: str = ''
    tail: bytes = b''

    @property
    def has_end_marker(self) -> bool:
        """Return whether the end marker of the stream was relayed."""
        return http.STREAM_DONE in self.tail

    async def run(
        self, chunks: AsyncIterator[bytes], *, is_framed: bool
    ) -> None:
        """Relay the events of one answer.

        ``is_framed`` tells whether the answer itself marks its end. One that
        does not looks complete to the HTTP library wherever its connection is
        closed. An event that an earlier answer left incomplete is dropped,
        since the resumed stream repeats it from its start.

        Raises ``UpstreamCut`` if the answer ends inside an event, if it is not
        framed and ends before its first event, if an event is larger than
        ``MAX_EVENT_BYTES``, if the end marker is needed and missing, or if the
        answer does not go on after the last event of a stream with ids.
        """
        self.partial_event = b''
        self.resumes_after = self.last_event_id
        former_events = self.event_count
        async for chunk in chunks:
            await self._forward(chunk)
        if self.needs_end_marker and not self.has_end_marker:
            raise UpstreamCut('stream ended without its end marker')
        if self.partial_event.strip():
            raise UpstreamCut('stream ended inside an event')
        if not is_framed and self.event_count == former_events:
            raise UpstreamCut(
                'stream with neither a length nor chunks ended before its'
                ' first event'
            )

    async def finish(self) -> None:
        """End the stream to the caller and mark it as complete."""
        if not self.reply.has_started:
            await self.reply.start(self.status, self.headers)
        await self.reply.finish()

    async def _forward(self, chunk: bytes) -> None:
        if self.partial_event:
            chunk = self.partial_event + chunk
        end = chunk.rfind(http.EVENT_END) + len(http.EVENT_END)
        if end < len(http.EVENT_END):
            if len(chunk) > MAX_EVENT_BYTES:
                raise UpstreamCut(
                    f'event of over {MAX_EVENT_BYTES} bytes without an end'
                )
            self.partial_event = chunk
            return
        self.partial_event = chunk[end:]
        whole = chunk[:end] if self.partial_event else chunk
        if self.resumes_after:
            _check_goes_on(whole, self.resumes_after)
            self.resumes_after = ''
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


def _check_goes_on(events: bytes, after: str) -> None:
    """Raise ``UpstreamCut`` unless the first event has an id after another."""
    first_event = events.partition(http.EVENT_END)[0]
    event_id = _last_event_id(first_event + http.EVENT_END)
    if not event_id:
        raise UpstreamCut('resumed stream goes on with an event without an id')
    if event_id == after or _is_earlier(event_id, after):
        raise UpstreamCut(
            f'resumed stream goes on with event {event_id}, after {after}'
        )


def _is_earlier(event_id: str, after: str) -> bool:
    """Return whether an id is less than another, if both are numbers."""
    if not (event_id.isdecimal() and after.isdecimal()):
        return False
    return (len(event_id), event_id) < (len(after), after)


def _last_event_id(events: bytes) -> str:
    """Return the id of the last event that has one, else an empty string."""
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
    """Relay an answer that is not a stream of events.

    It is buffered until it is complete or ``MAX_BUFFERED_ANSWER_BYTES`` is
    exceeded; from then on it is streamed. Raises ``UpstreamCut`` if it is
    larger and has neither a length nor chunks, since then nothing tells it
    from bytes that go on until the connection is closed.
    """
    buffered: list[bytes] = []
    size = 0
    async for chunk in answer.chunks():
        if reply.has_started:
            await reply.write(chunk)
            continue
        buffered.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_ANSWER_BYTES:
            if not answer.is_framed:
                raise UpstreamCut(
                    f'answer of over {MAX_BUFFERED_ANSWER_BYTES} bytes with'
                    ' neither a length nor chunks'
                )
            await reply.start(answer.status, headers)
            await reply.write(b''.join(buffered))
    if reply.has_started:
        await reply.finish()
        return
    await reply.send_whole(answer.status, headers, b''.join(buffered))
