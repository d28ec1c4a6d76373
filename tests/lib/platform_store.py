"""Emulates the platform's metadata store: topics with keys, in memory.

It serves the store's protocol over HTTP. ``mode`` injects faults: in the mode
``busy`` it refuses calls, in the mode ``silent`` it accepts them and does not
answer while the mode lasts. ``restore`` replaces the topics by an older copy.
"""

import asyncio
import base64
import dataclasses
import json
import struct

from aiohttp import web

_PAGE_ITEMS = 2
# Longer than routers wait for a response.
_SILENCE_SECONDS = 5


@dataclasses.dataclass(slots=True, frozen=True)
class StoreCopy:
    """The records of a store and the ranges of its topics at some moment."""

    topics: dict[str, list[tuple[int, str, bytes]]]
    first_offsets: dict[str, int]
    end_offsets: dict[str, int]


class PlatformStore:
    """An emulated store with its HTTP server.

    ``topics`` has the offset, key and value of all records of a topic,
    ``first_offsets`` and ``end_offsets`` the range that can be read. ``era`` is
    sent as ``Store-Era``, unless it is ``None``.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[int, str, bytes]]] = {}
        self.end_offsets: dict[str, int] = {}
        self.first_offsets: dict[str, int] = {}
        self.record_added = asyncio.Condition()
        self.mode = ''
        self.era: int | None = 1
        self.calls: list[str] = []
        self.runner: web.AppRunner | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application(middlewares=[self._add_era])
        app.router.add_get('/v1/log-newest', self.newest)
        app.router.add_get('/v1/log-read', self.read)
        app.router.add_post('/v1/log-append', self.append)
        self.runner = web.AppRunner(app, shutdown_timeout=0)
        await self.runner.setup()
        await web.TCPSite(self.runner, '127.0.0.1', 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def put(self, topic: str, key: str, value: object) -> None:
        """Append a record with a JSON value; ``None`` deletes the key."""
        raw = b'' if value is None else json.dumps(value).encode()
        await self.put_raw(topic, key, raw)

    async def put_raw(self, topic: str, key: str, value: bytes) -> None:
        """Append a record with a value of any bytes."""
        async with self.record_added:
            offset = self.end_offsets.get(topic, 0)
            self.topics.setdefault(topic, []).append((offset, key, value))
            self.end_offsets[topic] = offset + 1
            self.record_added.notify_all()

    def compact(self, topic: str) -> None:
        """Make all offsets before the end of the topic unreadable.

        The newest record of each key stays listed.
        """
        self.first_offsets[topic] = self.end_offsets.get(topic, 0)

    def copy(self) -> StoreCopy:
        """Return a copy of all records."""
        return StoreCopy(
            {name: list(rows) for name, rows in self.topics.items()},
            dict(self.first_offsets),
            dict(self.end_offsets),
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Go on from a copy, in the next era.

        Calls that are being answered get no answer any more.
        """
        async with self.record_added:
            self.topics = {
                name: list(rows) for name, rows in copy.topics.items()
            }
            self.first_offsets = dict(copy.first_offsets)
            self.end_offsets = dict(copy.end_offsets)
            self.era = (self.era or 0) + 1
            self.record_added.notify_all()

    async def newest(self, request: web.Request) -> web.StreamResponse:
        """Answer ``log-newest``, two keys per page."""
        await self._inject_fault(request)
        topic = request.query['topic']
        after = request.query.get('after', '')
        newest = {
            key: row for row in self.topics.get(topic, ()) if (key := row[1])
        }
        keys = sorted(key for key in newest if key > after)
        page = keys[:_PAGE_ITEMS]
        items = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][2]).decode(),
                'offset': newest[key][0],
            }
            for key in page
        ]
        return web.json_response(
            {
                'items': items,
                'truncated': len(keys) > len(page),
                'end': self.end_offsets.get(topic, 0),
            }
        )

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Answer ``log-read``, waiting up to ``waitMs`` for a record."""
        await self._inject_fault(request)
        topic = request.query['topic']
        start = int(request.query['from'])
        first = self.first_offsets.get(topic, 0)
        if not first <= start <= self.end_offsets.get(topic, 0):
            return web.json_response({'first': first}, status=410)
        wait_seconds = int(request.query.get('waitMs', 0)) / 1000
        try:
            async with asyncio.timeout(wait_seconds), self.record_added:
                await self.record_added.wait_for(
                    lambda: self.end_offsets.get(topic, 0) > start
                )
        except TimeoutError:
            pass
        await self._inject_fault(request)
        body = struct.pack(
            '>QQ',
            self.end_offsets.get(topic, 0),
            self.first_offsets.get(topic, 0),
        )
        for offset, key, value in self.topics.get(topic, ()):
            if offset >= start:
                name = key.encode()
                content = bytes((len(name),)) + name + value
                body += struct.pack('>I', len(content)) + content
        return web.Response(body=body)

    async def append(self, request: web.Request) -> web.StreamResponse:
        """Answer ``log-append`` for one record."""
        await self._inject_fault(request)
        body = await request.read()
        name_end = 5 + body[4]
        topic = request.query['topic']
        expected = request.query.get('at')
        if expected not in {None, str(self.end_offsets.get(topic, 0))}:
            return web.json_response({'error': 'offset'}, status=412)
        await self.put_raw(topic, body[5:name_end].decode(), body[name_end:])
        return web.json_response({'offset': 0, 'end': self.end_offsets[topic]})

    @web.middleware
    async def _add_era(self, request, handler) -> web.StreamResponse:
        """Add the era to a response; drop those of a previous era."""
        era = self.era
        response = await handler(request)
        if self.era != era:
            await asyncio.sleep(_SILENCE_SECONDS)
        if era is not None:
            response.headers['Store-Era'] = str(era)
        return response

    async def _inject_fault(self, request: web.Request) -> None:
        self.calls.append(request.path)
        if self.mode == 'busy':
            raise web.HTTPServiceUnavailable
        while self.mode == 'silent':
            await asyncio.sleep(0.05)
