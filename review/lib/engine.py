"""Stand-in of an engine, which registers itself in the store."""

import asyncio
import socket
import struct
import time

import messages as http

HEARTBEAT_SECONDS = 1.2
# Requests that wait for a slot, beyond which others are turned away.
QUEUE_LENGTH = 24


class Engine:
    """An engine; ``answer`` is what it does with a request that it runs.

    ``runs`` has a row for each request that it began to work on.
    """

    def __init__(self, store, engine_id, service, zone, host, answer, slots=6):
        self.store = store
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.host = host
        self.port = 0
        self.answer = answer
        self.slots = slots
        self.seq = 0
        self.born = 0
        self.running = 0
        self.waiting = 0
        self.free_slots = asyncio.Semaphore(slots)
        self.runs = []
        self.writers = set()
        self.server = None
        self.heartbeat = None
        self.version = 'v1'

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def start(self):
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.heartbeat = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def register(self, state='ready'):
        self.seq += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'coldRemainingMs': 0,
            'seq': self.seq,
            'born': self.born,
        }
        await self.store.put('keyed.servers', self.engine_id, entry)

    def crash(self):
        """End like a killed process: all channels are reset at once."""
        self.heartbeat.cancel()
        self.server.close()
        for writer in tuple(self.writers):
            raw = writer.get_extra_info('socket')
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()

    def stamp(self, request):
        return f'{self.engine_id}.{request.headers.get("x-request-id", "")}'

    def answer_head(self, request, status='200 OK', **headers):
        return http.head(
            f'HTTP/1.1 {status}',
            X_Request_Id=request.headers.get('x-request-id', ''),
            X_Response_Stamp=self.stamp(request),
            X_Server_Load=f'{self.running},{self.waiting},{self.slots}',
            **headers,
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await http.read_request(reader)
                await self._run(request, writer, reader)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, request, writer, reader):
        expected = request.headers.get('x-expect-instance', self.engine_id)
        request_id = request.headers.get('x-request-id', '')
        if expected != self.engine_id:
            writer.write(
                http.head(
                    'HTTP/1.1 421 Misdirected Request',
                    X_Request_Id=request_id,
                    X_Instance_Id=self.engine_id,
                    X_Not_Executed=1,
                    Content_Length=0,
                )
            )
            return
        if self.waiting >= QUEUE_LENGTH:
            writer.write(
                http.head(
                    'HTTP/1.1 503 Service Unavailable',
                    X_Request_Id=request_id,
                    X_Not_Executed=1,
                    Content_Length=0,
                )
            )
            return
        work = asyncio.ensure_future(self._work(request, request_id, writer))
        gone = asyncio.ensure_future(_until_closed(reader, writer))
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                await work
        finally:
            # An engine drops a request when its channel closes.
            work.cancel()
            gone.cancel()

    async def _work(self, request, request_id, writer):
        self.waiting += 1
        try:
            await self.free_slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((time.monotonic(), request_id, request))
            await self.answer(self, request, writer)
        finally:
            self.running -= 1
            self.free_slots.release()


async def _until_closed(reader, writer):
    while not (reader.at_eof() or writer.transport.is_closing()):
        await asyncio.sleep(0.02)
