"""One log line for each routing or placement decision, kept for a while.

The lines go to the log as JSON; the newest ones also stay in memory by request
id, so that ``hickorymux explain`` can show why a request went where it went.
"""

import collections
import logging
from typing import Any, final

from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS

MAX_EXPLAINED_REQUESTS = 2000

_logger = logging.getLogger(__name__)


@final
class DecisionLog:
    """Writes decisions and remembers the newest by request."""

    __slots__ = ('clock', 'lines', 'max_remembered', 'router_id')

    def __init__(
        self,
        router_id: str,
        clock: Clock,
        max_remembered: int = MAX_EXPLAINED_REQUESTS,
    ) -> None:
        self.max_remembered = max_remembered
        self.router_id = router_id
        self.clock = clock
        self.lines: collections.OrderedDict[str, list[dict[str, Any]]] = (
            collections.OrderedDict()
        )

    def record(
        self,
        request_id: str,
        event: str,
        reason: str,
        **fields: Any,
    ) -> None:
        """Write one decision with its reason."""
        line = {
            'event': event,
            'router': self.router_id,
            'request_id': request_id,
            'reason': reason,
            **fields,
        }
        _logger.info(event, extra={FIELDS: line})
        if self.max_remembered:
            self.remember(request_id, line)

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Return the decisions on a request, oldest first."""
        lines = self.lines.get(request_id, ())
        return [_readable(line) for line in lines]

    def remember(self, request_id: str, line: dict[str, Any]) -> None:
        """Keep a line for ``explain`` without writing it to the log."""
        known = self.lines.get(request_id)
        if known is None:
            if len(self.lines) >= self.max_remembered:
                self.lines.popitem(last=False)
            known = []
            self.lines[request_id] = known
        known.append({'time': self.clock.wall(), **line})


def _readable(line: dict[str, Any]) -> dict[str, Any]:
    moment = line['time'].isoformat(timespec='milliseconds')
    return {**line, 'time': moment}
