"""Clients of the log service and the host list, against emulator processes.

A client must distinguish an append that certainly took no effect from one whose
effect is unknown, and report trimmed records instead of skipping them.
"""

import asyncio
import datetime as dt
from collections.abc import AsyncIterator, Iterator

import aiohttp
import pytest
from lib.processes import Program, ProgramGroup, free_port

from hickorymux._internal.coordination.ports import HostEntry
from hickorymux._internal.exceptions import (
    HostListUnavailable,
    LogAppendUnknown,
    LogTrimmed,
    LogUnavailable,
)
from hickorymux._internal.transport.host_list_client import HttpHostListClient
from hickorymux._internal.transport.log_client import (
    HttpLogClient,
    LogTimeouts,
)

SHORT_TIMEOUTS = LogTimeouts(answer=dt.timedelta(seconds=0.3))
DEFAULT_TIMEOUTS = LogTimeouts()


@pytest.fixture
def programs() -> Iterator[ProgramGroup]:
    with ProgramGroup() as group:
        yield group


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as opened:
        yield opened


@pytest.fixture
def log(programs: ProgramGroup) -> Program:
    return programs.start_emulator('log-service')


async def control(
    session: aiohttp.ClientSession,
    program: Program,
    **change: object,
) -> None:
    async with session.post(f'{program.url}/control', json=change) as answer:
        assert answer.status == 200


async def test_appended_records_are_read_in_order(log, session) -> None:
    client = HttpLogClient.from_config(log.url, session, DEFAULT_TIMEOUTS)
    payloads = [b'', b'\x00\xff', b'x' * 3_000_000]
    offsets = [await client.append('a', payload) for payload in payloads]
    page = await client.read('a', 1)
    assert offsets == [0, 1, 2]
    assert [record.payload for record in page.records] == payloads[1:]
    assert (page.first_offset, page.next_offset, page.end_offset) == (0, 3, 3)
    assert page.records[0].appended_at.utcoffset() == dt.timedelta(0)
    assert (await client.read('b', 0)).records == ()


async def test_page_is_limited_and_has_the_next_offset(log, session) -> None:
    client = HttpLogClient.from_config(log.url, session, DEFAULT_TIMEOUTS)
    for payload in (b'0', b'1', b'2'):
        await client.append('a', payload)
    page = await client.read('a', 0, limit=2)
    assert (len(page.records), page.next_offset, page.end_offset) == (2, 2, 3)


async def test_read_waits_for_the_next_record(log, session) -> None:
    client = HttpLogClient.from_config(log.url, session, SHORT_TIMEOUTS)
    reading = asyncio.create_task(client.read('a', 0, wait_seconds=20))
    assert (await client.read('a', 0, wait_seconds=0.05)).records == ()
    await client.append('a', b'next')
    assert (await reading).records[0].payload == b'next'


async def test_refused_append_certainly_took_no_effect(log, session) -> None:
    client = HttpLogClient.from_config(log.url, session, DEFAULT_TIMEOUTS)
    await control(session, log, outage='refuse')
    with pytest.raises(LogUnavailable):
        await client.append('a', b'refused')
    with pytest.raises(LogUnavailable):
        await client.read('a', 0)
    await control(session, log, outage='off')
    assert (await client.read('a', 0)).end_offset == 0


async def test_unreachable_log_is_certainly_unavailable(session) -> None:
    url = f'http://127.0.0.1:{free_port()}'
    client = HttpLogClient.from_config(url, session, DEFAULT_TIMEOUTS)
    with pytest.raises(LogUnavailable):
        await client.append('a', b'x')
    with pytest.raises(LogUnavailable):
        await client.read('a', 0)


async def test_append_over_the_rate_is_unavailable(log, session) -> None:
    await control(session, log, append_rate=2)
    client = HttpLogClient.from_config(log.url, session, DEFAULT_TIMEOUTS)
    calls = [client.append('a', b'x') for _ in range(20)]
    outcomes = await asyncio.gather(*calls, return_exceptions=True)
    appended = [offset for offset in outcomes if isinstance(offset, int)]
    refused = [error for error in outcomes if not isinstance(error, int)]
    assert refused
    assert {type(error) for error in refused} == {LogUnavailable}
    assert (await client.read('a', 0)).end_offset == len(appended)


@pytest.mark.parametrize(
    'change',
    [{'lose_append_answers': True}, {'append_delay_ms': 5000}],
)
async def test_lost_answer_is_unknown_and_found_by_reading(
    log,
    session,
    change,
) -> None:
    client = HttpLogClient.from_config(log.url, session, SHORT_TIMEOUTS)
    await control(session, log, **change)
    with pytest.raises(LogAppendUnknown):
        await client.append('a', b'lost')
    assert (await client.read('a', 0)).records[0].payload == b'lost'


async def test_hanging_log_leaves_an_append_unknown(log, session) -> None:
    client = HttpLogClient.from_config(log.url, session, SHORT_TIMEOUTS)
    await control(session, log, outage='hang')
    with pytest.raises(LogAppendUnknown):
        await client.append('a', b'held')
    with pytest.raises(LogUnavailable):
        await client.read('a', 0)


async def test_read_of_trimmed_records_reports_the_first_offset(
    log, session
) -> None:
    client = HttpLogClient.from_config(log.url, session, DEFAULT_TIMEOUTS)
    await control(session, log, retain_records=2)
    for _ in range(5):
        await client.append('a', b'x')
    with pytest.raises(LogTrimmed) as caught:
        await client.read('a', 2)
    assert caught.value.first_offset == 3
    assert (await client.read('a', 3)).next_offset == 5


async def test_host_list_shows_changes_and_outages(programs, session) -> None:
    hosts = programs.start_emulator('host-list')
    client = HttpHostListClient.from_config(hosts.url, session)
    assert await client.fetch() == ()
    body = {'zone': 'a', 'host': '127.0.0.1', 'port': 9, 'status': 'leaving'}
    await session.put(f'{hosts.url}/hosts/r1', json=body)
    entry = HostEntry('r1', 'a', '127.0.0.1', 9, is_leaving=True)
    assert await client.fetch() == (entry,)
    await control(session, hosts, outage='refuse')
    with pytest.raises(HostListUnavailable):
        await client.fetch()
    await control(session, hosts, outage='off')
    await session.delete(f'{hosts.url}/hosts/r1')
    assert await client.fetch() == ()


async def test_host_list_lags(programs, session) -> None:
    hosts = programs.start_emulator('host-list', '--lag-seconds', '3600')
    client = HttpHostListClient.from_config(hosts.url, session)
    body = {'zone': 'a', 'host': '127.0.0.1', 'port': 9}
    await session.put(f'{hosts.url}/hosts/r1', json=body)
    assert await client.fetch() == ()
