"""New connections are refused at once while a router is overloaded.

Hundreds of new connections a second would otherwise take processor time from
the requests that are served.
"""

import asyncio

import pytest
from aiohttp import web

from hickorymux._internal.transport.quick_refusal import (
    MAX_HEAD_BYTES,
    LoadSheddingServer,
)
from hickorymux.platform.headers import request_id_of

REFUSAL = b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'


class FakeServer:
    """Serves or refuses as the test sets it; records the refused heads."""

    def __init__(self):
        self.is_overloaded = True
        self.served = 0
        self.heads = []

    async def serve(self, request):
        self.served += 1
        return web.Response(text='served')

    def refuse(self, head):
        self.heads.append(head)
        return REFUSAL


@pytest.fixture
async def fake_server():
    fake_server = FakeServer()
    server = LoadSheddingServer(
        fake_server.serve, lambda: fake_server.is_overloaded, fake_server.refuse
    )
    listening = await asyncio.get_running_loop().create_server(
        server, '127.0.0.1', 0
    )
    fake_server.port = listening.sockets[0].getsockname()[1]
    yield fake_server
    listening.close()
    await server.shutdown()


async def exchange(fake_server, *pieces):
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', fake_server.port
    )
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0.01)
    answer = await reader.read()
    writer.close()
    return answer


async def test_head_in_pieces_is_refused_and_the_body_dropped(fake_server):
    answer = await exchange(
        fake_server,
        b'POST /a HTTP/1.1\r\nX-Request-Id: r-1\r\nContent-',
        b'Length: 6\r\n\r\nabc',
        b'def',
    )
    assert answer == REFUSAL
    assert request_id_of(fake_server.heads[0]) == 'r-1'
    assert not fake_server.served


async def test_router_without_overload_serves_again(fake_server):
    fake_server.is_overloaded = False
    request = b'GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    assert (await exchange(fake_server, request)).endswith(b'served')


async def test_endless_head_ends_the_connection(fake_server):
    assert not await exchange(fake_server, b'a' * MAX_HEAD_BYTES, b'a')
    assert not fake_server.heads


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
