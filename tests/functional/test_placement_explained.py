"""Operators ask a running router where a request would be sent."""

import json

import pytest

from hickorymux._internal.commands.where import WhereCommand
from hickorymux._internal.exceptions import ParameterInvalid
from hickorymux._internal.utils.tasks import cancel_until_ended
from tests.lib.fake_clock import FakeClock
from tests.lib.object_state import state_of
from tests.lib.platform_engine import PlatformEngine, ReceivedRequest
from tests.lib.platform_fleet import platform_fleet, route

READ = route('/read/', 'idempotent')


async def answer_with_load(received: ReceivedRequest) -> None:
    """Answer, with the engine's load and the time of work on its host."""
    lines = ('Content-Length: 2', 'X-Server-Load: 1,0,8,80')
    received.writer.write(received.head('200 OK', *lines) + b'ok')


async def test_where_a_request_would_go(capsys):
    """Guards against a question that changes what later requests get."""
    async with platform_fleet(READ) as fleet:
        await fleet.add_engine(PlatformEngine('e1', answer_with_load))
        await fleet.add_engine(PlatformEngine('e2'), state='draining')
        await fleet.add_engine(
            PlatformEngine('e3'), coldRemainingMs=60000, zone='z1'
        )
        await fleet.wait_until_ready()
        async with fleet.request('GET', '/read/1') as answer:
            assert answer.status == 200
        process = fleet.process
        # Nothing but the questions may change the state from here on.
        await cancel_until_ended(process.tasks)
        clock = FakeClock()
        clock.advance(process.clock.monotonic())
        process.allocator.clock = clock
        parts = (
            process.allocator,
            process.hedging,
            process.retry_budget,
            process.streams,
            process.part_guard,
            process.suspects,
        )
        before = [state_of(part) for part in parts]
        metrics = process.metrics.render()
        address = str(process.settings.metrics)
        url = f'http://{address}/explain'
        query = {'pool': 'pool', 'customer': 'ann', 'objective_ms': '500'}
        bodies = []
        for _ in range(2):
            async with fleet.session.get(url, params=query) as answer:
                assert answer.status == 200
                bodies.append(await answer.read())
        assert bodies[0] == bodies[1]
        report = json.loads(bodies[0])
        assert (report['verdict'], report['chosen']) == ('placed', 'e1')
        rows = {each['upstream']: each for each in report['candidates']}
        assert rows['e1']['report_age_seconds'] is not None
        assert rows['e1']['work_time'] < 1
        assert rows['e2']['excluded'] == 'draining'
        assert rows['e3']['is_cold']
        async with fleet.session.get(url, params={'pool': 'no'}) as answer:
            assert answer.status == 400
            refused = await answer.json()
        assert refused['code'] == 'parameter_invalid'
        assert refused['parameter'] == 'pool'
        await WhereCommand(address, 'pool', customer='ann').run()
        lines = capsys.readouterr().out.splitlines()
        heading = next(
            at for at, line in enumerate(lines) if line.startswith('UPSTREAM')
        )
        assert lines[heading + 1].split()[:4] == ['e1', 'z1', 'v1', '-']
        assert lines[heading + 2].split()[:4] == ['e2', 'z1', 'v1', 'draining']
        assert 'placed at e1: the best upstream that has room' in lines
        with pytest.raises(ParameterInvalid, match='tokens'):
            await WhereCommand(address, 'pool', tokens='many').run()
        assert [state_of(part) for part in parts] == before
        assert process.metrics.render() == metrics
        async with fleet.session.get(f'http://{address}/metrics') as answer:
            assert b'hickorymux_requests' in await answer.read()
        async with fleet.request('GET', '/read/2') as answer:
            assert answer.status == 200
        assert len(fleet.engines[0].received) == 2
