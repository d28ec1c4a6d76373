"""HTTP client of the platform's metadata store."""

import asyncio
import base64
import collections
import contextlib
import functools
import logging
import struct
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, Self, final

import aiohttp
import msgspec

from hickorymux._internal.coordination.ports import (
    UNKNOWN_ERA,
    HostEntry,
    KeyedPage,
    KeyedRecord,
)
from hickorymux._internal.exceptions import (
    HostListUnavailable,
    LogTrimmed,
    LogUnavailable,
)
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.sockets import open_store_socket
from hickorymux._internal.transport.strict_responses import (
    StrictResponseHandler,
)
from hickorymux._internal.utils.json_logging import FIELDS

CONNECT_TIMEOUT_SECONDS: Final = 0.4
# On top of the time for which a read lets the store wait for a record. The
# store answers in 4 ms normally and in about 250 ms when slow.
RESPONSE_TIMEOUT_SECONDS: Final = 0.7
# Four times what the store accepts in a call.
MAX_RESPONSE_BYTES: Final = 8 << 20
ROUTER_TOPIC: Final = 'keyed.status'
_PARTITION: Final = '0'
_ERA_HEADER: Final = 'Store-Era'
# Those of a signed 64-bit number.
_MAX_ERA_DIGITS: Final = 18
_STATUS_OK: Final = 200
_STATUS_TRIMMED: Final = 410
# The topic doesn't end at the offset that a conditional append names.
_STATUS_OFFSET_TAKEN: Final = 412
_MS_PER_SECOND: Final = 1000
_MAX_PORT: Final = 65535
# Not empty, which would delete the key, and no valid record.
_UNREADABLE_VALUE: Final = b'?'

_RECORD_LENGTH: Final = struct.Struct('>I')
_READ_HEADER: Final = struct.Struct('>QQ')

_logger: Final = logging.getLogger(__name__)


class _Item(msgspec.Struct):
    key: str
    # Base64; empty for a deleted key.
    value: str
    offset: int


class _NewestPage(msgspec.Struct):
    items: list[_Item]
    truncated: bool
    # The offset after the newest record of the partition.
    end: int


class _Trimmed(msgspec.Struct):
    # The oldest offset that is retained.
    first: int


class _RouterRecord(msgspec.Struct):
    zone: str
    host: str
    port: int


@final
class _StoreConnector(aiohttp.TCPConnector):
    """Opens connections that report an answer as cut when they are reset."""

    def __init__(self) -> None:
        super().__init__(limit=0, socket_factory=open_store_socket)
        self._factory: Any = functools.partial(
            StrictResponseHandler,
            loop=asyncio.get_running_loop(),
            counts=collections.Counter(),
        )


@final
class StoreClient:
    """Reads and writes topics whose records have keys.

    Implements ``KeyedLog`` and ``HostListClient``. Methods raise
    ``LogUnavailable`` if no complete response arrives; the connection is not
    reused then.

    The store states its era in each response. ``era`` is the highest one, and
    a response of a previous one counts as none: the store that sent it has
    been restored from a copy since.

    Example::

        store = StoreClient.from_config(Address('10.0.0.1', 8781))
        page = await store.read_newest('keyed.op')
    """

    __slots__ = ('base_url', 'era', 'era_handlers', 'session')

    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self.base_url = base_url
        self.session = session
        self.era = UNKNOWN_ERA
        self.era_handlers: list[Callable[[int], None]] = []

    @classmethod
    def from_config(cls, address: Address) -> Self:
        """Return a client; must be called on a running event loop."""
        session = aiohttp.ClientSession(
            connector=_StoreConnector(),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        return cls(f'http://{address}/v1', session)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    def add_era_handler(self, on_era_change: Callable[[int], None]) -> None:
        """Call a function with the new era whenever the era rises.

        It is for components that wrote records, which may be lost. It is not
        called for the first era that is seen.
        """
        self.era_handlers.append(on_era_change)

    async def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key, over all pages.

        The next read starts at the end offset of the first page, since later
        pages may lack records that were written in between. A listing whose
        pages are of several eras is repeated.
        """
        while True:
            listing = await self._read_listing(topic)
            if listing is not None:
                return listing

    async def read(
        self,
        topic: str,
        from_offset: int,
        *,
        wait_seconds: float = 0,
    ) -> KeyedPage:
        """Return the records from ``from_offset`` on.

        If there is none, wait up to ``wait_seconds`` for one. Raises
        ``LogTrimmed`` when the offset is no longer retained.
        """
        query = {
            'topic': topic,
            'part': _PARTITION,
            'from': str(from_offset),
            'waitMs': str(int(wait_seconds * _MS_PER_SECOND)),
        }
        status, body, era = await self._get('log-read', query, wait_seconds)
        if status == _STATUS_TRIMMED:
            raise LogTrimmed(
                f'offset {from_offset} is no longer retained',
                where=topic,
                first_offset=_first_offset(body),
            )
        _check_ok(status, topic)
        try:
            records = tuple(_parse_records(body, from_offset))
        except (struct.error, IndexError, UnicodeDecodeError) as error:
            raise LogUnavailable(repr(error), where=topic) from error
        complete_until_seconds = 0 if records else wait_seconds
        end = from_offset + len(records)
        return KeyedPage(records, end, complete_until_seconds, era)

    async def read_retained(self, topic: str) -> KeyedPage:
        """Return all records that the store retains, oldest first.

        The result is empty for a topic without records.
        """
        records: list[KeyedRecord] = []
        next_offset = 0
        era = UNKNOWN_ERA
        while True:
            try:
                page = await self.read(topic, next_offset)
            except LogTrimmed as error:
                # Records that were read so far are older than the store
                # retains by now; the rest must follow without a gap.
                records.clear()
                next_offset = _later_offset(error, topic, next_offset)
                continue
            if _is_other_era(page.era, era):
                records.clear()
                next_offset, era = 0, page.era
                continue
            records.extend(page.records)
            era = page.era
            if not page.records:
                return KeyedPage(tuple(records), next_offset, era=era)
            next_offset = page.next_offset

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the announced routers; raises ``HostListUnavailable``."""
        try:
            page = await self.read_newest(ROUTER_TOPIC)
        except LogUnavailable as error:
            raise HostListUnavailable(str(error)) from error
        return tuple(_decode_hosts(page))

    async def announce(self, host: HostEntry) -> None:
        """Publish the address of this router for the other routers."""
        record = _RouterRecord(host.zone, host.host, host.port)
        await self.append(
            ROUTER_TOPIC, host.router_id, msgspec.json.encode(record)
        )

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; raises ``LogUnavailable``.

        It may have been appended nevertheless.
        """
        _check_ok(await self._append(topic, key, value, {}), topic)

    async def read_key(self, topic: str, key: str) -> KeyedPage:
        """Return the newest record of one key, if any, and the end offset.

        A record that was written after the offset may be included.
        """
        query = {'topic': topic, 'part': _PARTITION, 'after': key[:-1]}
        first_end: int | None = None
        while True:
            page, era = await self._read_newest_page(query)
            if first_end is None:
                first_end = page.end
            found = [item for item in page.items if item.key == key]
            is_past = any(item.key >= key for item in page.items)
            if is_past or not page.truncated or not page.items:
                records = tuple(_to_record(item) for item in found)
                return KeyedPage(records, first_end, era=era)
            query['after'] = page.items[-1].key

    async def append_at(
        self, topic: str, key: str, value: bytes, offset: int
    ) -> bool:
        """Append a record if the topic ends at ``offset``.

        Returns ``False`` if it doesn't end there. Raises ``LogUnavailable``;
        the record may have been appended nevertheless.
        """
        status = await self._append(topic, key, value, {'at': str(offset)})
        if status == _STATUS_OFFSET_TAKEN:
            return False
        _check_ok(status, topic)
        return True

    async def _read_listing(self, topic: str) -> KeyedPage | None:
        """Return a listing, ``None`` if its pages are of several eras."""
        query = {'topic': topic, 'part': _PARTITION}
        page, first_era = await self._read_newest_page(query)
        first_end = page.end
        records = [_to_record(item) for item in page.items]
        while page.truncated and page.items:
            query['after'] = page.items[-1].key
            page, era = await self._read_newest_page(query)
            if _is_other_era(era, first_era):
                return None
            records.extend(_to_record(item) for item in page.items)
        return KeyedPage(tuple(records), first_end, era=first_era)

    async def _read_newest_page(
        self, query: Mapping[str, str]
    ) -> tuple[_NewestPage, int]:
        """Return a page of a listing and its era."""
        topic = query['topic']
        status, body, era = await self._get('log-newest', query, 0)
        _check_ok(status, topic)
        try:
            return msgspec.json.decode(body, type=_NewestPage), era
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise LogUnavailable(str(error), where=topic) from error

    async def _append(
        self, topic: str, key: str, value: bytes, conditions: Mapping[str, str]
    ) -> int:
        name = key.encode()
        content = bytes((len(name),)) + name + value
        timeout = _timeout(0)
        with _convert_network_errors(topic):
            async with self.session.post(
                f'{self.base_url}/log-append',
                params={'topic': topic, 'part': _PARTITION, **conditions},
                data=_RECORD_LENGTH.pack(len(content)) + content,
                timeout=timeout,
            ) as response:
                await _read_body(response, topic)
                self._update_era(response.headers, topic)
                return response.status

    async def _get(
        self,
        endpoint: str,
        query: Mapping[str, str],
        wait_seconds: float,
    ) -> tuple[int, bytes, int]:
        """Return the status, body and era of a response."""
        with _convert_network_errors(query['topic']):
            async with self.session.get(
                f'{self.base_url}/{endpoint}',
                params=query,
                timeout=_timeout(wait_seconds),
            ) as response:
                body = await _read_body(response, query['topic'])
                era = self._update_era(response.headers, query['topic'])
                return response.status, body, era

    def _update_era(self, headers: Mapping[str, str], topic: str) -> int:
        """Return the era of a response; report it if it is a new one.

        Raises ``LogUnavailable`` if it is a previous one.
        """
        era = _decode_era(headers)
        if era in {UNKNOWN_ERA, self.era}:
            return era
        if era < self.era:
            raise LogUnavailable(
                f'the response is of era {era}, the store is at {self.era}',
                where=topic,
            )
        former_era = self.era
        self.era = era
        if former_era != UNKNOWN_ERA:
            _report_era(era, former_era)
            for on_era_change in self.era_handlers:
                on_era_change(era)
        return era


async def _read_body(response: aiohttp.ClientResponse, topic: str) -> bytes:
    """Return the body; raises ``LogUnavailable`` if it is too large."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise LogUnavailable(
                f'the response exceeds {MAX_RESPONSE_BYTES} bytes', where=topic
            )
    return bytes(body)


@contextlib.contextmanager
def _convert_network_errors(topic: str) -> Iterator[None]:
    try:
        yield
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise LogUnavailable(repr(error), where=topic) from error


def _timeout(wait_seconds: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=CONNECT_TIMEOUT_SECONDS + RESPONSE_TIMEOUT_SECONDS + wait_seconds,
        sock_connect=CONNECT_TIMEOUT_SECONDS,
    )


def _check_ok(status: int, topic: str) -> None:
    if status != _STATUS_OK:
        raise LogUnavailable(
            f'store answered with status {status}', where=topic
        )


def _decode_era(headers: Mapping[str, str]) -> int:
    """Return the era that a response states, or ``UNKNOWN_ERA``."""
    text = headers.get(_ERA_HEADER, '')
    is_number = text.isascii() and text.isdecimal()
    if is_number and len(text) <= _MAX_ERA_DIGITS:
        return int(text)
    return UNKNOWN_ERA


def _is_other_era(era: int, known_era: int) -> bool:
    return era != known_era and UNKNOWN_ERA not in {era, known_era}


def _later_offset(error: LogTrimmed, topic: str, from_offset: int) -> int:
    """Return the oldest retained offset, which must be after another one."""
    if error.first_offset <= from_offset:
        raise LogUnavailable(str(error), where=topic) from error
    return error.first_offset


def _first_offset(body: bytes) -> int:
    """Return the oldest retained offset, 0 if the response doesn't tell it."""
    try:
        return msgspec.json.decode(body, type=_Trimmed).first
    except (msgspec.DecodeError, UnicodeDecodeError):
        return 0


def _to_record(item: _Item) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value)
    except ValueError as error:
        # An unreadable value is neither a deletion nor an entry.
        _report_unreadable(item.key, item.offset, repr(error))
        value = _UNREADABLE_VALUE
    return KeyedRecord(item.key, value, item.offset)


def _parse_records(body: bytes, from_offset: int) -> Iterator[KeyedRecord]:
    """Yield the records of a response to ``log-read``.

    After a header of two offsets, each record is a 4-byte length followed by
    that many bytes: the length of the key in one byte, the key, the value.
    """
    position = _READ_HEADER.size
    offset = from_offset
    while position < len(body):
        size = _RECORD_LENGTH.unpack_from(body, position)[0]
        position += _RECORD_LENGTH.size
        content = body[position : position + size]
        if len(content) < size:
            raise struct.error('record is truncated')
        value_start = 1 + content[0] if content else 1
        if len(content) < value_start:
            # It names no key, so no key changes.
            _report_unreadable('', offset, 'the key is truncated')
            yield KeyedRecord('', b'', offset)
        else:
            # Other writers may use keys that are not UTF-8.
            key = content[1:value_start].decode(errors='replace')
            yield KeyedRecord(key, content[value_start:], offset)
        position += size
        offset += 1


def _decode_hosts(page: KeyedPage) -> Iterator[HostEntry]:
    for record in page.records:
        try:
            row = msgspec.json.decode(record.value, type=_RouterRecord)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            # The record was deleted or has an unknown format.
            continue
        if 0 < row.port <= _MAX_PORT:
            yield HostEntry(record.key, row.zone, row.host, row.port)
        else:
            _report_unreadable(
                record.key, record.offset, f'port {row.port} is out of range'
            )


def _report_era(era: int, former_era: int) -> None:
    line = {
        'event': 'store_era_changed',
        'era': era,
        'former_era': former_era,
    }
    _logger.warning('the store was restored from a copy', extra={FIELDS: line})


def _report_unreadable(key: str, offset: int, reason: str) -> None:
    line = {
        'event': 'record_unreadable',
        'key': key,
        'offset': offset,
        'reason': reason,
    }
    _logger.warning('a record cannot be read', extra={FIELDS: line})
