"""The promises to callers, judged from what callers and engines saw."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

# Statuses that say that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
UNAUTHORIZED_STATUS = 401
EVENTS_PER_STREAM = 6


@dataclasses.dataclass
class Request:
    """One request as its caller saw it; ``status`` 0 means no answer."""

    request_id: str
    kind: str
    sent_at: float
    key: str = ''
    status: int = 0
    response_id: str = ''
    body: str = ''
    is_complete: bool = False


@dataclasses.dataclass
class Run:
    """One run of a request at an engine."""

    request_id: str
    engine: str
    customer: str
    began_at: float


@dataclasses.dataclass
class Revocation:
    """A key that was withdrawn, and from when on nothing may run by it."""

    key: str
    effective_at: float


def response_stream(request_id: str, first: int = 0) -> str:
    """Return the stream of a request, from an event on."""
    return ''.join(
        f'id: {number}\ndata: {request_id}/{number}\n\n'
        for number in range(first, EVENTS_PER_STREAM)
    )


def response_body(request_id: str) -> str:
    """Return the whole body that answers a request."""
    return f'answer to {request_id} ' * 20


def find_violations(
    requests: Iterable[Request],
    runs: Iterable[Run],
    revocations: Iterable[Revocation],
    customers_by_key: Mapping[str, str],
) -> Iterator[str]:
    """Yield a line for each promise that was not kept."""
    runs_of: dict[str, list[Run]] = {}
    for run in runs:
        runs_of.setdefault(run.request_id, []).append(run)
    requests_by_id = {request.request_id: request for request in requests}
    for unknown in runs_of.keys() - requests_by_id.keys():
        yield f'unasked: {unknown} ran and nobody sent it'
    revoked_at = {
        revocation.key: revocation.effective_at for revocation in revocations
    }
    for request in requests_by_id.values():
        request_runs = runs_of.get(request.request_id, [])
        yield from _check_runs(request, request_runs)
        yield from _check_key(
            request, request_runs, revoked_at, customers_by_key
        )
        yield from _check_response(request)


def _check_runs(request: Request, runs: list[Run]) -> Iterator[str]:
    if request.kind == 'write' and len(runs) > 1:
        yield f'twice: {request.request_id} ran {len(runs)} times'
    if request.kind == 'write' and request.status in NOT_RUN_STATUSES and runs:
        yield f'refused: {request.request_id} got {request.status} and ran'
    if request.status == 200 and not runs:
        yield f'mixed: {request.request_id} got 200 and did not run'


def _check_key(
    request: Request,
    runs: list[Run],
    revoked_at: Mapping[str, float],
    customers_by_key: Mapping[str, str],
) -> Iterator[str]:
    owner = customers_by_key.get(request.key)
    if any(run.customer != owner for run in runs):
        yield f'key: {request.request_id} ran for another customer'
    if runs and request.sent_at > revoked_at.get(request.key, float('inf')):
        yield f'key: {request.request_id} ran by a withdrawn key'
    is_valid = owner is not None and request.key not in revoked_at
    if request.status == UNAUTHORIZED_STATUS and is_valid:
        yield f'denied: {request.request_id} got 401 with a valid key'


def _check_response(request: Request) -> Iterator[str]:
    if request.status and request.response_id != request.request_id:
        yield f'mixed: {request.request_id} got id {request.response_id!r}'
    if request.status != 200:
        return
    expected = response_body(request.request_id)
    if request.kind == 'stream':
        expected = response_stream(request.request_id)
    if request.is_complete and request.body != expected:
        yield f'whole: {request.request_id} ended as complete and is not'
    if not expected.startswith(request.body):
        yield f'order: {request.request_id} has other octets than its own'
