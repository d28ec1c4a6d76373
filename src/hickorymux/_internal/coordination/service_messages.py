"""Messages of the counter exchange: service by customer, as columns.

Service is cumulative, in whole virtual units, rounded down. A customer's
*lift* is what was added to its virtual time beyond service; see
``service_counters``. ``floor`` is that of ``ServiceCounters``.

``term`` is the number of a request: a sender of service repeats the term of
the last ``ServiceRequest`` that it received. ``is_complete`` means that all
rows up to now were sent since that request.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceRows:
    """Customers with their service, one row each.

    ``customers`` holds ascending customer ids, each as the difference to the
    one before; ``served`` their service. ``lifted`` holds the positions of the
    rows with a lift and ``lifts`` these lifts. ``idle`` holds the positions of
    the customers without waiting requests.
    """

    customers: list[int] = dataclasses.field(default_factory=list)
    served: list[int] = dataclasses.field(default_factory=list)
    lifted: list[int] = dataclasses.field(default_factory=list)
    lifts: list[int] = dataclasses.field(default_factory=list)
    idle: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceReport:
    """A router reports to its zone delegate what it has served itself.

    ``zone_known`` is the service of the whole zone as the router knows it. It
    is empty once the router has sent all that the delegate requested.
    """

    pool: str = ''
    incarnation: int = 0
    rows: ServiceRows = dataclasses.field(default_factory=ServiceRows)
    zone_known: list[int] = dataclasses.field(default_factory=list)
    floor: int = 0
    term: int = 0
    is_complete: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ZoneService:
    """A delegate sends another zone's delegate the total of a zone.

    ``zone`` is usually the sender's own. It can also be the recipient's zone
    or one without live routers: a recipient that lost its counters in a
    restart recovers these totals from its peers.
    """

    pool: str = ''
    zone: str = ''
    rows: ServiceRows = dataclasses.field(default_factory=ServiceRows)
    floor: int = 0
    term: int = 0
    is_complete: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FleetService:
    """A delegate sends a router of its zone what all others have served.

    ``rows.served`` is the service at the other routers in the zone,
    ``other_zones`` that in the other zones. ``recipient`` is the incarnation
    that the message is for: a router that restarted lacks what was sent to its
    earlier incarnation.
    """

    pool: str = ''
    incarnation: int = 0
    rows: ServiceRows = dataclasses.field(default_factory=ServiceRows)
    other_zones: list[int] = dataclasses.field(default_factory=list)
    floor: int = 0
    is_complete: bool = False
    recipient: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A delegate asks a peer to send its service.

    The peer sends everything when ``is_full`` is true, otherwise what is not
    yet sent. Its later messages repeat ``term``.
    """

    pool: str = ''
    term: int = 0
    is_full: bool = False
