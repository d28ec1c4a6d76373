"""The demo's callers distinguish whole answers, refusals and lost requests.

If a caller took a cut stream or the answer to another request for a whole
answer, the demo would pass with a faulty router.
"""

import json

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from demo.outcomes import Outcome, Result, WorkKind
from demo.requests import Caller
from hickorymux_emulator.completions import AnswerBuilder, CompletionRequest
from hickorymux_emulator.engine import EngineSettings
from hickorymux_emulator.engine_service import EngineService


async def outcome_of(app: web.Application, kind: WorkKind) -> Outcome:
    outcome = Outcome('r1', 'hotel', kind, 'router')
    async with (
        TestServer(app) as server,
        aiohttp.ClientSession() as session,
    ):
        caller = Caller(session, 'hotel', 'key', 'default', '/records/')
        await caller.send(outcome, str(server.make_url('')).rstrip('/'), 5)
    return outcome


def app_with_handler(handler) -> web.Application:
    app = web.Application()
    app.router.add_route('*', '/{path:.*}', handler)
    return app


@pytest.mark.parametrize('kind', [WorkKind.stream, WorkKind.answer])
async def test_whole_answer(kind: WorkKind) -> None:
    engine = EngineService(EngineSettings(token_ms=1))
    outcome = await outcome_of(engine.app(), kind)
    assert (outcome.result, outcome.tokens) == (Result.whole, 5)


@pytest.mark.parametrize('cleanly', [False, True])
async def test_cut_stream_is_lost(cleanly: bool) -> None:
    settings = EngineSettings(
        token_ms=1, truncate_after=3, truncate_cleanly=cleanly
    )
    engine = EngineService(settings)
    outcome = await outcome_of(engine.app(), WorkKind.stream)
    assert outcome.result is Result.lost


async def test_refusal_keeps_its_code() -> None:
    async def refuse(_request: web.Request) -> web.Response:
        problem = {'code': 'no_capacity', 'ran': 'no'}
        return web.json_response(problem, status=503)

    outcome = await outcome_of(app_with_handler(refuse), WorkKind.read)
    assert (outcome.result, outcome.code, outcome.ran) == (
        Result.refused,
        'no_capacity',
        'no',
    )


async def test_error_without_problem_details_is_lost() -> None:
    async def fail(_request: web.Request) -> web.Response:
        return web.Response(status=502, text='bad gateway')

    outcome = await outcome_of(app_with_handler(fail), WorkKind.read)
    assert outcome.result is Result.lost


async def test_answer_to_another_request_is_lost() -> None:
    async def answer_other_request(request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        body['messages'][0]['content'] = 'another question'
        asked = CompletionRequest('default', [])
        builder = AnswerBuilder.from_request('r1', asked)
        answer = builder.whole_answer('another.0 question.1 ', 2, 'stop')
        return web.json_response(answer, headers={'X-Request-Id': 'r1'})

    outcome = await outcome_of(
        app_with_handler(answer_other_request), WorkKind.answer
    )
    assert outcome.result is Result.lost
