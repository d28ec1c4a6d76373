"""HTTP ports beside the one for callers: the readiness check and the metrics.

They are meant for the balancer and the operators, but anyone who reaches the
host may connect. Connections are few and hold little, and the ones that wait
longest for their client are closed for new ones.

Example::

    port = ServicePort.from_config(answer_readiness, clock, max_connections=32)
    port.listen(Address('10.0.0.1', 8780))
"""

from collections.abc import Awaitable, Callable
from typing import Final, Self, final

from aiohttp import web

from hickorymux._internal.state.routing import IngressLimits
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.bounded_reads import READ_BYTES
from hickorymux._internal.transport.caller_connections import (
    BoundedServer,
    CallerConnections,
    ConnectionLimits,
)
from hickorymux._internal.transport.listener import Listener
from hickorymux._internal.transport.memory_budget import MemoryBudget
from hickorymux._internal.utils.clock import Clock

KEEP_ALIVE_SECONDS: Final = 75.0
# How long the rest of a request is read and dropped after its answer.
LINGERING_SECONDS: Final = 0.2
# How long an answer that the client does not read is kept.
MAX_UNREAD_SECONDS: Final = 5.0
# Bytes of incomplete requests on one port.
BUFFER_BYTES: Final = 1 << 20
_INGRESS_LIMITS: Final = IngressLimits()

Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@final
class ServicePort:
    """One port with its server, which a runner closes, and its connections."""

    __slots__ = ('connections', 'listener', 'server')

    def __init__(
        self,
        server: web.Server,
        connections: CallerConnections,
        backlog: int,
    ) -> None:
        self.server = server
        self.connections = connections
        self.listener = Listener(
            server, find_room=connections.find_room, backlog=backlog
        )

    @classmethod
    def from_config(
        cls, handle: Handle, clock: Clock, max_connections: int
    ) -> Self:
        """Return a port that answers requests by ``handle``."""
        connections = CallerConnections(
            MemoryBudget(clock, BUFFER_BYTES, BUFFER_BYTES),
            ConnectionLimits(
                max_connections,
                lambda: _INGRESS_LIMITS,
                lambda: MAX_UNREAD_SECONDS,
            ),
        )
        server = BoundedServer(
            handle,
            connections,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            lingering_time=LINGERING_SECONDS,
            read_bufsize=READ_BYTES,
        )
        return cls(server, connections, max_connections)

    def listen(self, address: Address) -> None:
        """Accept connections; raises ``OSError`` if the address is in use."""
        self.listener.start(address.host, address.port)
