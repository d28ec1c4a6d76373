"""HTTP headers and error bodies between callers, routers and upstreams.

Callers get errors as problem details (RFC 9457) with the additional members
``code``, ``ran`` and ``request_id``. ``Retry-After`` (RFC 9110) says when to
try again. Hop-by-hop headers are never forwarded.
"""

import math
from collections.abc import Mapping
from typing import Any, Final

import msgspec
from multidict import CIMultiDict

from hickorymux._internal.exceptions import HickorymuxError, Ran, RequestError

REQUEST_ID: Final = 'X-Request-Id'
ATTEMPT_ID: Final = 'X-Attempt-Id'
CUSTOMER: Final = 'X-Customer'
IDEMPOTENCY_KEY: Final = 'Idempotency-Key'
RETRY_AFTER: Final = 'Retry-After'
AUTHORIZATION: Final = 'Authorization'
API_KEY: Final = 'X-Api-Key'
ENGINE_INSTANCE: Final = 'X-Engine-Instance'
ENGINE_STATE: Final = 'X-Engine-State'
RAN: Final = 'X-Ran'
COST_HINT: Final = 'X-Cost-Hint'
PROBLEM_TYPE: Final = 'application/problem+json'
EVENT_STREAM_TYPE: Final = 'text/event-stream'

_BEARER_PREFIX = 'bearer '
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
    )
)
# Callers' headers that are for the router, or that it sets for upstreams.
_NOT_FORWARDED = frozenset(
    (
        'authorization',
        'x-api-key',
        'x-customer',
        'x-attempt-id',
        'x-request-id',
        'x-ran',
        'host',
        'expect',
    )
)


def caller_api_key(headers: Mapping[str, str]) -> str:
    """Return the caller's API key, empty if its headers have none."""
    authorization = headers.get(AUTHORIZATION, '')
    if authorization.lower().startswith(_BEARER_PREFIX):
        return authorization[len(_BEARER_PREFIX) :].strip()
    return headers.get(API_KEY, '')


def _connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    listed = headers.get('Connection', '').lower().split(',')
    return frozenset(name.strip() for name in listed)


def hop_by_hop_names(headers: Mapping[str, str]) -> frozenset[str]:
    """Return the lower-case names of headers that must not be forwarded."""
    if 'Connection' not in headers:
        return _HOP_BY_HOP
    return _HOP_BY_HOP | _connection_options(headers)


def headers_for_upstream(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the caller's headers that are forwarded to an upstream."""
    dropped = hop_by_hop_names(headers) | _NOT_FORWARDED
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def headers_for_caller(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the upstream's headers that are forwarded to the caller."""
    dropped = hop_by_hop_names(headers)
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def retry_after_text(seconds: float) -> str:
    """Return a ``Retry-After`` value in whole seconds, at least one."""
    return str(max(1, math.ceil(seconds)))


def problem(error: HickorymuxError, request_id: str) -> dict[str, Any]:
    """Return the members of the problem details for an error."""
    members: dict[str, Any] = {
        'type': f'urn:hickorymux:error:{error.code}',
        'title': error.code.replace('_', ' '),
        'status': error.http_status,
        'code': error.code,
        'detail': error.detail,
        'request_id': request_id,
        'ran': Ran.unknown.value,
    }
    if isinstance(error, RequestError):
        members['ran'] = error.ran.value
    if error.where:
        members['where'] = error.where
    if error.hint:
        members['hint'] = error.hint
    return members


def problem_body(error: HickorymuxError, request_id: str) -> bytes:
    """Return the problem details as JSON."""
    return msgspec.json.encode(problem(error, request_id))


def problem_headers(error: HickorymuxError, request_id: str) -> dict[str, str]:
    """Return the headers of a response with problem details."""
    headers = {REQUEST_ID: request_id}
    if not isinstance(error, RequestError):
        return headers
    headers[RAN] = error.ran.value
    if error.retry_after is not None:
        headers[RETRY_AFTER] = retry_after_text(error.retry_after)
    if error.http_status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return headers
