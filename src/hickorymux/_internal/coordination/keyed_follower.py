"""Follows a topic whose records have keys and tracks the view's staleness.

A follower starts with a listing, which has the newest record of each key, and
then reads records by offset. When the log no longer retains the next offset,
the follower lists the topic again; keys that the new listing lacks have been
dropped. So it does when the era of the log rises, as the log was restored from
a copy then and its offsets were assigned anew.

Example::

    follower = KeyedFollower(
        log,
        clock,
        'tables',
        ReadTiming(wait_seconds=1),
        on_record,
        on_listing,
        on_regained,
    )
    await follower.run()
"""

import dataclasses
import logging
import math
from collections.abc import Callable
from typing import Final, final

from hickorymux._internal.coordination.ports import (
    UNKNOWN_ERA,
    KeyedLog,
    KeyedPage,
    KeyedRecord,
)
from hickorymux._internal.exceptions import LogTrimmed, LogUnavailable
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS

# Back-off after a failed read: starts here and doubles up to the maximum.
MIN_BACK_OFF_SECONDS: Final = 0.15
MAX_BACK_OFF_SECONDS: Final = 0.6
# Staleness that counts as an outage of the log even if no read failed, as when
# the process was suspended. Longer than a change of the zone reader or a busy
# process delays a read.
OUTAGE_STALENESS_SECONDS: Final = 4.0

_logger = logging.getLogger(__name__)

RecordHandler = Callable[[KeyedRecord], None]
ListingHandler = Callable[[frozenset[str]], None]


@dataclasses.dataclass(slots=True, frozen=True)
class ReadTiming:
    """How often a topic is read.

    ``wait_seconds`` is how long the log may hold a read open until a record
    is written. ``interval_seconds`` is the pause before each read, for topics
    that are written so often that a read never waits.
    """

    wait_seconds: float
    interval_seconds: float = 0


@final
class KeyedFollower:
    """Reads one topic and passes each record to ``on_record``.

    ``on_listing`` gets all keys of a listing, after its records.
    ``on_regained`` runs when the log answers again after an outage, before
    the records of that answer are passed on. ``confirmed_at`` is the latest
    monotonic time, in seconds, up to which the view is known to be complete.
    ``next_offset`` is of the era ``era``.
    """

    __slots__ = (
        'confirmed_at',
        'clock',
        'era',
        'is_lost',
        'log',
        'next_offset',
        'on_regained',
        'timing',
        'on_record',
        'on_listing',
        'topic',
    )

    def __init__(
        self,
        log: KeyedLog,
        clock: Clock,
        topic: str,
        timing: ReadTiming,
        on_record: RecordHandler,
        on_listing: ListingHandler,
        on_regained: Callable[[], None],
    ) -> None:
        self.log = log
        self.clock = clock
        self.topic = topic
        self.timing = timing
        self.on_record = on_record
        self.on_listing = on_listing
        self.on_regained = on_regained
        self.next_offset: int | None = None
        self.era = UNKNOWN_ERA
        self.confirmed_at = -math.inf
        self.is_lost = False

    def staleness_seconds(self) -> float:
        """Return the staleness of the view, infinite before the first read."""
        return self.clock.monotonic() - self.confirmed_at

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        back_off = MIN_BACK_OFF_SECONDS
        while True:
            try:
                await self.read_once()
            except LogTrimmed:
                self.next_offset = None
            except LogUnavailable as error:
                self.mark_lost(error)
                await self.clock.sleep(back_off)
                back_off = min(2 * back_off, MAX_BACK_OFF_SECONDS)
            else:
                back_off = MIN_BACK_OFF_SECONDS

    async def read_once(self) -> None:
        """Read the listing, or the records after the last read.

        Raises ``LogTrimmed`` and ``LogUnavailable``.
        """
        started_at, era = self.clock.monotonic(), self.era
        if self.next_offset is None:
            await self._read_listing(started_at)
            return
        page = await self.log.read(
            self.topic,
            self.next_offset,
            wait_seconds=self.timing.wait_seconds,
        )
        self._apply_page(page, started_at, era)

    async def catch_up(self, log: KeyedLog) -> None:
        """Read the records since the last read from ``log`` at once.

        Does nothing before the first listing. Raises ``LogTrimmed`` and
        ``LogUnavailable``.
        """
        if self.next_offset is None:
            return
        started_at, era = self.clock.monotonic(), self.era
        page = await log.read(self.topic, self.next_offset)
        self._apply_page(page, started_at, era)

    def mark_lost(self, error: LogUnavailable) -> None:
        """Record that a read failed and the view may be out of date."""
        if self.is_lost:
            return
        self.is_lost = True
        _logger.warning(
            'cannot read the log',
            extra={
                FIELDS: {
                    'event': 'dependency_lost',
                    'topic': self.topic,
                    'age_seconds': _finite(self.staleness_seconds()),
                    'reason': str(error),
                },
            },
        )

    def _apply_page(
        self, page: KeyedPage, started_at: float, asked_era: int
    ) -> None:
        """Apply the records that no other read has brought meanwhile.

        ``asked_era`` is the era of the offset that was read. A page that was
        read from an offset of another era is dropped.
        """
        if self.next_offset is None or self.era != asked_era:
            return
        self._update_era(page.era)
        if self.next_offset is None:
            return
        self._mark_confirmed(started_at + page.complete_until_seconds)
        for record in page.records:
            if record.offset >= self.next_offset:
                self._apply(record)
        self.next_offset = max(self.next_offset, page.next_offset)

    async def _read_listing(self, started_at: float) -> None:
        page = await self.log.read_newest(self.topic)
        if self.era == UNKNOWN_ERA:
            self.era = page.era
        self._update_era(page.era)
        self._mark_confirmed(started_at)
        for record in page.records:
            self._apply(record)
        self.on_listing(_listed_keys(page))
        self.next_offset = page.next_offset

    def _update_era(self, era: int) -> None:
        """Invalidate the next offset if the era of the log has risen.

        The records stay in force until the next listing. Raises
        ``LogUnavailable`` for a page of a previous era.
        """
        if era in {UNKNOWN_ERA, self.era}:
            return
        if era < self.era:
            raise LogUnavailable(
                f'a response of era {era} came in era {self.era}',
                where=self.topic,
            )
        _logger.warning(
            'the log was restored, the topic is listed again',
            extra={
                FIELDS: {
                    'event': 'topic_era_changed',
                    'topic': self.topic,
                    'era': era,
                    'former_era': self.era,
                    'age_seconds': _finite(self.staleness_seconds()),
                },
            },
        )
        self.era = era
        self.next_offset = None
        self.is_lost = True

    def _apply(self, record: KeyedRecord) -> None:
        """Pass on a record; one that can't be applied hides no later ones."""
        try:
            self.on_record(record)
        except Exception:
            _logger.exception(
                'cannot apply a record',
                extra={
                    FIELDS: {
                        'event': 'record_failed',
                        'topic': self.topic,
                        'key': record.key,
                        'offset': record.offset,
                    },
                },
            )

    def _mark_confirmed(self, confirmed_at: float) -> None:
        former_staleness = self.staleness_seconds()
        self.confirmed_at = max(
            self.confirmed_at, min(confirmed_at, self.clock.monotonic())
        )
        allowed = (
            OUTAGE_STALENESS_SECONDS
            + self.timing.wait_seconds
            + self.timing.interval_seconds
        )
        if not self.is_lost and former_staleness <= allowed:
            return
        self.is_lost = False
        self.on_regained()
        _logger.info(
            'log can be read again',
            extra={
                FIELDS: {
                    'event': 'dependency_regained',
                    'topic': self.topic,
                    'age_seconds': _finite(former_staleness),
                },
            },
        )


def _listed_keys(page: KeyedPage) -> frozenset[str]:
    return frozenset(record.key for record in page.records if record.value)


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
