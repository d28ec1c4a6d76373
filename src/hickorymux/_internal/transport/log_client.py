"""HTTP client for the platform's log service."""

import base64
import dataclasses
import datetime as dt
from collections.abc import Mapping
from typing import Final, Self, final

import aiohttp
import msgspec

from hickorymux._internal.coordination.ports import LogPage, LogRecord
from hickorymux._internal.exceptions import (
    LogAppendUnknown,
    LogTrimmed,
    LogUnavailable,
)

_MS_PER_SECOND: Final = 1000
_STATUS_OK: Final = 200
_STATUS_TRIMMED: Final = 410
_FIRST_SERVER_ERROR: Final = 500
_STATUS_UNAVAILABLE: Final = 503


@dataclasses.dataclass(slots=True, frozen=True)
class LogTimeouts:
    """How long to wait for the log service.

    The timeout of a read is ``answer`` plus the time that the read asks the
    service to wait for new records.
    """

    connect: dt.timedelta = dt.timedelta(seconds=2)
    answer: dt.timedelta = dt.timedelta(seconds=5)


class _Appended(msgspec.Struct):
    offset: int


class _Trimmed(msgspec.Struct):
    first_offset: int


class _Record(msgspec.Struct):
    offset: int
    appended_at: dt.datetime
    payload: str


class _Page(msgspec.Struct):
    first_offset: int
    next_offset: int
    end_offset: int
    records: list[_Record]


@final
class HttpLogClient:
    """Appends to and reads from the log service over HTTP.

    Implements ``LogClient``. It never retries an append: after
    ``LogAppendUnknown`` the caller reads the stream to learn the outcome.

    Example::

        client = HttpLogClient.from_config('http://127.0.0.1:7000', session)
        offset = await client.append('config', b'...')
    """

    __slots__ = ('base_url', 'session', 'timeouts')

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeouts: LogTimeouts,
    ) -> None:
        self.base_url = base_url
        self.session = session
        self.timeouts = timeouts

    @classmethod
    def from_config(
        cls,
        base_url: str,
        session: aiohttp.ClientSession,
        timeouts: LogTimeouts | None = None,
    ) -> Self:
        """Return a client; ``base_url`` is like ``http://host:port``."""
        return cls(base_url.rstrip('/'), session, timeouts or LogTimeouts())

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        Raises ``LogUnavailable`` when the service certainly did not take the
        record, and ``LogAppendUnknown`` when it may have.
        """
        try:
            status, body = await self._post(stream, payload)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise LogUnavailable(_cause(error), where=stream) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LogAppendUnknown(_cause(error), where=stream) from error
        return _parse_append_answer(stream, status, body)

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 1000,
        wait_seconds: float = 0,
    ) -> LogPage:
        """Read up to ``limit`` records from an offset on.

        If there is none yet, the service waits up to ``wait_seconds`` for one.
        Raises ``LogTrimmed`` when ``from_offset`` is no longer retained and
        ``LogUnavailable`` when there is no valid answer.
        """
        query = {
            'from': str(from_offset),
            'limit': str(limit),
            'wait_ms': str(round(wait_seconds * _MS_PER_SECOND)),
        }
        try:
            status, body = await self._get(stream, query, wait_seconds)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LogUnavailable(_cause(error), where=stream) from error
        return _parse_page(stream, status, body)

    async def _post(self, stream: str, payload: bytes) -> tuple[int, bytes]:
        async with self.session.post(
            self._url(stream),
            data=payload,
            timeout=self._timeout(0),
            allow_redirects=False,
        ) as response:
            return response.status, await response.read()

    async def _get(
        self,
        stream: str,
        query: Mapping[str, str],
        wait_seconds: float,
    ) -> tuple[int, bytes]:
        async with self.session.get(
            self._url(stream),
            params=query,
            timeout=self._timeout(wait_seconds),
            allow_redirects=False,
        ) as response:
            return response.status, await response.read()

    def _url(self, stream: str) -> str:
        return f'{self.base_url}/streams/{stream}/records'

    def _timeout(self, wait_seconds: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=self.timeouts.answer.total_seconds() + wait_seconds,
            sock_connect=self.timeouts.connect.total_seconds(),
        )


def _cause(error: Exception) -> str:
    return str(error) or type(error).__name__


def _parse_append_answer(stream: str, status: int, body: bytes) -> int:
    """Return the offset of the appended record, or raise its error."""
    if _is_certain_refusal(status):
        raise LogUnavailable(f'refused with status {status}', where=stream)
    if status != _STATUS_OK:
        raise LogAppendUnknown(f'answered status {status}', where=stream)
    try:
        return msgspec.json.decode(body, type=_Appended).offset
    except msgspec.DecodeError as error:
        raise LogAppendUnknown(str(error), where=stream) from error


def _is_certain_refusal(status: int) -> bool:
    """Return whether the service certainly did not append the record."""
    is_client_error = 400 <= status < _FIRST_SERVER_ERROR
    return is_client_error or status == _STATUS_UNAVAILABLE


def _parse_page(stream: str, status: int, body: bytes) -> LogPage:
    try:
        return _decode_page(stream, status, body)
    except (msgspec.DecodeError, ValueError) as error:
        raise LogUnavailable(str(error), where=stream) from error


def _decode_page(stream: str, status: int, body: bytes) -> LogPage:
    if status == _STATUS_TRIMMED:
        trimmed = msgspec.json.decode(body, type=_Trimmed)
        raise LogTrimmed(
            f'records before {trimmed.first_offset} are no longer retained',
            first_offset=trimmed.first_offset,
            where=stream,
        )
    if status != _STATUS_OK:
        raise LogUnavailable(f'answered status {status}', where=stream)
    page = msgspec.json.decode(body, type=_Page)
    return LogPage(
        first_offset=page.first_offset,
        next_offset=page.next_offset,
        end_offset=page.end_offset,
        records=tuple(_to_log_record(record) for record in page.records),
    )


def _to_log_record(record: _Record) -> LogRecord:
    return LogRecord(
        offset=record.offset,
        payload=base64.b64decode(record.payload, validate=True),
        appended_at=record.appended_at,
    )
