"""What one router has told another about one pool, and what to tell next.

A link remembers the row that was last sent for each customer. A message takes
the rows with the largest unsent change that fit, and a few further rows in
rotation, so that a lost message is made good in time.
"""

import dataclasses
import enum
import heapq
from collections.abc import Callable, Iterable
from typing import final

from hickorymux._internal.coordination.service_messages import ServiceRows

# Frame, envelope and fixed fields of a message, with TCP and IP headers.
MESSAGE_OVERHEAD_BYTES = 150
MAX_MESSAGE_BYTES = 700
REFRESH_ROWS = 2

_ID_BYTES = 6
_POSITION_BYTES = 2
_FLAG_CHANGE = 1
_BITS_A_BYTE = 7


class LinkKind(enum.Enum):
    """Who tells whom: see the messages of the same names."""

    report = 'report'
    zone = 'zone'
    fleet = 'fleet'


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One customer as told to a peer; cumulative whole virtual units."""

    service: int = 0
    extra: int = 0
    lift: int = 0
    waits: bool = False


EMPTY_ROW = Row()
ReadRow = Callable[[int], Row]


@dataclasses.dataclass(slots=True, frozen=True)
class LinkKey:
    """The peer's life, the kind of message and the zone whose total it is."""

    kind: LinkKind
    router_id: str
    incarnation: int
    zone: str


@dataclasses.dataclass(slots=True, frozen=True)
class Batch:
    """Rows for one message, the second column and the size in bytes."""

    rows: ServiceRows
    extra: list[int]
    size: int


@final
class ServiceLink:
    """The rows that a peer was sent and the customers that changed since."""

    __slots__ = (
        'catch_up',
        'examined',
        'is_once',
        'key',
        'pending',
        'refresh',
        'sent',
        'sent_complete',
        'sent_floor',
        'sent_term',
        'term',
    )

    def __init__(
        self,
        key: LinkKey,
        pending: Iterable[int],
        *,
        is_once: bool = False,
    ) -> None:
        self.is_once = is_once
        self.key = key
        self.pending = set(pending)
        self.catch_up = set(self.pending)
        self.sent: dict[int, Row] = {}
        self.refresh: list[int] = []
        self.sent_floor = 0
        self.sent_complete = False
        self.sent_term = 0
        self.term = 0
        self.examined = 0

    @property
    def is_complete(self) -> bool:
        """Return whether all rows of the last catch-up were sent."""
        return not self.catch_up

    def start_catch_up(self) -> None:
        """Note the rows that are unsent now; they complete the catch-up."""
        self.catch_up = set(self.pending)

    def reset(self) -> None:
        """Send everything again."""
        self.pending.update(self.sent)
        self.sent.clear()
        self.start_catch_up()

    def note_changes(self, changed: Iterable[int]) -> None:
        """Queue the rows of customers that changed."""
        if not self.is_once:
            self.pending.update(changed)

    def note_sent(self, floor: int, *, is_complete: bool) -> None:
        """Remember the fixed fields of the message that was sent."""
        self.sent_floor = floor
        self.sent_complete = is_complete
        self.sent_term = self.term

    def urgency(self, read: ReadRow, floor: int) -> float:
        """Return the sum of all unsent changes, in virtual units."""
        settled = []
        urgency: float = max(floor - self.sent_floor, 0)
        for number in self.pending:
            change = self._change(number, read(number))
            urgency += change
            if not change:
                settled.append(number)
        self._settle(settled)
        return urgency

    def take(self, read: ReadRow, room: float) -> Batch:
        """Return the largest unsent changes that fit into ``room`` bytes."""
        left = min(room, MAX_MESSAGE_BYTES) - MESSAGE_OVERHEAD_BYTES
        largest = heapq.nlargest(
            int(left // _ID_BYTES) + 1,
            ((number, read(number)) for number in self.pending),
            key=lambda pair: self._change(*pair),
        )
        chosen: dict[int, Row] = {}
        for number, row in largest + self._rotation(read):
            left -= self._size(number, row)
            if left < 0:
                break
            chosen[number] = row
        batch = self._batch(chosen, int(min(room, MAX_MESSAGE_BYTES) - left))
        self.sent.update(chosen)
        self._settle(chosen)
        return batch

    def _settle(self, numbers: Iterable[int]) -> None:
        self.pending.difference_update(numbers)
        self.catch_up.difference_update(numbers)

    def _change(self, number: int, row: Row) -> float:
        sent = self.sent.get(number, EMPTY_ROW)
        change = max(row.service - sent.service, 0)
        change += max(row.extra - sent.extra, 0)
        change += max(row.lift - sent.lift, 0)
        return change + _FLAG_CHANGE * (row.waits != sent.waits)

    def _rotation(self, read: ReadRow) -> list[tuple[int, Row]]:
        if self.is_once:
            return []
        if not self.refresh:
            self.refresh = list(self.sent)
        chosen = self.refresh[-REFRESH_ROWS:]
        del self.refresh[-REFRESH_ROWS:]
        for number in chosen:
            self.sent.pop(number, None)
        self.pending.update(chosen)
        return [(one, read(one)) for one in chosen]

    def _size(self, number: int, row: Row) -> int:
        size = _ID_BYTES + varint_size(row.service) + varint_size(row.extra)
        if row.lift > self.sent.get(number, EMPTY_ROW).lift:
            size += _POSITION_BYTES + varint_size(row.lift)
        return size if row.waits else size + _POSITION_BYTES

    def _batch(self, chosen: dict[int, Row], size: int) -> Batch:
        rows = ServiceRows()
        extra: list[int] = []
        before = 0
        for position, number in enumerate(sorted(chosen)):
            row = chosen[number]
            rows.customers.append(number - before)
            rows.served.append(row.service)
            extra.append(row.extra)
            if row.lift > self.sent.get(number, EMPTY_ROW).lift:
                rows.lifted.append(position)
                rows.lifts.append(row.lift)
            if not row.waits:
                rows.idle.append(position)
            before = number
        return Batch(rows, extra, size)


def varint_size(number: int) -> int:
    """Return the bytes of a number in thrift's compact protocol."""
    zigzag = number << 1
    return max(1, -(-zigzag.bit_length() // _BITS_A_BYTE))
