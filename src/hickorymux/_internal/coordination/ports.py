"""Interfaces that coordination needs; the transport layer provides them."""

import dataclasses
import datetime as dt
from collections.abc import Sequence
from typing import Any, Protocol


@dataclasses.dataclass(slots=True, frozen=True)
class LogRecord:
    """One record of a stream; ``appended_at`` is the log service's time."""

    offset: int
    payload: bytes
    appended_at: dt.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class LogPage:
    """A run of records; ``first_offset`` is the oldest that is retained.

    ``next_offset`` is where the next read starts; it equals the end of the
    stream when the page holds the newest record.
    """

    first_offset: int
    next_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]


class LogClient(Protocol):
    """The platform's append-only log service."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        Raises ``LogUnavailable`` when it certainly did not take effect and
        ``LogAppendUnknown`` when it may have.
        """

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> LogPage:
        """Read records from an offset on, waiting for one if there is none.

        Raises ``LogTrimmed`` when ``from_offset`` is no longer retained and
        ``LogUnavailable`` when the service does not answer.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class KeyedRecord:
    """A record of a topic with keys; an empty value drops the key."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class KeyedPage:
    """Records of a topic and the offset where the next read starts.

    ``complete_until_seconds`` is how long after the read began nothing else had been
    written: the time that the log held an empty answer back. It is negative
    for an answer that is older than the read.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    complete_until_seconds: float = 0


class KeyedLog(Protocol):
    """A log whose newest record of each key is kept for good."""

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
        """Return the records from an offset on, waiting if there are none.

        Raises ``LogTrimmed`` when the offset is no longer retained and
        ``LogUnavailable`` when the log does not answer.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A router as the membership sees it."""

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
    """Sends typed messages to other routers; delivery is not assured."""

    def send(self, router_id: str, message: Any) -> bool:
        """Queue a message; return whether there is a link to the router.

        A message to this router itself is delivered on the next loop turn.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class HostEntry:
    """A host as the platform's lagging host list shows it."""

    router_id: str
    zone: str
    host: str
    port: int
    is_leaving: bool = False


class HostListClient(Protocol):
    """The platform's list of live and leaving hosts."""

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the hosts as listed now.

        Raises ``HostListUnavailable`` when there is no usable answer.
        """
