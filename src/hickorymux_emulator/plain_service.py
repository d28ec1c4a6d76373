"""Emulator of a plain HTTP service whose writes must run at most once."""

import asyncio
import dataclasses
import datetime as dt
import hashlib
import secrets
from collections.abc import AsyncIterator
from typing import Final, final

import msgspec
from aiohttp import web

from hickorymux_emulator.delayed_view import DelayedView
from hickorymux_emulator.engine import EngineState, LoadReport
from hickorymux_emulator.serving import CONNECTIONS, abort_connection, new_app

_SAMPLE_INTERVAL_SECONDS: Final = 0.05
_MS_PER_SECOND: Final = 1000
_READ_METHODS: Final = frozenset(('GET', 'HEAD'))


class ServiceControl(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``; unset fields leave the behaviour unchanged."""

    latency_ms: float | None = None
    hang: bool | None = None
    crash: bool = False
    crash_on_text: str | None = None
    lose_answers: bool | None = None


@dataclasses.dataclass(slots=True)
class ServiceSettings:
    """Capacity, timing and injected faults of one service.

    A write is executed when it gets a slot and answered ``latency_ms``
    later. With ``lose_answers`` it is executed, but the connection is aborted
    instead of answering. A request whose body contains ``crash_on_text``
    crashes the service.
    """

    name: str = 'service'
    slots: int = 16
    latency_ms: float = 5
    load_lag_seconds: float = 1
    crash_on_text: str = ''
    lose_answers: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Execution:
    """One write that was executed, at ``started_at`` in UTC."""

    method: str
    path: str
    idempotency_key: str
    request_id: str
    body_digest: str
    started_at: dt.datetime


@final
class PlainService:
    """The executed writes and the HTTP handlers of one service.

    ``pending`` is the number of requests that run or wait for a slot.
    ``not_hung`` is cleared while a test makes the service hang.
    """

    __slots__ = (
        'not_hung',
        'executions',
        'free_slots',
        'instance',
        'load',
        'pending',
        'settings',
        'web_app',
    )

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self.web_app = new_app()
        self.instance = secrets.token_hex(8)
        self.executions: list[Execution] = []
        self.free_slots = asyncio.Semaphore(settings.slots)
        self.pending = 0
        self.not_hung = asyncio.Event()
        self.not_hung.set()
        self.load = DelayedView(self._report, settings.load_lag_seconds)

    def app(self) -> web.Application:
        """Return the web application with all routes of the service."""
        paths = self.web_app.router
        paths.add_get('/load', self.show_load)
        paths.add_get('/executions', self.show_executions)
        paths.add_post('/control', self.control)
        paths.add_route('*', '/{path:.*}', self.handle)
        self.web_app.cleanup_ctx.append(self._sample_load)
        return self.web_app

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Execute a request in a free slot and describe it in the answer."""
        await self.not_hung.wait()
        body = await request.read()
        crash_text = self.settings.crash_on_text.encode()
        if crash_text and crash_text in body:
            self._crash(None)
            return abort_connection(request)
        self.pending += 1
        try:
            async with self.free_slots:
                return await self._answer(request, body)
        finally:
            self.pending -= 1

    async def show_load(self, _request: web.Request) -> web.Response:
        """Return the load as it was ``load_lag_seconds`` ago.

        The body has the fields of an engine's load.
        """
        await self.not_hung.wait()
        body = msgspec.json.encode(self.load.delayed_value())
        return web.Response(body=body, content_type='application/json')

    async def show_executions(self, _request: web.Request) -> web.Response:
        """Return the executed writes, oldest first."""
        return web.json_response(msgspec.to_builtins(self.executions))

    async def control(self, request: web.Request) -> web.Response:
        """Change settings, or make the service hang or crash."""
        change = msgspec.json.decode(await request.read(), type=ServiceControl)
        for name in ('latency_ms', 'crash_on_text', 'lose_answers'):
            wanted = getattr(change, name)
            if wanted is not None:
                setattr(self.settings, name, wanted)
        if change.hang is True:
            self.not_hung.clear()
        if change.hang is False:
            self.not_hung.set()
        if change.crash:
            self._crash(request.transport)
        return web.json_response({'instance': self.instance})

    async def _answer(
        self,
        request: web.Request,
        body: bytes,
    ) -> web.StreamResponse:
        is_write = request.method not in _READ_METHODS
        if is_write:
            self.executions.append(_new_execution(request, body))
        instance = self.instance
        await asyncio.sleep(self.settings.latency_ms / _MS_PER_SECOND)
        await self.not_hung.wait()
        if is_write and self.settings.lose_answers:
            return abort_connection(request)
        return self._response(request, body, instance)

    def _response(
        self,
        request: web.Request,
        body: bytes,
        instance: str,
    ) -> web.Response:
        record = {
            'service': self.settings.name,
            'method': request.method,
            'path': request.path_qs,
            'body_digest': _digest(body),
            'execution_count': len(self.executions),
        }
        headers = {
            'X-Engine-Instance': instance,
            'X-Engine-State': EngineState.warm.value,
        }
        request_id = request.headers.get('X-Request-Id')
        if request_id:
            headers['X-Request-Id'] = request_id
        return web.json_response(record, headers=headers)

    def _crash(self, except_for: asyncio.BaseTransport | None) -> None:
        self.instance = secrets.token_hex(8)
        self.web_app[CONNECTIONS].abort_all(except_for)

    def _report(self) -> LoadReport:
        running = min(self.pending, self.settings.slots)
        return LoadReport(
            instance=self.instance,
            state=EngineState.warm,
            slots=self.settings.slots,
            cold_slots=self.settings.slots,
            running=running,
            waiting=self.pending - running,
            models=(),
            reported_at=dt.datetime.now(dt.UTC),
        )

    async def _sample_load(self, _app: web.Application) -> AsyncIterator[None]:
        task = asyncio.create_task(
            self.load.sample_forever(_SAMPLE_INTERVAL_SECONDS)
        )
        yield
        task.cancel()


def _new_execution(request: web.Request, body: bytes) -> Execution:
    return Execution(
        method=request.method,
        path=request.path_qs,
        idempotency_key=request.headers.get('Idempotency-Key', ''),
        request_id=request.headers.get('X-Request-Id', ''),
        body_digest=_digest(body),
        started_at=dt.datetime.now(dt.UTC),
    )


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()
