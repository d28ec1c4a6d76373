"""Accepts the connections of callers, many in each iteration of the event loop.

Load pattern: one caller opens hundreds of connections a second to one router.
uvloop accepts one connection in each iteration. Once an iteration lasts some
milliseconds, connections arrive faster than they are accepted, and requests
wait in the listening socket, for longer than their callers do. Nothing shows
that wait: the router seems to have room, and it sends requests to upstreams
whose callers have left.

Example::

    listener = Listener(server)
    listener.start('10.0.0.1', 8080)
    ...
    listener.close()
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any, Final, final

from hickorymux._internal.utils.json_logging import FIELDS
from hickorymux._internal.utils.tasks import log_task_crash

LISTEN_BACKLOG: Final = 1024
# Bounds the time that other work waits for one pass.
MAX_ACCEPTS_PER_PASS: Final = 100
# Pause after an error such as too many open files, during which connections
# that are open may end.
ERROR_PAUSE_SECONDS: Final = 0.1

_logger: Final = logging.getLogger(__name__)


@final
class Listener:
    """A listening socket; each connection gets a protocol of its own.

    ``new_protocol`` returns the protocol of a connection, an HTTP server of
    aiohttp for example. Raises ``OSError`` if the address can't be used.
    """

    __slots__ = (
        'listening_socket',
        'new_protocol',
        'pause_timer',
        'starting_tasks',
    )

    def __init__(self, new_protocol: Callable[[], Any]) -> None:
        self.new_protocol = new_protocol
        self.listening_socket: socket.socket | None = None
        self.pause_timer: asyncio.TimerHandle | None = None
        self.starting_tasks: set[asyncio.Task[Any]] = set()

    def start(self, host: str, port: int) -> None:
        """Listen at an IPv4 address."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            opened.setblocking(False)
            opened.bind((host, port))
            opened.listen(LISTEN_BACKLOG)
        except OSError:
            opened.close()
            raise
        self.listening_socket = opened
        self._resume(opened)

    def close(self) -> None:
        """Accept no more connections; those that are open stay so."""
        if self.pause_timer is not None:
            self.pause_timer.cancel()
            self.pause_timer = None
        opened = self.listening_socket
        if opened is None:
            return
        self.listening_socket = None
        asyncio.get_running_loop().remove_reader(opened)
        opened.close()

    def _resume(self, opened: socket.socket) -> None:
        self.pause_timer = None
        loop = asyncio.get_running_loop()
        loop.add_reader(opened, self._accept_pending)

    def _accept_pending(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_PASS):
            opened = self.listening_socket
            if opened is None:
                return
            try:
                accepted, _ = opened.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                # The caller has left before it was accepted.
                continue
            except OSError as error:
                self._pause(opened, error)
                return
            self._start_connection(accepted)

    def _start_connection(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(self.new_protocol, accepted)
        )
        self.starting_tasks.add(task)
        task.add_done_callback(self.starting_tasks.discard)
        task.add_done_callback(log_task_crash)

    def _pause(self, opened: socket.socket, error: OSError) -> None:
        """Stop accepting for a moment."""
        line = {'event': 'accept_failed', 'reason': str(error)}
        _logger.warning('cannot accept a connection', extra={FIELDS: line})
        loop = asyncio.get_running_loop()
        loop.remove_reader(opened)
        self.pause_timer = loop.call_later(
            ERROR_PAUSE_SECONDS, self._resume, opened
        )
