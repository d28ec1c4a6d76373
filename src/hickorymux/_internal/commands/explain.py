"""The command ``explain``, which shows the decisions on a request."""

import dataclasses
import itertools
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, final

import aiohttp
import msgspec

from hickorymux._internal.exceptions import UsageError
from hickorymux._internal.state.request_trace import (
    RequestTrace,
    read_request_trace,
)
from hickorymux._internal.transport.admin_client import AdminClient
from hickorymux._internal.utils.durations import parse_duration
from hickorymux._internal.utils.terminal import write_line

_STANDARD_INPUT: Final = Path('-')
# Fields that are the same in each line of a trace or repeat another field.
_HIDDEN_FIELDS: Final = frozenset(('level', 'logger', 'message', 'request_id'))


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class ExplainCommand:
    """Show why a request was sent to its upstream or was refused.

    :param request_id: the request id, from the answer's header X-Request-Id
    :param router: URL of the router that received the request
    :param logs: log files of one or more routers to read instead; - is the
        standard input
    :param timeout: how long to wait for the router, as in 5s
    """

    request_id: str = dataclasses.field(kw_only=False)
    router: str = ''
    logs: list[Path] = dataclasses.field(default_factory=list)
    timeout: str = '5s'

    async def run(self) -> None:
        """Print one line for each decision, oldest first."""
        if bool(self.router) == bool(self.logs):
            raise UsageError('give either --router or --logs')
        if self.logs:
            rows = itertools.chain.from_iterable(map(_read_rows, self.logs))
            _write_trace(read_request_trace(self.request_id, rows))
            return
        timeout = parse_duration(self.timeout)
        async with aiohttp.ClientSession() as session:
            client = AdminClient(self.router, session, timeout)
            for decision in await client.explain(self.request_id):
                write_line(_format(decision))


def _read_rows(path: Path) -> Iterator[bytes]:
    if path == _STANDARD_INPUT:
        yield from sys.stdin.buffer
        return
    try:
        with path.open('rb') as opened:
            yield from opened
    except OSError as error:
        raise UsageError(str(error), where=str(path)) from error


def _write_trace(trace: RequestTrace) -> None:
    if trace.context:
        write_line('shortly before, at the same routers:')
        for line in trace.context:
            write_line(f'  {_format(_visible_fields(line))}')
        write_line('the request:')
    for line in trace.lines:
        write_line(f'  {_format(_visible_fields(line))}')
    if trace.skipped:
        write_line(f'{trace.skipped} lines are no JSON objects')


def _visible_fields(line: Any) -> dict[str, Any]:
    return {
        name: field
        for name, field in line.items()
        if name not in _HIDDEN_FIELDS
    }


def _format(decision: Any) -> str:
    """Return a decision as one line: its time and its fields."""
    if not isinstance(decision, dict):
        return str(decision)
    words = (
        f'{name}={_format_field(field)}' for name, field in decision.items()
    )
    return '  '.join(words)


def _format_field(field: Any) -> str:
    return (
        field if isinstance(field, str) else msgspec.json.encode(field).decode()
    )
