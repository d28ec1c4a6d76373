"""The headers of requests and answers, decoded into the product's types."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final

from multidict import CIMultiDict

from hickorymux._internal.coordination.engines.prompts import Prompt, PromptPart
from hickorymux._internal.protocol.http import hop_by_hop_names
from hickorymux._internal.protocol.upstream_http import (
    ResponseHeaders,
    RequestHeaders,
    UpstreamLoad,
)

REQUEST_ID: Final = 'X-Request-Id'
RETRY_AFTER: Final = 'Retry-After'
KEY: Final = 'X-Key'
LAST_EVENT: Final = 'Last-Event-Id'
# Milliseconds that the caller will still wait, not a point in time.
REMAINING_MS: Final = 'X-Request-Deadline'
CUSTOMER: Final = 'X-Tenant'
EXPECTED_UPSTREAM: Final = 'X-Expect-Instance'
MODEL: Final = 'X-Model'
# Prompt tokens and the most output tokens, with a comma between.
TOKEN_COUNT: Final = 'X-Token-Count'
# The parts of the prompt in order, as ID:TOKENS.
PROMPT_PARTS: Final = 'X-Prompt-Prefix'
# The caller's guess of the output tokens; often far off.
OUTPUT_HINT: Final = 'X-Length-Hint'
# The address of an engine from which memory of the prompt is copied.
FETCH_FROM: Final = 'Kv-Fetch'
# Proof that an upstream made the answer.
SIGNATURE: Final = 'X-Response-Stamp'
NOT_RUN: Final = 'X-Not-Executed'
# Running requests, waiting requests, slots.
LOAD: Final = 'X-Server-Load'

_REQUEST_ID_NAME: Final = REQUEST_ID.lower().encode()
_MS_PER_SECOND: Final = 1000
_STATUS_WRONG_UPSTREAM: Final = 421
_READY_PATH: Final = '/v1/ready'

# Set by the routers only; whatever a caller sends under these names is
# dropped, and so is the caller's key.
_NEVER_FROM_CALLERS: Final = frozenset(
    name.lower()
    for name in (
        KEY,
        CUSTOMER,
        EXPECTED_UPSTREAM,
        REMAINING_MS,
        'X-Hold',
        'X-Pin-Duration',
        'X-Kv-Backup',
        'Kv-From',
        FETCH_FROM,
        'Host',
        'Expect',
    )
)
_NOT_FOR_CALLERS: Final = frozenset((LOAD.lower(), 'server', 'date'))


def is_readiness_path(path: str) -> bool:
    """Return whether the balancer asks by this path."""
    return path == _READY_PATH


def read_request_headers(headers: Mapping[str, str]) -> RequestHeaders:
    """Return what a caller's headers say of its request."""
    return RequestHeaders(
        request_id=headers.get(REQUEST_ID, ''),
        key=headers.get(KEY, ''),
        caller_timeout_seconds=_seconds(headers.get(REMAINING_MS, '')),
        last_event_id=headers.get(LAST_EVENT, ''),
        prompt=_read_prompt(headers),
    )


def request_id_of(head: bytes) -> str:
    """Return the id in the head of a request, empty if it has none.

    One that holds control characters would spoil the answer and counts as
    none.
    """
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == _REQUEST_ID_NAME:
            request_id = value.strip().decode('latin-1')
            return request_id if request_id.isprintable() else ''
    return ''


def read_response_headers(
    status: int, headers: Mapping[str, str]
) -> ResponseHeaders:
    """Return what an upstream's headers say of its answer."""
    return ResponseHeaders(
        request_id=headers.get(REQUEST_ID, ''),
        is_signed=SIGNATURE in headers,
        is_not_run=NOT_RUN in headers or status == _STATUS_WRONG_UPSTREAM,
        is_wrong_upstream=status == _STATUS_WRONG_UPSTREAM,
        load=_read_load(headers.get(LOAD, '')),
    )


def headers_to_upstream(
    headers: Mapping[str, str],
    host: str,
    customer: str | None,
) -> 'CIMultiDict[str]':
    """Return a caller's headers as an upstream may see them.

    ``customer`` is ``None`` where a route needs no key.
    """
    dropped = hop_by_hop_names(headers) | _NEVER_FROM_CALLERS
    outgoing: CIMultiDict[str] = CIMultiDict(Host=host)
    outgoing.extend(_without(headers.items(), dropped))
    if customer is not None:
        outgoing[CUSTOMER] = customer
    return outgoing


def set_attempt_headers(
    headers: 'CIMultiDict[str]',
    upstream_id: str,
    remaining_seconds: float,
    last_event_id: str,
    fetch_from: str,
) -> None:
    """Set what differs from one attempt of a request to the next."""
    if fetch_from:
        headers[FETCH_FROM] = fetch_from
    headers[EXPECTED_UPSTREAM] = upstream_id
    remaining_ms = max(1, int(remaining_seconds * _MS_PER_SECOND))
    headers[REMAINING_MS] = str(remaining_ms)
    if last_event_id:
        headers[LAST_EVENT] = last_event_id


def headers_to_caller(headers: Mapping[str, str]) -> 'CIMultiDict[str]':
    """Return an upstream's headers as the caller may see them."""
    dropped = hop_by_hop_names(headers) | _NOT_FOR_CALLERS
    return CIMultiDict(_without(headers.items(), dropped))


def refusal_headers(
    request_id: str,
    retry_after_seconds: float | None,
) -> dict[str, str]:
    """Return the headers of an answer that this router makes itself."""
    headers = {REQUEST_ID: request_id} if request_id else {}
    if retry_after_seconds is not None:
        headers[RETRY_AFTER] = f'{retry_after_seconds:.3f}'
    return headers


def _without(
    items: Iterable[tuple[str, str]],
    dropped: frozenset[str],
) -> Iterable[tuple[str, str]]:
    return [pair for pair in items if pair[0].lower() not in dropped]


def _read_prompt(headers: Mapping[str, str]) -> Prompt | None:
    counts = _numbers(headers.get(TOKEN_COUNT, ''))
    if not counts:
        return None
    output = counts[1] if len(counts) > 1 else 0
    hinted = _numbers(headers.get(OUTPUT_HINT, ''))
    return Prompt(
        model=headers.get(MODEL, ''),
        tokens=counts[0],
        max_output=output,
        expected_output=min(hinted[0], output) if hinted else output,
        parts=tuple(_read_parts(headers.get(PROMPT_PARTS, ''))),
    )


def _read_parts(text: str) -> Iterable[PromptPart]:
    for item in text.split(','):
        name, _, tokens = item.strip().partition(':')
        if name and tokens.isdecimal():
            yield PromptPart(name, int(tokens))


def _read_load(text: str) -> UpstreamLoad | None:
    counts = _numbers(text)
    if len(counts) < len(dataclasses.fields(UpstreamLoad)):
        return None
    return UpstreamLoad(running=counts[0], waiting=counts[1], slots=counts[2])


def _numbers(text: str) -> list[int]:
    words = [word.strip() for word in text.split(',')]
    return [int(word) for word in words if word.isdecimal()]


def _seconds(milliseconds: str) -> float | None:
    try:
        return float(milliseconds) / _MS_PER_SECOND
    except ValueError:
        return None
