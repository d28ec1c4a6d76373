"""Messages about load: what routers have placed, and what upstreams take."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """The work in flight of one router, or of a whole zone.

    ``zone`` is empty for a single router. The lists are columns of two tables.
    The first has a row for each upstream: its id, the requests running there,
    their unprocessed prompt tokens and the tokens that they occupy in the
    engine's memory. The second has a row for each pool and customer: the
    recent service of the customer and its recent demand that was not met.
    ``routers`` is how many routers the report of a zone sums up, 0 for a single
    router.
    """

    zone: str = ''
    upstreams: list[str] = dataclasses.field(default_factory=list)
    running: list[int] = dataclasses.field(default_factory=list)
    unread: list[int] = dataclasses.field(default_factory=list)
    memory: list[int] = dataclasses.field(default_factory=list)
    pools: list[str] = dataclasses.field(default_factory=list)
    customers: list[str] = dataclasses.field(default_factory=list)
    given: list[int] = dataclasses.field(default_factory=list)
    unmet: list[int] = dataclasses.field(default_factory=list)
    routers: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class LimitReport:
    """The request rates that upstreams have named, as columns of a table.

    It has a row for each incarnation of an upstream: its name, the rate for
    all routers together in thousandths of a request per second, -1 if the
    limit has ended, and how long ago the upstream said so.
    """

    upstreams: list[str] = dataclasses.field(default_factory=list)
    milli_per_second: list[int] = dataclasses.field(default_factory=list)
    ages_ms: list[int] = dataclasses.field(default_factory=list)
