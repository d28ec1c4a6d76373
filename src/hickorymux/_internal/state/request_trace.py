"""What the log lines of many hosts tell of one request.

The story has the request's own lines, oldest first, and before them what its
routers had come to believe shortly before: views lost and regained, tables,
upstreams that changed or died, lines that were left out.

Example::

    story = read_story('r-17', itertools.chain(*files))
    story.lines[-1]['event']
"""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, final

import msgspec

from hickorymux._internal.exceptions import DecisionsNotFound

# How long before a request a change may have been its cause.
CONTEXT: Final = dt.timedelta(seconds=5)
CONTEXT_EVENTS: Final = frozenset(
    (
        'dependency_lost',
        'dependency_regained',
        'lines_left_out',
        'member_lost',
        'readiness',
        'stopping',
        'table_in_force',
        'table_unreadable',
        'upstream_changed',
        'zones_evacuated',
        'crash_suspect',
    )
)

Line = Mapping[str, Any]


@final
@dataclasses.dataclass(slots=True, frozen=True)
class RequestTrace:
    """The lines of a request, and what preceded them; ``skipped`` counts
    lines that are no JSON objects.
    """

    context: Sequence[Line]
    lines: Sequence[Line]
    skipped: int


def read_request_trace(request_id: str, rows: Iterable[bytes]) -> RequestTrace:
    """Return the story of a request from log lines in any order.

    Raises ``DecisionsNotFound`` if no line is of this request.
    """
    decoder = msgspec.json.Decoder(dict[str, Any])
    own: list[Line] = []
    context: list[Line] = []
    skipped = 0
    for row in filter(bytes.strip, rows):
        try:
            line = decoder.decode(row)
        except msgspec.DecodeError:
            skipped += 1
            continue
        if line.get('request_id') == request_id:
            own.append(line)
        elif line.get('event') in CONTEXT_EVENTS:
            context.append(line)
    if not own:
        raise DecisionsNotFound(
            f'no line of request "{request_id}"',
            hint='lines beyond the rate are left out, see lines_left_out',
        )
    own.sort(key=_time)
    return RequestTrace(_before(own, context), own, skipped)


def _before(own: Sequence[Line], context: Iterable[Line]) -> Sequence[Line]:
    """Return what the routers of a request noted shortly before its end."""
    routers = {line.get('router') for line in own}
    first = _moment(own[0]) - CONTEXT
    found = [
        line
        for line in context
        if line.get('router') in routers
        and _time(line) <= _time(own[-1])
        and _moment(line) >= first
    ]
    return sorted(found, key=_time)


def _time(line: Line) -> str:
    return str(line.get('time', ''))


def _moment(line: Line) -> dt.datetime:
    return dt.datetime.fromisoformat(_time(line))
