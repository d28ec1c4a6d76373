"""Stand-in of the platform's metadata store: keyed topics in memory.

It serves ``log-newest``, ``log-read`` and ``log-append`` as PROTOCOL.md tells
them. In a drill it goes away, and comes back from a copy.
"""

import asyncio
import base64
import copy
import json
import struct
import urllib.parse

import messages as http


class Store:
    """Topics with one partition each; ``era`` counts the drills."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self.era = 1
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent_writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def go_away(self) -> None:
        """Stop serving, like a machine that is lost.

        Open channels fall silent for good, and there are no new ones.
        """
        if self.server is not None:
            self.server.close()
            self.server = None
        self.silent_writers |= self.writers

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        return copy.deepcopy(self.topics)

    async def come_back(self, topics: dict[str, list]) -> None:
        """Serve again, from a copy."""
        self.topics = topics
        self.era += 1
        await self.start()

    async def put(self, topic: str, key: str, value: object) -> int:
        """Append a record, ``None`` drops the key; return its offset."""
        raw = b'' if value is None else json.dumps(value).encode()
        return await self.put_raw(topic, key, raw)

    async def put_raw(self, topic: str, key: str, raw: bytes) -> int:
        async with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, raw))
            self.changed.notify_all()
            return len(records) - 1

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await http.read_request(reader)
                if writer in self.silent_writers:
                    continue
                status, body, kind = await self._answer(request)
                if writer in self.silent_writers:
                    continue
                writer.write(
                    http.head(
                        f'HTTP/1.1 {status} X',
                        Content_Type=kind,
                        Content_Length=len(body),
                        Store_Era=self.era,
                    )
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent_writers.discard(writer)
            writer.close()

    async def _answer(self, request) -> tuple[int, bytes, str]:
        target = urllib.parse.urlsplit(request.words[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        topic = query.get('topic', '')
        if target.path == '/v1/log-newest':
            return self._newest(topic, query.get('after', ''))
        if target.path == '/v1/log-read':
            return await self._read(topic, query)
        if target.path == '/v1/log-append':
            return await self._append(topic, request.body)
        return 404, b'{}', 'application/json'

    def _newest(self, topic: str, after: str) -> tuple[int, bytes, str]:
        records = self.topics.get(topic, [])
        newest = {key: (value, at) for at, (key, value) in enumerate(records)}
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': at,
            }
            for key, (value, at) in sorted(newest.items())
            if value and key > after
        ]
        page = {
            'items': items[:500],
            'truncated': len(items) > 500,
            'end': len(records),
        }
        return 200, json.dumps(page).encode(), 'application/json'

    async def _read(self, topic: str, query) -> tuple[int, bytes, str]:
        start = int(query['from'])
        wait = int(query.get('waitMs', 0)) / 1000
        if start > len(self.topics.get(topic, [])):
            return 410, json.dumps({'first': 0}).encode(), 'application/json'
        try:
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(
                    lambda: len(self.topics.get(topic, [])) > start
                )
        except TimeoutError:
            pass
        records = self.topics.get(topic, [])
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            content = bytes((len(name),)) + name + value
            body += struct.pack('>I', len(content)) + content
        return 200, body, 'application/octet-stream'

    async def _append(self, topic: str, body: bytes) -> tuple[int, bytes, str]:
        position, first = 0, len(self.topics.get(topic, []))
        while position < len(body):
            size = struct.unpack_from('>I', body, position)[0]
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            if topic.startswith('keyed.'):
                end = 1 + content[0]
                await self.put_raw(topic, content[1:end].decode(), content[end:])
            else:
                await self.put_raw(topic, '', content)
        answer = {'offset': first, 'end': len(self.topics.get(topic, []))}
        return 200, json.dumps(answer).encode(), 'application/json'
