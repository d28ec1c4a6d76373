"""The commands ``status`` and ``explain``, run against stub routers."""

from collections.abc import AsyncIterator

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from hickorymux._internal.commands.explain import ExplainCommand
from hickorymux._internal.commands.status import StatusCommand
from hickorymux._internal.exceptions import (
    DecisionsNotFound,
    RouterUnreachable,
    UsageError,
)

STATUS = {
    'router_id': 'a-1',
    'zone': 'a',
    'incarnation': 7,
    'config_version': 3,
    'ready': True,
    'members': ['a-1', 'b-1'],
    'pools': {
        'drafting': {
            'backlog': 2,
            'upstreams': [
                {
                    'name': 'engine-1',
                    'zone': 'a',
                    'state': 'warm',
                    'slots': 8,
                    'in_use': 3,
                    'leased': 4,
                    'drained': True,
                }
            ],
        }
    },
    'added_later': 1,
}
REPORT = """\
ROUTER  ZONE  VERSION  READY  MEMBERS
a-1     a     3        yes    2

POOL      BACKLOG  UPSTREAMS
drafting  4        1

UPSTREAM  POOL      ZONE  STATE         IN-USE  LEASED  SLOTS
engine-1  drafting  a     drained/warm  6       8       8
"""


async def _status(request: web.Request) -> web.Response:
    return web.json_response(STATUS)


async def _explain(request: web.Request) -> web.Response:
    if request.match_info['request_id'] != 'a/b':
        return web.json_response([], status=404)
    return web.json_response([{'event': 'dispatch', 'attempt': 1}])


async def _broken(request: web.Request) -> web.Response:
    return web.Response(text='{"router_id": 1}')


@pytest.fixture
async def router_url() -> AsyncIterator[str]:
    app = web.Application()
    app.router.add_get('/admin/status', _status)
    app.router.add_get('/admin/explain/{request_id}', _explain)
    app.router.add_get('/broken/admin/status', _broken)
    async with TestServer(app) as server:
        yield f'http://127.0.0.1:{server.port}'


async def test_status_sums_up_the_routers(
    router_url: str, capsys: pytest.CaptureFixture[str]
) -> None:
    await StatusCommand(routers=f'{router_url},{router_url}/').run()
    router_line = 'a-1     a     3        yes    2\n'
    assert capsys.readouterr().out == REPORT.replace(
        router_line, router_line * 2
    )


async def test_status_shows_those_that_answer(
    router_url: str, capsys: pytest.CaptureFixture[str]
) -> None:
    command = StatusCommand(
        routers=f'{router_url},{router_url}/broken,http://127.0.0.1:1'
    )
    with pytest.raises(RouterUnreachable, match='2 of 3 routers'):
        await command.run()
    assert 'engine-1' in capsys.readouterr().out


async def test_status_needs_a_router() -> None:
    with pytest.raises(UsageError):
        await StatusCommand(routers=',').run()


async def test_explain_writes_each_decision(
    router_url: str, capsys: pytest.CaptureFixture[str]
) -> None:
    await ExplainCommand('a/b', router=router_url).run()
    assert capsys.readouterr().out == 'event=dispatch  attempt=1\n'


async def test_explain_of_an_unknown_request(router_url: str) -> None:
    with pytest.raises(DecisionsNotFound):
        await ExplainCommand('c', router=router_url).run()
