"""Messages by which routers tell each other what they have placed."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """The work in flight of one router, or of a whole zone.

    ``zone`` is empty for a single router. Row by row: the upstream's id, its
    requests, the prompt tokens they have yet to read, the tokens they occupy.
    """

    zone: str = ''
    upstreams: list[str] = dataclasses.field(default_factory=list)
    running: list[int] = dataclasses.field(default_factory=list)
    unread: list[int] = dataclasses.field(default_factory=list)
    memory: list[int] = dataclasses.field(default_factory=list)
