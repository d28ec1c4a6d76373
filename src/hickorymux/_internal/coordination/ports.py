"""Interfaces that coordination needs, and the values that they exchange.

The transport layer and the platform adapter implement them.
"""

import dataclasses
import datetime as dt
from collections.abc import Sequence
from typing import Any, Final, Protocol

# The era of a response that does not state one.
UNKNOWN_ERA: Final = -1


@dataclasses.dataclass(slots=True, frozen=True)
class LogRecord:
    """One record of a stream; ``appended_at`` is by the log service's clock."""

    offset: int
    payload: bytes
    appended_at: dt.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class LogPage:
    """Consecutive records of a stream, as returned by one read.

    ``first_offset`` is the oldest offset that the log retains,
    ``next_offset`` is where the next read starts and ``end_offset`` is the
    offset after the newest record.
    """

    first_offset: int
    next_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]


class LogClient(Protocol):
    """The platform's append-only log service."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        Raises ``LogUnavailable`` when the record was certainly not appended
        and ``LogAppendUnknown`` when it may have been.
        """

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> LogPage:
        """Read up to ``limit`` records, starting at ``from_offset``.

        If there is none, wait up to ``wait_seconds`` for one.

        Raises ``LogTrimmed`` when ``from_offset`` is no longer retained and
        ``LogUnavailable`` when the service does not answer.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class KeyedRecord:
    """A record of a topic with keys; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class KeyedPage:
    """Records of a topic and the offset where the next read starts.

    The page has all records written up to ``complete_until_seconds`` after
    the start of the read. This is the time for which the log held the read
    open before it returned an empty page, or negative if the page was read
    by another router before this read started.

    ``era`` counts the restores of the log from a copy. Offsets of one era mean
    nothing in another.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    complete_until_seconds: float = 0
    era: int = UNKNOWN_ERA


class KeyedLog(Protocol):
    """A log that retains the newest record of each key forever."""

    async def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key.

        Raises ``LogUnavailable`` when the log does not answer.
        """

    async def read(
        self,
        topic: str,
        from_offset: int,
        *,
        wait_seconds: float = 0,
    ) -> KeyedPage:
        """Return the records from ``from_offset`` on.

        If there is none, wait up to ``wait_seconds`` for one.

        Raises ``LogTrimmed`` when the offset is no longer retained and
        ``LogUnavailable`` when the log does not answer.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A router as the membership knows it.

    ``host`` and ``port`` are its address for other routers, ``incarnation``
    grows with each start, and ``is_leaving`` tells that it shuts down.
    """

    router_id: str
    incarnation: int
    zone: str
    host: str
    port: int
    is_leaving: bool = False
    config_version: int = 0


class MemberView(Protocol):
    """The live routers, as far as this router knows."""

    @property
    def myself(self) -> Member:
        """Return this router."""

    def live(self) -> Sequence[Member]:
        """Return all live routers, this one included, ordered by id."""

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        """Return the live routers of one availability zone, ordered by id."""


class PeerSender(Protocol):
    """Sends typed messages to other routers; delivery is not guaranteed."""

    def send(self, router_id: str, message: Any) -> bool:
        """Queue a message; return whether there is a link to the router.

        A message to this router itself is delivered in the next iteration of
        the event loop.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class HostEntry:
    """An entry of the platform's host list, which may be out of date."""

    router_id: str
    zone: str
    host: str
    port: int
    is_leaving: bool = False


class HostListClient(Protocol):
    """The platform's list of live and leaving hosts."""

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the hosts that are listed at the moment.

        Raises ``HostListUnavailable`` when there is no usable answer.
        """
