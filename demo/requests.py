"""Sends requests to a router and checks their answers as a caller would."""

import asyncio
import json
import time
from collections.abc import Iterator
from typing import Any, Final, final

import aiohttp

from demo.outcomes import Outcome, Result, WorkKind
from hickorymux_emulator.completions import answer_tokens

_TIMEOUT: Final = aiohttp.ClientTimeout(total=60)
_CHAT_PATH: Final = '/v1/chat/completions'
_STATUS_OK: Final = 200
_EVENT_PREFIX: Final = 'data: '
_DONE_EVENT: Final = '[DONE]'


class AnswerError(Exception):
    """The answer is incomplete, malformed or belongs to another request."""


@final
class Caller:
    """The client of one customer.

    ``key`` is the customer's API key, ``model`` the model of its completions
    and ``prefix`` the path prefix of its reads and writes.
    ``delay_seconds`` emulates the one-way delay to a router.
    """

    __slots__ = (
        'customer',
        'delay_seconds',
        'key',
        'model',
        'prefix',
        'session',
    )

    def __init__(
        self,
        session: aiohttp.ClientSession,
        customer: str,
        key: str,
        model: str,
        prefix: str,
        delay_seconds: float = 0,
    ) -> None:
        self.session = session
        self.customer = customer
        self.key = key
        self.model = model
        self.prefix = prefix.rstrip('/')
        self.delay_seconds = delay_seconds

    async def send(self, outcome: Outcome, url: str, tokens: int) -> None:
        """Send the request of an outcome and record how it ended.

        ``tokens`` is the length of a completion; reads and writes ignore it.
        """
        started_at = time.monotonic()
        try:
            await asyncio.sleep(self.delay_seconds)
            await self._send(outcome, url, tokens)
            await asyncio.sleep(self.delay_seconds)
        except (aiohttp.ClientError, TimeoutError, AnswerError) as error:
            outcome.result = Result.lost
            outcome.cause = f'{type(error).__name__}: {error}'
        outcome.seconds = time.monotonic() - started_at

    async def _send(self, outcome: Outcome, url: str, tokens: int) -> None:
        text = f'{self.customer} asks {outcome.request_id}'
        method, path = 'POST', _CHAT_PATH
        if outcome.kind in {WorkKind.read, WorkKind.write}:
            method = 'GET' if outcome.kind is WorkKind.read else 'POST'
            path = f'{self.prefix}/{self.customer}'
        async with self.session.request(
            method,
            f'{url}{path}',
            headers=self._headers(outcome),
            data=self._body(outcome, text, tokens),
            timeout=_TIMEOUT,
        ) as response:
            body = await response.read()
            if response.status != _STATUS_OK:
                _record_refusal(outcome, response, body)
                return
            _check_id(outcome, response)
        _check_answer(outcome, body, list(answer_tokens(text, tokens)))
        outcome.result = Result.whole

    def _headers(self, outcome: Outcome) -> dict[str, str]:
        headers = {
            'Authorization': f'Bearer {self.key}',
            'X-Request-Id': outcome.request_id,
            'Content-Type': 'application/json',
        }
        if outcome.key:
            headers['Idempotency-Key'] = outcome.key
        return headers

    def _body(self, outcome: Outcome, text: str, tokens: int) -> bytes | None:
        if outcome.kind is WorkKind.read:
            return None
        if outcome.kind is WorkKind.write:
            return text.encode()
        body = {
            'model': self.model,
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': tokens,
            'stream': outcome.kind is WorkKind.stream,
        }
        return json.dumps(body).encode()


def _record_refusal(
    outcome: Outcome,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> None:
    """Store code and ``ran`` from the problem details of a refusal.

    Raises ``AnswerError`` if the answer has no problem details.
    """
    try:
        problem = json.loads(body)
        outcome.code = problem['code']
        outcome.ran = problem['ran']
    except (ValueError, KeyError, TypeError) as error:
        raise AnswerError(
            f'status {response.status} without problem details'
        ) from error
    outcome.result = Result.refused


def _check_id(outcome: Outcome, response: aiohttp.ClientResponse) -> None:
    echoed = response.headers.get('X-Request-Id')
    if echoed != outcome.request_id:
        raise AnswerError(f'the answer belongs to request {echoed}')


def _check_answer(outcome: Outcome, body: bytes, expected: list[str]) -> None:
    if outcome.kind in {WorkKind.read, WorkKind.write}:
        json.loads(body)
        return
    is_stream = outcome.kind is WorkKind.stream
    text = _streamed_text(body) if is_stream else _whole_text(body)
    if text != ''.join(expected):
        raise AnswerError('the text differs from the expected answer')
    outcome.tokens = len(expected)


def _whole_text(body: bytes) -> str:
    return str(json.loads(body)['choices'][0]['message']['content'])


def _streamed_text(body: bytes) -> str:
    events = list(_events(body.decode()))
    if not events or events[-1] != _DONE_EVENT:
        raise AnswerError('the stream ended without [DONE]')
    deltas = (_delta(json.loads(event)) for event in events[:-1])
    return ''.join(deltas)


def _events(stream: str) -> Iterator[str]:
    for line in stream.split('\n'):
        if line.startswith(_EVENT_PREFIX):
            yield line.removeprefix(_EVENT_PREFIX)


def _delta(chunk: dict[str, Any]) -> str:
    choices = chunk['choices']
    return str(choices[0]['delta'].get('content', '')) if choices else ''
