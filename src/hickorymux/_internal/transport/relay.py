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

from hickorymux._internal.protocol.event_stream import (
    EventStreamParser,
    StreamBlock,
)
from hickorymux._internal.protocol.stream_position import (
    ResumptionMismatch,
    StreamPosition,
)
from hickorymux._internal.transport.memory_budget import MemoryHold
from hickorymux._internal.transport.upstream_client import (
    UpstreamAnswer,
    UpstreamCut,
)

MAX_BUFFERED_ANSWER_BYTES: Final = 1 << 20
# An answer up to this size is buffered even while memory is short.
SMALL_ANSWER_BYTES: Final = 1 << 14
# No event of a stream is larger; a rest that is has no end.
MAX_EVENT_BYTES: Final = 1 << 20

# Gets the number of events that are about to be relayed.
OnEvents = Callable[[int], Any]


class Reply(Protocol):
    """The answer to one caller, as the relay writes it."""

    @property
    def has_started(self) -> bool:
        """Return whether the caller has been sent anything."""

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the status and headers of a streamed answer."""

    async def write(self, chunk: bytes | bytearray) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body and thereby mark the answer as complete."""

    async def send_whole(
        self,
        status: int,
        headers: CIMultiDict[str],
        body: bytes | bytearray,
    ) -> None:
        """Send a complete answer at once."""


@final
@dataclasses.dataclass(slots=True)
class EventRelay:
    """Relays one stream of server-sent events from one or more answers.

    A stream that was cut goes on with the answer of the attempt that resumes
    it: call ``run`` once for each answer, then ``finish``.

    ``needs_end_marker`` tells whether a complete stream ends with an event
    whose data is ``[DONE]``, and ``has_end_marker`` whether the last event
    relayed is one. ``event_count`` is the number of events relayed. ``rest`` is
    what follows the last event of a complete answer. ``hold`` is charged with
    the bytes of an event that is not complete.
    """

    reply: Reply
    status: int
    headers: CIMultiDict[str]
    on_events: OnEvents
    needs_end_marker: bool
    event_count: int = 0
    has_end_marker: bool = False
    rest: bytes = b''
    parser: EventStreamParser = dataclasses.field(
        default_factory=EventStreamParser
    )
    position: StreamPosition = dataclasses.field(default_factory=StreamPosition)
    hold: MemoryHold | None = None
    charged_bytes: int = 0

    @property
    def last_event_id(self) -> str:
        """Return the id after which the stream can go on, empty if none."""
        return self.position.last_event_id

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
        self.parser = EventStreamParser()
        self.position.begin_answer()
        former_events = self.event_count
        try:
            async for chunk in chunks:
                await self._forward(chunk)
            self._check_end()
            left = self.position.end_answer()
        except ResumptionMismatch as error:
            raise UpstreamCut(error.detail) from error
        if not is_framed and self.event_count == former_events:
            raise UpstreamCut(
                'stream with neither a length nor chunks ended before its'
                ' first event'
            )
        self.rest = b''.join(block.raw for block in left) + self.parser.rest

    async def finish(self) -> None:
        """End the stream to the caller and mark it as complete."""
        if self.rest or not self.reply.has_started:
            await self._write(self.rest)
        await self.reply.finish()

    def _check_end(self) -> None:
        if self.needs_end_marker and not self.has_end_marker:
            raise UpstreamCut('stream ended without its end marker')
        if self.parser.is_inside_event:
            raise UpstreamCut('stream ended inside an event')

    async def _forward(self, chunk: bytes) -> None:
        relayed = [
            ready
            for block in self.parser.feed(chunk)
            for ready in self.position.advance(block)
        ]
        if relayed:
            self._count(relayed)
            await self._write(b''.join([ready.raw for ready in relayed]))
        waiting = self.parser.buffered_bytes + self.position.held_bytes
        if waiting > SMALL_ANSWER_BYTES or self.charged_bytes:
            self._charge(waiting)
        if waiting > MAX_EVENT_BYTES:
            raise UpstreamCut(
                f'event of over {MAX_EVENT_BYTES} bytes without an end'
            )

    def _charge(self, waiting: int) -> None:
        """Account for the bytes of an event that is not complete."""
        if self.hold is None:
            return
        change = waiting - self.charged_bytes
        self.charged_bytes = waiting
        if change > 0:
            self.hold.charge(change)
        else:
            self.hold.release(-change)

    def _count(self, blocks: list[StreamBlock]) -> None:
        events = [block for block in blocks if block.has_data]
        if events:
            self.has_end_marker = events[-1].is_end_marker
            self.event_count += len(events)
            self.on_events(len(events))

    async def _write(self, chunk: bytes) -> None:
        if not self.reply.has_started:
            await self.reply.start(self.status, self.headers)
        if chunk:
            await self.reply.write(chunk)


async def relay_plain(
    answer: UpstreamAnswer,
    reply: Reply,
    headers: CIMultiDict[str],
    hold: MemoryHold | None = None,
) -> None:
    """Relay an answer that is not a stream of events.

    It is buffered until it is complete or ``MAX_BUFFERED_ANSWER_BYTES`` is
    exceeded; from then on it is streamed. Raises ``UpstreamCut`` if it is
    larger and has neither a length nor chunks, since then nothing tells it
    from bytes that go on until the connection is closed.

    ``hold`` is charged with what is buffered, until the request ends. Without
    room for more, a framed answer is streamed from there on.
    """
    buffered = _AnswerBuffer(hold)
    try:
        await _buffer_plain(answer, reply, headers, buffered)
    except BaseException:
        buffered.release()
        raise
    if reply.has_started:
        buffered.release()
        await reply.finish()
        return
    await reply.send_whole(answer.status, headers, buffered.take())


@final
class _AnswerBuffer:
    """What is buffered of an answer before the caller gets any of it."""

    __slots__ = ('hold', 'joined', 'size')

    def __init__(self, hold: MemoryHold | None) -> None:
        self.hold = hold
        self.joined: bytes | bytearray = b''
        self.size = 0

    def add(self, chunk: bytes) -> bool:
        """Add a chunk; return whether there was room for it."""
        # One growing block leaves no holes in the heap, as many chunks do.
        if not self.size:
            self.joined = chunk
        elif isinstance(self.joined, bytes):
            self.joined = bytearray(self.joined) + chunk
        else:
            self.joined += chunk
        self.size += len(chunk)
        hold = self.hold
        if hold is None:
            return True
        has_room = self.size <= SMALL_ANSWER_BYTES or hold.has_room(len(chunk))
        hold.charge(len(chunk))
        return has_room

    def must_stream(self, answer: UpstreamAnswer, *, has_room: bool) -> bool:
        """Return whether the caller must get what there is by now."""
        is_large = self.size > MAX_BUFFERED_ANSWER_BYTES
        if is_large and not answer.is_framed:
            raise UpstreamCut(
                f'answer of over {MAX_BUFFERED_ANSWER_BYTES} bytes with'
                ' neither a length nor chunks'
            )
        return is_large or (answer.is_framed and not has_room)

    def take(self) -> bytes | bytearray:
        """Return all bytes; they stay charged."""
        joined = self.joined
        self.joined = b''
        return joined

    def release(self) -> None:
        """Release what is charged for the answer."""
        if self.hold is not None:
            self.hold.release(self.size)
        self.size = 0


async def _buffer_plain(
    answer: UpstreamAnswer,
    reply: Reply,
    headers: CIMultiDict[str],
    buffered: _AnswerBuffer,
) -> None:
    """Buffer an answer, or stream it once it is large or memory is short."""
    async for chunk in answer.chunks():
        if reply.has_started:
            await reply.write(chunk)
            continue
        has_room = buffered.add(chunk)
        if buffered.must_stream(answer, has_room=has_room):
            await reply.start(answer.status, headers)
            await reply.write(buffered.take())
