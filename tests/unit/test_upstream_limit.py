"""The limit of connections to upstreams, on loopback."""

import asyncio
import contextlib

from multidict import CIMultiDict

from hickorymux._internal.transport.connection_policy import (
    ConnectionPolicy,
    ConnectionSettings,
    ReuseMode,
)
from hickorymux._internal.transport.upstream_client import (
    Attempt,
    UpstreamClient,
    UpstreamTimeouts,
)
from hickorymux._internal.utils.clock import SystemClock

LIMIT = 2
UPSTREAMS = 5


class Upstream:
    """Answers each request with two bytes; counts the open connections."""

    def __init__(self, open_connections) -> None:
        self.open_connections = open_connections
        self.peak = 0

    async def serve(self, reader, writer):
        self.open_connections.add(writer)
        self.peak = max(self.peak, len(self.open_connections))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        self.open_connections.discard(writer)
        writer.close()


async def _accept_any(_protocol):
    """Accept any connection."""


def new_attempt(address):
    return Attempt(
        attempt_id='',
        upstream_request_id='r1',
        address=address,
        method='GET',
        path='/',
        headers=CIMultiDict(),
        body=b'',
        may_reuse_connection=True,
        may_be_resent=True,
        verify_connection=_accept_any,
        check_before_send=lambda: None,
        pool='pool',
    )


async def test_idle_connections_count_toward_the_limit():
    """Guards against descriptors that run out after a burst at many engines."""
    open_connections = set()
    upstreams = [Upstream(open_connections) for _ in range(UPSTREAMS)]
    servers = [
        await asyncio.start_server(one.serve, '127.0.0.1', 0)
        for one in upstreams
    ]
    policy = ConnectionPolicy(
        SystemClock(),
        ConnectionSettings(reuse=ReuseMode.enabled),
        UpstreamTimeouts().keep_alive,
    )
    client = UpstreamClient.from_config(
        UpstreamTimeouts(), policy, max_connections=LIMIT
    )
    connector = client.session.connector
    try:
        for server in servers:
            host, port = server.sockets[0].getsockname()
            answer = await client.open(new_attempt(f'{host}:{port}'))
            assert await answer.read() == b'ok'
            answer.release()
            idle = sum(len(kept) for kept in connector._conns.values())
            assert idle + len(connector._acquired) <= LIMIT
        # The connections used last are the ones that are kept.
        kept_ports = {
            key.port for key, kept in connector._conns.items() if kept
        }
        assert kept_ports == {
            server.sockets[0].getsockname()[1] for server in servers[-LIMIT:]
        }
    finally:
        await client.close()
        for server in servers:
            server.close()
