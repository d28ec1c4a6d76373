"""A faulty engine writes an earlier refusal once more on a kept connection.

The refusal says that the earlier request was not run. It says nothing of the
one that the engine runs now.
"""

import asyncio

import pytest

from tests.lib.platform_engine import (
    PlatformEngine,
    ReceivedRequest,
    answer_ok,
)
from tests.lib.platform_fleet import platform_fleet, route

STREAM = route('/stream/', 'streaming', maxAttempts=3)
WRITE = route('/write/', 'non_idempotent', maxAttempts=3)
REFUSAL_LINES = ('Content-Length: 0', 'X-Not-Executed: 1', 'Retry-After: 0.1')
# Longer than the router leaves an engine alone after such a refusal.
REQUEST_INTERVAL_SECONDS = 0.3


class RepeatingEngine(PlatformEngine):
    """Refuses its first request, and writes that again before later answers.

    ``names_request`` is whether refusals repeat the id of a request.
    """

    def __init__(
        self, number: int, status: str, *, names_request: bool
    ) -> None:
        super().__init__(f'e{number}', self.respond)
        self.status = status
        self.names_request = names_request
        self.refusal = b''
        self.ran: list[str] = []

    async def respond(self, received: ReceivedRequest) -> None:
        """Refuse the first request; run the others."""
        if not self.refusal:
            self.refusal = received.head(self.status, *REFUSAL_LINES)
            received.writer.write(self.refusal)
            if not self.names_request:
                line = f'X-Request-Id: {received.request_id}\r\n'
                self.refusal = self.refusal.replace(line.encode(), b'')
            return
        self.ran.append(received.request_id)
        received.writer.write(self.refusal)
        await received.writer.drain()
        await asyncio.sleep(0.05)
        await answer_ok(received)


async def send_all(fleet, path: str) -> list[tuple[str, int]]:
    """Send some requests one by one; return their ids and statuses."""
    answers = []
    for number in range(6):
        headers = {'X-Request-Id': f'r{number}'}
        async with fleet.request(
            'POST', path, headers=headers, data=b'1'
        ) as answer:
            answers.append((f'r{number}', answer.status))
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    return answers


@pytest.mark.parametrize('names_request', [True, False])
@pytest.mark.parametrize('status', ['503 Full', '429 Busy'])
@pytest.mark.parametrize('path', ['/stream/x', '/write/x'])
async def test_earlier_refusal_is_taken_for_one_of_the_next_request(
    path, status, names_request
):
    async with platform_fleet(STREAM, WRITE) as fleet:
        engines = [
            RepeatingEngine(number, status, names_request=names_request)
            for number in range(2)
        ]
        for engine in engines:
            await fleet.add_engine(engine)
        await fleet.wait_until_ready()
        answers = await send_all(fleet, path)
        ran = [request_id for engine in engines for request_id in engine.ran]
        assert ran
        assert len(ran) == len(set(ran))
        refused = {
            request_id
            for request_id, status_code in answers
            if status_code in {408, 421, 429, 503}
        }
        assert not refused & set(ran)
