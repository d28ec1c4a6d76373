"""How each request that the callers of the demo sent ended."""

import collections
import dataclasses
import enum
from collections.abc import Iterable


class Result(enum.StrEnum):
    """How a request ended for its caller.

    A request is ``lost`` when it got neither the whole answer nor a refusal
    with problem details.
    """

    whole = 'whole'
    refused = 'refused'
    lost = 'lost'


class WorkKind(enum.StrEnum):
    """The kind of a request: a completion, or a read or write of a service."""

    stream = 'streamed answer'
    answer = 'whole answer'
    read = 'read'
    write = 'write'


@dataclasses.dataclass(slots=True)
class Outcome:
    """One request and how it ended.

    ``key`` is the idempotency key of a write. ``code`` and ``ran`` are those
    of the refusal. ``cause`` states why the request counts as lost.
    ``tokens`` is the length of a whole completion, ``seconds`` the time from
    sending the request to the end of the answer.
    """

    request_id: str
    customer: str
    kind: WorkKind
    router: str
    key: str = ''
    result: Result = Result.lost
    code: str = ''
    ran: str = ''
    cause: str = ''
    tokens: int = 0
    seconds: float = 0


def count_results(outcomes: Iterable[Outcome]) -> collections.Counter[str]:
    """Return the number of requests by the value of their result."""
    return collections.Counter(outcome.result.value for outcome in outcomes)


def count_refusals(outcomes: Iterable[Outcome]) -> collections.Counter[str]:
    """Return the number of refusals by their code and ``ran``."""
    return collections.Counter(
        f'{outcome.code}, ran: {outcome.ran}'
        for outcome in outcomes
        if outcome.result is Result.refused
    )
