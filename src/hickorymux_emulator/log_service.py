"""Emulator of the platform's append-only log service."""

import asyncio
import base64
import collections
import dataclasses
import datetime as dt
import math
import time
from typing import Final, final

import msgspec
from aiohttp import web

from hickorymux_emulator.log_streams import LogStream, RateLimit, StoredRecord
from hickorymux_emulator.outage import Outage, OutageMode
from hickorymux_emulator.serving import abort_connection, new_app

_MS_PER_SECOND: Final = 1000
_MAX_PAGE_RECORDS: Final = 10_000
# An append rate of 0 stops appends; the wait is computed by dividing by the rate.
_MIN_RATE_PER_SECOND: Final = 0.001


class LogControl(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``; unset fields leave the behaviour unchanged."""

    outage: OutageMode | None = None
    append_delay_ms: float | None = None
    read_delay_ms: float | None = None
    lose_append_answers: bool | None = None
    retain_records: int | None = None
    retain_seconds: float | None = None
    append_rate: float | None = None


@dataclasses.dataclass(slots=True)
class LogSettings:
    """Retention, rate limit, delays and injected faults of the log service.

    ``append_rate`` is the number of appends per second, over all streams.
    With ``lose_append_answers`` records are stored, but the connection is
    aborted instead of answering the append.
    """

    append_rate: float = 300
    retain_seconds: float = 3600
    retain_records: int = 100_000
    append_delay_ms: float = 0
    read_delay_ms: float = 0
    lose_append_answers: bool = False


@final
class LogService:
    """The streams by name, and the HTTP handlers of the log service."""

    __slots__ = ('outage', 'rate_limit', 'settings', 'streams')

    def __init__(self, settings: LogSettings) -> None:
        self.settings = settings
        self.outage = Outage()
        self.rate_limit = RateLimit(settings.append_rate, time.monotonic())
        self.streams: dict[str, LogStream] = collections.defaultdict(LogStream)

    def app(self) -> web.Application:
        """Return the web application with all routes of the log service."""
        app = new_app()
        path = '/streams/{stream}/records'
        app.router.add_post(path, self.append)
        app.router.add_get(path, self.read)
        app.router.add_post('/control', self.control)
        return app

    async def append(self, request: web.Request) -> web.Response:
        """Append the body as one record and return its offset."""
        payload = await request.read()
        await self.outage.enforce()
        wait_seconds = self.rate_limit.acquire(time.monotonic())
        if wait_seconds > 0:
            return _rate_limited(wait_seconds)
        stream = self.streams[request.match_info['stream']]
        offset = stream.append(payload)
        await asyncio.sleep(self.settings.append_delay_ms / _MS_PER_SECOND)
        if self.settings.lose_append_answers:
            return abort_connection(request)
        await self.outage.enforce()
        return web.json_response({'offset': offset})

    async def read(self, request: web.Request) -> web.Response:
        """Return a page of records; wait up to ``wait_ms`` for the first."""
        await self.outage.enforce()
        from_offset = _query_integer(request, 'from', 0)
        limit = _query_integer(request, 'limit', 1000)
        wait_ms = _query_integer(request, 'wait_ms', 0)
        stream = self.streams[request.match_info['stream']]
        await stream.wait_for_offset(from_offset, wait_ms / _MS_PER_SECOND)
        await asyncio.sleep(self.settings.read_delay_ms / _MS_PER_SECOND)
        await self.outage.enforce()
        self._trim(stream)
        return _page(stream, from_offset, min(limit, _MAX_PAGE_RECORDS))

    async def control(self, request: web.Request) -> web.Response:
        """Change settings, or start or end an outage."""
        change = msgspec.json.decode(await request.read(), type=LogControl)
        for name in LogSettings.__dataclass_fields__:
            wanted = getattr(change, name)
            if wanted is not None:
                setattr(self.settings, name, wanted)
        rate = max(self.settings.append_rate, _MIN_RATE_PER_SECOND)
        if rate != self.rate_limit.per_second:
            self.rate_limit = RateLimit(rate, time.monotonic())
        if change.outage is not None:
            await self.outage.change_mode(change.outage)
        return web.json_response(dataclasses.asdict(self.settings))

    def _trim(self, stream: LogStream) -> None:
        age = dt.timedelta(seconds=self.settings.retain_seconds)
        stream.trim(self.settings.retain_records, dt.datetime.now(dt.UTC) - age)


def _query_integer(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise web.HTTPBadRequest(text=f'{name} must be a non-negative integer')
    return int(text)


def _rate_limited(wait_seconds: float) -> web.Response:
    headers = {'Retry-After': str(math.ceil(wait_seconds))}
    return web.json_response({}, status=429, headers=headers)


def _page(stream: LogStream, from_offset: int, limit: int) -> web.Response:
    if from_offset < stream.first_offset:
        body = {'first_offset': stream.first_offset}
        return web.json_response(body, status=410)
    records = stream.records_from(from_offset, limit)
    return web.json_response(
        {
            'first_offset': stream.first_offset,
            'next_offset': from_offset + len(records),
            'end_offset': stream.end_offset,
            'records': [_encode_record(record) for record in records],
        },
    )


def _encode_record(record: StoredRecord) -> dict[str, int | str]:
    return {
        'offset': record.offset,
        'appended_at': record.appended_at.isoformat(),
        'payload': base64.b64encode(record.payload).decode(),
    }
