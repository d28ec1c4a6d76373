"""Messages about the software versions at which streams began.

A stream is named by its key, an unsigned 64-bit integer that is sent as a
signed one, as Thrift has no unsigned type.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class StreamBegun:
    """A stream began at an upstream of a pool with a software version.

    ``lifetime_ms`` is for how many milliseconds the caller may resume it.
    """

    key: int = 0
    pool: str = ''
    version: str = ''
    lifetime_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StreamQuery:
    """Asks where a stream began; ``number`` identifies the reply."""

    number: int = 0
    key: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StreamReply:
    """Answers the ``StreamQuery`` of the same number.

    ``lifetime_ms`` is 0 if the sender does not know the stream.
    """

    number: int = 0
    pool: str = ''
    version: str = ''
    lifetime_ms: int = 0
