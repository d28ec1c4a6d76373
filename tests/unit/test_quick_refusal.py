"""New connections are refused at once while a router is overloaded.

Hundreds of new connections a second would otherwise take processor time from
the requests that are served.
"""

import asyncio
import socket
import time

import pytest
from aiohttp import web

from hickorymux._internal.transport import quick_refusal
from hickorymux._internal.transport.quick_refusal import (
    MAX_HEAD_BYTES,
    LoadSheddingServer,
    SOCKET_LINGERING_SECONDS,
    EarlyDecision,
    SocketRefusals,
)
from hickorymux.platform.headers import read_raw_head

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
    assert read_raw_head(fake_server.heads[0]).request_id == 'r-1'
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
    assert read_raw_head(head).request_id == request_id


HEAD = b'POST /a HTTP/1.1\r\nX-Request-Id: r-1\r\n'


@pytest.fixture
def sockets():
    """Return the caller's end of a connection and the accepted one."""
    with socket.create_server(('127.0.0.1', 0)) as listening:
        caller = socket.create_connection(listening.getsockname(), timeout=5)
        accepted, _ = listening.accept()
    accepted.setblocking(False)
    with caller, accepted:
        yield caller, accepted


def send(caller, accepted, sent, received_before=0):
    """Send bytes and wait until all of them have arrived."""
    caller.sendall(sent)
    size = received_before + len(sent)
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        try:
            if len(accepted.recv(size, socket.MSG_PEEK)) == size:
                return
        except BlockingIOError:
            time.sleep(0.001)
    raise TimeoutError


WHOLE_REQUESTS = (
    HEAD + b'\r\n',
    HEAD + b'Content-Length: 3\r\n\r\nabc',
    HEAD + b'content-length:3\r\nHost: a\r\n\r\nabc',
)
OTHER_REQUESTS = (
    HEAD + b'Content-Length: 3\r\n\r\nab',
    HEAD + b'Content-Length: 3\r\n\r\nabcd',
    HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    HEAD + b'\r\n' + HEAD + b'\r\n',
)


@pytest.mark.parametrize('sent', WHOLE_REQUESTS)
def test_whole_request_is_refused_without_a_reset(sockets, sent):
    caller, accepted = sockets
    send(caller, accepted, sent)
    heads = []
    refusals = SocketRefusals(lambda head: heads.append(head) or REFUSAL)
    assert refusals.decide(accepted) is EarlyDecision.refused
    assert not refusals.lingering
    assert read_raw_head(heads[0]).request_id == 'r-1'
    assert caller.recv(1000) == REFUSAL
    # A reset would raise here, and could have lost the refusal.
    assert not caller.recv(1000)


@pytest.mark.parametrize('sent', OTHER_REQUESTS)
async def test_refusal_survives_the_rest_of_its_request(sockets, sent):
    caller, accepted = sockets
    send(caller, accepted, sent)
    refusals = SocketRefusals(lambda _: REFUSAL)
    assert refusals.decide(accepted) is EarlyDecision.refused
    caller.sendall(b'c' * 1000)
    await asyncio.sleep(SOCKET_LINGERING_SECONDS * 1.5)
    assert not refusals.lingering
    assert caller.recv(1000) == REFUSAL
    assert not caller.recv(1000)


async def test_sockets_that_linger_are_bounded(sockets, monkeypatch):
    caller, accepted = sockets
    monkeypatch.setattr(quick_refusal, 'MAX_LINGERING_SOCKETS', 0)
    send(caller, accepted, OTHER_REQUESTS[0])
    refusals = SocketRefusals(lambda _: REFUSAL)
    assert refusals.decide(accepted) is EarlyDecision.refused
    assert not refusals.lingering
    assert caller.recv(1000) == REFUSAL
    refusals.close()


def test_request_that_is_not_refused_stays_unread(sockets):
    caller, accepted = sockets
    refusals = SocketRefusals(lambda _: REFUSAL)
    assert refusals.decide(accepted) is EarlyDecision.awaited
    send(caller, accepted, HEAD)
    assert refusals.decide(accepted) is EarlyDecision.awaited
    send(caller, accepted, b'\r\n', len(HEAD))
    admitting = SocketRefusals(lambda _: None)
    assert admitting.decide(accepted) is EarlyDecision.admitted
    assert accepted.recv(1000) == HEAD + b'\r\n'


def test_key_and_deadline_of_a_raw_head():
    head = b'GET / HTTP/1.1\r\nX-KEY: k\r\nx-request-deadline: 1500\r\nX-Key: 2'
    facts = read_raw_head(head)
    assert (facts.key, facts.caller_timeout_seconds) == ('k', 1.5)
    assert read_raw_head(b'GET / HTTP/1.1').caller_timeout_seconds is None
