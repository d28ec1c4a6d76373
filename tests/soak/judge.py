"""The promises to callers, judged from what callers and engines saw."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

# Statuses that say that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
REFUSED_KEY_STATUS = 401
EVENTS = 6


@dataclasses.dataclass
class Request:
    """One request as its caller saw it; ``status`` 0 means no answer."""

    request_id: str
    kind: str
    sent_at: float
    key: str = ''
    status: int = 0
    answered_id: str = ''
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
    binds_from: float


def events_of(request_id: str, first: int = 0) -> str:
    """Return the stream of a request, from an event on."""
    return ''.join(
        f'id: {number}\ndata: {request_id}/{number}\n\n'
        for number in range(first, EVENTS)
    )


def body_of(request_id: str) -> str:
    """Return the whole body that answers a request."""
    return f'answer to {request_id} ' * 20


def broken_promises(
    requests: Iterable[Request],
    runs: Iterable[Run],
    revoked: Iterable[Revocation],
    customer_of_key: Mapping[str, str],
) -> Iterator[str]:
    """Yield a line for each promise that was not kept."""
    runs_of: dict[str, list[Run]] = {}
    for run in runs:
        runs_of.setdefault(run.request_id, []).append(run)
    known = {request.request_id: request for request in requests}
    for unknown in runs_of.keys() - known.keys():
        yield f'unasked: {unknown} ran and nobody sent it'
    bound_from = {one.key: one.binds_from for one in revoked}
    for request in known.values():
        found = runs_of.get(request.request_id, [])
        yield from _runs(request, found)
        yield from _key(request, found, bound_from, customer_of_key)
        yield from _answer(request)


def _runs(request: Request, runs: list[Run]) -> Iterator[str]:
    if request.kind == 'write' and len(runs) > 1:
        yield f'twice: {request.request_id} ran {len(runs)} times'
    if request.kind == 'write' and request.status in NOT_RUN_STATUSES and runs:
        yield f'refused: {request.request_id} got {request.status} and ran'
    if request.status == 200 and not runs:
        yield f'mixed: {request.request_id} got 200 and did not run'


def _key(
    request: Request,
    runs: list[Run],
    bound_from: Mapping[str, float],
    customer_of_key: Mapping[str, str],
) -> Iterator[str]:
    owner = customer_of_key.get(request.key)
    if any(run.customer != owner for run in runs):
        yield f'key: {request.request_id} ran for another customer'
    if runs and request.sent_at > bound_from.get(request.key, float('inf')):
        yield f'key: {request.request_id} ran by a withdrawn key'
    is_valid = owner is not None and request.key not in bound_from
    if request.status == REFUSED_KEY_STATUS and is_valid:
        yield f'denied: {request.request_id} got 401 with a valid key'


def _answer(request: Request) -> Iterator[str]:
    if request.status and request.answered_id != request.request_id:
        yield f'mixed: {request.request_id} got id {request.answered_id!r}'
    if request.status != 200:
        return
    whole = body_of(request.request_id)
    if request.kind == 'stream':
        whole = events_of(request.request_id)
    if request.is_complete and request.body != whole:
        yield f'whole: {request.request_id} ended as complete and is not'
    if not whole.startswith(request.body):
        yield f'order: {request.request_id} has other octets than its own'
