"""TCP sockets with short keep-alive probes and small receive buffers.

A host that loses power or network sends no reset, so only unanswered probes
show that it is unreachable.

What is received and not read yet counts as memory of the process, also on
connections that nobody has accepted. Linux holds up to twice the size that is
set for a receive buffer, and grows a buffer of unset size to several MB.
"""

import contextlib
import fcntl
import socket
import struct
import termios
from typing import Any, Final

PROBE_IDLE_SECONDS: Final = 1
PROBE_INTERVAL_SECONDS: Final = 1
PROBE_COUNT: Final = 2
# Sent data that is not acknowledged ends the connection after the same time
# as unanswered probes do.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 3000
# The receive buffer of connections that are accepted, and what they may hold.
RECEIVE_BUFFER_BYTES: Final = 1 << 13
MAX_UNREAD_BYTES: Final = 2 * RECEIVE_BUFFER_BYTES
# The receive buffer while a body arrives for which memory is charged. Larger
# ones have no effect, as the scale of the window is set when a connection opens.
BODY_RECEIVE_BUFFER_BYTES: Final = 1 << 16
# The receive buffer of connections to upstreams, and what they may hold.
ANSWER_RECEIVE_BUFFER_BYTES: Final = 1 << 14
MAX_UNREAD_ANSWER_BYTES: Final = 2 * ANSWER_RECEIVE_BUFFER_BYTES
# The receive buffer of the few connections to the store.
STORE_RECEIVE_BUFFER_BYTES: Final = 1 << 16

# The state of a connection that was reset (TCP_CLOSE in linux/tcp_states.h).
_TCP_CLOSE: Final = 7
_INTEGER: Final = struct.Struct('i')


def listen(host: str, port: int, backlog: int) -> socket.socket:
    """Return a non-blocking socket that listens at an IPv4 address.

    The connections that it accepts have small receive buffers from their start.
    Raises ``OSError`` if the address can't be used.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        set_receive_buffer(opened, RECEIVE_BUFFER_BYTES)
        opened.setblocking(False)
        opened.bind((host, port))
        opened.listen(backlog)
    except OSError:
        opened.close()
        raise
    return opened


def set_receive_buffer(opened: Any, size: int) -> None:
    """Set the size of a receive buffer in bytes, where that is possible."""
    with contextlib.suppress(OSError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def grow_receive_buffer(transport: Any, charged_bytes: int) -> bool:
    """Fit a receive buffer to what is charged for the bytes that arrive.

    The sender may send one receive buffer in each round trip. Returns whether
    the size was changed.
    """
    size = min(charged_bytes // 2, BODY_RECEIVE_BUFFER_BYTES)
    if transport is None or size <= RECEIVE_BUFFER_BYTES:
        return False
    set_receive_buffer(transport.get_extra_info('socket'), size)
    return True


def shrink_receive_buffer(transport: Any) -> None:
    """Give a receive buffer its usual size again, if it is still open."""
    opened = None if transport is None else transport.get_extra_info('socket')
    if opened is not None:
        set_receive_buffer(opened, RECEIVE_BUFFER_BYTES)


def unacknowledged_bytes(transport: Any) -> int:
    """Return what a socket has sent and its other end has not acknowledged.

    It is 0 where that is not known.
    """
    opened = transport.get_extra_info('socket')
    try:
        answer = fcntl.ioctl(
            opened.fileno(), termios.TIOCOUTQ, _INTEGER.pack(0)
        )
    except (OSError, ValueError):
        return 0
    unacknowledged: int = _INTEGER.unpack(answer)[0]
    return unacknowledged


def is_broken(transport: Any) -> bool:
    """Return whether a connection was reset, also if nothing is read from it."""
    opened = transport.get_extra_info('socket')
    try:
        state = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, ValueError):
        return False
    return bool(state[0] == _TCP_CLOSE)


def open_keepalive_socket(address_info: Any) -> socket.socket:
    """Return a non-blocking socket with keep-alive probes enabled.

    ``address_info`` is an entry of ``socket.getaddrinfo``.
    """
    opened = _open(address_info)
    set_receive_buffer(opened, ANSWER_RECEIVE_BUFFER_BYTES)
    return opened


def open_store_socket(address_info: Any) -> socket.socket:
    """Return the same for a connection to the store.

    Its receive buffer is larger, as there are few such connections.
    """
    opened = _open(address_info)
    set_receive_buffer(opened, STORE_RECEIVE_BUFFER_BYTES)
    return opened


def _open(address_info: Any) -> socket.socket:
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
