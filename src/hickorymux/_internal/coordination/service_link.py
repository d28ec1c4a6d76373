"""Tracks what one router has sent another about one pool's service.

A link keeps the row last sent for each customer. A message carries as many
rows as fit, those with the largest unsent changes first. It also repeats a
few rows in rotation, so that rows of a lost message arrive later.
"""

import dataclasses
import enum
import heapq
from collections.abc import Callable, Iterable
from typing import final

from hickorymux._internal.coordination.service_messages import ServiceRows

# Size of a message without rows: frame, envelope, fixed fields, TCP/IP headers.
MESSAGE_OVERHEAD_BYTES = 150
MAX_MESSAGE_BYTES = 700
# Rows that a message repeats in rotation.
REFRESH_ROWS_PER_MESSAGE = 2

# Upper estimates of the encoded sizes of a customer id and a row position.
_ID_BYTES = 6
_POSITION_BYTES = 2
# A changed ``waits`` flag counts as a change of this many virtual units.
_FLAG_CHANGE = 1
_VARINT_BITS_PER_BYTE = 7


class LinkKind(enum.Enum):
    """The kind of message that a link sends.

    ``report`` links send ``ServiceReport`` from a router to its delegate,
    ``zone`` links ``ZoneService`` from delegate to delegate, and ``fleet``
    links ``FleetService`` from a delegate to a router of its zone.
    """

    report = 'report'
    zone = 'zone'
    fleet = 'fleet'


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One customer's row of a message, in cumulative whole virtual units.

    ``second_column`` is ``ServiceReport.zone_known`` or
    ``FleetService.other_zones``, and 0 on a ``zone`` link. ``waits`` tells
    whether requests of the customer wait at the routers that the row covers.
    """

    service: int = 0
    second_column: int = 0
    lift: int = 0
    waits: bool = False


EMPTY_ROW = Row()
ReadRow = Callable[[int], Row]


@dataclasses.dataclass(slots=True, frozen=True)
class LinkKey:
    """Identifies a link by its peer and what is sent to it.

    ``incarnation`` is that of the peer. ``zone`` is the zone whose total is
    sent; it is empty unless ``kind`` is ``zone``.
    """

    kind: LinkKind
    router_id: str
    incarnation: int
    zone: str


@dataclasses.dataclass(slots=True, frozen=True)
class Batch:
    """The rows of one message, its second column and its size in bytes."""

    rows: ServiceRows
    second_column: list[int]
    size: int


@final
class ServiceLink:
    """The rows sent to a peer, and the customers with changes to send.

    ``pending`` holds the ids of customers whose row may have changed since it
    was sent. A *catch-up* sends all rows that are pending when it starts, which
    answers a request of the peer; ``catch_up`` holds the customers that remain
    and ``term`` is that of the request. ``refresh_order`` holds the customers
    whose rows are still to be repeated in the current rotation. A link with
    ``sends_once`` sends the rows that it starts with, and no later changes.
    """

    __slots__ = (
        'catch_up',
        'examined_at_tick',
        'key',
        'pending',
        'refresh_order',
        'sends_once',
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
        sends_once: bool = False,
    ) -> None:
        self.sends_once = sends_once
        self.key = key
        self.pending = set(pending)
        self.catch_up = set(self.pending)
        self.sent: dict[int, Row] = {}
        self.refresh_order: list[int] = []
        self.sent_floor = 0
        self.sent_complete = False
        self.sent_term = 0
        self.term = 0
        self.examined_at_tick = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the last catch-up has sent all its rows."""
        return not self.catch_up

    def start_catch_up(self) -> None:
        """Start a catch-up, which ends when all pending rows were sent."""
        self.catch_up = set(self.pending)

    def reset(self) -> None:
        """Mark all sent rows as unsent and start a catch-up."""
        self.pending.update(self.sent)
        self.sent.clear()
        self.start_catch_up()

    def add_pending(self, changed: Iterable[int]) -> None:
        """Mark the rows of changed customers for sending."""
        if not self.sends_once:
            self.pending.update(changed)

    def note_sent(self, floor: int, *, is_complete: bool) -> None:
        """Record the fixed fields of the message that is sent."""
        self.sent_floor = floor
        self.sent_complete = is_complete
        self.sent_term = self.term

    def unsent_change(self, read: ReadRow, floor: int) -> float:
        """Return the sum of all unsent changes, in virtual units.

        ``read`` returns the current row of a customer id. Pending customers
        whose row has not changed are dropped.
        """
        unchanged = []
        urgency: float = max(floor - self.sent_floor, 0)
        for customer_id in self.pending:
            change = self._change(customer_id, read(customer_id))
            urgency += change
            if not change:
                unchanged.append(customer_id)
        self._drop_pending(unchanged)
        return urgency

    def next_batch(self, read: ReadRow, max_bytes: float) -> Batch:
        """Return the largest unsent changes that fit into ``max_bytes``.

        Their rows count as sent.
        """
        bytes_left = min(max_bytes, MAX_MESSAGE_BYTES) - MESSAGE_OVERHEAD_BYTES
        largest = heapq.nlargest(
            int(bytes_left // _ID_BYTES) + 1,
            ((customer_id, read(customer_id)) for customer_id in self.pending),
            key=lambda pair: self._change(*pair),
        )
        chosen: dict[int, Row] = {}
        for customer_id, row in largest + self._pop_refresh_rows(read):
            bytes_left -= self._row_size(customer_id, row)
            if bytes_left < 0:
                break
            chosen[customer_id] = row
        batch = self._make_batch(
            chosen, int(min(max_bytes, MAX_MESSAGE_BYTES) - bytes_left)
        )
        self.sent.update(chosen)
        self._drop_pending(chosen)
        return batch

    def _drop_pending(self, customer_ids: Iterable[int]) -> None:
        self.pending.difference_update(customer_ids)
        self.catch_up.difference_update(customer_ids)

    def _change(self, customer_id: int, row: Row) -> float:
        sent = self.sent.get(customer_id, EMPTY_ROW)
        change = max(row.service - sent.service, 0)
        change += max(row.second_column - sent.second_column, 0)
        change += max(row.lift - sent.lift, 0)
        return change + _FLAG_CHANGE * (row.waits != sent.waits)

    def _pop_refresh_rows(self, read: ReadRow) -> list[tuple[int, Row]]:
        if self.sends_once:
            return []
        if not self.refresh_order:
            self.refresh_order = list(self.sent)
        chosen = self.refresh_order[-REFRESH_ROWS_PER_MESSAGE:]
        del self.refresh_order[-REFRESH_ROWS_PER_MESSAGE:]
        for customer_id in chosen:
            self.sent.pop(customer_id, None)
        self.pending.update(chosen)
        return [(one, read(one)) for one in chosen]

    def _row_size(self, customer_id: int, row: Row) -> int:
        size = (
            _ID_BYTES
            + varint_size(row.service)
            + varint_size(row.second_column)
        )
        if row.lift > self.sent.get(customer_id, EMPTY_ROW).lift:
            size += _POSITION_BYTES + varint_size(row.lift)
        return size if row.waits else size + _POSITION_BYTES

    def _make_batch(self, chosen: dict[int, Row], size: int) -> Batch:
        rows = ServiceRows()
        second_column: list[int] = []
        previous_id = 0
        for position, customer_id in enumerate(sorted(chosen)):
            row = chosen[customer_id]
            rows.customers.append(customer_id - previous_id)
            rows.served.append(row.service)
            second_column.append(row.second_column)
            if row.lift > self.sent.get(customer_id, EMPTY_ROW).lift:
                rows.lifted.append(position)
                rows.lifts.append(row.lift)
            if not row.waits:
                rows.idle.append(position)
            previous_id = customer_id
        return Batch(rows, second_column, size)


def varint_size(number: int) -> int:
    """Return the size in bytes of a number in Thrift's compact protocol."""
    zigzag = number << 1
    return max(1, -(-zigzag.bit_length() // _VARINT_BITS_PER_BYTE))
