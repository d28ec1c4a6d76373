"""Where a stream to a caller stands, and whether an answer goes on there.

Load pattern: an engine is lost, and each of its streams goes on with the answer
of another engine, in the same answer to the caller. The caller must neither
miss an event nor get one twice.

An engine is asked to go on after an id. The caller may have later events that
have no id of their own, and an id may be sent apart from its event. So the
position is the last id together with the events after it.
"""

import collections
from typing import Final, final

import xxhash

from hickorymux._internal.exceptions import HickorymuxError
from hickorymux._internal.protocol.event_stream import (
    BYTE_ORDER_MARK,
    StreamBlock,
)

# Events without an id that a stream remembers after the last id. A stream with
# more of them can't be resumed.
MAX_EVENTS_SINCE_ID: Final = 64


class ResumptionMismatch(HickorymuxError):
    """An answer does not go on where the stream to the caller was cut."""

    code = 'resumption_mismatch'


@final
class StreamPosition:
    """The position of one stream; its answers follow one another.

    ``event_digests`` are those of the events after the last id.
    ``held`` are blocks that are not relayed yet: an id before its event, what
    precedes the first event, and the beginning of an answer that goes on with
    events without an id, until its first id shows that it goes on in the right
    place.

    Example::

        position.begin_answer()
        for block in parser.feed(chunk):
            relayed = position.advance(block)
    """

    __slots__ = (
        'event_digests',
        'has_begun',
        'held',
        'held_bytes',
        'held_id',
        'is_verified',
        'raw_last_id',
        'repeated',
    )

    def __init__(self) -> None:
        self.raw_last_id = b''
        self.event_digests: list[int] = []
        self.has_begun = False
        self.held: list[StreamBlock] = []
        self.held_bytes = 0
        self.held_id: bytes | None = None
        self.is_verified = True
        # Events that the answer repeats if it goes on directly after the id.
        self.repeated: collections.deque[int] = collections.deque()

    @property
    def last_event_id(self) -> str:
        """Return the id after which an answer is asked to go on.

        It is empty if there is none.
        """
        return self.raw_last_id.decode(errors='replace')

    @property
    def can_resume(self) -> bool:
        """Return whether another answer can go on at this position."""
        return bool(self.raw_last_id) and (
            len(self.event_digests) <= MAX_EVENTS_SINCE_ID
        )

    def begin_answer(self) -> None:
        """Prepare for the blocks of the next answer.

        What the answer before it left unrelayed is dropped, as the next answer
        repeats it.
        """
        self._clear_held()
        self.is_verified = not self.raw_last_id
        self.repeated = collections.deque(self.event_digests)

    def advance(self, block: StreamBlock) -> list[StreamBlock]:
        """Return the blocks that may be relayed once a block has arrived.

        Raises ``ResumptionMismatch`` if the answer does not go on after the
        last event of the stream.
        """
        if not self.is_verified:
            return self._verify(block)
        if block.has_data:
            self._move_behind(block)
            if not self.held:
                return [block]
            relayed = [*self.held, block]
            self._clear_held()
            return relayed
        if block.raw_event_id is None and self.has_begun and not self.held:
            return [block]
        self._hold(block)
        if block.raw_event_id is not None:
            self.held_id = block.raw_event_id
        return []

    def end_answer(self) -> list[StreamBlock]:
        """Return the blocks that are left at the end of a complete answer.

        Raises ``ResumptionMismatch`` if the answer has more than an end marker
        and no id, so that nothing shows where it goes on.
        """
        if not self.is_verified and any(
            block.has_fields and not block.is_end_marker for block in self.held
        ):
            raise ResumptionMismatch(
                'resumed stream goes on with an event without an id'
            )
        left = self.held
        self._clear_held()
        return left

    def _verify(self, block: StreamBlock) -> list[StreamBlock]:
        """Hold blocks until the first id, which must follow the last one."""
        if not self.held:
            block.raw = block.raw.removeprefix(BYTE_ORDER_MARK)
        if block.raw_event_id is None:
            if not (block.has_data and self._is_repeated(block)):
                self._hold(block)
            return []
        self._check_follows(block.raw_event_id.decode(errors='replace'))
        self.is_verified = True
        earlier = self.held
        self._clear_held()
        relayed: list[StreamBlock] = []
        for one in (*earlier, block):
            relayed.extend(self.advance(one))
        return relayed

    def _is_repeated(self, event: StreamBlock) -> bool:
        """Return whether the caller has an event without an id already."""
        if not self.repeated:
            return False
        if self.repeated.popleft() != _digest(event):
            raise ResumptionMismatch(
                'resumed stream repeats an event without an id with other data'
            )
        return True

    def _check_follows(self, event_id: str) -> None:
        after = self.last_event_id
        if not event_id:
            raise ResumptionMismatch('resumed stream resets the event id')
        if event_id == after or _is_earlier(event_id, after):
            raise ResumptionMismatch(
                f'resumed stream goes on with event {event_id}, after {after}'
            )
        if 0 < len(self.repeated) < len(self.event_digests):
            raise ResumptionMismatch(
                'resumed stream repeats some of the events without an id, and'
                f' then goes on with event {event_id}'
            )

    def _move_behind(self, event: StreamBlock) -> None:
        self.has_begun = True
        if event.raw_event_id is None:
            self._count_unnumbered(event)
            return
        self.raw_last_id = event.raw_event_id
        if self.event_digests:
            self.event_digests = []

    def _count_unnumbered(self, event: StreamBlock) -> None:
        if self.held_id is not None:
            self.raw_last_id = self.held_id
            self.event_digests = []
        has_room = len(self.event_digests) <= MAX_EVENTS_SINCE_ID
        if self.raw_last_id and has_room:
            self.event_digests.append(_digest(event))

    def _hold(self, block: StreamBlock) -> None:
        self.held.append(block)
        self.held_bytes += len(block.raw)

    def _clear_held(self) -> None:
        self.held = []
        self.held_bytes = 0
        self.held_id = None


def _digest(event: StreamBlock) -> int:
    """Return a hash of an event; its last line end may arrive apart."""
    return xxhash.xxh3_64_intdigest(event.raw.rstrip(b'\r\n'))


def _is_earlier(event_id: str, after: str) -> bool:
    """Return whether an id is less than another, if both are numbers."""
    if not (event_id.isdecimal() and after.isdecimal()):
        return False
    first, second = event_id.lstrip('0'), after.lstrip('0')
    return (len(first), first) < (len(second), second)
