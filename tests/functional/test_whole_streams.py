"""The head and the events of a stream come from the same attempt."""

from tests.lib.platform_engine import PlatformEngine, ReceivedRequest
from tests.lib.platform_fleet import platform_fleet, route

STREAM = route('/stream/', 'streaming', resumable=True, maxAttempts=2)


async def test_stream_has_the_head_of_an_engine_that_sent_no_event():
    async with platform_fleet(STREAM) as fleet:
        heads_sent = []

        async def end_before_the_first_event_once(
            received: ReceivedRequest,
        ) -> None:
            is_first = not heads_sent
            heads_sent.append(received.request_id)
            received.writer.write(
                received.head(
                    '200 OK',
                    'Content-Type: text/event-stream',
                    f'X-Attempt: {len(heads_sent)}',
                )
            )
            if not is_first:
                received.writer.write(b'id: 1\ndata: x\n\n')
            received.writer.close()

        for number in (1, 2):
            script = end_before_the_first_event_once
            await fleet.add_engine(PlatformEngine(f'e{number}', script))
        await fleet.wait_until_ready()
        async with fleet.request('POST', '/stream/x', data=b'1') as answer:
            assert await answer.read() == b'id: 1\ndata: x\n\n'
            assert answer.headers['X-Attempt'] == '2'
