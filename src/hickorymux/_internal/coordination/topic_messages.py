"""Messages by which a zone's reader passes on what it reads."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class TopicAsk:
    """Asks for the records of a topic from an offset on."""

    number: int = 0
    topic: str = ''
    offset: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class TopicPage:
    """Answers the ask of that number.

    Without ``is_whole`` the reader does not have all the records, or they are
    too large. ``lag_us`` is how long before the ask had come the answer may
    have been true last, in microseconds.
    """

    number: int = 0
    is_whole: bool = False
    next_offset: int = 0
    lag_us: int = 0
    keys: list[str] = dataclasses.field(default_factory=list)
    values: list[bytes] = dataclasses.field(default_factory=list)
