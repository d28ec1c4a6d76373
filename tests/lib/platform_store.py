"""A stand-in of the platform's metadata store: topics with keys, in memory.

It speaks the store's protocol over HTTP. ``mode`` makes it misbehave:
``busy`` refuses, ``silent`` takes calls and never answers.
"""

import asyncio
import base64
import json
import struct

from aiohttp import web

_PAGE_ITEMS = 2


class PlatformStore:
    """One store with its HTTP server."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[int, str, bytes]]] = {}
        self.ends: dict[str, int] = {}
        self.firsts: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.mode = ''
        self.calls: list[str] = []
        self.runner: web.AppRunner | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
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
        """Write a record; ``None`` drops the key."""
        raw = b'' if value is None else json.dumps(value).encode()
        await self.put_raw(topic, key, raw)

    async def put_raw(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as it is."""
        async with self.changed:
            offset = self.ends.get(topic, 0)
            self.topics.setdefault(topic, []).append((offset, key, value))
            self.ends[topic] = offset + 1
            self.changed.notify_all()

    def compact(self, topic: str) -> None:
        """Forget all records but the newest of each key."""
        self.firsts[topic] = self.ends.get(topic, 0)

    async def newest(self, request: web.Request) -> web.StreamResponse:
        """Answer ``log-newest``, a few keys at a time."""
        await self._misbehave(request)
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
                'end': self.ends.get(topic, 0),
            }
        )

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Answer ``log-read``, waiting for a record if asked to."""
        await self._misbehave(request)
        topic = request.query['topic']
        start = int(request.query['from'])
        if start < self.firsts.get(topic, 0):
            first = self.firsts[topic]
            return web.json_response({'first': first}, status=410)
        wait_seconds = int(request.query.get('waitMs', 0)) / 1000
        try:
            async with asyncio.timeout(wait_seconds), self.changed:
                await self.changed.wait_for(
                    lambda: self.ends.get(topic, 0) > start
                )
        except TimeoutError:
            pass
        await self._misbehave(request)
        body = struct.pack(
            '>QQ', self.ends.get(topic, 0), self.firsts.get(topic, 0)
        )
        for offset, key, value in self.topics.get(topic, ()):
            if offset >= start:
                name = key.encode()
                content = bytes((len(name),)) + name + value
                body += struct.pack('>I', len(content)) + content
        return web.Response(body=body)

    async def append(self, request: web.Request) -> web.StreamResponse:
        """Answer ``log-append`` of one record."""
        await self._misbehave(request)
        body = await request.read()
        name_end = 5 + body[4]
        topic = request.query['topic']
        await self.put_raw(topic, body[5:name_end].decode(), body[name_end:])
        return web.json_response({'offset': 0, 'end': self.ends[topic]})

    async def _misbehave(self, request: web.Request) -> None:
        self.calls.append(request.path)
        if self.mode == 'busy':
            raise web.HTTPServiceUnavailable
        while self.mode == 'silent':
            await asyncio.sleep(0.05)
