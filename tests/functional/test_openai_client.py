"""The published OpenAI client library works through a router unchanged.

A response that deviates from the published format, such as a stream without
its usage chunk or an error without a body, breaks the library's callers.
"""

from collections.abc import Iterator

import openai
import pytest
from lib.small_fleet import running_fleet

from hickorymux_emulator.completions import answer_tokens

pytestmark = pytest.mark.processes

TOKENS = 12
QUESTION = 'which ceilings were sampled'
EXPECTED_TEXT = ''.join(answer_tokens(QUESTION, TOKENS))


@pytest.fixture(scope='module')
def base_url() -> Iterator[str]:
    with running_fleet() as fleet:
        yield f'{next(iter(fleet.urls().values()))}/v1'


def ask(base_url: str, key: str = 'key-small-1', **more):
    client = openai.OpenAI(base_url=base_url, api_key=key, max_retries=0)
    return client.chat.completions.create(
        **{
            'model': 'demo',
            'messages': [{'role': 'user', 'content': QUESTION}],
            'max_tokens': TOKENS,
            **more,
        }
    )


def test_streamed_answer(base_url: str) -> None:
    options = {'include_usage': True}
    chunks = list(ask(base_url, stream=True, stream_options=options))
    deltas = [
        chunk.choices[0].delta.content for chunk in chunks if chunk.choices
    ]
    assert ''.join(delta or '' for delta in deltas) == EXPECTED_TEXT
    assert len(deltas) == TOKENS + 2
    assert chunks[-1].usage.completion_tokens == TOKENS


def test_whole_answer(base_url: str) -> None:
    answer = ask(base_url)
    assert answer.choices[0].message.content == EXPECTED_TEXT
    assert answer.choices[0].finish_reason == 'length'


def test_wrong_key(base_url: str) -> None:
    with pytest.raises(openai.AuthenticationError) as caught:
        ask(base_url, key='nobody')
    assert caught.value.response.json()['ran'] == 'no'


def test_unknown_model(base_url: str) -> None:
    with pytest.raises(openai.NotFoundError) as caught:
        ask(base_url, model='unknown')
    assert caught.value.response.json()['code'] == 'route_not_found'
