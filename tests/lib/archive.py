"""A log in memory, and histories of versions, for tests of resumed streams."""

from hickorymux._internal.coordination.ports import KeyedPage, KeyedRecord
from hickorymux._internal.coordination.retained_versions import (
    UNKNOWN,
    RetainedVersions,
)
from hickorymux._internal.coordination.version_history import VersionHistory
from hickorymux._internal.exceptions import LogTrimmed, LogUnavailable
from tests.lib.demands import registry


class MemoryLog:
    """A log that all routers of a test share.

    It refuses calls while ``is_down``, and has dropped the records before
    ``first_offset``.
    """

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.reads = 0
        self.is_down = False
        self.first_offset = 0
        self.era = 1

    async def append(self, _topic: str, key: str, value: bytes) -> None:
        """Append a record."""
        self._check_up()
        self.records.append(KeyedRecord(key, value, len(self.records)))

    async def read_retained(self, topic: str) -> KeyedPage:
        """Return all retained records."""
        return await self.read(topic, self.first_offset)

    async def read(
        self, topic: str, from_offset: int, *, wait_seconds: float = 0
    ) -> KeyedPage:
        """Return the records from an offset on."""
        self._check_up()
        self.reads += 1
        if from_offset < self.first_offset:
            raise LogTrimmed('trimmed', where=topic)
        return KeyedPage(
            tuple(self.records[from_offset:]),
            len(self.records),
            wait_seconds,
            self.era,
        )

    def _check_up(self) -> None:
        if self.is_down:
            raise LogUnavailable('busy', where='test')


def new_history(count, clock, **changes) -> VersionHistory:
    """Return a history of a view with some upstreams, which is up to date.

    The store retains nothing.
    """

    async def read_retained() -> RetainedVersions:
        return UNKNOWN

    return VersionHistory(
        registry(count, **changes),
        clock.monotonic,
        clock,
        read_retained,
        lambda: 12.0,
    )
