"""TCP sockets with short keep-alive probes.

A host that loses power or network sends no reset, so only unanswered probes
show that it is unreachable.
"""

import socket
from typing import Any, Final

PROBE_IDLE_SECONDS: Final = 1
PROBE_INTERVAL_SECONDS: Final = 1
PROBE_COUNT: Final = 2
# Sent data that is not acknowledged ends the connection after the same time
# as unanswered probes do.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 3000


def open_keepalive_socket(address_info: Any) -> socket.socket:
    """Return a non-blocking socket with keep-alive probes enabled.

    ``address_info`` is an entry of ``socket.getaddrinfo``.
    """
    family, kind, protocol = address_info[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    _enable_keepalive(opened)
    return opened


def _enable_keepalive(opened: socket.socket) -> None:
    """Enable keep-alive probes and limit the wait for acknowledgements."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
