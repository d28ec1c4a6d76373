"""Stand-in for a sound engine, as ``PROTOCOL.md`` describes it."""

import asyncio
import hashlib
import json
import time

from stand_ins.http_io import read_body, read_head, render, reset


class Run:
    """One run of a request at an engine."""

    def __init__(self, engine, request_id, tenant, path, after):
        self.engine_id = engine.engine_id
        self.zone = engine.zone
        self.version = engine.version
        self.request_id = request_id
        self.tenant = tenant
        self.path = path
        self.after = after
        self.started_at = time.monotonic()
        self.events = 0


class Engine:
    """An engine on a loopback address that registers itself in the store.

    All engines of a case share ``runs``. A stream has as many events as
    ``event_counts`` says for the prefix of its path, one every ``gap_seconds``.
    """

    def __init__(self, store, runs, engine_id, service, zone, **options):
        self.store = store
        self.runs = runs
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.version = options.get('version', 'v1')
        self.slots = options.get('slots', 64)
        self.work_seconds = options.get('work_seconds', 0.02)
        self.event_counts = options.get('event_counts', {})
        self.gap_seconds = options.get('gap_seconds', 0.1)
        self.beat_seconds = 1.2
        self.born = 0
        self.seq = 0
        self.running = 0
        self.server = None
        self.address = ''
        self.writers = set()
        self.tasks = set()
        self.beat_task = None
        self.state = 'ready'

    async def start(self):
        """Start, at the former address if there is one, and register."""
        host, _, port = self.address.rpartition(':')
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = 'ready'
        self.server = await asyncio.start_server(
            self._serve, host or '127.0.0.1', int(port or 0), reuse_address=True
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self.beat_task = asyncio.create_task(self._beat())

    async def drain(self, seconds):
        """Report that it leaves, serve on for a time, and end."""
        self.state = 'draining'
        self._write_entry()
        await asyncio.sleep(seconds)
        self._end(close=lambda writer: writer.close())

    def crash(self):
        """End at once; the port refuses channels, the open ones are reset."""
        self._end(close=reset)

    def _end(self, close):
        self.server.close()
        self.beat_task.cancel()
        for writer in tuple(self.writers):
            close(writer)
        for task in tuple(self.tasks):
            task.cancel()
        self.running = 0

    async def stop(self):
        """End at the end of the case."""
        self.crash()

    async def _beat(self):
        while True:
            self._write_entry()
            await asyncio.sleep(self.beat_seconds)

    def _write_entry(self):
        if self.store.is_down:
            return
        self.seq += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'seq': self.seq,
            'born': self.born,
        }
        self.store.put('keyed.servers', self.engine_id, entry)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request)
                await self._answer(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        method, path, _ = request.first_line.split(' ')
        if path == '/health':
            headers = [
                ('X-Instance-Id', self.engine_id),
                ('X-Server-Load', self._load()),
            ]
            writer.write(render('HTTP/1.1 200 OK', headers, b''))
            return
        if path == '/v1/report':
            report = {'stage': 'both', 'busy': False, 'running': self.running}
            body = json.dumps(report).encode()
            writer.write(render('HTTP/1.1 200 OK', [], body))
            return
        request_id = request.get('X-Request-Id')
        echo = [('X-Request-Id', request_id)]
        if not request_id:
            refusal = [('X-Not-Executed', '1')]
            writer.write(render('HTTP/1.1 400 Bad Request', refusal, b''))
            return
        if request.get('X-Expect-Instance', self.engine_id) != self.engine_id:
            headers = [*echo, ('X-Instance-Id', self.engine_id)]
            line = 'HTTP/1.1 421 Misdirected Request'
            writer.write(render(line, headers, b''))
            return
        after = request.get('Last-Event-Id')
        run = Run(self, request_id, request.get('X-Tenant'), path, after)
        self.runs.append(run)
        self.running += 1
        try:
            await self._run(request, run, method, path, reader, writer, echo)
        finally:
            self.running = max(0, self.running - 1)

    async def _run(self, request, run, method, path, reader, writer, echo):
        headers = [
            *echo,
            ('X-Response-Stamp', f'{self.engine_id}.{len(self.runs)}'),
            ('X-Server-Load', self._load()),
        ]
        if request.get('X-Token-Count'):
            await self._stream(run, reader, writer, headers)
            return
        await asyncio.sleep(self.work_seconds)
        digest = hashlib.sha256(request.body).hexdigest()[:16]
        body = json.dumps(
            {'id': run.request_id, 'method': method, 'path': path,
             'tenant': run.tenant, 'body': digest}
        ).encode()
        writer.write(render('HTTP/1.1 200 OK', headers, body))
        await writer.drain()

    async def _stream(self, run, reader, writer, headers):
        headers += [
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
            ('X-Weight-Versions', '1'),
        ]
        writer.write(render('HTTP/1.1 200 OK', headers))
        first = int(run.after) + 1 if run.after else 1
        for number in range(first, self._event_count(run.path) + 1):
            await asyncio.sleep(self.gap_seconds)
            if reader.at_eof():
                raise ConnectionResetError('the caller has left')
            text = f'id: {number}\ndata: {self.version} {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(text), text))
            await writer.drain()
            run.events += 1
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def _event_count(self, path):
        return next(
            count
            for prefix, count in self.event_counts.items()
            if path.startswith(prefix)
        )

    def _load(self):
        return f'{self.running},0,{self.slots}'
