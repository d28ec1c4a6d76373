"""Messages by which routers lease upstream slots from each other.

A lease holder and a slot coordinator communicate in a session, which the
holder numbers. Counts of slots are totals since the session was opened and
only grow. Every message of a holder renews its session. The coordinator
echoes the highest ``sequence`` that it has received, so that the holder knows
from when its leases count.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class HeadCustomer:
    """A customer with waiting requests near the head of a router's queue.

    ``counter`` is its virtual time, the service received divided by the
    weight. ``waiting`` is its number of waiting requests.
    """

    customer: str = ''
    counter: float = 0
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class PoolDemand:
    """How many slots of a pool a router can use, including those it holds.

    ``target`` is that number. ``is_urgent`` means that the router has asked
    all coordinators and still needs slots, which other routers have to give
    up.
    """

    pool: str = ''
    target: int = 0
    is_urgent: bool = False
    heads: list[HeadCustomer] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SlotCount:
    """A number of slots of one upstream."""

    upstream: str = ''
    slots: int = 0


@dataclasses.dataclass(slots=True)
class GrantedSlots:
    """The lease of one upstream: total slots granted and revoked.

    ``recalled`` is the total of revoked slots.
    """

    upstream: str = ''
    instance: str = ''
    granted: int = 0
    recalled: int = 0


@dataclasses.dataclass(slots=True)
class SlotRequest:
    """A request of a lease holder for slots."""

    session: int = 0
    sequence: int = 0
    demands: list[PoolDemand] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SlotRenew:
    """A message by which a lease holder opens or extends its session.

    ``held`` lists the slots that the holder has of the coordinator's
    upstreams when it opens the session, and is empty otherwise. ``seen`` is
    the version up to which the holder has received all grants. ``held_total``
    is the number of slots that it holds, by which the coordinator detects a
    lost message. ``is_busy_only`` means that every slot of ``held`` carries a
    request.
    """

    session: int = 0
    sequence: int = 0
    is_opening: bool = False
    seen: int = 0
    held_total: int = 0
    is_busy_only: bool = False
    held: list[SlotCount] = dataclasses.field(default_factory=list)
    demands: list[PoolDemand] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SlotReturn:
    """A message by which a lease holder returns slots.

    ``returned`` holds the totals of returned slots by upstream.
    """

    session: int = 0
    sequence: int = 0
    returned: list[SlotCount] = dataclasses.field(default_factory=list)
    demands: list[PoolDemand] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SlotGrant:
    """An answer that extends a holder's session and lists changed leases.

    ``epoch`` is different each time a coordinator opens a session.
    ``is_unknown`` means that the coordinator does not know the session, and
    that the holder has to open a new one. ``loans`` lists all leases that
    changed after version ``base``. Routers wait for slots of ``short_pools``,
    so that idle slots of these have to be returned at once.
    """

    session: int = 0
    sequence: int = 0
    epoch: int = 0
    lease_ms: int = 0
    is_unknown: bool = False
    base: int = 0
    version: int = 0
    loans: list[GrantedSlots] = dataclasses.field(default_factory=list)
    short_pools: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class HandedLoan:
    """A lease that a coordinator hands over to its successor."""

    router_id: str = ''
    slots: int = 0


@dataclasses.dataclass(slots=True)
class SlotHandover:
    """The leases of an upstream, sent to its next coordinator.

    The successor need not wait for the leases to expire, as the sender grants
    no more slots of the upstream. ``limit`` is the number of slots that could
    be leased out of the instance at the handover.
    """

    upstream: str = ''
    epoch: int = 0
    instance: str = ''
    limit: int = 0
    loans: list[HandedLoan] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class UpstreamSign:
    """A report to the coordinator of a state that a holder saw in an upstream.

    ``state`` is a phase, or ``refused`` after the upstream refused a request.
    """

    upstream: str = ''
    instance: str = ''
    state: str = ''


@dataclasses.dataclass(slots=True)
class ColdOffer:
    """An offer of a permit for a cold upstream, to be claimed on the log.

    ``limit`` is the number of permits of the instance.
    """

    upstream: str = ''
    instance: str = ''
    limit: int = 0
