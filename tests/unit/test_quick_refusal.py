"""Connections that come while a router is behind are refused at once."""

import asyncio

import pytest
from aiohttp import web

from hickorymux._internal.transport.quick_refusal import (
    MAX_HEAD_OCTETS,
    GatedServer,
)
from hickorymux.platform.headers import request_id_of

REFUSAL = b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'


class Gate:
    """A server whose state the test sets; counts what it serves."""

    def __init__(self):
        self.is_behind = True
        self.served = 0
        self.heads = []

    async def serve(self, request):
        self.served += 1
        return web.Response(text='served')

    def refuse(self, head):
        self.heads.append(head)
        return REFUSAL


@pytest.fixture
async def gate():
    gate = Gate()
    server = GatedServer(gate.serve, lambda: gate.is_behind, gate.refuse)
    listening = await asyncio.get_running_loop().create_server(
        server, '127.0.0.1', 0
    )
    gate.port = listening.sockets[0].getsockname()[1]
    yield gate
    listening.close()
    await server.shutdown()


async def exchange(gate, *pieces):
    reader, writer = await asyncio.open_connection('127.0.0.1', gate.port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0.01)
    answer = await reader.read()
    writer.close()
    return answer


async def test_head_in_pieces_is_refused_and_the_body_dropped(gate):
    answer = await exchange(
        gate,
        b'POST /a HTTP/1.1\r\nX-Request-Id: r-1\r\nContent-',
        b'Length: 6\r\n\r\nabc',
        b'def',
    )
    assert answer == REFUSAL
    assert request_id_of(gate.heads[0]) == 'r-1'
    assert not gate.served


async def test_who_has_caught_up_serves_again(gate):
    gate.is_behind = False
    request = b'GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    assert (await exchange(gate, request)).endswith(b'served')


async def test_endless_head_ends_the_connection(gate):
    assert not await exchange(gate, b'a' * MAX_HEAD_OCTETS, b'a')
    assert not gate.heads


@pytest.mark.parametrize(
    ('head', 'request_id'),
    [
        (b'GET / HTTP/1.1\r\nx-request-id:  r 2 \r\nHost: a', 'r 2'),
        (b'GET / HTTP/1.1\r\nHost: a', ''),
        (b'GET / HTTP/1.1\r\nX-Request-Id: a\nSet-Cookie: b', ''),
    ],
)
def test_request_id_of_a_head(head, request_id):
    assert request_id_of(head) == request_id
