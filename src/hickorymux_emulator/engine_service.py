"""HTTP interface of the emulated model engine."""

import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator, Iterator
from typing import Final, final

import msgspec
from aiohttp import web

from hickorymux_emulator.completions import CompletionRequest
from hickorymux_emulator.delayed_view import DelayedView
from hickorymux_emulator.engine import Engine, EngineSettings
from hickorymux_emulator.orders import Order, OrderHandler
from hickorymux_emulator.runs import Run, RunEnd
from hickorymux_emulator.serving import CONNECTIONS, abort_connection, new_app

_SAMPLE_INTERVAL_SECONDS: Final = 0.05
_STREAM_CONTENT_TYPE: Final = 'text/event-stream'


class EngineControl(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``; unset fields leave the behaviour unchanged.

    ``truncate_after`` 0 stops cutting off streams.
    """

    crash: bool = False
    turn_cold: bool = False
    hang: bool | None = None
    truncate_after: int | None = None
    truncate_cleanly: bool | None = None
    truncate_resumed: bool | None = None
    crash_on_text: str | None = None
    token_ms: float | None = None
    cold_seconds: float | None = None


@final
class EngineService:
    """HTTP handlers of one emulated engine."""

    __slots__ = ('engine', 'load', 'orders', 'settings', 'web_app')

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.web_app = new_app()
        self.engine = Engine(settings, self.web_app[CONNECTIONS].abort_all)
        self.load = DelayedView(self.engine.report, settings.load_lag_seconds)
        self.orders = OrderHandler(
            settings.models,
            checks_fence=settings.checks_fence,
        )

    def app(self) -> web.Application:
        """Return the web application with all routes of the engine."""
        paths = self.web_app.router
        paths.add_post('/v1/chat/completions', self.complete)
        paths.add_get('/v1/requests/{request_id}/stream', self.resume)
        paths.add_post('/v1/requests/{request_id}/cancel', self.cancel)
        paths.add_get('/load', self.show_load)
        paths.add_get('/runs', self.show_runs)
        paths.add_post('/orders', self.handle_order)
        paths.add_get('/orders', self.show_orders)
        paths.add_post('/control', self.control)
        self.web_app.cleanup_ctx.append(self._sample_load)
        return self.web_app

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a chat completion as a stream or as one body."""
        try:
            asked = msgspec.json.decode(
                await request.read(),
                type=CompletionRequest,
            )
        except msgspec.DecodeError as error:
            return _error_response(400, 'invalid_request_error', str(error))
        if not asked.messages:
            return _error_response(
                400, 'invalid_request_error', 'messages must not be empty'
            )
        if asked.model not in self.settings.models:
            return _error_response(
                404, 'model_not_found', f'model {asked.model!r} is not loaded'
            )
        await self.engine.not_hung.wait()
        request_id = request.headers.get('X-Request-Id', secrets.token_hex(16))
        run = self.engine.start(request_id, asked)
        if run is None:
            return abort_connection(request)
        if asked.stream:
            return await self._answer_stream(request, run, after=0)
        return await self._answer_whole(request, run)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Stream the events of a run that follow its first ``after`` events.

        ``after`` is the number of events that the caller has already read.
        """
        run = self.engine.runs_by_id.get(request.match_info['request_id'])
        if run is None or run.end is RunEnd.cancelled:
            return _error_response(
                404, 'request_not_found', 'no run with this request id'
            )
        after = request.query.get('after', '0')
        if not after.isdecimal():
            return _error_response(
                400, 'invalid_request_error', 'after must be a number of events'
            )
        return await self._answer_stream(request, run, after=int(after))

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a run; the answer states whether it was still running."""
        run = self.engine.runs_by_id.get(request.match_info['request_id'])
        if run is None:
            return _error_response(
                404, 'request_not_found', 'no run with this request id'
            )
        was_running = not run.is_over
        self.engine.cancel(run)
        return web.json_response({'cancelled': was_running})

    async def show_load(self, _request: web.Request) -> web.Response:
        """Return the load as it was ``load_lag_seconds`` ago."""
        await self.engine.not_hung.wait()
        body = msgspec.json.encode(self.load.delayed_value())
        return web.Response(body=body, content_type='application/json')

    async def show_runs(self, _request: web.Request) -> web.Response:
        """Return all runs since the process started, across crashes."""
        runs = [run.record() for run in self.engine.all_runs]
        return web.json_response(runs)

    async def handle_order(self, request: web.Request) -> web.Response:
        """Carry out an order, or refuse it if its fencing token is old."""
        try:
            order = msgspec.json.decode(await request.read(), type=Order)
        except msgspec.DecodeError as error:
            return _error_response(400, 'invalid_request_error', str(error))
        if not self.orders.apply(order):
            newest = self.orders.newest_fence
            return _error_response(
                409,
                'old_fence',
                f'fence is older than the newest one, {newest}',
            )
        return web.json_response({'models': self.settings.models})

    async def show_orders(self, _request: web.Request) -> web.Response:
        """Return the accepted orders, oldest first."""
        return web.json_response(msgspec.to_builtins(self.orders.accepted))

    async def control(self, request: web.Request) -> web.Response:
        """Change settings, or make the engine hang, crash or turn cold."""
        change = msgspec.json.decode(await request.read(), type=EngineControl)
        self._change_settings(change)
        if change.hang is not None:
            _set_event(self.engine.not_hung, is_set=not change.hang)
        if change.turn_cold:
            self.engine.turn_cold()
        if change.crash:
            self.engine.crash(except_for=request.transport)
        return web.json_response({'instance': self.engine.instance})

    def _change_settings(self, change: EngineControl) -> None:
        names = (
            'truncate_after',
            'truncate_cleanly',
            'truncate_resumed',
            'crash_on_text',
            'token_ms',
            'cold_seconds',
        )
        for name in names:
            wanted = getattr(change, name)
            if wanted is not None:
                setattr(self.settings, name, wanted)
        if self.settings.truncate_after == 0:
            self.settings.truncate_after = None

    async def _answer_whole(
        self, request: web.Request, run: Run
    ) -> web.Response:
        with self._reading(run):
            await run.wait_until_over()
        if run.end is not RunEnd.finished:
            return abort_connection(request)
        text = ''.join(run.tokens)
        body = run.answer_builder.whole_answer(
            text, len(run.tokens), run.finish_reason
        )
        encoded = msgspec.json.encode(body)
        response = web.Response(body=encoded, content_type='application/json')
        response.headers.update(self._headers(run))
        return response

    async def _answer_stream(
        self,
        request: web.Request,
        run: Run,
        after: int,
    ) -> web.StreamResponse:
        with self._reading(run):
            await run.wait_for_events(after)
            response = web.StreamResponse(headers=self._headers(run))
            response.content_type = _STREAM_CONTENT_TYPE
            await response.prepare(request)
            is_whole = await self._write_events(response, run, after)
        if not is_whole and not self.settings.truncate_cleanly:
            abort_connection(request)
        return response

    async def _write_events(
        self,
        response: web.StreamResponse,
        run: Run,
        after: int,
    ) -> bool:
        sent = after
        may_truncate = self.settings.truncate_resumed or not after
        while True:
            for event in run.events[sent:]:
                if may_truncate and sent == self.settings.truncate_after:
                    return False
                await response.write(event)
                sent += 1
            if run.is_over:
                return run.end is RunEnd.finished
            await run.wait_for_events(sent)

    def _headers(self, run: Run) -> dict[str, str]:
        return {
            'X-Request-Id': run.request_id,
            'X-Engine-Instance': self.engine.instance,
            'X-Engine-State': self.engine.state.value,
        }

    @contextlib.contextmanager
    def _reading(self, run: Run) -> Iterator[None]:
        run.readers += 1
        try:
            yield
        finally:
            run.readers -= 1
            self._schedule_expiry(run)

    def _schedule_expiry(self, run: Run) -> None:
        if run.readers or run.is_over:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.settings.resume_seconds, self._cancel_expired, run)

    def _cancel_expired(self, run: Run) -> None:
        if not run.readers and not run.is_over:
            self.engine.cancel(run)

    async def _sample_load(self, _app: web.Application) -> AsyncIterator[None]:
        task = asyncio.create_task(
            self.load.sample_forever(_SAMPLE_INTERVAL_SECONDS)
        )
        yield
        task.cancel()


def _set_event(event: asyncio.Event, *, is_set: bool) -> None:
    if is_set:
        event.set()
        return
    event.clear()


def _error_response(status: int, code: str, message: str) -> web.Response:
    error = {'message': message, 'type': code, 'code': code}
    return web.json_response({'error': error}, status=status)
