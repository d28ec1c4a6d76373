"""Requests, stream chunks and answers in the OpenAI chat-completions format."""

import dataclasses
import itertools
import re
import time
from collections.abc import Iterator
from typing import Any, Final, final

import msgspec

DONE_EVENT: Final = b'data: [DONE]\n\n'
DEFAULT_TOKENS: Final = 32
_TOKEN_COUNT_PATTERN: Final = re.compile(r'\btokens=(\d+)\b')


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str | list[dict[str, Any]] | None = None

    @property
    def text(self) -> str:
        """Return the text of the message; text parts are joined by blanks."""
        if isinstance(self.content, str):
            return self.content
        parts = self.content or []
        return ' '.join(str(part.get('text', '')) for part in parts)


class StreamOptions(msgspec.Struct):
    """The ``stream_options`` of a chat-completions request."""

    include_usage: bool = False


class CompletionRequest(msgspec.Struct):
    """The fields of a chat-completions request that the emulator uses."""

    model: str
    messages: list[Message]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None

    @property
    def text(self) -> str:
        """Return the texts of all messages, joined by blanks."""
        return ' '.join(message.text for message in self.messages)

    @property
    def token_limit(self) -> int:
        """Return the maximum number of tokens in the answer."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_TOKENS

    @property
    def wants_usage(self) -> bool:
        """Return whether the request asks for a usage chunk in the stream."""
        options = self.stream_options
        return options is not None and options.include_usage


def answer_tokens(text: str, limit: int) -> Iterator[str]:
    """Yield the tokens of the answer to a text, at most ``limit``.

    The words of the text are repeated and numbered, so that a reader can
    check that an answer is complete and belongs to its own request. If the
    text contains ``tokens=N``, the answer ends after N tokens.

    Example::

        assert ''.join(answer_tokens('menu costs', 3)) == (
            'menu.0 costs.1 menu.2 '
        )
    """
    match = _TOKEN_COUNT_PATTERN.search(text)
    count = min(limit, int(match.group(1))) if match else limit
    words = itertools.cycle(text.split() or ['empty'])
    for index, word in enumerate(itertools.islice(words, count)):
        yield f'{word}.{index} '


@final
@dataclasses.dataclass(slots=True, frozen=True)
class AnswerBuilder:
    """Builds the answer to one chat completion, as chunks or as one body.

    Methods named ``..._event`` return an encoded server-sent event.
    """

    completion_id: str
    model: str
    prompt_tokens: int
    created: int

    @classmethod
    def from_request(
        cls,
        request_id: str,
        request: CompletionRequest,
    ) -> 'AnswerBuilder':
        """Return the builder of the answer to a request."""
        return cls(
            completion_id=f'chatcmpl-{request_id}',
            model=request.model,
            prompt_tokens=len(request.text.split()),
            created=int(time.time()),
        )

    def role_event(self) -> bytes:
        """Return the first event, which sets the role of the message."""
        return self._event({'role': 'assistant', 'content': ''}, None)

    def token_event(self, token: str) -> bytes:
        """Return the event that adds one token to the answer."""
        return self._event({'content': token}, None)

    def finish_event(self, reason: str) -> bytes:
        """Return the event with the finish reason, such as ``stop``."""
        return self._event({}, reason)

    def usage_event(self, count: int) -> bytes:
        """Return the event with the token counts; ``choices`` is empty."""
        body = self._body('chat.completion.chunk', [])
        return _encode_event({**body, 'usage': self._usage(count)})

    def whole_answer(
        self, text: str, count: int, reason: str
    ) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        choice = {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': reason,
        }
        body = self._body('chat.completion', [choice])
        return {**body, 'usage': self._usage(count)}

    def _event(self, delta: dict[str, str], reason: str | None) -> bytes:
        choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
        return _encode_event(self._body('chat.completion.chunk', [choice]))

    def _body(self, kind: str, choices: list[Any]) -> dict[str, Any]:
        return {
            'id': self.completion_id,
            'object': kind,
            'created': self.created,
            'model': self.model,
            'choices': choices,
        }

    def _usage(self, count: int) -> dict[str, int]:
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': count,
            'total_tokens': self.prompt_tokens + count,
        }


def _encode_event(body: dict[str, Any]) -> bytes:
    return b'data: %s\n\n' % msgspec.json.encode(body)
