"""A stand-in of the platform's engines, speaking HTTP on a raw socket.

Each engine answers by a script: a function that gets the request and writes
the octets of the answer, so that it can break any rule of the protocol.
"""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable

STAMP = 'X-Response-Stamp: stamp'


@dataclasses.dataclass
class ReceivedRequest:
    """One request as the engine got it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def request_id(self) -> str:
        """Return the id to echo."""
        return self.headers.get('x-request-id', '')

    def head(self, status: str = '200 OK', *lines: str) -> bytes:
        """Return the head of a signed answer."""
        fixed = (f'X-Request-Id: {self.request_id}', STAMP)
        text = '\r\n'.join((f'HTTP/1.1 {status}', *fixed, *lines, '', ''))
        return text.encode()


Script = Callable[[ReceivedRequest], Awaitable[None]]


def reset_connection(received: ReceivedRequest) -> None:
    """End the connection with a reset rather than a close."""
    raw = received.writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    received.writer.transport.abort()


async def answer_ok(received: ReceivedRequest) -> None:
    """Answer with a small whole body."""
    received.writer.write(received.head('200 OK', 'Content-Length: 2') + b'ok')


class PlatformEngine:
    """One engine; ``received`` has all requests that it read."""

    def __init__(self, engine_id: str, script: Script = answer_ok) -> None:
        self.engine_id = engine_id
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.closed = 0
        self.connections = 0
        self.server: asyncio.Server | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def entry(self, pool: str = 'pool', **changes: object) -> dict[str, object]:
        """Return the entry by which the engine registers."""
        return {
            'service': pool,
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'seq': 1,
            'born': 1,
            **changes,
        }

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        try:
            while True:
                received = await _read_request(reader, writer)
                self.received.append(received)
                watch = asyncio.ensure_future(reader.read(1))
                work = asyncio.ensure_future(self.script(received))
                done, _ = await asyncio.wait(
                    (watch, work), return_when=asyncio.FIRST_COMPLETED
                )
                if work not in done:
                    self.closed += 1
                    work.cancel()
                    break
                watch.cancel()
                await asyncio.wait((watch,))
                await work
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> ReceivedRequest:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip().split('\r\n')
    method, path, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(': ')
        headers[name.lower()] = value
    size = int(headers.get('content-length', 0))
    body = await reader.readexactly(size)
    return ReceivedRequest(method, path, headers, body, writer)
