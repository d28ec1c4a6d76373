"""Messages by which a zone reader passes records on to its zone."""

import dataclasses

from hickorymux._internal.coordination.ports import UNKNOWN_ERA


@dataclasses.dataclass(slots=True, frozen=True)
class TopicAsk:
    """Asks the zone reader for the records of a topic from an offset on.

    ``era`` is that of the offset.
    """

    number: int = 0
    topic: str = ''
    offset: int = 0
    era: int = UNKNOWN_ERA


@dataclasses.dataclass(slots=True, frozen=True)
class TopicPage:
    """Answers the ``TopicAsk`` of the same number.

    ``is_whole`` is false if the sender does not have all of the records, is
    not the zone reader, or the records are too large for a message.
    ``lag_us`` is the time in microseconds from the moment up to which the
    records are complete to the receipt of the request, 0 if they are
    complete up to a later moment. ``era`` is that of the records.
    """

    number: int = 0
    is_whole: bool = False
    next_offset: int = 0
    lag_us: int = 0
    keys: list[str] = dataclasses.field(default_factory=list)
    values: list[bytes] = dataclasses.field(default_factory=list)
    era: int = UNKNOWN_ERA
