"""Runs one emulator as an HTTP server until a signal ends it."""

import asyncio
import json
import signal
from typing import Final, final

from aiohttp import web

_SHUTDOWN_TIMEOUT_SECONDS: Final = 0.2
_MAX_BODY_BYTES: Final = 8 * 1024 * 1024


@final
class Connections:
    """The open connections of one server, which a crash or stop aborts."""

    __slots__ = ('server',)

    def __init__(self) -> None:
        self.server: web.Server | None = None

    def abort_all(
        self, except_for: asyncio.BaseTransport | None = None
    ) -> None:
        """Abort all connections but ``except_for``; unsent data is lost."""
        if self.server is None:
            return
        for connection in self.server.connections:
            transport = connection.transport
            if transport is not None and transport is not except_for:
                _abort(transport)


CONNECTIONS: Final = web.AppKey('connections', Connections)


def new_app() -> web.Application:
    """Return a web application whose connections can be aborted."""
    app = web.Application(client_max_size=_MAX_BODY_BYTES)
    app[CONNECTIONS] = Connections()
    return app


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request, so that it gets no answer.

    The returned response only satisfies the handler's signature.
    """
    if request.transport is not None:
        _abort(request.transport)
    return web.Response()


async def serve(
    app: web.Application,
    host: str,
    port: int,
    *,
    cancel_handlers: bool = False,
) -> None:
    """Serve until SIGTERM or SIGINT, after printing the address as JSON.

    With ``cancel_handlers`` a handler is cancelled when its caller closes the
    connection.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel_handlers,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_SECONDS,
    )
    await runner.setup()
    app[CONNECTIONS].server = runner.server
    stopped = _stop_event()
    await web.TCPSite(runner, host, port).start()
    _print_listening_line(runner)
    await stopped.wait()
    app[CONNECTIONS].abort_all()
    await runner.cleanup()


def _abort(transport: asyncio.BaseTransport) -> None:
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()


def _stop_event() -> asyncio.Event:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    return stopped


def _print_listening_line(runner: web.AppRunner) -> None:
    host, port = runner.addresses[0][:2]
    line = {'event': 'listening', 'address': f'{host}:{port}'}
    print(json.dumps(line), flush=True)
