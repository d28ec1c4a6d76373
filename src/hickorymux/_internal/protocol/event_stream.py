"""Incremental parser of server-sent events.

The grammar is that of the WHATWG HTML Living Standard, "Server-sent events",
https://html.spec.whatwg.org/multipage/server-sent-events.html. A stream is read
line by line, since the text of an event may contain anything that looks like
another field, an end marker or an id.
"""

import dataclasses
import re
from typing import Final, final

BYTE_ORDER_MARK: Final = b'\xef\xbb\xbf'
# The data of the event that ends a stream of chat completions.
_END_MARKER: Final = b'[DONE]'
_LINE_ENDS: Final = frozenset(b'\r\n')
# An event as most engines write it. Reading it by lines takes three times as
# long, which counts for a stream of one event a token.
_PLAIN_EVENT: Final = re.compile(
    rb'id:[ ]?([^\r\n\0]*)\ndata:(?![ ]?\[DONE\])[^\r\n]*\n\n'
)


@final
@dataclasses.dataclass(slots=True)
class StreamBlock:
    """Consecutive lines of a stream that are relayed together.

    ``raw`` has the bytes as they arrived. The block is an event if it
    ``has_data``. One without data may set the id of the events after it; one
    that is not even ``has_fields`` has comments and blank lines only.
    ``raw_event_id`` is ``None`` if the block sets no id, and empty if it resets
    it. ``is_end_marker`` tells whether the data is ``[DONE]``, which ends a
    stream of chat completions.
    """

    raw: bytes
    has_fields: bool = False
    has_data: bool = False
    raw_event_id: bytes | None = None
    is_end_marker: bool = False


@final
class EventStreamParser:
    """Splits the bytes of one stream into blocks; use one for each answer.

    Example::

        parser = EventStreamParser()
        for block in parser.feed(chunk):
            if block.has_data:
                on_event(block.raw, block.raw_event_id)
    """

    __slots__ = (
        'block',
        'has_data',
        'has_fields',
        'is_end_marker',
        'is_first_line',
        'line',
        'raw_event_id',
        'skips_line_feed',
    )

    def __init__(self) -> None:
        # Whole lines of the present block, and the line that is not complete.
        self.block = bytearray()
        self.line = bytearray()
        self.is_first_line = True
        # A line feed after a carriage return belongs to the same line end.
        self.skips_line_feed = False
        self.has_fields = False
        self.has_data = False
        self.raw_event_id: bytes | None = None
        self.is_end_marker = False

    @property
    def is_inside_event(self) -> bool:
        """Return whether the bytes so far end inside an event or a line."""
        return self.has_fields or bool(self.line.strip())

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that are in no block so far."""
        return len(self.block) + len(self.line)

    @property
    def rest(self) -> bytes:
        """Return the bytes that are in no block so far."""
        return bytes(self.block + self.line)

    def feed(self, received: bytes) -> list[StreamBlock]:
        """Return the blocks that the received bytes complete."""
        if self.skips_line_feed:
            received = self._skip_line_feed(received)
        blocks: list[StreamBlock] = []
        if not self.line and not self.block:
            end = self._read_plain(received, blocks)
            if end == len(received):
                return blocks
            received = received[end:]
        if b'\n' in received or b'\r' in received:
            self._read_lines(received, blocks)
        else:
            self.line += received
        return blocks

    def _skip_line_feed(self, received: bytes) -> bytes:
        self.skips_line_feed = False
        if not received.startswith(b'\n'):
            return received
        self.block += b'\n'
        return received[1:]

    def _read_lines(self, received: bytes, blocks: list[StreamBlock]) -> None:
        """Read bytes that end a line; add the completed blocks."""
        if self.line:
            received = bytes(self.line) + received
            self.line.clear()
        lines = received.splitlines(keepends=True)
        if lines[-1][-1] not in _LINE_ENDS:
            self.line += lines.pop()
        self.skips_line_feed = received.endswith(b'\r')
        for line in lines:
            self._add_line(line, blocks)
        if self.block and not self.has_fields:
            blocks.append(self._take_block())

    def _read_plain(self, received: bytes, blocks: list[StreamBlock]) -> int:
        """Add the events of the usual form at the start; return their end."""
        end = 0
        found = _PLAIN_EVENT.match(received)
        while found is not None:
            self.is_first_line = False
            start, end = end, found.end()
            raw = received[start:end]
            blocks.append(StreamBlock(raw, True, True, found[1]))
            found = _PLAIN_EVENT.match(received, end)
        return end

    def _add_line(self, line: bytes, blocks: list[StreamBlock]) -> None:
        """Add a whole line, and the blocks that it completes to ``blocks``."""
        text = line.rstrip(b'\r\n')
        if self.is_first_line:
            self.is_first_line = False
            text = text.removeprefix(BYTE_ORDER_MARK)
        is_field = bool(text) and not text.startswith(b':')
        if is_field and self.block and not self.has_fields:
            blocks.append(self._take_block())
        self.block += line
        if is_field:
            self.has_fields = True
            self._read_field(text)
        elif self.has_fields and not text:
            blocks.append(self._take_block())

    def _read_field(self, text: bytes) -> None:
        name, _, content = text.partition(b':')
        content = content.removeprefix(b' ')
        if name == b'data':
            self.is_end_marker = content == _END_MARKER and not self.has_data
            self.has_data = True
        elif name == b'id' and b'\0' not in content:
            self.raw_event_id = content

    def _take_block(self) -> StreamBlock:
        """Return the present block, and begin another."""
        taken = StreamBlock(
            bytes(self.block),
            self.has_fields,
            self.has_data,
            self.raw_event_id,
            self.is_end_marker,
        )
        self.block.clear()
        self.has_fields = False
        self.has_data = False
        self.raw_event_id = None
        self.is_end_marker = False
        return taken
