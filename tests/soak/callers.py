"""Callers that keep sending over connections they keep open."""

import asyncio
import itertools
import random
import time

import aiohttp

from tests.lib.platform_fleet import HOST
from tests.soak.judge import Request
from tests.soak.world import Router

KINDS = ('read', 'write', 'stream')
PATIENCE_SECONDS = 2.0
CALLERS = 12
MAX_PAUSE_SECONDS = 0.1


class Callers:
    """All callers of a run; ``sent`` has what each of them saw."""

    def __init__(self, routers: list[Router], seed: int) -> None:
        self.routers = routers
        self.chance = random.Random(seed)
        self.numbers = itertools.count()
        self.sent: list[Request] = []
        self.keys = ('key-of-ann', 'key-of-bob', 'key-of-nobody')
        self.is_over = False

    async def run(self) -> None:
        """Send until ``is_over``."""
        await asyncio.gather(*(self._call_on() for _ in range(CALLERS)))

    async def call(
        self,
        session: aiohttp.ClientSession,
        router: Router,
        kind: str,
        key: str,
    ) -> Request:
        """Send one request and note what comes of it."""
        request_id = f'{kind}-{next(self.numbers)}'
        request = Request(request_id, kind, time.monotonic(), key)
        self.sent.append(request)
        try:
            async with session.request(
                'GET' if kind == 'read' else 'POST',
                f'http://{router.callers}/{kind}/x',
                data=None if kind == 'read' else b'body',
                headers={
                    'Host': HOST,
                    'X-Key': key,
                    'X-Request-Id': request_id,
                    'X-Request-Deadline': str(int(PATIENCE_SECONDS * 1000)),
                },
                timeout=aiohttp.ClientTimeout(total=PATIENCE_SECONDS),
            ) as answer:
                request.status = answer.status
                request.answered_id = answer.headers.get('X-Request-Id', '')
                async for piece in answer.content.iter_any():
                    request.body += piece.decode()
                request.is_complete = True
        except (aiohttp.ClientError, TimeoutError):
            # What was seen so far is judged; a cut answer is no whole one.
            request.is_complete = False
        return request

    async def _call_on(self) -> None:
        async with aiohttp.ClientSession() as session:
            while not self.is_over:
                await self.call(
                    session,
                    self.chance.choice(self.routers),
                    self.chance.choice(KINDS),
                    self.chance.choices(self.keys, (10, 10, 1))[0],
                )
                pause = self.chance.uniform(0, MAX_PAUSE_SECONDS)
                await asyncio.sleep(pause)
