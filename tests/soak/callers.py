"""Callers that send random requests over persistent connections."""

import asyncio
import itertools
import random
import time

import aiohttp

from tests.lib.platform_fleet import HOST
from tests.soak.fleet import Router
from tests.soak.guarantees import Request

REQUEST_KINDS = ('read', 'write', 'stream')
REQUEST_TIMEOUT_SECONDS = 2.0
CALLER_COUNT = 12
MAX_PAUSE_SECONDS = 0.1
MAX_RESUMES = 3


class Callers:
    """All callers of a run.

    ``requests`` holds every request with the response that its caller saw.
    """

    def __init__(self, routers: list[Router], seed: int) -> None:
        self.routers = routers
        self.rng = random.Random(seed)
        self.request_numbers = itertools.count()
        self.requests: list[Request] = []
        self.keys = ('key-of-ann', 'key-of-bob', 'key-of-nobody')
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests from all callers until ``is_stopping`` is set."""
        await asyncio.gather(
            *(self._send_repeatedly() for _ in range(CALLER_COUNT))
        )

    async def send(
        self,
        session: aiohttp.ClientSession,
        router: Router,
        kind: str,
        key: str,
        resumes: str = '',
        first_event: int = 0,
    ) -> Request:
        """Send a request, record its response and return the record."""
        request_id = f'{kind}-{next(self.request_numbers)}'
        request = Request(
            request_id,
            kind,
            time.monotonic(),
            key,
            resumes=resumes,
            first_event=first_event,
        )
        resume_headers = {
            'Resumes': resumes,
            'Last-Event-Id': str(first_event - 1),
        }
        self.requests.append(request)
        try:
            async with session.request(
                'GET' if kind == 'read' else 'POST',
                f'http://{router.caller_address}/{kind}/x',
                data=None if kind == 'read' else b'body',
                headers={
                    'Host': HOST,
                    'X-Key': key,
                    'X-Request-Id': request_id,
                    'X-Request-Deadline': str(
                        int(REQUEST_TIMEOUT_SECONDS * 1000)
                    ),
                    **(resume_headers if resumes else {}),
                },
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
            ) as response:
                request.status = response.status
                request.response_id = response.headers.get('X-Request-Id', '')
                async for chunk in response.content.iter_any():
                    request.body += chunk.decode()
                request.is_complete = True
        except (aiohttp.ClientError, TimeoutError):
            # The part that arrived is checked as well.
            request.is_complete = False
        return request

    async def resume(
        self, session: aiohttp.ClientSession, begun: Request
    ) -> None:
        """Resume a stream that was cut, at any router, a few times."""
        request = begun
        next_event = begun.event_count
        for _ in range(MAX_RESUMES):
            if request.is_complete or not next_event:
                return
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_SECONDS))
            request = await self.send(
                session,
                self.rng.choice(self.routers),
                begun.kind,
                begun.key,
                begun.request_id,
                next_event,
            )
            next_event += request.event_count

    async def _send_repeatedly(self) -> None:
        async with aiohttp.ClientSession() as session:
            while not self.is_stopping:
                request = await self.send(
                    session,
                    self.rng.choice(self.routers),
                    self.rng.choice(REQUEST_KINDS),
                    self.rng.choices(self.keys, (10, 10, 1))[0],
                )
                if request.kind == 'stream':
                    await self.resume(session, request)
                pause = self.rng.uniform(0, MAX_PAUSE_SECONDS)
                await asyncio.sleep(pause)
