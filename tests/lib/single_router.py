"""Runs one router of the two-zones example with all upstreams."""

import contextlib
import dataclasses
import json
import tempfile
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from lib.small_fleet import start_fleet

from demo.deployment import Deployment
from demo.fleet import Fleet
from hickorymux_emulator.completions import answer_tokens
from hickorymux_emulator.programs import Program, ProgramGroup


@dataclasses.dataclass
class SingleRouter:
    """One router, its emulated upstreams and a client session for requests."""

    fleet: Fleet
    session: aiohttp.ClientSession

    @property
    def router(self) -> Program:
        return next(iter(self.fleet.routers.values()))

    def engines(self) -> list[Program]:
        upstreams = self.fleet.platform.upstreams
        return [upstreams[name] for name in upstreams if 'engine' in name]

    def services(self) -> list[Program]:
        upstreams = self.fleet.platform.upstreams
        return [upstreams[name] for name in upstreams if 'orders' in name]

    async def control(self, programs: list[Program], **change: object) -> None:
        """Change the behaviour of emulated upstreams."""
        for program in programs:
            url = f'{program.url}/control'
            async with self.session.post(url, json=change) as answer:
                assert answer.status == 200

    async def fetch_records(
        self, programs: list[Program], path: str
    ) -> list[Any]:
        found = []
        for program in programs:
            async with self.session.get(program.url + path) as answer:
                found += await answer.json()
        return found

    async def fetch_runs(self, text: str) -> list[Any]:
        """Return the runs of all engines for a chat text."""
        runs = await self.fetch_records(self.engines(), '/runs')
        return [run for run in runs if run['customer_text'] == text]

    def chat(self, text: str, tokens: int = 20, **more: Any) -> Any:
        """Send a streamed chat request, with more headers."""
        headers = {'Authorization': 'Bearer key-small-1', **more}
        body = {
            'model': 'demo',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': tokens,
            'stream': True,
        }
        url = f'{self.router.url}/v1/chat/completions'
        return self.session.post(url, json=body, headers=headers)

    def order(self, text: str, key: str) -> Any:
        """Send a write with an idempotency key."""
        headers = {
            'Authorization': 'Bearer key-small-1',
            'Idempotency-Key': key,
        }
        url = f'{self.router.url}/orders/1'
        return self.session.post(url, data=text, headers=headers)


def streamed_text(stream: bytes) -> str:
    """Return the text of a streamed answer, which must end with ``[DONE]``."""
    events = stream.decode().removesuffix('\n\n').split('\n\n')
    assert events[-1] == 'data: [DONE]'
    chunks = [json.loads(one.removeprefix('data: ')) for one in events[:-1]]
    deltas = [one['choices'][0]['delta'] for one in chunks if one['choices']]
    return ''.join(delta.get('content', '') for delta in deltas)


def expected_text(text: str, tokens: int = 20) -> str:
    """Return the answer of an emulated engine to a chat text."""
    return ''.join(answer_tokens(text, tokens))


@contextlib.asynccontextmanager
async def open_single_router() -> AsyncIterator[SingleRouter]:
    """Start the processes; they end with the block."""
    example = Deployment.from_examples('two-zones')
    deployment = dataclasses.replace(example, routers=example.routers[:1])
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        with (
            tempfile.TemporaryDirectory() as directory,
            ProgramGroup() as programs,
        ):
            fleet = await start_fleet(programs, deployment, directory, session)
            yield SingleRouter(fleet, session)
