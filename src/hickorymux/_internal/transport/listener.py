"""Accepts the connections of callers, many in each iteration of the event loop.

Load pattern: one caller opens hundreds of connections a second to one router.
uvloop accepts one connection in each iteration. Once an iteration lasts some
milliseconds, connections arrive faster than they are accepted, and requests
wait in the listening socket, for longer than their callers do. Nothing shows
that wait: the router seems to have room, and it sends requests to upstreams
whose callers have left. A pass ends after a time, so that what has been taken
goes on.

While the server sheds load, it decides on each request by its head, before the
connection is set up. A head arrives one round trip after its connection was
opened, so the listener then runs a pass at intervals, and keeps the sockets
whose heads have not arrived for a few passes.

Example::

    listener = Listener(server)
    listener.start('10.0.0.1', 8080)
    ...
    listener.close()
"""

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from typing import Any, Final, Protocol, final

from hickorymux._internal.transport.quick_refusal import EarlyDecision
from hickorymux._internal.transport.sockets import listen
from hickorymux._internal.utils.json_logging import FIELDS
from hickorymux._internal.utils.tasks import log_task_crash

LISTEN_BACKLOG: Final = 1024  # connections that wait to be accepted
# Bound the time that other work waits for one pass.
MAX_ACCEPTS_PER_PASS: Final = 400
MAX_PASS_SECONDS: Final = 0.02
# Pause between passes while load is shed.
SHEDDING_PAUSE_SECONDS: Final = 0.01
# How long a head is awaited, many round trips of a caller in the same region.
MAX_HEAD_WAIT_SECONDS: Final = 0.1
# Sockets whose heads are awaited. More connections wait in the backlog.
MAX_AWAITING_HEADS: Final = 200
# Pause after an error such as too many open files, during which connections
# that are open may end.
ERROR_PAUSE_SECONDS: Final = 0.1

_logger: Final = logging.getLogger(__name__)


class LoadShedder(Protocol):
    """Refuses requests of new connections while there are too many."""

    def is_shedding(self) -> bool:
        """Return whether some requests are refused at the moment."""

    def decide_early(self, accepted: socket.socket) -> EarlyDecision:
        """Refuse the request on an accepted socket, if it is to be refused.

        The shedder closes the socket then.
        """


@final
class Listener:
    """A listening socket; each connection gets a protocol of its own.

    ``new_protocol`` returns the protocol of a connection, an HTTP server of
    aiohttp for example. Raises ``OSError`` if the address can't be used.
    ``find_room`` gets the number of connections that are being set up and
    returns how many more may be accepted, ``None`` if that is not limited.
    At most ``backlog`` connections wait to be accepted.
    ``awaiting_heads`` are sockets with the monotonic time in seconds at which
    they are handed over without a decision.
    """

    __slots__ = (
        'awaiting_heads',
        'backlog',
        'find_room',
        'listening_socket',
        'new_protocol',
        'pause_timer',
        'shedder',
        'starting_tasks',
    )

    def __init__(
        self,
        new_protocol: Callable[[], Any],
        shedder: LoadShedder | None = None,
        find_room: Callable[[int], int] | None = None,
        backlog: int = LISTEN_BACKLOG,
    ) -> None:
        self.backlog = backlog
        self.find_room = find_room
        self.new_protocol = new_protocol
        self.shedder = shedder
        self.listening_socket: socket.socket | None = None
        self.awaiting_heads: list[tuple[float, socket.socket]] = []
        self.pause_timer: asyncio.TimerHandle | None = None
        self.starting_tasks: set[asyncio.Task[Any]] = set()

    def start(self, host: str, port: int) -> None:
        """Listen at an IPv4 address."""
        opened = listen(host, port, self.backlog)
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
        for _, accepted in self.awaiting_heads:
            self._start_connection(accepted)
        self.awaiting_heads.clear()

    def _resume(self, opened: socket.socket) -> None:
        self.pause_timer = None
        loop = asyncio.get_running_loop()
        loop.add_reader(opened, self._accept_pending)
        if self.awaiting_heads:
            self._accept_pending()

    def _accept_pending(self) -> None:
        self._run_pass()
        self._decide_awaiting()
        if self.pause_timer is not None or self.shedder is None:
            return
        if self.awaiting_heads or self.shedder.is_shedding():
            self._pause(SHEDDING_PAUSE_SECONDS)

    def _run_pass(self) -> None:
        """Accept the connections that wait, for a limited time."""
        now = time.monotonic()
        pass_end = now + MAX_PASS_SECONDS
        for _ in range(self._find_room()):
            accepted = self._accept()
            if accepted is None:
                return
            if not self._decide(accepted):
                self.awaiting_heads.append(
                    (now + MAX_HEAD_WAIT_SECONDS, accepted)
                )
            now = time.monotonic()
            if now > pass_end:
                return

    def _find_room(self) -> int:
        """Return how many connections may be accepted; pause if none."""
        awaiting = len(self.awaiting_heads)
        room = min(MAX_ACCEPTS_PER_PASS, MAX_AWAITING_HEADS - awaiting)
        if self.find_room is not None:
            starting = len(self.starting_tasks) + awaiting
            room = min(room, self.find_room(starting))
        if room <= 0:
            self._pause(SHEDDING_PAUSE_SECONDS)
        return room

    def _accept(self) -> socket.socket | None:
        """Return a new connection, ``None`` if there is none to be had."""
        opened = self.listening_socket
        while opened is not None:
            try:
                accepted, _ = opened.accept()
            except (BlockingIOError, InterruptedError):
                return None
            except ConnectionAbortedError:
                # The caller has left before it was accepted.
                continue
            except OSError as error:
                line = {'event': 'accept_failed', 'reason': str(error)}
                _logger.warning(
                    'cannot accept a connection', extra={FIELDS: line}
                )
                self._pause(ERROR_PAUSE_SECONDS)
                return None
            accepted.setblocking(False)
            return accepted
        return None

    def _decide_awaiting(self) -> None:
        """Decide on the sockets whose heads were awaited."""
        now = time.monotonic()
        undecided = []
        for deadline, accepted in self.awaiting_heads:
            if now > deadline:
                self._start_connection(accepted)
            elif not self._decide(accepted):
                undecided.append((deadline, accepted))
        self.awaiting_heads = undecided

    def _decide(self, accepted: socket.socket) -> bool:
        """Refuse or start a connection; return whether that was decided."""
        decision = EarlyDecision.admitted
        if self.shedder is not None:
            decision = self.shedder.decide_early(accepted)
        if decision is EarlyDecision.admitted:
            self._start_connection(accepted)
        return decision is not EarlyDecision.awaited

    def _start_connection(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(self.new_protocol, accepted)
        )
        self.starting_tasks.add(task)
        task.add_done_callback(self.starting_tasks.discard)
        task.add_done_callback(log_task_crash)

    def _pause(self, seconds: float) -> None:
        """Accept nothing for a time."""
        opened = self.listening_socket
        if opened is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(opened)
        self.pause_timer = loop.call_later(seconds, self._resume, opened)
