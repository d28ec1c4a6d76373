"""Keeps the origins of streams on the store, for the loss of all routers.

Load pattern: all routers lose power at once while a pool has upstreams of
several software versions. Their callers resume the streams at routers that
have just started, and all replicas of the origins are gone.

The zone delegate appends the origins that the routers of its zone send it to
a topic of the store, in batches, so the calls grow with the zones and not with
the routers or the streams. Streams that begin within one batch before the loss
stay unknown. The topic is read only for a stream that no router knows.

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

from hickorymux._internal.coordination.ports import KeyedPage
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
    """

    __slots__ = (
        'clock',
        'log',
        'next_offset',
        'pending',
        'read_at',
        'reads',
        'table',
        'writer',
    )

    def __init__(self, log: ArchiveLog, writer: str, clock: Clock) -> None:
        self.log = log
        self.writer = writer
        self.clock = clock
        self.pending: collections.OrderedDict[int, StreamOrigin] = (
            collections.OrderedDict()
        )
        self.table = StreamOriginTable()
        self.next_offset: int | None = None
        self.read_at: float | None = None
        self.reads = SingleFlight()

    def add(self, key: int, origin: StreamOrigin) -> None:
        """Append an origin with the next batch."""
        self.pending[key] = origin
        while len(self.pending) > MAX_PENDING_ORIGINS:
            self.pending.popitem(last=False)

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
        try:
            await self.log.append(ARCHIVE_TOPIC, self.writer, _encode(batch))
        except LogUnavailable as error:
            _report('stream_archive_not_written', error, streams=len(batch))
            return
        for key in batch:
            self.pending.pop(key, None)

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
        if self.next_offset is None:
            return await self.log.read_retained(ARCHIVE_TOPIC)
        return await self.log.read(ARCHIVE_TOPIC, self.next_offset)

    def _apply(self, value: bytes) -> None:
        now = self.clock.monotonic()
        try:
            groups = _decoder.decode(value)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _report('stream_archive_unreadable', error)
            return
        for pool, version, keys in groups:
            origin = StreamOrigin(pool, version)
            for key in keys:
                self.table.put(key, origin, now + ORIGIN_LIFETIME_SECONDS, now)


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


def _report(event: str, error: Exception, **fields: object) -> None:
    line = {'event': event, 'reason': str(error), **fields}
    _logger.warning(event, extra={FIELDS: line})
