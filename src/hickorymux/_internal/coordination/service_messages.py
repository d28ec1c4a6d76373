"""Messages of the counter exchange: service by customer, as columns.

Service is cumulative and in whole virtual units, rounded down. Customers are
ascending ids, each as the difference to the one before. ``term`` repeats the
number of the last request to send everything, and ``is_complete`` says that
everything up to now was sent since.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceRows:
    """Customers with their service; lifts and idle ones by row number."""

    customers: list[int] = dataclasses.field(default_factory=list)
    served: list[int] = dataclasses.field(default_factory=list)
    lifted: list[int] = dataclasses.field(default_factory=list)
    lifts: list[int] = dataclasses.field(default_factory=list)
    idle: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceReport:
    """A router tells its zone's delegate what it has served itself.

    ``zone_known`` is the service of the whole zone as the router knows it. It
    is empty once the delegate has asked for nothing more.
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
    """A delegate tells another zone's delegate the total of a zone."""

    pool: str = ''
    zone: str = ''
    rows: ServiceRows = dataclasses.field(default_factory=ServiceRows)
    floor: int = 0
    term: int = 0
    is_complete: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FleetService:
    """A delegate tells a router of its zone what all others have served.

    ``rows.served`` is that of the other routers in the zone, ``other_zones``
    that of the other zones. ``recipient`` is the incarnation that the message
    is for: a router that restarted has not got what its earlier life got.
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
    """Asks a router to repeat ``term``, and to send all when ``is_full``."""

    pool: str = ''
    term: int = 0
    is_full: bool = False
