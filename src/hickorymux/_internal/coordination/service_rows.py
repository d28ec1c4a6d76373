"""Builds the row of a customer for each kind of link."""

from typing import final

from hickorymux._internal.coordination.pool_exchange import PoolExchange
from hickorymux._internal.coordination.service_link import (
    EMPTY_ROW,
    LinkKind,
    ReadRow,
    Row,
    ServiceLink,
)
from hickorymux._internal.state.zone_columns import Source, ZoneTotals


@final
class ReportRows:
    """Rows that a router reports to its zone delegate."""

    __slots__ = ('counters', 'link')

    def __init__(self, exchange: PoolExchange, link: ServiceLink) -> None:
        self.counters = exchange.counters
        self.link = link

    def read(self, customer_id: int) -> Row:
        """Return the service at this router.

        The second column is the service known for the whole zone, until the
        delegate's request is answered in full.
        """
        account = self.counters.account_by_id(customer_id)
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
class DelegateRows:
    """Rows that a delegate sends to routers of its zone and other delegates."""

    __slots__ = ('exchange', 'link', 'zone_totals')

    def __init__(
        self,
        exchange: PoolExchange,
        link: ServiceLink,
        zone_totals: ZoneTotals,
    ) -> None:
        self.exchange = exchange
        self.link = link
        self.zone_totals = zone_totals

    def read_own_zone(self, customer_id: int) -> Row:
        """Return the service in this zone.

        The row is empty until the zone totals are settled.
        """
        if not self.zone_totals.is_settled:
            return EMPTY_ROW
        account = self.exchange.counters.account_by_id(customer_id)
        service = account.served + self.zone_totals.service_of_others(
            customer_id
        )
        waits = customer_id in self.exchange.waits_at_routers.peers_by_customer
        return Row(
            int(service),
            lift=int(account.lift),
            waits=waits or account.waits_here,
        )

    def read_other_zone(self, customer_id: int) -> Row:
        """Return the service in another zone, as far as known here."""
        zone = self.zone_totals.zones.get(self.link.key.zone, {})
        return Row(int(zone.get(customer_id, 0)))

    def read_fleet(self, customer_id: int) -> Row:
        """Return the service at all routers but the peer.

        The second column is the service in other zones.
        """
        account = self.exchange.counters.account_by_id(customer_id)
        key = self.link.key
        source = Source(key.router_id, key.incarnation)
        routers = self.exchange.waits_at_routers
        waits = account.waits_here or routers.waits_at_other(
            customer_id, key.router_id
        )
        return Row(
            int(
                account.served
                + self.zone_totals.service_without(source, customer_id)
            ),
            int(self.zone_totals.other_zones.get(customer_id, 0)),
            int(account.lift),
            waits
            or customer_id in self.exchange.waits_in_zones.peers_by_customer,
        )


def row_reader(exchange: PoolExchange, link: ServiceLink) -> ReadRow:
    """Return the function that builds the row of a customer id for a link."""
    if exchange.zone_totals is None:
        return ReportRows(exchange, link).read
    rows = DelegateRows(exchange, link, exchange.zone_totals)
    if link.key.kind is LinkKind.fleet:
        return rows.read_fleet
    if link.key.zone == exchange.members.myself.zone:
        return rows.read_own_zone
    return rows.read_other_zone
