"""Logs and counts what a router's processor spends its time on.

A router logs at most one line per interval, and none in an interval in which
it was neither busy nor refused anything because of its own load. With the
counts of several lines, the processor time of each kind of work can be
estimated by a linear fit.
"""

import collections
import dataclasses
import gc
import logging
import time
from collections.abc import Callable, Mapping
from typing import Any, Final, final

from hickorymux._internal.utils.json_logging import FIELDS

LOG_INTERVAL_SECONDS: Final = 1.0
# Processor time as a share of the interval from which a router counts as busy.
BUSY_SHARE: Final = 0.3
# The customers with the most requests that are logged in one line.
MAX_LOGGED_CUSTOMERS: Final = 4

_logger: Final = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class WorkCounts:
    """Counts of one interval.

    ``connections`` counts those accepted, ``refused_unread`` the requests that
    were refused by their head alone, ``requests`` all others, and
    ``refused_busy`` those of them that were refused because of the load of this
    router. ``events`` counts what was relayed of streams, ``answered`` the whole
    answers, and ``max_lag_seconds`` is the longest lag of the event loop.
    ``pause_seconds`` is the time spent in the garbage collector, and
    ``max_pause_seconds`` its longest run.
    """

    connections: int = 0
    refused_unread: int = 0
    requests: int = 0
    refused_busy: int = 0
    events: int = 0
    answered: int = 0
    max_lag_seconds: float = 0
    pause_seconds: float = 0
    max_pause_seconds: float = 0
    by_customer: 'collections.Counter[str]' = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_by_customer: 'collections.Counter[str]' = dataclasses.field(
        default_factory=collections.Counter
    )


@final
class RouterWork:
    """Counts the work of one router and logs it at intervals.

    ``processor_seconds`` returns the processor time of the process so far, and
    ``now`` the monotonic time in seconds.
    """

    __slots__ = (
        'collection_started_at',
        'counts',
        'now',
        'processor_at_start',
        'processor_seconds',
        'started_at',
    )

    def __init__(
        self,
        now: Callable[[], float],
        processor_seconds: Callable[[], float] = time.process_time,
    ) -> None:
        self.now = now
        self.processor_seconds = processor_seconds
        self.processor_at_start = processor_seconds()
        self.started_at = now()
        self.collection_started_at = self.started_at
        self.counts = WorkCounts()

    def watch_collector(self) -> None:
        """Measure the runs of the garbage collector from now on."""
        gc.callbacks.append(self.on_collection)

    def unwatch_collector(self) -> None:
        """Measure no further runs of the garbage collector."""
        if self.on_collection in gc.callbacks:
            gc.callbacks.remove(self.on_collection)

    def on_collection(self, phase: str, _info: Mapping[str, Any]) -> None:
        """Add one run of the garbage collector, called at start and end."""
        if phase == 'start':
            self.collection_started_at = self.now()
            return
        seconds = self.now() - self.collection_started_at
        counts = self.counts
        counts.pause_seconds += seconds
        counts.max_pause_seconds = max(counts.max_pause_seconds, seconds)

    def count_customer(self, customer: str, *, is_refused: bool) -> None:
        """Count a request of a customer that was read or refused."""
        self.counts.by_customer[customer] += 1
        if is_refused:
            self.counts.refused_by_customer[customer] += 1

    def observe_lag(self, seconds: float) -> None:
        """Keep the longest lag of the event loop."""
        counts = self.counts
        counts.max_lag_seconds = max(counts.max_lag_seconds, seconds)

    def write_due(self, running: int) -> None:
        """Log the counts if the interval has ended, and start a new one.

        ``running`` is the number of requests in progress.
        """
        now = self.now()
        seconds = now - self.started_at
        if seconds < LOG_INTERVAL_SECONDS:
            return
        processor = self.processor_seconds()
        spent = processor - self.processor_at_start
        counts = self.counts
        self.counts = WorkCounts()
        self.started_at = now
        self.processor_at_start = processor
        refused = counts.refused_unread + counts.refused_busy
        if refused or spent > BUSY_SHARE * seconds:
            _write(counts, seconds, spent, running)


def _write(
    counts: WorkCounts, seconds: float, processor_seconds: float, running: int
) -> None:
    most = counts.by_customer.most_common(MAX_LOGGED_CUSTOMERS)
    _logger.info(
        'router work',
        extra={
            FIELDS: {
                'event': 'router_work',
                'reason': 'the router is busy or refused requests for its load',
                'seconds': round(seconds, 2),
                'processor_seconds': round(processor_seconds, 3),
                'max_lag_seconds': round(counts.max_lag_seconds, 3),
                'pause_seconds': round(counts.pause_seconds, 3),
                'max_pause_seconds': round(counts.max_pause_seconds, 3),
                'connections': counts.connections,
                'refused_unread': counts.refused_unread,
                'requests': counts.requests,
                'refused_busy': counts.refused_busy,
                'events': counts.events,
                'answered': counts.answered,
                'running': running,
                'customers': [
                    {
                        'customer': customer,
                        'requests': requests,
                        'refused_busy': counts.refused_by_customer[customer],
                    }
                    for customer, requests in most
                ],
            }
        },
    )
