"""Log one line for each routing or placement decision on a request.

The lines are written to the log as JSON. Those of the newest requests also
stay in memory, so that ``hickorymux explain`` can show why a request was sent
to its upstream.
"""

import collections
import logging
from typing import Any, final

from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS, routine_writer

MAX_EXPLAINED_REQUESTS = 2000

_logger = logging.getLogger(__name__)


@final
class DecisionLog:
    """Writes decisions to the log and keeps those of the newest requests.

    With ``max_kept_requests`` of 0, ``record`` only writes to the log.
    """

    __slots__ = (
        'clock',
        'lines_by_request',
        'max_kept_requests',
        'router_id',
        'write_routine',
    )

    def __init__(
        self,
        router_id: str,
        clock: Clock,
        max_kept_requests: int = MAX_EXPLAINED_REQUESTS,
    ) -> None:
        self.max_kept_requests = max_kept_requests
        self.router_id = router_id
        self.clock = clock
        self.write_routine = routine_writer()
        self.lines_by_request: collections.OrderedDict[
            str, list[dict[str, Any]]
        ] = collections.OrderedDict()

    def record(
        self,
        request_id: str,
        event: str,
        reason: str,
        **fields: Any,
    ) -> None:
        """Log one decision with its reason and further log fields."""
        line = {
            'event': event,
            'router': self.router_id,
            'request_id': request_id,
            'reason': reason,
            **fields,
        }
        if self.write_routine is None:
            _logger.info(event, extra={FIELDS: line})
        else:
            self.write_routine('decisions', event, line)
        if self.max_kept_requests:
            self.keep_for_explain(request_id, line)

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Return the decisions kept for a request, oldest first.

        Each has the fields of its log line and a ``time`` in ISO 8601.
        """
        lines = self.lines_by_request.get(request_id, ())
        return [_with_iso_time(line) for line in lines]

    def keep_for_explain(self, request_id: str, line: dict[str, Any]) -> None:
        """Keep a line for ``explain`` without writing it to the log."""
        request_lines = self.lines_by_request.get(request_id)
        if request_lines is None:
            if len(self.lines_by_request) >= self.max_kept_requests:
                self.lines_by_request.popitem(last=False)
            request_lines = []
            self.lines_by_request[request_id] = request_lines
        request_lines.append({'time': self.clock.wall(), **line})


def _with_iso_time(line: dict[str, Any]) -> dict[str, Any]:
    moment = line['time'].isoformat(timespec='milliseconds')
    return {**line, 'time': moment}
