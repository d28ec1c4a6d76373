"""The log of an entry process explains why a request failed.

The tests follow the steps of ``docs/OPERATIONS.md`` from a request id to the
cause. They fail if the log lacks an event or a field that a step needs.
"""

import asyncio
import logging
import re

import pytest

from hickorymux._internal.commands.explain import ExplainCommand
from hickorymux._internal.exceptions import DecisionsNotFound, UsageError
from hickorymux._internal.utils.json_logging import JsonFormatter
from tests.lib.platform_engine import PlatformEngine, reset_connection
from tests.lib.platform_fleet import platform_fleet, route

READ = route('/read/', 'idempotent')
WRITE = route('/write/', 'non_idempotent')


@pytest.fixture
def log(tmp_path):
    """Write the log of the process in this loop to a file."""
    path = tmp_path / 'front-1.log'
    handler = logging.FileHandler(path)
    handler.setFormatter(JsonFormatter({'router': 'front-1'}))
    logger = logging.getLogger('hickorymux')
    former_level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield path
    logger.removeHandler(handler)
    logger.setLevel(former_level)
    handler.close()


async def explain(request_id, log, capsys):
    await ExplainCommand(request_id, logs=[log]).run()
    return capsys.readouterr().out


async def send(fleet, request_id, path='/read/x'):
    headers = {'X-Request-Id': request_id}
    async with fleet.request('POST', path, headers=headers) as answer:
        await answer.read()
        return answer.status


async def test_refused_for_load(log, capsys):
    """The ``placed`` event of another request shows that the engine was full."""
    async with platform_fleet(READ) as fleet:
        release = asyncio.Event()

        async def wait(_received):
            await release.wait()

        await fleet.add_engine(PlatformEngine('e1', wait), slots=1)
        await fleet.wait_until_ready()
        held = [
            asyncio.create_task(send(fleet, f'held-{number}'))
            for number in range(2)
        ]
        await asyncio.sleep(0.2)
        assert await send(fleet, 'late') == 503
        for task in held:
            task.cancel()
    output = await explain('late', log, capsys)
    assert 'event=refused' in output
    assert 'code=no_capacity' in output
    assert 'ran=no ' in output
    placed = await explain('held-0', log, capsys)
    assert 'event=placed' in placed
    assert 'upstream=e1' in placed


async def test_failed_at_an_upstream(log, capsys):
    """The log shows why the attempt failed, and that it had been sent."""
    async with platform_fleet(WRITE) as fleet:

        async def crash(received):
            reset_connection(received)
            await asyncio.sleep(1)

        await fleet.add_engine(PlatformEngine('e1', crash))
        await fleet.wait_until_ready()
        assert await send(fleet, 'cut', '/write/x') == 502
    output = await explain('cut', log, capsys)
    assert 'event=upstream_changed' in output.partition('the request:')[0]
    failed = next(
        line for line in output.splitlines() if 'event=failed' in line
    )
    assert 'upstream_cut' in failed
    assert 'sent=true' in failed
    assert 'method=POST' in failed
    fingerprint = re.search('fingerprint=[0-9a-f]{16}', failed)
    ruled_out = next(
        line for line in output.splitlines() if 'event=crash_ruled_out' in line
    )
    assert fingerprint is not None and fingerprint[0] in ruled_out


async def test_answered_without_length_or_events(log, capsys):
    """The log shows that nothing but the closed connection ended the answer."""
    async with platform_fleet(READ) as fleet:

        async def answer_until_close(received):
            received.writer.write(received.head('200 OK') + b'ok')
            received.writer.close()

        await fleet.add_engine(PlatformEngine('e1', answer_until_close))
        await fleet.wait_until_ready()
        assert await send(fleet, 'unframed') == 200
    output = await explain('unframed', log, capsys)
    answered = next(
        line for line in output.splitlines() if 'event=answered' in line
    )
    assert 'is_framed=false' in answered
    assert 'events=0' in answered


async def test_refused_for_old_keys(log, capsys):
    """The store was lost, so the keys are too old for any request."""
    async with platform_fleet(READ, revoke_ms=800) as fleet:
        await fleet.add_engine(PlatformEngine('e1'))
        await fleet.wait_until_ready()
        fleet.store.mode = 'busy'
        await asyncio.sleep(1.5)
        assert await send(fleet, 'proper') == 503
    output = await explain('proper', log, capsys)
    before, _, own = output.partition('the request:')
    assert 'event=dependency_lost' in before
    assert 'the keys were last confirmed' in own
    assert 'code=not_ready' in own
    assert 'table_age_ms=' in own


async def test_lines_of_other_hosts_and_of_none(log, capsys, tmp_path):
    """Logs of several hosts are merged; lines that aren't JSON are counted."""
    other = tmp_path / 'front-2.log'
    other.write_text(
        '{"time":"2026-01-01T00:00:01+00:00","router":"front-2",'
        '"event":"refused","request_id":"r"}\nnot JSON\n'
        '{"time":"2026-01-01T00:00:00+00:00","router":"front-3",'
        '"event":"dependency_lost"}\n'
    )
    await ExplainCommand('r', logs=[log, other]).run()
    output = capsys.readouterr().out
    assert 'front-2' in output
    assert 'dependency_lost' not in output
    assert '1 lines are no JSON objects' in output
    with pytest.raises(DecisionsNotFound):
        await ExplainCommand('s', logs=[other]).run()
    with pytest.raises(UsageError):
        await ExplainCommand('r', logs=[tmp_path / 'none']).run()
    with pytest.raises(UsageError):
        await ExplainCommand('r').run()
