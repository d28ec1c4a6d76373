"""The row of a customer as each kind of link tells it."""

from typing import final

from hickorymux._internal.coordination.pool_exchange import PoolExchange
from hickorymux._internal.coordination.service_link import (
    EMPTY_ROW,
    LinkKind,
    ReadRow,
    Row,
    ServiceLink,
)
from hickorymux._internal.state.zone_columns import Source, ZoneColumns


@final
class ReportRows:
    """Rows from a router to its zone's delegate."""

    __slots__ = ('counters', 'link')

    def __init__(self, exchange: PoolExchange, link: ServiceLink) -> None:
        self.counters = exchange.counters
        self.link = link

    def read(self, number: int) -> Row:
        """Return what this router served, and the zone while asked for it."""
        account = self.counters.account_by_id(number)
        zone_known: float = 0
        if not self.link.is_complete:
            zone_known = account.served + account.in_zone
        return Row(
            int(account.served),
            int(zone_known),
            int(account.lift),
            account.waits_here,
        )


@final
class SumRows:
    """Rows from a delegate."""

    __slots__ = ('columns', 'exchange', 'link')

    def __init__(
        self,
        exchange: PoolExchange,
        link: ServiceLink,
        columns: ZoneColumns,
    ) -> None:
        self.exchange = exchange
        self.link = link
        self.columns = columns

    def read_own_zone(self, number: int) -> Row:
        """Return what this zone served, once the total is settled."""
        if not self.columns.is_settled:
            return EMPTY_ROW
        account = self.exchange.counters.account_by_id(number)
        service = account.served + self.columns.of_members(number)
        waits = number in self.exchange.waits_at_routers.peers
        return Row(
            int(service),
            lift=int(account.lift),
            waits=waits or account.waits_here,
        )

    def read_other_zone(self, number: int) -> Row:
        """Return what another zone served, as far as known here."""
        zone = self.columns.zones.get(self.link.key.zone, {})
        return Row(int(zone.get(number, 0)))

    def read_fleet(self, number: int) -> Row:
        """Return what all routers but the peer served."""
        account = self.exchange.counters.account_by_id(number)
        key = self.link.key
        source = Source(key.router_id, key.incarnation)
        routers = self.exchange.waits_at_routers
        waits = account.waits_here or routers.any_but(number, key.router_id)
        return Row(
            int(account.served + self.columns.without(source, number)),
            int(self.columns.other_zones.get(number, 0)),
            int(account.lift),
            waits or number in self.exchange.waits_in_zones.peers,
        )


def row_reader(exchange: PoolExchange, link: ServiceLink) -> ReadRow:
    """Return the function that reads the rows of a link."""
    if exchange.columns is None:
        return ReportRows(exchange, link).read
    rows = SumRows(exchange, link, exchange.columns)
    if link.key.kind is LinkKind.fleet:
        return rows.read_fleet
    if link.key.zone == exchange.members.myself.zone:
        return rows.read_own_zone
    return rows.read_other_zone
