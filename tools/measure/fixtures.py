"""Members, a message sender and tables of given sizes as measurement inputs."""

import dataclasses
from collections.abc import Sequence
from typing import Any

from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.state.rows import PoolRow, RouteRow, UpstreamRow
from hickorymux._internal.state.tables import (
    Pool,
    PoolKind,
    Tables,
    Upstream,
)

POOL = 'pool-1'
ZONE = 'zone-1'
ZONES = 28


@dataclasses.dataclass(slots=True)
class FixedMembers:
    """A ``MemberView`` that does not change; this router is the first member."""

    members: tuple[Member, ...]

    @property
    def myself(self) -> Member:
        """Return this router."""
        return self.members[0]

    def live(self) -> Sequence[Member]:
        """Return all routers."""
        return self.members

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        """Return the routers of a zone."""
        return [member for member in self.members if member.zone == zone]


@dataclasses.dataclass(slots=True)
class CollectingSender:
    """A ``PeerSender`` that collects the messages instead of sending them."""

    sent: list[Any] = dataclasses.field(default_factory=list)

    def send(self, router_id: str, message: Any) -> bool:
        """Collect a message."""
        self.sent.append(message)
        return True


def members_of_zone(count: int, zone: str = ZONE) -> FixedMembers:
    """Return the members of a zone with ``count`` routers."""
    return FixedMembers(
        tuple(
            Member(f'{zone}-r{number}', 1, zone, '10.0.0.1', 8082)
            for number in range(count)
        ),
    )


def upstreams(count: int, zone: str = ZONE) -> tuple[Upstream, ...]:
    """Return ``count`` upstreams of one zone."""
    return tuple(
        Upstream(f'engine-{number:05}', zone, f'10.0.0.1:{number}', 8)
        for number in range(count)
    )


def tables_of(count: int) -> Tables:
    """Return tables with one pool of ``count`` upstreams in one zone."""
    pool = Pool(POOL, PoolKind.model, upstreams(count))
    return Tables(version=1, pools={POOL: pool})


def fleet_tables(count: int) -> Tables:
    """Return tables with one pool of ``count`` upstreams in 28 zones.

    The first zone is that of ``members_of_zone``.
    """
    upstreams_in_zones = [
        Upstream(
            f'engine-{number:05}',
            f'zone-{number % ZONES + 1}',
            f'10.0.0.1:{number}',
            8,
        )
        for number in range(count)
    ]
    pool = Pool(POOL, PoolKind.model, tuple(upstreams_in_zones))
    return Tables(version=1, pools={POOL: pool})


def rows_of(count: int) -> list[PoolRow | RouteRow | UpstreamRow]:
    """Return the rows of one pool, one route and ``count`` upstreams."""
    engines = [
        UpstreamRow(
            pool=POOL,
            name=f'engine-{number:05}',
            zone=ZONE,
            address=f'10.0.0.1:{number % 60000 + 1}',
            slots=8,
        )
        for number in range(count)
    ]
    return [
        PoolRow(name=POOL, kind='model'),
        RouteRow(name='route-1', pool=POOL, model='draft'),
        *engines,
    ]


def customer_names(count: int) -> list[str]:
    """Return the names of ``count`` customers."""
    return [f'customer-{number:04}' for number in range(count)]
