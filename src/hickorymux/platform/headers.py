"""Reads and writes the platform's HTTP headers; implements ``Dialect``."""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from multidict import CIMultiDict

from hickorymux._internal.coordination.engines.prompts import Prompt, PromptPart
from hickorymux._internal.protocol.http import hop_by_hop_names
from hickorymux._internal.protocol.upstream_http import (
    RawRequestHead,
    ResponseHeaders,
    RequestHeaders,
    UpstreamLoad,
)

REQUEST_ID: Final = 'X-Request-Id'
# Seconds, possibly fractional, to wait before a retry.
RETRY_AFTER_SECONDS: Final = 'Retry-After'
API_KEY: Final = 'X-Key'
# Id of the last event that the caller received of a stream that it resumes.
LAST_EVENT_ID: Final = 'Last-Event-Id'
# Id of the request that brought the first event of a stream that is resumed.
FIRST_REQUEST_ID: Final = 'Resumes'
# Milliseconds that the caller still waits; not a point in time.
REMAINING_MS: Final = 'X-Request-Deadline'
CUSTOMER: Final = 'X-Tenant'
EXPECTED_UPSTREAM_ID: Final = 'X-Expect-Instance'
MODEL: Final = 'X-Model'
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNTS: Final = 'X-Token-Count'
# Parts of the prompt in order, each as ID:TOKENS, separated by commas.
PROMPT_PARTS: Final = 'X-Prompt-Prefix'
# Output tokens that the caller expects; often far off.
EXPECTED_OUTPUT_TOKENS: Final = 'X-Length-Hint'
# Address of the engine whose prefix cache to copy.
KV_SOURCE_ADDRESS: Final = 'Kv-Fetch'
# Present if an upstream made the response.
UPSTREAM_SIGNATURE: Final = 'X-Response-Stamp'
# Present if the upstream did not execute the request and never will.
NOT_RUN: Final = 'X-Not-Executed'
# Running requests, waiting requests and slots, separated by commas. A fourth
# figure is how long work takes on the upstream's host, 100 as usual.
UPSTREAM_LOAD: Final = 'X-Server-Load'
# Requests per second, a decimal number, that the upstream takes from all routers
# together. An answer without it says that there is no such limit.
REQUEST_LIMIT: Final = 'Server-Limit'
# "1" in all answers of an upstream that is about to leave.
UPSTREAM_LEAVING: Final = 'Server-Leaving'

_REQUEST_ID_NAME: Final = REQUEST_ID.lower().encode()
_API_KEY_NAME: Final = API_KEY.lower().encode()
_REMAINING_MS_NAME: Final = REMAINING_MS.lower().encode()
_RAW_NAMES: Final = (_REQUEST_ID_NAME, _API_KEY_NAME, _REMAINING_MS_NAME)
_MS_PER_SECOND: Final = 1000
_STATUS_MISDIRECTED_REQUEST: Final = 421
_STATUS_UNAVAILABLE: Final = 503
_READY_PATH: Final = '/v1/ready'
# Larger counts are taken for garbage.
_MAX_LOAD_COUNT: Final = 1_000_000
_MIN_LOAD_FIGURES: Final = 3
_MAX_LOAD_FIGURES: Final = 4
_USUAL_WORK_TIME: Final = 100

# Callers' headers that are not forwarded: only routers set them, or they hold
# the caller's key.
_ROUTER_ONLY: Final = frozenset(
    name.lower()
    for name in (
        API_KEY,
        CUSTOMER,
        EXPECTED_UPSTREAM_ID,
        REMAINING_MS,
        'X-Hold',
        'X-Pin-Duration',
        'X-Kv-Backup',
        'Kv-From',
        KV_SOURCE_ADDRESS,
        'Host',
        'Expect',
    )
)
# Upstreams' headers that are not forwarded to callers.
_HIDDEN_FROM_CALLERS: Final = frozenset(
    (UPSTREAM_LOAD.lower(), 'server', 'date')
)


def is_readiness_path(path: str) -> bool:
    """Return whether the load balancer checks readiness at this path."""
    return path == _READY_PATH


def read_request_headers(headers: Mapping[str, str]) -> RequestHeaders:
    """Return the decoded headers of a caller's request."""
    return RequestHeaders(
        request_id=headers.get(REQUEST_ID, ''),
        key=headers.get(API_KEY, ''),
        caller_timeout_seconds=_milliseconds_to_seconds(
            headers.get(REMAINING_MS, '')
        ),
        last_event_id=headers.get(LAST_EVENT_ID, ''),
        first_request_id=headers.get(FIRST_REQUEST_ID, ''),
        prompt=_read_prompt(headers),
    )


def read_raw_head(head: bytes) -> RawRequestHead:
    """Return what a refusal needs of a request, from its raw headers.

    A request id with control characters counts as none, as it would corrupt
    the headers of the response.
    """
    found = dict.fromkeys(_RAW_NAMES, '')
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b':')
        name = name.lower()
        if name in found and not found[name]:
            found[name] = text.strip().decode('latin-1')
    request_id = found[_REQUEST_ID_NAME]
    return RawRequestHead(
        request_id=request_id if request_id.isprintable() else '',
        key=found[_API_KEY_NAME],
        caller_timeout_seconds=_milliseconds_to_seconds(
            found[_REMAINING_MS_NAME]
        ),
    )


def read_response_headers(
    status: int, headers: Mapping[str, str]
) -> ResponseHeaders:
    """Return the decoded headers of an upstream's response."""
    limit_text = headers.get(REQUEST_LIMIT, '')
    limit = _read_limit(limit_text)
    pause_text = ''
    if status == _STATUS_UNAVAILABLE:
        pause_text = _only_value(headers, RETRY_AFTER_SECONDS)
    pause = _read_pause(pause_text)
    load_text = headers.get(UPSTREAM_LOAD, '')
    load = _read_load(load_text)
    return ResponseHeaders(
        request_id=headers.get(REQUEST_ID, ''),
        is_signed=UPSTREAM_SIGNATURE in headers,
        is_not_run=NOT_RUN in headers or status == _STATUS_MISDIRECTED_REQUEST,
        is_wrong_upstream=status == _STATUS_MISDIRECTED_REQUEST,
        load=load,
        invalid_load=load_text if load is None else '',
        request_limit=limit,
        invalid_limit=limit_text if limit is None else '',
        is_leaving=headers.get(UPSTREAM_LEAVING, '').strip() == '1',
        pause_seconds=pause,
        invalid_pause=pause_text if pause is None else '',
    )


def headers_to_upstream(
    headers: Mapping[str, str],
    host: str,
    customer: str | None,
) -> 'CIMultiDict[str]':
    """Return the headers of a request for an upstream at ``host``.

    ``customer`` is ``None`` if the route needs no key.
    """
    dropped = hop_by_hop_names(headers) | _ROUTER_ONLY
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
    kv_source_address: str,
) -> None:
    """Set the headers that differ between the attempts of a request."""
    if kv_source_address:
        headers[KV_SOURCE_ADDRESS] = kv_source_address
    headers[EXPECTED_UPSTREAM_ID] = upstream_id
    remaining_ms = max(1, int(remaining_seconds * _MS_PER_SECOND))
    headers[REMAINING_MS] = str(remaining_ms)
    if last_event_id:
        headers[LAST_EVENT_ID] = last_event_id


def headers_to_caller(headers: Mapping[str, str]) -> 'CIMultiDict[str]':
    """Return the upstream's headers that are forwarded to the caller."""
    dropped = hop_by_hop_names(headers) | _HIDDEN_FROM_CALLERS
    return CIMultiDict(_without(headers.items(), dropped))


def refusal_headers(
    request_id: str,
    retry_after_seconds: float | None,
) -> dict[str, str]:
    """Return the headers of an error response of this router."""
    headers = {REQUEST_ID: request_id} if request_id else {}
    if retry_after_seconds is not None:
        headers[RETRY_AFTER_SECONDS] = f'{retry_after_seconds:.3f}'
    return headers


def _without(
    items: Iterable[tuple[str, str]],
    dropped: frozenset[str],
) -> Iterable[tuple[str, str]]:
    return [pair for pair in items if pair[0].lower() not in dropped]


def _read_prompt(headers: Mapping[str, str]) -> Prompt | None:
    counts = _integers(headers.get(TOKEN_COUNTS, ''))
    if not counts:
        return None
    max_output = counts[1] if len(counts) > 1 else 0
    hint = _integers(headers.get(EXPECTED_OUTPUT_TOKENS, ''))
    return Prompt(
        model=headers.get(MODEL, ''),
        tokens=counts[0],
        max_output=max_output,
        expected_output=min(hint[0], max_output) if hint else max_output,
        parts=tuple(_read_parts(headers.get(PROMPT_PARTS, ''))),
    )


def _read_parts(text: str) -> Iterable[PromptPart]:
    for item in text.split(','):
        name, _, tokens = item.strip().partition(':')
        if name and tokens.isdecimal():
            yield PromptPart(name, int(tokens))


def _read_load(text: str) -> UpstreamLoad | None:
    """Return the load that an upstream states, ``None`` if it is not valid."""
    figures = _counts(text)
    if not _MIN_LOAD_FIGURES <= len(figures) <= _MAX_LOAD_FIGURES:
        return None
    if any(figure > _MAX_LOAD_COUNT for figure in figures):
        return None
    running, waiting, slots, *rest = figures
    if not slots or rest == [0]:
        return None
    return UpstreamLoad(
        running, waiting, slots, rest[0] / _USUAL_WORK_TIME if rest else None
    )


def _counts(text: str) -> list[int]:
    """Return comma-separated whole numbers, none if one is malformed."""
    words = [word.strip() for word in text.split(',')]
    # Long digit strings are slow to convert and no plausible count.
    if all(
        word.isascii() and word.isdigit() and len(word) < 10 for word in words
    ):
        return [int(word) for word in words]
    return []


def _read_limit(text: str) -> float | None:
    """Return a limit in requests per second, ``None`` if it is not valid."""
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def _integers(text: str) -> list[int]:
    words = [word.strip() for word in text.split(',')]
    return [int(word) for word in words if word.isdecimal()]


def _milliseconds_to_seconds(milliseconds: str) -> float | None:
    try:
        seconds = float(milliseconds) / _MS_PER_SECOND
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None


def _only_value(headers: Mapping[str, str], name: str) -> str:
    """Return the value of a header; several are joined, and mean nothing."""
    found = [
        text for key, text in headers.items() if key.lower() == name.lower()
    ]
    return ', '.join(found)


def _read_pause(text: str) -> float | None:
    """Return a number of seconds, ``None`` if the text is none."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if seconds >= 0 and math.isfinite(seconds) else None
