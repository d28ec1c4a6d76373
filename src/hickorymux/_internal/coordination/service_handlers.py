"""Handlers that merge received service messages into a pool's counters."""

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
    """One customer's row of a received message.

    ``service`` and ``second_column`` are service in virtual units. The second
    column is ``ServiceReport.zone_known`` or ``FleetService.other_zones``.
    ``lift`` is 0 when the row has none. ``waits`` tells whether requests of
    the customer wait at the routers that the row covers.
    """

    customer_id: int
    service: int
    second_column: int
    lift: int
    waits: bool


def read_rows(
    rows: ServiceRows, second_column: list[int]
) -> Iterator[ReceivedRow]:
    """Yield the rows of a message.

    ``second_column`` may be shorter than the rows; missing values are 0.
    """
    lifts = dict(zip(rows.lifted, rows.lifts, strict=False))
    idle = frozenset(rows.idle)
    customer_ids = itertools.accumulate(rows.customers)
    columns = itertools.zip_longest(rows.served, second_column, fillvalue=0)
    for position, (customer_id, values) in enumerate(
        zip(customer_ids, columns, strict=False),
    ):
        yield ReceivedRow(
            customer_id,
            values[0],
            values[1],
            lifts.get(position, 0),
            position not in idle,
        )


@functools.singledispatch
def handle_service_message(
    message: Any, sender: str, exchange: PoolExchange
) -> None:
    """Handle a message of the counter exchange; ignore other types."""


@handle_service_message.register
def _handle_report(
    message: ServiceReport,
    sender: str,
    exchange: PoolExchange,
) -> None:
    totals = exchange.zone_totals
    if totals is None:
        return
    source = Source(sender, message.incarnation)
    report = totals.report_from(source, exchange.clock.monotonic())
    if report is None:
        return
    exchange.counters.raise_floor(message.floor)
    rows = list(read_rows(message.rows, message.zone_known))
    for row in rows:
        account = exchange.counters.account_by_id(row.customer_id)
        totals.merge_reported(report, row.customer_id, row.service)
        totals.raise_base(row.customer_id, row.second_column - account.served)
        exchange.waits_at_routers.set_waiting(
            row.customer_id, sender, waits=row.waits
        )
        exchange.counters.merge(AccountUpdate(row.customer_id, lift=row.lift))
    if message.is_complete and exchange.mark_complete(sender, message.term):
        report.is_complete = True
        exchange.finish_sync_if_ready()
    exchange.apply_zone_totals([one.customer_id for one in rows])


@handle_service_message.register
def _handle_zone(
    message: ZoneService,
    sender: str,
    exchange: PoolExchange,
) -> None:
    totals = exchange.zone_totals
    if totals is None:
        return
    exchange.counters.raise_floor(message.floor)
    is_own = message.zone == exchange.members.myself.zone
    exchange.end_isolation(totals)
    rows = list(read_rows(message.rows, []))
    for row in rows:
        account = exchange.counters.account_by_id(row.customer_id)
        if is_own:
            own = 0 if totals.is_base_remote else account.served
            totals.raise_base(row.customer_id, row.service - own)
            continue
        totals.raise_other_zone(message.zone, row.customer_id, row.service)
        zones = exchange.waits_in_zones
        zones.set_waiting(row.customer_id, message.zone, waits=row.waits)
        exchange.counters.merge(AccountUpdate(row.customer_id, lift=row.lift))
    if message.is_complete:
        exchange.mark_complete(message.zone, message.term)
        exchange.finish_sync_if_ready()
    exchange.apply_zone_totals([one.customer_id for one in rows])


@handle_service_message.register
def _handle_fleet(
    message: FleetService,
    sender: str,
    exchange: PoolExchange,
) -> None:
    counters = exchange.counters
    counters.raise_floor(message.floor)
    is_delegate = exchange.delegate == Source(sender, message.incarnation)
    for row in read_rows(message.rows, message.other_zones):
        counters.merge(
            AccountUpdate(
                row.customer_id, row.service, row.second_column, row.lift
            ),
        )
        if is_delegate and exchange.zone_totals is None:
            counters.set_waits_elsewhere(
                counters.account_by_id(row.customer_id),
                waits=row.waits,
            )
    is_for_me = message.recipient == exchange.members.myself.incarnation
    if is_delegate and is_for_me and exchange.zone_totals is None:
        exchange.apply_delegate_state(is_complete=message.is_complete)


@handle_service_message.register
def _handle_request(
    message: ServiceRequest,
    sender: str,
    exchange: PoolExchange,
) -> None:
    exchange.handle_request(sender, message)
