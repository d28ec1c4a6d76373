"""A bare HTTP proxy as the baseline for the cost of a router.

It has no queue, limit or check. ENGINE and SERVICE are upstream addresses.

Usage::

    python -m tools.measure.pass_through ENGINE SERVICE
"""

import asyncio
import json
import signal
import sys
from typing import Final

from aiohttp import ClientSession, TCPConnector, web

READ_BUFFER_BYTES: Final = 1 << 16


class PassThrough:
    """Forwards requests below ``/v1/`` to the engine and others to the service."""

    def __init__(self, engine: str, service: str) -> None:
        self.engine = engine
        self.service = service
        self.session = ClientSession(
            connector=TCPConnector(limit=0),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Forward one request and relay the answer."""
        is_chat = request.path.startswith('/v1/')
        upstream = self.engine if is_chat else self.service
        body = await request.read()
        async with self.session.request(
            request.method,
            f'http://{upstream}{request.path_qs}',
            data=body or None,
            headers={'Content-Type': 'application/json'},
        ) as answer:
            if not is_chat:
                return web.Response(
                    status=answer.status,
                    body=await answer.read(),
                )
            response = web.StreamResponse(status=answer.status)
            response.content_type = answer.content_type
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response


async def main(engine: str, service: str) -> None:
    """Serve on a free port of the loopback interface until SIGTERM."""
    relay = PassThrough(engine, service)
    app = web.Application()
    app.router.add_route('*', '/{tail:.*}', relay.handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    line = {'event': 'listening', 'address': f'{host}:{port}'}
    print(json.dumps(line), flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await relay.session.close()
    await runner.cleanup()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1], sys.argv[2]))
