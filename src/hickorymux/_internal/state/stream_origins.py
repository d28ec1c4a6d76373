"""The pools and software versions at which recent streams began.

A stream may go on only at the version that began it, also if its caller
resumes it with a later request at another router.

Example::

    key = stream_key('ann', 'request-1')
    table.put(key, StreamOrigin('drafting', 'v1.2'), now + 15, now)
    table.get(key, now)
"""

import collections
import dataclasses
from collections.abc import Iterator
from typing import Final, final

import xxhash

# Some streams of the busiest routers within the time that callers wait. The
# oldest are forgotten first, which ends in a refusal if one is resumed.
MAX_STREAMS: Final = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class StreamOrigin:
    """The pool, and the software version of the upstream that began a stream."""

    pool: str
    version: str


@dataclasses.dataclass(slots=True, frozen=True)
class _Row:
    """An origin, and the monotonic time in seconds up to which it is kept."""

    origin: StreamOrigin
    expires_at: float


@final
class StreamOriginTable:
    """The origins of recent streams by key, bounded in number and time."""

    __slots__ = ('max_streams', 'origins', 'rows')

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        self.max_streams = max_streams
        self.rows: collections.OrderedDict[int, _Row] = (
            collections.OrderedDict()
        )
        # Streams share the few distinct origins, which saves memory.
        self.origins: dict[StreamOrigin, StreamOrigin] = {}

    def put(
        self, key: int, origin: StreamOrigin, expires_at: float, now: float
    ) -> None:
        """Keep the origin of a stream until ``expires_at``."""
        self._remove_expired(now)
        if len(self.rows) >= self.max_streams:
            self.rows.popitem(last=False)
        shared = self.origins.setdefault(origin, origin)
        self.rows[key] = _Row(shared, expires_at)
        self.rows.move_to_end(key)

    def get(self, key: int, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, ``None`` if it is not known."""
        row = self.rows.get(key)
        if row is None or row.expires_at <= now:
            return None
        return row.origin

    def items(self, now: float) -> Iterator[tuple[int, StreamOrigin]]:
        """Yield the keys and origins of all streams that are known."""
        for key, row in self.rows.items():
            if row.expires_at > now:
                yield key, row.origin

    def seconds_left(self, key: int, now: float) -> float:
        """Return for how long the origin of a known stream is kept."""
        return self.rows[key].expires_at - now

    def _remove_expired(self, now: float) -> None:
        while self.rows:
            key, row = next(iter(self.rows.items()))
            if row.expires_at > now:
                break
            self.rows.pop(key)
        if not self.rows:
            self.origins.clear()


def stream_key(customer: str, request_id: str) -> int:
    """Return the key of the stream that a customer's request began.

    Customers choose their request ids, so two may choose the same.
    """
    text = f'{customer}\n{request_id}'
    # A header may have bytes that are not UTF-8.
    return xxhash.xxh3_64_intdigest(text.encode(errors='surrogateescape'))
