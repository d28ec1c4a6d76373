"""Messages by which routers tell each other what they have placed."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """The work in flight of one router, or of a whole zone.

    ``zone`` is empty for a single router. Row by row: the upstream's id, its
    requests, the prompt tokens they have yet to read, the tokens they occupy.
    Then, row by row, pool, customer, the service it was given lately and how
    many of its requests wait.
    """

    zone: str = ''
    upstreams: list[str] = dataclasses.field(default_factory=list)
    running: list[int] = dataclasses.field(default_factory=list)
    unread: list[int] = dataclasses.field(default_factory=list)
    memory: list[int] = dataclasses.field(default_factory=list)
    pools: list[str] = dataclasses.field(default_factory=list)
    customers: list[str] = dataclasses.field(default_factory=list)
    given: list[int] = dataclasses.field(default_factory=list)
    waiting: list[int] = dataclasses.field(default_factory=list)
