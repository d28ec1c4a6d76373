"""Takes the messages of the counter exchange into one pool's counters."""

import dataclasses
import functools
import itertools
from collections.abc import Iterator
from typing import Any

from hickorymux._internal.coordination.pool_exchange import PoolExchange
from hickorymux._internal.coordination.service_messages import (
    FleetService,
    ServiceReport,
    ServiceRequest,
    ServiceRows,
    ZoneService,
)
from hickorymux._internal.state.service_counters import AccountUpdate
from hickorymux._internal.state.zone_columns import Source


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedRow:
    """One customer of a received message."""

    number: int
    service: int
    extra: int
    lift: int
    waits: bool


def read_rows(rows: ServiceRows, extra: list[int]) -> Iterator[ReceivedRow]:
    """Yield the rows of a message; a missing second column reads as 0."""
    lifts = dict(zip(rows.lifted, rows.lifts, strict=False))
    idle = frozenset(rows.idle)
    numbers = itertools.accumulate(rows.customers)
    columns = itertools.zip_longest(rows.served, extra, fillvalue=0)
    for position, (number, values) in enumerate(
        zip(numbers, columns, strict=False),
    ):
        yield ReceivedRow(
            number,
            values[0],
            values[1],
            lifts.get(position, 0),
            position not in idle,
        )


@functools.singledispatch
def take_message(message: Any, sender: str, exchange: PoolExchange) -> None:
    """Take a message of the exchange; other messages are dropped."""


@take_message.register
def _take_report(
    message: ServiceReport,
    sender: str,
    exchange: PoolExchange,
) -> None:
    columns = exchange.columns
    if columns is None:
        return
    source = Source(sender, message.incarnation)
    column = columns.hear(source, exchange.clock.monotonic())
    if column is None:
        return
    exchange.counters.raise_floor(message.floor)
    rows = list(read_rows(message.rows, message.zone_known))
    for row in rows:
        account = exchange.counters.account_by_id(row.number)
        columns.add(column, row.number, row.service)
        columns.add_base(row.number, row.extra - account.served)
        exchange.waits_at_routers.put(row.number, sender, waits=row.waits)
        exchange.counters.merge(AccountUpdate(row.number, lift=row.lift))
    if message.is_complete and exchange.hear_complete(sender, message.term):
        column.is_complete = True
        exchange.check_synced()
    exchange.take_over([one.number for one in rows])


@take_message.register
def _take_zone(
    message: ZoneService,
    sender: str,
    exchange: PoolExchange,
) -> None:
    columns = exchange.columns
    if columns is None:
        return
    exchange.counters.raise_floor(message.floor)
    is_own = message.zone == exchange.members.myself.zone
    exchange.end_isolation(columns)
    rows = list(read_rows(message.rows, []))
    for row in rows:
        account = exchange.counters.account_by_id(row.number)
        if is_own:
            own = 0 if columns.is_detached else account.served
            columns.add_base(row.number, row.service - own)
            continue
        columns.add_zone(message.zone, row.number, row.service)
        zones = exchange.waits_in_zones
        zones.put(row.number, message.zone, waits=row.waits)
        exchange.counters.merge(AccountUpdate(row.number, lift=row.lift))
    if message.is_complete:
        exchange.hear_complete(message.zone, message.term)
        exchange.check_synced()
    exchange.take_over([one.number for one in rows])


@take_message.register
def _take_fleet(
    message: FleetService,
    sender: str,
    exchange: PoolExchange,
) -> None:
    counters = exchange.counters
    counters.raise_floor(message.floor)
    is_delegate = exchange.delegate == Source(sender, message.incarnation)
    for row in read_rows(message.rows, message.other_zones):
        counters.merge(
            AccountUpdate(row.number, row.service, row.extra, row.lift),
        )
        if is_delegate and exchange.columns is None:
            counters.set_waits_elsewhere(
                counters.account_by_id(row.number),
                waits=row.waits,
            )
    is_for_me = message.recipient == exchange.members.myself.incarnation
    if is_delegate and is_for_me and exchange.columns is None:
        exchange.follow_delegate(is_complete=message.is_complete)


@take_message.register
def _take_request(
    message: ServiceRequest,
    sender: str,
    exchange: PoolExchange,
) -> None:
    exchange.answer(sender, message)
