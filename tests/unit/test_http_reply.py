"""Answers to callers as bytes on the connection."""

import asyncio

import pytest
from aiohttp import web
from multidict import CIMultiDict

from hickorymux._internal.transport.http_reply import HttpReply

REQUEST = b'GET /a HTTP/1.1\r\nHost: a\r\n\r\n'


@pytest.mark.parametrize('is_last', [True, False])
@pytest.mark.parametrize('is_streamed', [True, False])
async def test_last_answer_says_that_the_connection_ends(is_last, is_streamed):
    async def handle(request):
        reply = HttpReply(request, closes_connection=is_last)
        if is_streamed:
            await reply.start(200, CIMultiDict())
            await reply.write(b'whole')
            await reply.finish()
        else:
            await reply.send_whole(200, CIMultiDict(), b'whole')
        return reply.response

    server = web.Server(handle)
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(server, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(REQUEST)
    head = await reader.readuntil(b'\r\n\r\n')
    assert (b'Connection: close' in head) == is_last
    if is_last:
        assert b'whole' in await asyncio.wait_for(reader.read(), 1)
    writer.close()
    listening.close()
    await server.shutdown()
