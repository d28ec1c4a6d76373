"""Upstreams in trouble that send bytes without end.

The bytes are no answer, in a head or a body, and come until the router closes
the connection. They must neither fill the router's memory nor reach a caller as
a complete answer, and a request that may be repeated is served elsewhere.
"""

import asyncio
import contextlib
import time

import pytest

from tests.lib.platform_engine import (
    PlatformEngine,
    ReceivedRequest,
    answer_ok,
)
from tests.lib.platform_fleet import platform_fleet, route

READ = route('/read/', 'idempotent', maxAttempts=2)
ONE_STREAM = route('/once/', 'streaming')
EVENT_STREAM = 'Content-Type: text/event-stream'
FIRST_EVENT = b'id: 1\ndata: x\n\n'
BLOCK = b'x' * 65536
# An upstream that may send more than this could fill a router's memory.
MAX_SENT_BYTES = 8 << 20
# Well below the time limit of the routes, 2 s.
MAX_CLOSE_SECONDS = 1.0


class Endless:
    """A script that sends a start and then the same bytes without end.

    ``sent`` counts the bytes, and ``seconds`` is how long it took until the
    router closed the connection, if it did.
    """

    def __init__(self, start: str, repeated: bytes) -> None:
        self.start = start
        self.repeated = repeated
        self.sent = 0
        self.seconds: float | None = None

    async def __call__(self, received: ReceivedRequest) -> None:
        """Send until the connection is closed."""
        started_at = time.monotonic()
        head = received.head('200 OK', EVENT_STREAM)[:-2]
        starts = {
            'nothing': b'',
            'status line': b'HTTP/1.1 200 ',
            'header name': head,
            'header value': head + b'X-Long: ',
            'unframed body': head + b'\r\n',
            'chunked event': head + b'Transfer-Encoding: chunked\r\n\r\n',
            'chunked end': head
            + b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n',
            'event': head + b'\r\n' + FIRST_EVENT + b'id: 2\ndata: ',
        }
        received.writer.write(starts[self.start])
        try:
            while True:
                received.writer.write(self.repeated)
                self.sent += len(self.repeated)
                await received.writer.drain()
                await asyncio.sleep(0)
        finally:
            self.seconds = time.monotonic() - started_at


CHUNK = b'10000\r\n' + BLOCK + b'\r\n'
ENDLESS = [
    ('nothing', BLOCK),
    ('nothing', b'\r\n' * 4096),
    ('nothing', b'HTTP/1.1 100 Continue\r\n\r\n' * 512),
    ('status line', BLOCK),
    ('header name', BLOCK),
    ('header value', BLOCK),
    ('header name', b'X-Filler: x\r\n' * 1024),
    ('unframed body', BLOCK),
]


@pytest.mark.parametrize(('start', 'repeated'), ENDLESS)
async def test_endless_answer_to_a_read_holds_the_caller(start, repeated):
    script = Endless(start, repeated)
    async with platform_fleet(READ) as fleet:
        engines = [PlatformEngine(f'e{number}', script) for number in (1, 2)]
        for engine in engines:
            await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        first_to_answer = asyncio.Event()

        async def only_once(received: ReceivedRequest) -> None:
            if first_to_answer.is_set():
                await answer_ok(received)
                return
            first_to_answer.set()
            await script(received)

        for engine in engines:
            engine.script = only_once
        async with fleet.request('GET', '/read/x') as answer:
            assert answer.status == 200
            assert await answer.read() == b'ok'
        await asyncio.sleep(0.05)
        assert script.seconds is not None
        assert script.seconds < MAX_CLOSE_SECONDS
        assert script.sent < MAX_SENT_BYTES


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        ('event', BLOCK),
        ('unframed body', BLOCK),
        ('chunked event', CHUNK),
        ('header value', BLOCK),
    ],
)
async def test_endless_event_fills_the_memory(start, repeated):
    script = Endless(start, repeated)
    async with platform_fleet(ONE_STREAM) as fleet:
        await fleet.add_engine(PlatformEngine('e1', script))
        await fleet.wait_until_ready()
        with pytest.raises(Exception, match='(?i)not completed|502'):
            async with fleet.request('POST', '/once/x', data=b'1') as answer:
                answer.raise_for_status()
                await answer.read()
        await asyncio.sleep(0.05)
        assert script.seconds is not None
        assert script.seconds < MAX_CLOSE_SECONDS
        assert script.sent < MAX_SENT_BYTES


async def test_endless_bytes_after_an_answer_fill_the_memory():
    endless = Endless('nothing', BLOCK)

    async def answer_and_go_on(received: ReceivedRequest) -> None:
        await answer_ok(received)
        await received.writer.drain()
        await asyncio.sleep(0.05)
        await endless(received)

    async with platform_fleet(READ) as fleet:
        await fleet.add_engine(PlatformEngine('e1', answer_and_go_on))
        await fleet.wait_until_ready()
        async with fleet.request('GET', '/read/x') as answer:
            assert await answer.read() == b'ok'
        await asyncio.sleep(MAX_CLOSE_SECONDS)
        assert endless.seconds is not None
        assert endless.sent < MAX_SENT_BYTES


@pytest.mark.parametrize('repetitions', [1, 1 << 20])
@pytest.mark.parametrize(
    'extra',
    [b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx' * 300, b'H', b'\r\n'],
    ids=['answers', 'byte', 'blank line'],
)
async def test_idle_connection_takes_bytes_of_no_answer(extra, repetitions):
    """Review case 4: extra answers on an idle connection fill the memory."""
    sent, closed = [], asyncio.Event()

    async def send_extra(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.1)
        with contextlib.suppress(ConnectionError):
            for _ in range(repetitions):
                writer.write(extra)
                sent.append(len(extra))
                await writer.drain()
                await asyncio.sleep(0)
        while not writer.is_closing():
            await asyncio.sleep(0.01)
        closed.set()

    async def answer_and_more(received: ReceivedRequest) -> None:
        await answer_ok(received)
        tasks.append(asyncio.create_task(send_extra(received.writer)))

    tasks = []
    async with platform_fleet(READ) as fleet:
        await fleet.add_engine(PlatformEngine('e1', answer_and_more))
        await fleet.wait_until_ready()
        async with fleet.request('GET', '/read/x') as answer:
            assert await answer.read() == b'ok'
        async with asyncio.timeout(MAX_CLOSE_SECONDS):
            await closed.wait()
        assert sum(sent) < MAX_SENT_BYTES
        tasks.clear()


async def test_endless_trailer_holds_the_caller():
    script = Endless('chunked end', b'X-Filler: x\r\n' * 1024)
    async with platform_fleet(READ) as fleet:
        await fleet.add_engine(PlatformEngine('e1', script))
        await fleet.wait_until_ready()
        async with fleet.request('GET', '/read/x') as answer:
            assert answer.status == 502
        await asyncio.sleep(0.05)
        assert script.seconds is not None
        assert script.seconds < MAX_CLOSE_SECONDS
        assert script.sent < MAX_SENT_BYTES
