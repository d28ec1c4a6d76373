"""Messages with which routers exchange the load that they have placed."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """The work in flight of one router, or of a whole zone.

    ``zone`` is empty for a single router. The lists are columns of two tables.
    The first has a row for each upstream: its id, the requests running there,
    their unprocessed prompt tokens and the tokens that they occupy in the
    engine's memory. The second has a row for each pool and customer: the
    recent service of the customer and its recent demand that was not met.
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
