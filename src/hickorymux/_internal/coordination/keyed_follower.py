"""Follows a topic with keys and knows how old its view is.

A follower starts from the newest record of each key and then reads on. When
the log has dropped the offset it would read from, it starts over; keys that
are no longer listed then count as dropped.

Example::

    follower = KeyedFollower(log, clock, 'tables', on_record, on_listing)
    await follower.run()
"""

import dataclasses
import logging
import math
from collections.abc import Callable
from typing import Final, final

from hickorymux._internal.coordination.ports import (
    KeyedLog,
    KeyedPage,
    KeyedRecord,
)
from hickorymux._internal.exceptions import LogTrimmed, LogUnavailable
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS

# A failed read is repeated after the first of these, then after twice as long
# each time, up to the last.
RETRY_SECONDS: Final = 0.15
MAX_RETRY_SECONDS: Final = 0.6
# A view older than this was cut off from the log for a while, though no read
# failed, as when the process was frozen. Above what a change of the reader or
# a busy process takes.
OUTAGE_SECONDS: Final = 4.0

_logger = logging.getLogger(__name__)

TakeRecord = Callable[[KeyedRecord], None]
TakeListing = Callable[[frozenset[str]], None]


@dataclasses.dataclass(slots=True, frozen=True)
class ReadTiming:
    """How a topic is read, in seconds.

    ``wait`` is how long the log may hold a read until a record comes.
    ``interval`` is how long it takes before it reads, for topics that never
    rest.
    """

    wait_seconds: float
    interval_seconds: float = 0


@final
class KeyedFollower:
    """Reads one topic; each record goes to ``take`` in offset order.

    ``take_listing`` gets all keys of a fresh listing, after its records.
    ``on_return`` runs when the log answers again after an outage, before any
    record is taken.
    """

    __slots__ = (
        'as_of',
        'clock',
        'is_lost',
        'log',
        'next_offset',
        'on_return',
        'pace',
        'take',
        'take_listing',
        'topic',
    )

    def __init__(
        self,
        log: KeyedLog,
        clock: Clock,
        topic: str,
        pace: ReadTiming,
        take: TakeRecord,
        take_listing: TakeListing,
        on_return: Callable[[], None],
    ) -> None:
        self.log = log
        self.clock = clock
        self.topic = topic
        self.pace = pace
        self.take = take
        self.take_listing = take_listing
        self.on_return = on_return
        self.next_offset: int | None = None
        self.as_of = -math.inf
        self.is_lost = False

    def staleness_seconds(self) -> float:
        """Return how old the view may be, in seconds; infinite at first."""
        return self.clock.monotonic() - self.as_of

    async def run(self) -> None:
        """Follow the topic for good."""
        pause = RETRY_SECONDS
        while True:
            try:
                await self.read_once()
            except LogTrimmed:
                self.next_offset = None
            except LogUnavailable as error:
                self.mark_lost(error)
                await self.clock.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_SECONDS)
            else:
                pause = RETRY_SECONDS

    async def read_once(self) -> None:
        """Read once, from the listing or from where the last read ended."""
        started_at = self.clock.monotonic()
        if self.next_offset is None:
            await self._list(started_at)
            return
        page = await self.log.read(
            self.topic,
            self.next_offset,
            wait_seconds=self.pace.wait_seconds,
        )
        self._note_answer(started_at + page.complete_until_seconds)
        for record in page.records:
            self.take(record)
        self.next_offset = page.next_offset

    def mark_lost(self, error: LogUnavailable) -> None:
        """Take that a read failed, so that the view may be out of date."""
        if self.is_lost:
            return
        self.is_lost = True
        _logger.warning(
            'log is lost',
            extra={
                FIELDS: {
                    'event': 'dependency_lost',
                    'topic': self.topic,
                    'age_seconds': _finite(self.staleness_seconds()),
                    'reason': str(error),
                },
            },
        )

    async def _list(self, started_at: float) -> None:
        page = await self.log.read_newest(self.topic)
        self._note_answer(started_at)
        for record in page.records:
            self.take(record)
        self.take_listing(_listed_keys(page))
        self.next_offset = page.next_offset

    def _note_answer(self, as_of: float) -> None:
        former_age = self.staleness_seconds()
        self.as_of = max(self.as_of, min(as_of, self.clock.monotonic()))
        allowed = (
            OUTAGE_SECONDS + self.pace.wait_seconds + self.pace.interval_seconds
        )
        if not self.is_lost and former_age <= allowed:
            return
        self.is_lost = False
        self.on_return()
        _logger.info(
            'log is back',
            extra={
                FIELDS: {
                    'event': 'dependency_regained',
                    'topic': self.topic,
                    'age_seconds': _finite(former_age),
                },
            },
        )


def _listed_keys(page: KeyedPage) -> frozenset[str]:
    return frozenset(record.key for record in page.records if record.value)


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
