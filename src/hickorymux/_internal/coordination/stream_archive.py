"""Keeps the origins of streams on the store, for the loss of all routers.

Load pattern: all routers lose power at once while a pool has upstreams of
several software versions. Their callers resume the streams at routers that
have just started, and all replicas of the origins are gone.

The zone delegate appends the origins that the routers of its zone send it to
a topic of the store, in batches, so the calls grow with the zones and not with
the routers or the streams. Streams that begin within one batch before the loss
stay unknown. The topic is read only for a stream that no router knows.

If the store is restored from a copy, what was appended since is lost. The
router that appended it does so again while callers may still resume the
streams.

Example::

    archive.add(key, StreamOrigin('drafting', 'v1.2'))
    ...
    origin = await archive.find(key)
"""

import collections
import logging
from collections.abc import Mapping
from typing import Final, Protocol, final

import msgspec

from hickorymux._internal.coordination.ports import UNKNOWN_ERA, KeyedPage
from hickorymux._internal.exceptions import LogTrimmed, LogUnavailable
from hickorymux._internal.state.stream_origins import (
    StreamOrigin,
    StreamOriginTable,
)
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS
from hickorymux._internal.utils.single_flight import SingleFlight

ARCHIVE_TOPIC: Final = 'stream-origins'
# Origins are appended at this interval. A shorter one loses fewer streams and
# costs more calls.
APPEND_INTERVAL_SECONDS: Final = 0.2
# Lookups within this time after a read of the topic use what it returned.
READ_INTERVAL_SECONDS: Final = 0.2
# Origins that wait for an append. The oldest are dropped first.
MAX_PENDING_ORIGINS: Final = 10_000
# Longer than callers resume a stream after it began.
ORIGIN_LIFETIME_SECONDS: Final = 60.0

_logger: Final = logging.getLogger(__name__)

# Pool, software version, and the keys of the streams that began there.
_Group = tuple[str, str, list[int]]


class ArchiveLog(Protocol):
    """A log with topics that keep their records for a limited time."""

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; raises ``LogUnavailable``."""

    async def read_retained(self, topic: str) -> KeyedPage:
        """Return all retained records; raises ``LogUnavailable``."""

    async def read(
        self,
        topic: str,
        from_offset: int,
        *,
        wait_seconds: float = 0,
    ) -> KeyedPage:
        """Return the records from ``from_offset`` on.

        Raises ``LogTrimmed`` and ``LogUnavailable``.
        """


@final
class StreamArchive:
    """The origins of streams on the store.

    ``writer`` names this router in its records, ``pending`` has the origins
    that the next append writes, and ``table`` those that were read.
    ``written`` has the monotonic time, the number of origins and the value of
    each append whose streams may still be resumed. ``next_offset`` is of the
    era ``era``.
    """

    __slots__ = (
        'clock',
        'era',
        'log',
        'next_offset',
        'pending',
        'read_at',
        'reads',
        'table',
        'writer',
        'written',
    )

    def __init__(self, log: ArchiveLog, writer: str, clock: Clock) -> None:
        self.log = log
        self.writer = writer
        self.clock = clock
        self.pending: collections.OrderedDict[int, StreamOrigin] = (
            collections.OrderedDict()
        )
        self.table = StreamOriginTable()
        self.written: collections.deque[tuple[float, int, bytes]]
        self.written = collections.deque()
        self.next_offset: int | None = None
        self.era = UNKNOWN_ERA
        self.read_at: float | None = None
        self.reads = SingleFlight()

    def add(self, key: int, origin: StreamOrigin) -> None:
        """Append an origin with the next batch."""
        self.pending[key] = origin
        self._limit_pending()

    def on_era_change(self, era: int) -> None:
        """Append again what the store may have lost by a restore."""
        self._prune_written()
        added = self.pending
        self.pending = collections.OrderedDict()
        for _, _, value in self.written:
            self.pending.update(_decode(value))
        self.pending.update(added)
        self.written.clear()
        self._limit_pending()
        line = {
            'event': 'stream_archive_rewritten',
            'era': era,
            'streams': len(self.pending),
        }
        _logger.info('streams are archived again', extra={FIELDS: line})

    async def run(self) -> None:
        """Append what has been added until cancelled."""
        while True:
            await self.clock.sleep(APPEND_INTERVAL_SECONDS)
            await self.flush()

    async def flush(self) -> None:
        """Append what has been added; keep it for later if that fails."""
        if not self.pending:
            return
        batch = self.pending.copy()
        value = _encode(batch)
        try:
            await self.log.append(ARCHIVE_TOPIC, self.writer, value)
        except LogUnavailable as error:
            _report('stream_archive_not_written', error, streams=len(batch))
            return
        for key in batch:
            self.pending.pop(key, None)
        self.written.append((self.clock.monotonic(), len(batch), value))
        self._prune_written()

    async def find(self, key: int) -> StreamOrigin | None:
        """Return where a stream began, ``None`` if the store doesn't tell."""
        if self.reads.is_running or self._must_read():
            await self.reads.run(self._read)
        return self.table.get(key, self.clock.monotonic())

    def _must_read(self) -> bool:
        if self.read_at is None:
            return True
        age = self.clock.monotonic() - self.read_at
        return age >= READ_INTERVAL_SECONDS

    async def _read(self) -> None:
        try:
            page = await self._read_page()
        except (LogTrimmed, LogUnavailable) as error:
            self.next_offset = None
            _report('stream_archive_not_read', error)
        else:
            self.next_offset = page.next_offset
            for record in page.records:
                self._apply(record.value)
        self.read_at = self.clock.monotonic()

    async def _read_page(self) -> KeyedPage:
        """Return the records since the last read, all if the era has risen."""
        if self.next_offset is not None:
            page = await self.log.read(ARCHIVE_TOPIC, self.next_offset)
            if page.era in {UNKNOWN_ERA, self.era}:
                return page
        page = await self.log.read_retained(ARCHIVE_TOPIC)
        self.era = page.era
        return page

    def _apply(self, value: bytes) -> None:
        now = self.clock.monotonic()
        try:
            origins = _decode(value)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _report('stream_archive_unreadable', error)
            return
        for key, origin in origins.items():
            self.table.put(key, origin, now + ORIGIN_LIFETIME_SECONDS, now)

    def _limit_pending(self) -> None:
        while len(self.pending) > MAX_PENDING_ORIGINS:
            self.pending.popitem(last=False)

    def _prune_written(self) -> None:
        """Drop what is too old to be resumed, or more than one append takes."""
        oldest = self.clock.monotonic() - ORIGIN_LIFETIME_SECONDS
        count = sum(streams for _, streams, _ in self.written)
        while self.written and (
            self.written[0][0] < oldest or count > MAX_PENDING_ORIGINS
        ):
            count -= self.written.popleft()[1]


_decoder: Final = msgspec.msgpack.Decoder(list[_Group])


def _encode(batch: Mapping[int, StreamOrigin]) -> bytes:
    keys_by_origin: dict[StreamOrigin, list[int]] = {}
    for key, origin in batch.items():
        keys_by_origin.setdefault(origin, []).append(key)
    groups = [
        (begun.pool, begun.version, keys)
        for begun, keys in keys_by_origin.items()
    ]
    return msgspec.msgpack.encode(groups)


def _decode(value: bytes) -> dict[int, StreamOrigin]:
    """Return the origins of a record; raises an error of ``msgspec``."""
    return {
        key: StreamOrigin(pool, version)
        for pool, version, keys in _decoder.decode(value)
        for key in keys
    }


def _report(event: str, error: Exception, **fields: object) -> None:
    line = {'event': event, 'reason': str(error), **fields}
    _logger.warning(event, extra={FIELDS: line})
