"""Builds the trace of one request from the log lines of many hosts.

The trace has the log lines of the request, and as context the events that its
routers logged shortly before or during it: contact with the store lost and
regained, new routing tables, changed upstreams, log lines left out and more.

Example::

    trace = read_request_trace('r-17', itertools.chain(*files))
    trace.lines[-1]['event']
"""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, final

import msgspec

from hickorymux._internal.exceptions import DecisionsNotFound

# Events up to this long before the first line of a request are its context.
CONTEXT_DURATION: Final = dt.timedelta(seconds=5)
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
    """The log lines of a request and the events around it, oldest first.

    ``context`` has events of the routers that handled the request, from
    shortly before its first line until its last.
    ``skipped`` counts the input lines that are not JSON objects.
    """

    context: Sequence[Line]
    lines: Sequence[Line]
    skipped: int


def read_request_trace(request_id: str, rows: Iterable[bytes]) -> RequestTrace:
    """Return the trace of a request from log lines in any order.

    Raises ``DecisionsNotFound`` if no line belongs to the request.
    """
    decoder = msgspec.json.Decoder(dict[str, Any])
    own_lines: list[Line] = []
    context: list[Line] = []
    skipped = 0
    for row in filter(bytes.strip, rows):
        try:
            line = decoder.decode(row)
        except msgspec.DecodeError:
            skipped += 1
            continue
        if line.get('request_id') == request_id:
            own_lines.append(line)
        elif line.get('event') in CONTEXT_EVENTS:
            context.append(line)
    if not own_lines:
        raise DecisionsNotFound(
            f'no log line belongs to request "{request_id}"',
            hint='lines over the rate limit are left out, see lines_left_out',
        )
    own_lines.sort(key=_time_text)
    return RequestTrace(_context_of(own_lines, context), own_lines, skipped)


def _context_of(
    own_lines: Sequence[Line], context: Iterable[Line]
) -> Sequence[Line]:
    """Return the events that are the context of the request."""
    routers = {line.get('router') for line in own_lines}
    earliest = _timestamp(own_lines[0]) - CONTEXT_DURATION
    found = [
        line
        for line in context
        if line.get('router') in routers
        and _time_text(line) <= _time_text(own_lines[-1])
        and _timestamp(line) >= earliest
    ]
    return sorted(found, key=_time_text)


def _time_text(line: Line) -> str:
    return str(line.get('time', ''))


def _timestamp(line: Line) -> dt.datetime:
    return dt.datetime.fromisoformat(_time_text(line))
