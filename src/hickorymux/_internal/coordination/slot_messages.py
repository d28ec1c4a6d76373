"""Messages by which routers lend slots to each other.

A holder and a home talk in a session, which the holder numbers. Counts of
slots are totals since the session was opened and only grow. Every message
of a holder renews its session; the home echoes the highest ``sequence`` it
has heard, so that the holder knows from when its lease counts.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class HeadCustomer:
    """A backlogged customer near the head of a router's queue.

    ``counter`` is the virtual service received so far, ``waiting`` a number
    of requests.
    """

    customer: str = ''
    counter: float = 0
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class PoolDemand:
    """How many slots of a pool a router can use, those it holds included.

    ``is_urgent`` means that the router asked the other homes too, so that
    idle slots of other routers are needed.
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
    """The loan of one upstream: slots granted and recalled in total."""

    upstream: str = ''
    instance: str = ''
    granted: int = 0
    recalled: int = 0


@dataclasses.dataclass(slots=True)
class SlotRequest:
    """A holder asks a home for slots."""

    session: int = 0
    sequence: int = 0
    demands: list[PoolDemand] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SlotRenew:
    """A holder opens or extends its session.

    ``held`` lists what the holder has of the home's upstreams when it opens
    the session, and is empty otherwise. ``seen`` is the version up to which
    the holder has all grants, ``held_total`` the slots that it has in all, by
    which the home notices that a message was lost. ``is_busy_only`` means that
    every slot of ``held`` carries a request.
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
    """A holder gives slots back; ``returned`` holds totals."""

    session: int = 0
    sequence: int = 0
    returned: list[SlotCount] = dataclasses.field(default_factory=list)
    demands: list[PoolDemand] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SlotGrant:
    """A home answers a holder: its session lives on, and these loans changed.

    ``epoch`` is new each time a home opens a session. ``is_unknown`` tells the holder
    that the home does not know the session, which has to be opened anew. The
    message lists all loans that changed after version ``base``. Routers wait
    for slots of ``short_pools``, so that idle slots of these go back at once.
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
    """A loan that a home hands to its successor."""

    router_id: str = ''
    slots: int = 0


@dataclasses.dataclass(slots=True)
class SlotHandover:
    """A home that ends names its loans, so that the next need not wait.

    The sender lends none of the upstream's slots any more. ``limit`` is the
    number of slots that it might lend of the instance when it ended.
    """

    upstream: str = ''
    epoch: int = 0
    instance: str = ''
    limit: int = 0
    loans: list[HandedLoan] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class UpstreamSign:
    """A holder tells a home what it saw of an upstream."""

    upstream: str = ''
    instance: str = ''
    state: str = ''


@dataclasses.dataclass(slots=True)
class ColdOffer:
    """A home offers a permit of a cold upstream, to be claimed on the log.

    ``limit`` is the number of permits of the instance.
    """

    upstream: str = ''
    instance: str = ''
    limit: int = 0
