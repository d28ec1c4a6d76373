"""A planned stop cuts no request that it takes after it has begun.

Requests that are taken late in the shutdown time are passed on, and cut at its
end without an answer, though another router could have served them.
"""

import asyncio

import aiohttp
import pytest

from tests.lib.platform_engine import PlatformEngine, ReceivedRequest
from tests.lib.platform_fleet import HOST, KEY, platform_fleet, route

WRITE = route('/write/', 'non_idempotent', timeoutMs=6000, targetLatencyMs=6000)
DEADLINE = {'X-Request-Deadline': '6000'}
GRACE_SECONDS = 3.6
# By then, requests are refused and the process still listens.
LATE_SECONDS = 2.0


def answer_after(seconds: float):
    """Return a script that takes some time for its answer."""

    async def answer(received: ReceivedRequest) -> None:
        await asyncio.sleep(seconds)
        head = received.head('200 OK', 'Content-Length: 2')
        received.writer.write(head + b'ok')

    return answer


async def send_write(fleet, number: int) -> int | str:
    """Return the status of a request, or ``cut`` if it has no answer."""
    headers = {'X-Request-Id': f'r{number}', **DEADLINE}
    try:
        async with fleet.request(
            'POST', '/write/x', headers=headers, data=b'1'
        ) as answer:
            await answer.read()
            return answer.status
    except aiohttp.ClientError:
        return 'cut'


async def test_request_whose_body_ends_late_is_passed_on():
    async with platform_fleet(WRITE, grace=GRACE_SECONDS) as fleet:
        engine = PlatformEngine('e1', answer_after(2))
        await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        address = fleet.process.settings.callers
        stopping = asyncio.create_task(fleet.process.shut_down())
        await asyncio.sleep(0.2)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(
            (
                f'POST /write/x HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n'
                'X-Request-Id: r1\r\nX-Request-Deadline: 6000\r\n'
                'Content-Length: 10\r\n\r\n12345'
            ).encode()
        )
        await asyncio.sleep(LATE_SECONDS)
        writer.write(b'67890')
        received = await reader.read()
        writer.close()
        await stopping
        assert received.startswith(b'HTTP/1.1 503')
        assert not engine.received


async def test_request_that_waits_for_an_upstream_is_sent_late():
    async with platform_fleet(WRITE, grace=GRACE_SECONDS) as fleet:
        engine = PlatformEngine('e1', answer_after(LATE_SECONDS))
        await fleet.add_engine(engine, slots=1)
        await fleet.wait_until_ready()
        sent = [asyncio.create_task(send_write(fleet, 0))]
        while not engine.received:
            await asyncio.sleep(0.02)
        sent += [
            asyncio.create_task(send_write(fleet, number))
            for number in range(1, 4)
        ]
        await asyncio.sleep(0.2)
        await fleet.process.shut_down()
        outcomes = await asyncio.gather(*sent)
        run = {got.request_id for got in engine.received}
        assert [
            number
            for number, outcome in enumerate(outcomes)
            if f'r{number}' in run and outcome == 'cut'
        ] == []
        assert outcomes[0] == 200
        assert 503 in outcomes


@pytest.mark.parametrize('grace', [1.5, GRACE_SECONDS])
async def test_requests_of_a_short_shutdown_time_are_cut(grace):
    async with platform_fleet(WRITE, grace=grace) as fleet:
        engine = PlatformEngine('e1', answer_after(0.5))
        await fleet.add_engine(engine, slots=64)
        await fleet.wait_until_ready()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        stopping = asyncio.create_task(fleet.process.shut_down())
        sent = []
        while not stopping.done():
            sent.append(asyncio.create_task(send_write(fleet, len(sent))))
            await asyncio.sleep(0.05)
        assert loop.time() - started_at < grace
        outcomes = await asyncio.gather(*sent)
        run = {got.request_id for got in engine.received}
        assert [
            number
            for number, outcome in enumerate(outcomes)
            if f'r{number}' in run and outcome == 'cut'
        ] == []
        assert {200, 503} <= set(outcomes)
