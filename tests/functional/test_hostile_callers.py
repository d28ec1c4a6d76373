"""Callers that make a router hold as many bytes as they can.

A real router process with lowered limits must survive each crowd, within its
memory and descriptors, and answer an ordinary request afterwards. Times and
shares of served requests are not checked. The crowd and the bounds were fixed
before the router had any; see issue 44.
"""

import asyncio
import contextlib
import random
import socket

import pytest

from tests.lib.platform_engine import PlatformEngine, ReceivedRequest
from tests.lib.platform_fleet import manifest, route
from tests.lib.router_program import (
    RouterProgram,
    request_head,
    router_program,
)

MEMORY_MB = 128
MAX_FDS = 456
# Of all descriptors, 200 are reserved for files.
MAX_OPEN = MAX_FDS - 200
BODY_BYTES = 4 << 20
ANSWER_BYTES = 1_000_000
CROWD = 64
HEAD_CROWD = 300
READER_CROWD = 128
# How long a crowd goes on, and how often its effect is looked at.
CROWD_SECONDS = 4
LOOK_SECONDS = 0.02
# A router that serves nothing for this long hangs.
HANG_SECONDS = 30
WORK_SECONDS = 0.5
CROWD_HOST = '127.9.9.9'
PIECE_BYTES = 1 << 14

TABLES = {
    **manifest(
        1,
        route('/small/', 'idempotent', timeoutMs=20000, targetLatencyMs=2000),
        route('/put/', 'non_idempotent', timeoutMs=20000, targetLatencyMs=9000),
        route('/get/', 'idempotent', timeoutMs=20000, targetLatencyMs=9000),
    ),
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': BODY_BYTES,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


async def answer(received: ReceivedRequest) -> None:
    """Answer small requests at once, others after the work of an engine."""
    body = b'ok'
    if not received.path.startswith('/small/'):
        await asyncio.sleep(WORK_SECONDS)
    if received.path.startswith('/get/'):
        body = b'x' * ANSWER_BYTES
    length = f'Content-Length: {len(body)}'
    received.writer.write(received.head('200 OK', length) + body)


async def connect(router: RouterProgram) -> asyncio.StreamWriter:
    """Connect over what looks like a network, with small buffers."""
    opened = socket.socket()
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1000)
    opened.bind((CROWD_HOST, 0))
    loop = asyncio.get_running_loop()
    await loop.sock_connect(opened, (router.ip, router.front))
    reader, writer = await asyncio.open_connection(sock=opened, limit=2048)
    # The reader buffers nothing, so the answers stay unread.
    writer.transport.pause_reading()
    return writer


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send in pieces, as the connection takes them."""
    for start in range(0, len(data), PIECE_BYTES):
        writer.write(data[start : start + PIECE_BYTES])
        await writer.drain()


async def whole_bodies(writer: asyncio.StreamWriter) -> None:
    """Send large bodies, whole."""
    head = request_head('POST', '/put/x', f'Content-Length: {BODY_BYTES}')
    await send(writer, head + b'b' * BODY_BYTES)


async def pieced_bodies(writer: asyncio.StreamWriter) -> None:
    """Send large bodies in chunks, of which many are tiny."""
    head = request_head('POST', '/put/x', 'Transfer-Encoding: chunked')
    tiny = b'2\r\nbb\r\n' * 2048
    large = b'%x\r\n%s\r\n' % (PIECE_BYTES, b'b' * PIECE_BYTES)
    await send(writer, head + (tiny + large) * 200)


async def stopped_bodies(writer: asyncio.StreamWriter) -> None:
    """Send large bodies but for the last byte."""
    head = request_head('POST', '/put/x', f'Content-Length: {BODY_BYTES}')
    await send(writer, head + b'b' * (BODY_BYTES - 1))


async def endless_heads(writer: asyncio.StreamWriter) -> None:
    """Send headers without end."""
    await send(writer, request_head('GET', '/get/x')[:-2])
    for number in range(40):
        await send(writer, b'X-%d: %s\r\n' % (number, b'h' * 60_000))


async def unread_answers(writer: asyncio.StreamWriter) -> None:
    """Ask for large answers and read none."""
    await send(writer, request_head('GET', '/get/x'))


async def pipelined_requests(writer: asyncio.StreamWriter) -> None:
    """Send many requests without waiting for their answers."""
    fillers = [f'X-{number}: {"h" * 3000}' for number in range(4)]
    await send(writer, request_head('GET', '/get/x', *fillers) * 400)


CROWDS = {
    whole_bodies: CROWD,
    pieced_bodies: CROWD,
    stopped_bodies: CROWD,
    endless_heads: HEAD_CROWD,
    unread_answers: READER_CROWD,
    pipelined_requests: READER_CROWD,
}


class Crowd:
    """Callers of a router, each on a connection of its own.

    A caller whose connection is closed comes back after a moment. ``highest``
    is the highest number of descriptors that the router had open.
    """

    def __init__(self, router: RouterProgram) -> None:
        self.router = router
        self.tasks: list[asyncio.Task[None]] = []
        self.highest = 0

    def start(self, behaviour, count: int) -> None:
        """Let callers begin."""
        self.tasks += [
            asyncio.create_task(self._call(behaviour)) for _ in range(count)
        ]

    async def watch(self, seconds: float) -> None:
        """Count the descriptors of the router for a time."""
        for _ in range(int(seconds / LOOK_SECONDS)):
            if not self.router.is_alive():
                return
            with contextlib.suppress(FileNotFoundError):
                self.highest = max(self.highest, self.router.descriptors())
            await asyncio.sleep(LOOK_SECONDS)

    async def end(self) -> None:
        """Let all callers leave."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _call(self, behaviour) -> None:
        while True:
            writer = None
            try:
                writer = await connect(self.router)
                await behaviour(writer)
                await writer.wait_closed()
            except OSError:
                await asyncio.sleep(random.uniform(0.2, 0.5))
            finally:
                if writer is not None:
                    writer.transport.abort()


def router():
    """Return a router with one engine and the lowered limits."""
    engine = PlatformEngine('i-1', answer)
    return router_program(TABLES, engine, memory_mb=MEMORY_MB, max_fds=MAX_FDS)


async def ask_until_served(router: RouterProgram) -> None:
    """Send an ordinary request again until it is not refused."""
    async with asyncio.timeout(HANG_SECONDS):
        while await router.status_of('POST', '/small/x', b'body') != 200:
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('behaviour', CROWDS, ids=lambda one: one.__name__)
async def test_crowd_takes_memory_of_the_process(behaviour):
    async with router() as program:
        await ask_until_served(program)
        crowd = Crowd(program)
        crowd.start(behaviour, CROWDS[behaviour])
        await crowd.watch(CROWD_SECONDS)
        await crowd.end()
        assert program.is_alive()
        await ask_until_served(program)
        assert program.peak_memory_mb() < MEMORY_MB
        assert crowd.highest <= MAX_OPEN


async def test_crowd_takes_memory_of_a_process_that_stops():
    async with router() as program:
        await ask_until_served(program)
        crowd = Crowd(program)
        for behaviour, count in CROWDS.items():
            crowd.start(behaviour, count // 4)
        await crowd.watch(CROWD_SECONDS / 2)
        peak = program.peak_memory_mb()
        stopping = asyncio.create_task(program.stop())
        while not stopping.done():
            with contextlib.suppress(OSError, KeyError):
                peak = max(peak, program.peak_memory_mb())
            await crowd.watch(LOOK_SECONDS)
        assert await stopping == 0
        await crowd.end()
        await program.start()
        await ask_until_served(program)
        assert peak < MEMORY_MB
        assert crowd.highest <= MAX_OPEN
