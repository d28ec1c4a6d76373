"""Logs how customers share a pool while some of their requests are refused.

A pool logs at most one line per interval, and none in an interval in which no
request was refused. Compare the lines of all routers in one interval: who was
served, who was refused, what blocked the requests that waited, and what each
router knew of the service elsewhere.
"""

import collections
import dataclasses
import enum
import logging
from collections.abc import Iterable, Mapping
from typing import Any, Final, final

from hickorymux._internal.coordination.engines.wait_queue import ServiceMeter
from hickorymux._internal.utils.json_logging import FIELDS

LOG_INTERVAL_SECONDS: Final = 1.0
# The most and the least served of the customers that are logged in one line.
MAX_LOGGED_AT_EACH_END: Final = 4

_logger = logging.getLogger(__name__)


class Outcome(enum.Enum):
    """What became of a request, or of one try to dispatch it.

    A request is ``served`` or ``refused`` once. Until then each try that fails
    counts: ``full`` if no upstream had room, ``late`` if the answer would
    begin too late, and ``deferred`` if the slot was left to other customers.
    """

    served = 'served'
    refused = 'refused'
    full = 'full'
    late = 'late'
    deferred = 'deferred'


@dataclasses.dataclass(slots=True)
class _Interval:
    started_at: float
    outcomes: dict[str, collections.Counter[Outcome]] = dataclasses.field(
        default_factory=dict
    )


@final
class ShareLog:
    """Counts outcomes by pool and customer, and logs them at intervals."""

    __slots__ = ('intervals',)

    def __init__(self) -> None:
        self.intervals: dict[str, _Interval] = {}

    def count(
        self, pool: str, customer: str, outcome: Outcome, now: float
    ) -> None:
        """Count one outcome of a request of the customer."""
        interval = self.intervals.get(pool)
        if interval is None:
            interval = _Interval(now)
            self.intervals[pool] = interval
        counts = interval.outcomes.get(customer)
        if counts is None:
            counts = collections.Counter()
            interval.outcomes[customer] = counts
        counts[outcome] += 1

    def write_due(self, meters: Mapping[str, ServiceMeter], now: float) -> None:
        """Log the pools whose interval has ended, and start new ones.

        ``meters`` has the service meter of each pool.
        """
        for pool, interval in tuple(self.intervals.items()):
            if now - interval.started_at < LOG_INTERVAL_SECONDS:
                continue
            self.intervals.pop(pool)
            if any(
                Outcome.refused in each for each in interval.outcomes.values()
            ):
                _write(pool, interval, meters[pool], now)


def _write(
    pool: str, interval: _Interval, meter: ServiceMeter, now: float
) -> None:
    ranked = sorted(
        interval.outcomes,
        key=lambda customer: meter.total_service(customer, now),
    )
    if len(ranked) > 2 * MAX_LOGGED_AT_EACH_END:
        most_served = ranked[-MAX_LOGGED_AT_EACH_END:]
        ranked = ranked[:MAX_LOGGED_AT_EACH_END] + most_served
    _logger.info(
        'customer shares',
        extra={
            FIELDS: {
                'event': 'customer_shares',
                'pool': pool,
                'reason': 'requests were refused',
                'customers': list(_rows(ranked, interval, meter, now)),
            }
        },
    )


def _rows(
    customers: Iterable[str],
    interval: _Interval,
    meter: ServiceMeter,
    now: float,
) -> Iterable[Mapping[str, Any]]:
    for customer in customers:
        peers = meter.peer_usage.get(customer)
        yield {
            'customer': customer,
            'own_service': round(meter.served.total(customer, now)),
            'peer_service': round(peers.service) if peers else None,
            'unmet_at_peers': round(peers.unmet) if peers else None,
            'due_share': round(meter.due_share(customer, now), 2),
            **{
                outcome.value: count
                for outcome, count in interval.outcomes[customer].items()
            },
        }
