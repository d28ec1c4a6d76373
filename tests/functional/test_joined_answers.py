"""A large answer that breaks off is not completed by that of another engine."""

import asyncio

import aiohttp
import pytest

from hickorymux._internal.transport.relay import MAX_BUFFERED_ANSWER_BYTES
from tests.lib.platform_engine import (
    PlatformEngine,
    ReceivedRequest,
    reset_connection,
)
from tests.lib.platform_fleet import platform_fleet, route

ENGINE_COUNT = 3
LARGE = MAX_BUFFERED_ANSWER_BYTES + 100_000
SIZES = (MAX_BUFFERED_ANSWER_BYTES, MAX_BUFFERED_ANSWER_BYTES + 1, LARGE)
PIECE_BYTES = 1 << 16


def break_positions(size: int) -> list[int]:
    """Return after how many bytes the answers break off."""
    bound = MAX_BUFFERED_ANSWER_BYTES
    return [1, *(at for at in (bound, bound + 1) if at < size), size - 1]


def script_of(fill: bytes, size: int, breaks: list[int], framing: str):
    """Return a script whose first answers break off; all have one byte only."""

    async def send(received: ReceivedRequest) -> None:
        end = breaks.pop(0) if breaks else size
        is_chunked = framing == 'chunks'
        line = (
            'Transfer-Encoding: chunked'
            if is_chunked
            else f'Content-Length: {size}'
        )
        write = received.writer.write
        write(received.head('200 OK', line))
        for start in range(0, end, PIECE_BYTES):
            piece = fill * min(PIECE_BYTES, end - start)
            write(
                b'%x\r\n%s\r\n' % (len(piece), piece) if is_chunked else piece
            )
            await received.writer.drain()
        if end < size:
            # The router would not get bytes that a reset overtakes.
            await asyncio.sleep(0.05)
            reset_connection(received)
        elif is_chunked:
            write(b'0\r\n\r\n')

    return send


async def read_answer(fleet) -> tuple[bytes, bool]:
    """Return the body of an answer and whether it ended as complete."""
    body = b''
    try:
        async with fleet.request('GET', '/read/x') as answer:
            assert answer.status == 200
            async for chunk in answer.content.iter_any():
                body += chunk
    except aiohttp.ClientError:
        return body, False
    return body, True


@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize('max_attempts', [2, 3])
@pytest.mark.parametrize('size', SIZES)
async def test_large_answer_is_joined_from_two_engines(
    size, max_attempts, framing
):
    read = route(
        '/read/', 'idempotent', maxAttempts=max_attempts, targetLatencyMs=2000
    )
    async with platform_fleet(read) as fleet:
        for number in range(ENGINE_COUNT):
            await fleet.add_engine(PlatformEngine(f'e{number}'))
        await fleet.wait_until_ready()
        for position in break_positions(size):
            breaks = [position] * (max_attempts - 1)
            for number, engine in enumerate(fleet.engines):
                fill = b'%d' % number
                engine.script = script_of(fill, size, breaks, framing)
            body, is_complete = await read_answer(fleet)
            assert len(set(body)) == 1, position
            assert is_complete == (len(body) == size), position
            # A part that is small enough is still tried again.
            if position <= MAX_BUFFERED_ANSWER_BYTES:
                assert is_complete, position
            # Engines that broke off an answer get no requests for a moment.
            fleet.process.allocator.health.records.clear()
