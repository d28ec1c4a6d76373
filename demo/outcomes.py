"""What became of each request that the callers of the demo sent."""

import collections
import dataclasses
import enum
from collections.abc import Iterable


class Result(enum.StrEnum):
    """How a request ended for its caller."""

    whole = 'whole'
    refused = 'refused'
    lost = 'lost'


class WorkKind(enum.StrEnum):
    """What a request asks for."""

    stream = 'streamed answer'
    answer = 'whole answer'
    read = 'read'
    write = 'write'


@dataclasses.dataclass(slots=True)
class Outcome:
    """One request and its end; ``service`` is tokens or plain answers.

    ``code`` and ``ran`` are those of the refusal. ``cause`` tells why a
    request counts as lost.
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
    """Return how many requests ended in each way."""
    return collections.Counter(outcome.result.value for outcome in outcomes)


def count_refusals(outcomes: Iterable[Outcome]) -> collections.Counter[str]:
    """Return how many refusals there were with each code."""
    return collections.Counter(
        f'{outcome.code}, ran: {outcome.ran}'
        for outcome in outcomes
        if outcome.result is Result.refused
    )
