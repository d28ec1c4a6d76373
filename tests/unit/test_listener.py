"""Connections of callers are accepted as fast as they arrive."""

import asyncio
import errno
import logging
import socket
import time

import pytest
import uvloop

from hickorymux._internal.transport import listener as listener_module
from hickorymux._internal.transport.listener import (
    ERROR_PAUSE_SECONDS,
    MAX_HEAD_WAIT_SECONDS,
    SHEDDING_PAUSE_SECONDS,
    Listener,
)
from hickorymux._internal.transport.quick_refusal import EarlyDecision

CONNECTIONS = 150
# A request takes about this many iterations until it is sent to an upstream.
MAX_ITERATIONS = 8


@pytest.fixture(
    params=(uvloop.EventLoopPolicy(), asyncio.DefaultEventLoopPolicy()),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run each test on uvloop, as the entry process does, and on asyncio."""
    return request.param


class Greeter(asyncio.Protocol):
    """Greets each caller and counts them."""

    greeted = 0

    def connection_made(self, transport):
        """Send a byte and close."""
        Greeter.greeted += 1
        transport.write(b'!')
        transport.close()


class Shedder:
    """Decides alike on every connection, which takes a while."""

    def __init__(self, decision=EarlyDecision.refused):
        self.decision = decision
        self.asked = 0
        self.sheds = False

    def is_shedding(self):
        return self.sheds

    def decide_early(self, accepted):
        self.asked += 1
        if self.decision is EarlyDecision.refused:
            accepted.close()
        time.sleep(0.001)
        return self.decision


def connect(opened: Listener, count: int) -> list[socket.socket]:
    """Open connections that wait to be accepted."""
    callers = []
    for _ in range(count):
        caller = socket.create_connection(
            opened.listening_socket.getsockname(), timeout=5
        )
        callers.append(caller)
    return callers


def started_listener() -> Listener:
    Greeter.greeted = 0
    opened = Listener(Greeter)
    opened.start('127.0.0.1', 0)
    return opened


async def test_connections_of_a_hot_caller_wait_for_one_iteration_each():
    opened = started_listener()
    callers = connect(opened, CONNECTIONS)
    iterations = 0
    while Greeter.greeted < CONNECTIONS and iterations < CONNECTIONS:
        iterations += 1
        await asyncio.sleep(0)
    assert iterations <= MAX_ITERATIONS
    opened.close()
    for caller in callers:
        assert caller.recv(1) == b'!'
        caller.close()


async def test_connection_is_left_waiting_after_an_error(monkeypatch, caplog):
    """The process has no file left for a while."""
    opened = started_listener()
    real = opened.listening_socket

    class FullSocket:
        """A socket that can't accept."""

        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            """Fail as a process without free descriptors does."""
            raise OSError(errno.EMFILE, 'too many open files')

    opened.listening_socket = FullSocket()
    with caplog.at_level(logging.WARNING, listener_module.__name__):
        callers = connect(opened, 2)
        await asyncio.sleep(ERROR_PAUSE_SECONDS / 2)
    assert len(caplog.records) == 1
    opened.listening_socket = real
    await asyncio.sleep(2 * ERROR_PAUSE_SECONDS)
    assert Greeter.greeted == 2
    opened.close()
    for caller in callers:
        caller.close()


async def test_address_in_use_is_reported_at_the_start():
    opened = started_listener()
    port = opened.listening_socket.getsockname()[1]
    with pytest.raises(OSError, match='in use'):
        Listener(Greeter).start('127.0.0.1', port)
    opened.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(('127.0.0.1', port), timeout=5)


async def test_connections_wait_behind_those_that_are_refused(monkeypatch):
    """Refusals of one pass take so long that the rest waits for the next."""
    monkeypatch.setattr(listener_module, 'MAX_PASS_SECONDS', 0)
    shedder = Shedder()
    Greeter.greeted = 0
    opened = Listener(Greeter, shedder)
    opened.start('127.0.0.1', 0)
    callers = connect(opened, 5)
    iterations = 0
    while shedder.asked < 5 and iterations < 50:
        iterations += 1
        await asyncio.sleep(0)
    assert 5 <= iterations < 50
    assert not Greeter.greeted
    opened.close()
    for caller in callers:
        caller.close()


async def test_passes_are_apart_while_load_is_shed():
    shedder = Shedder()
    shedder.sheds = True
    opened = Listener(Greeter, shedder)
    opened.start('127.0.0.1', 0)
    callers = connect(opened, 1)
    while not shedder.asked:
        await asyncio.sleep(0)
    callers += connect(opened, 1)
    for _ in range(3):
        await asyncio.sleep(0)
    assert shedder.asked == 1
    await asyncio.sleep(3 * SHEDDING_PAUSE_SECONDS)
    assert shedder.asked == 2
    opened.close()
    for caller in callers:
        caller.close()


async def test_connection_whose_head_is_awaited_is_served_in_the_end():
    shedder = Shedder(EarlyDecision.awaited)
    shedder.sheds = True
    Greeter.greeted = 0
    opened = Listener(Greeter, shedder)
    opened.start('127.0.0.1', 0)
    callers = connect(opened, 2)
    await asyncio.sleep(MAX_HEAD_WAIT_SECONDS / 2)
    assert shedder.asked > 2
    assert not Greeter.greeted
    await asyncio.sleep(MAX_HEAD_WAIT_SECONDS)
    assert Greeter.greeted == 2
    opened.close()
    for caller in callers:
        assert caller.recv(1) == b'!'
        caller.close()


async def test_connection_whose_head_is_awaited_survives_the_end():
    shedder = Shedder(EarlyDecision.awaited)
    Greeter.greeted = 0
    opened = Listener(Greeter, shedder)
    opened.start('127.0.0.1', 0)
    callers = connect(opened, 1)
    while not shedder.asked:
        await asyncio.sleep(0)
    opened.close()
    await asyncio.sleep(0.01)
    assert Greeter.greeted == 1
    callers[0].close()


async def test_more_connections_are_accepted_than_there_is_room_for():
    Greeter.greeted = 0
    room = 3

    def find_room(starting):
        return room - Greeter.greeted - starting

    opened = Listener(Greeter, find_room=find_room)
    opened.start('127.0.0.1', 0)
    callers = connect(opened, 8)
    await asyncio.sleep(5 * SHEDDING_PAUSE_SECONDS)
    assert Greeter.greeted == 3
    room = 8
    await asyncio.sleep(5 * SHEDDING_PAUSE_SECONDS)
    assert Greeter.greeted == 8
    opened.close()
    for caller in callers:
        caller.close()


async def test_sockets_that_await_heads_take_all_descriptors(monkeypatch):
    monkeypatch.setattr(listener_module, 'MAX_AWAITING_HEADS', 3)
    opened = Listener(Greeter, Shedder(EarlyDecision.awaited))
    opened.start('127.0.0.1', 0)
    callers = connect(opened, 8)
    highest = 0
    for _ in range(50):
        await asyncio.sleep(0)
        highest = max(highest, len(opened.awaiting_heads))
    assert highest == 3
    opened.close()
    for caller in callers:
        caller.close()
