"""Stand-in for the platform's metadata store, in the form of a log.

It follows ``PROTOCOL.md``, "The platform's metadata store", for topics with
one partition. ``refused_pids`` are the processes that it turns away with 503,
while it serves the others and the operator.
"""

import asyncio
import base64
import json
import os
import struct
import time
import urllib.parse

from stand_ins.http_io import read_body, read_head, render

# One answer takes 4 ms, and all reads share 80 MB/s.
ANSWER_SECONDS = 0.004
READ_BYTES_PER_SECOND = 80_000_000
DEFAULT_MAX_KB = 1024
MAX_WAIT_MS = 30_000
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_RECORD_BYTES = 262_144


class StoreCopy:
    """The topics of a store at some moment."""

    def __init__(self, topics):
        self.topics = {name: list(rows) for name, rows in topics.items()}


class Store:
    """A store on a loopback address."""

    def __init__(self):
        self.topics = {}
        self.added = asyncio.Event()
        self.refused_pids = set()
        self.is_down = False
        self.era = None
        self.server = None
        self.address = ''
        self.read_free_at = 0.0
        self.appends = []
        self.reads = []
        self.channels = set()
        self.unknown_channels = 0

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def put(self, topic, key, value):
        """Append a record as the operator or an engine; ``None`` drops it.

        Returns the time of the acknowledgement.
        """
        raw = b'' if value is None else json.dumps(
            value, separators=(',', ':')
        ).encode()
        return self._append(topic, key, raw)

    def copy(self):
        """Return a copy of all topics."""
        return StoreCopy(self.topics)

    def restore(self, copy):
        """Come back from a copy, in the next era."""
        self.topics = {name: list(rows) for name, rows in copy.topics.items()}
        self.era = (self.era or 0) + 1

    def _append(self, topic, key, raw):
        name = key.encode()
        if len(raw) + len(name) + 1 > MAX_RECORD_BYTES:
            raise ValueError('the record is too large for the store')
        self.topics.setdefault(topic, []).append((key, raw))
        self.added.set()
        self.added = asyncio.Event()
        return time.monotonic()

    async def _serve(self, reader, writer):
        self.channels.add(writer)
        pid = find_pid(
            writer.get_extra_info('peername')[1],
            writer.get_extra_info('sockname')[1],
        )
        if not pid:
            self.unknown_channels += 1
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request)
                era = self.era
                status, body, kind = await self._answer(request, pid)
                if self.is_down or era != self.era:
                    # A response that is lost takes its channel with it.
                    break
                headers = [('Content-Type', kind)]
                if era is not None:
                    headers.append(('Store-Era', str(era)))
                writer.write(render(f'HTTP/1.1 {status} -', headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def _answer(self, request, pid):
        method, target, _ = request.first_line.split(' ')
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        await asyncio.sleep(ANSWER_SECONDS)
        if self.is_down or pid in self.refused_pids:
            return 503, b'{}', 'application/json'
        if path == '/v1/log-newest' and method == 'GET':
            return self._newest(query)
        if path == '/v1/log-read' and method == 'GET':
            return await self._read(query, pid)
        if path == '/v1/log-append' and method == 'POST':
            return self._take(query, request.body)
        return 404, b'{}', 'application/json'

    def _newest(self, query):
        rows = self.topics.get(query['topic'], [])
        newest = {}
        for offset, (key, raw) in enumerate(rows):
            newest[key] = (offset, raw)
        items, size, is_cut = [], 0, False
        for key in sorted(newest):
            offset, raw = newest[key]
            if not raw or key <= query.get('after', ''):
                continue
            size += len(raw)
            if len(items) == MAX_PAGE_ITEMS or (
                items and size > MAX_PAGE_BYTES
            ):
                is_cut = True
                break
            value = base64.b64encode(raw).decode()
            items.append({'key': key, 'value': value, 'offset': offset})
        page = {'items': items, 'truncated': is_cut, 'end': len(rows)}
        return 200, json.dumps(page).encode(), 'application/json'

    async def _read(self, query, pid):
        topic, start = query['topic'], int(query['from'])
        wait = min(int(query.get('waitMs', 0)), MAX_WAIT_MS) / 1000
        limit = int(query.get('maxKb', DEFAULT_MAX_KB)) * 1024
        if start > len(self.topics.get(topic, [])):
            return 410, b'{"first":0}', 'application/json'
        until = time.monotonic() + wait
        while len(self.topics.get(topic, [])) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.added.wait(), left)
            except TimeoutError:
                break
        if pid in self.refused_pids:
            return 503, b'{}', 'application/json'
        rows = self.topics.get(topic, [])
        parts = [struct.pack('>QQ', len(rows), 0)]
        size = 0
        for key, raw in rows[start:]:
            name = key.encode()
            content = bytes((len(name),)) + name + raw
            if size and size + len(content) + 4 > limit:
                break
            size += len(content) + 4
            parts.append(struct.pack('>I', len(content)) + content)
        body = b''.join(parts)
        now = time.monotonic()
        self.reads.append((now, topic, pid, start, len(parts) - 1, len(rows)))
        self.read_free_at = (
            max(self.read_free_at, now) + len(body) / READ_BYTES_PER_SECOND
        )
        if self.read_free_at - now > 0.001:
            await asyncio.sleep(self.read_free_at - now)
        return 200, body, 'application/octet-stream'

    def _take(self, query, body):
        topic = query['topic']
        rows = self.topics.setdefault(topic, [])
        if topic in {'keyed.op', 'keyed.servers'}:
            return 403, b'{}', 'application/json'
        if 'at' in query and int(query['at']) != len(rows):
            page = json.dumps({'end': len(rows)}).encode()
            return 412, page, 'application/json'
        first, position = len(rows), 0
        while position < len(body):
            size = struct.unpack_from('>I', body, position)[0]
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            key_end = 1 + content[0] if topic.startswith('keyed.') else 0
            key = content[1:key_end].decode(errors='replace')
            rows.append((key, content[key_end:]))
        self.appends.append((time.monotonic(), topic))
        self.added.set()
        self.added = asyncio.Event()
        page = json.dumps({'offset': first, 'end': len(rows)}).encode()
        return 200, page, 'application/json'


_watched_pids = set()


def watch_pid(pid):
    """Let ``find_pid`` know a process that this case has started."""
    _watched_pids.add(pid)


def find_pid(port, store_port):
    """Return which watched process has a channel from a port to the store."""
    inode = None
    with open('/proc/net/tcp', encoding='ascii') as table:
        next(table)
        for line in table:
            fields = line.split()
            ports = tuple(
                int(field.rpartition(':')[2], 16) for field in fields[1:3]
            )
            if ports == (port, store_port):
                inode = fields[9]
                break
    if inode is None:
        return 0
    wanted = f'socket:[{inode}]'
    for pid in tuple(_watched_pids):
        if wanted in _open_files(pid):
            return pid
    return 0


def _open_files(pid):
    """Yield what the descriptors of a process refer to."""
    try:
        names = os.listdir(f'/proc/{pid}/fd')
    except OSError:
        return
    for name in names:
        try:
            yield os.readlink(f'/proc/{pid}/fd/{name}')
        except OSError:
            # It was closed meanwhile.
            continue
