"""Sockets that notice when the other side has fallen silent."""

import socket
from typing import Any, Final

PROBE_IDLE_SECONDS: Final = 1
PROBE_INTERVAL_SECONDS: Final = 1
PROBE_COUNT: Final = 2
# Unacknowledged data ends the connection after as long as the probes take.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 3000


def open_keepalive_socket(address_info: Any) -> socket.socket:
    """Return a socket for an address, with short keep-alive probes.

    A host without power or behind a cut sends no reset, so only probes tell.
    """
    family, kind, protocol = address_info[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    _enable_probes(opened)
    return opened


def _enable_probes(opened: socket.socket) -> None:
    """Turn keep-alive probes on."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
