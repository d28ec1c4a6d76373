"""Metrics of a router: HDR histograms and counts, in Prometheus text format.

Durations are recorded in microseconds with three significant digits and
reported in seconds.
"""

import collections
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, final

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from hickorymux._internal.coordination.engines.hedging import HedgeEvent
from hickorymux._internal.transport.connection_policy import ConnectionEvent

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (0.5, 0.95, 0.99, 0.999)

_US_PER_SECOND = 1_000_000
_PERCENT = 100

_HELP = {
    'queue_wait': 'Time from arrival to a slot',
    'first_byte': 'Time from arrival to the first octet of the answer',
    'whole_answer': 'Time from arrival to the end of the answer',
}


@final
class RouterMetrics(Collector):
    """The counts, gauges and duration histograms of one router.

    Histograms are kept by name and pool, ``outcomes`` by pool and outcome, and
    ``service`` by pool and customer. ``peer_message_bytes`` has the bytes sent
    to peers by message class. ``connections`` counts by pool and event what
    happened to connections to upstreams, and ``hedges`` what became of second
    copies of requests. ``rollouts`` counts attempts during a roll-out by pool,
    version and outcome. ``bounds`` counts how often each bound on memory or
    connections was reached.
    """

    def __init__(self) -> None:
        self.histograms: dict[tuple[str, str], Any] = {}
        self.outcomes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.service: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.rollouts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.bounds: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.peer_message_bytes: dict[str, int] = {}
        self.hedges: collections.Counter[tuple[str, HedgeEvent]] = (
            collections.Counter()
        )
        self.connections: collections.Counter[tuple[str, ConnectionEvent]] = (
            collections.Counter()
        )
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def observe(self, name: str, pool: str, seconds: float) -> None:
        """Add a duration in seconds to the histogram of a name and pool."""
        histogram = self.histograms.get((name, pool))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms[name, pool] = histogram
        value_us = max(LOWEST_US, int(seconds * _US_PER_SECOND))
        histogram.record_value(min(value_us, HIGHEST_US))

    def count_outcome(self, pool: str, code: str) -> None:
        """Count how a request ended: ``answered`` or an error code."""
        self.outcomes[pool, code] += 1

    def count_service(self, pool: str, customer: str, cost: float) -> None:
        """Count the service that a customer received, by its cost."""
        self.service[pool, customer] += int(cost)

    def count_rollout(self, pool: str, version: str, outcome: str) -> None:
        """Count the end of an attempt during a roll-out of the pool."""
        self.rollouts[pool, version, outcome] += 1

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; the registry calls this."""
        yield from self._summaries()
        yield _counts(
            'hickorymux_requests',
            'Requests by how they ended',
            ('pool', 'outcome'),
            self.outcomes,
        )
        yield _counts(
            'hickorymux_service',
            'Service received, in tokens or milliseconds of slot time',
            ('pool', 'customer'),
            self.service,
        )
        yield _counts(
            'hickorymux_rollout_attempts',
            'Attempts during roll-outs by how they ended',
            ('pool', 'version', 'outcome'),
            self.rollouts,
        )
        yield _counts(
            'hickorymux_bounds_reached',
            'Requests refused and connections closed for a bound',
            ('bound',),
            {(bound,): count for bound, count in self.bounds.items()},
        )
        yield _counts(
            'hickorymux_peer_message_octets',
            'Octets sent to other routers by kind of message',
            ('message',),
            {(name,): size for name, size in self.peer_message_bytes.items()},
        )
        yield _counts(
            'hickorymux_upstream_connections',
            'Connections to upstreams: new, reused, closed_idle by the'
            ' upstream, reset_on_reuse',
            ('pool', 'event'),
            self.connections,
        )
        yield _counts(
            'hickorymux_hedges',
            'Second copies of slow requests, and why none was sent',
            ('pool', 'event'),
            self.hedges,
        )
        for name, reading in self.gauges.items():
            yield GaugeMetricFamily(f'hickorymux_{name}', name, value=reading)

    def _summaries(self) -> Iterator[Any]:
        for name, help_text in _HELP.items():
            quantiles = GaugeMetricFamily(
                f'hickorymux_{name}_seconds',
                help_text,
                labels=('pool', 'quantile'),
            )
            totals = SummaryMetricFamily(
                f'hickorymux_{name}',
                help_text,
                labels=('pool',),
            )
            for (kind, pool), histogram in self.histograms.items():
                if kind != name:
                    continue
                _add_quantiles(quantiles, pool, histogram)
                count = histogram.get_total_count()
                mean_us = histogram.get_mean_value()
                totals.add_metric(
                    (pool,),
                    count_value=count,
                    sum_value=count * mean_us / _US_PER_SECOND,
                )
            yield quantiles
            yield totals


def _counts(
    name: str,
    help_text: str,
    labels: Sequence[str],
    counts: Mapping[tuple[Any, ...], int],
) -> CounterMetricFamily:
    """Return a family of counters; ``counts`` is by the values of the labels."""
    family = CounterMetricFamily(name, help_text, labels=labels)
    for label_values, count in counts.items():
        family.add_metric(label_values, count)
    return family


def _add_quantiles(family: Any, pool: str, histogram: Any) -> None:
    for quantile in QUANTILES:
        value_us = histogram.get_value_at_percentile(quantile * _PERCENT)
        family.add_metric((pool, str(quantile)), value_us / _US_PER_SECOND)
