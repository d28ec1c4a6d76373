"""Canary analysis: is the target worse than the other versions?

Failures, the time until an answer begins and the time between its events are
compared with what the other versions answered in the same window, over all
routes and for each. Each comparison is a sequential test of a share: of
failures, or of durations beyond a quantile of the other versions. The evidence
is a likelihood ratio, mixed over several alternatives (Robbins, 1970; Johari
and others, Always Valid Inference, 2015). Under the hypothesis that the target
is no worse it exceeds ``1 / a`` at any time with a probability of at most
``a`` (Ville's inequality), however often it is looked at.
"""

import collections
import dataclasses
import math
from collections.abc import Iterator, Sequence
from typing import Final

from hickorymux._internal.coordination.rollouts.tallies import (
    BUCKETS,
    Metric,
    Tally,
)

# Probability that a sound version is ever found to be bad before the end of the
# time budget draws near, as far as its answers are independent.
ERROR_BOUND: Final = 0.001
# What the target may do worse without being bad: the difference of the shares.
FAILURE_MARGIN: Final = 0.003
# Answers of the other versions that make a comparison, and of the target.
MIN_BASELINE: Final = 20
MIN_TARGET_DURATIONS: Final = 6
# Share of failures assumed for the other versions while they have too few
# answers.
DEFAULT_FAILURE_SHARE: Final = 0.03
# Quantiles of the other versions, by how many buckets of 1.2 the target's
# durations must exceed them, and the margin. Durations differ more than
# failures, since the caches of new upstreams are empty and their load is not
# the same.
SLOW_LIMITS: Final = ((0.5, 2, 0.12), (0.9, 1, 0.08), (0.9, 3, 0.01))
# Standard deviations that are added to a measured share.
SHARE_DEVIATIONS: Final = 2.0
# Alternatives: the part of the remaining share that is bad in addition.
ALTERNATIVES: Final = (0.03, 0.08, 0.2, 0.4, 0.7, 0.95)
_ALL_ROUTES: Final = ''
_NO_FINDING: Final = (float(0), '')

_Histogram = collections.Counter[int]
_Table = dict[tuple[str, int, bool], _Histogram]


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """The strongest evidence that the target is worse.

    ``log_ratio`` is the logarithm of the likelihood ratio, and ``reason`` tells
    the comparison. ``answers`` counts the target's ended answers.
    """

    log_ratio: float = 0
    reason: str = ''
    answers: int = 0
    tests: int = 1

    @property
    def is_proven(self) -> bool:
        """Return whether the evidence is beyond the error bound.

        The bound is divided by the number of tests (Bonferroni).
        """
        return self.log_ratio >= math.log(self.tests / ERROR_BOUND)


def analyse(
    windows: Sequence[Tally], baseline: Tally, restarts: int
) -> Finding:
    """Return the strongest finding over some windows of time.

    The first window is the whole roll-out. The others begin later, so that
    sound answers in the past don't outweigh failures at present. ``baseline``
    has the counts that are used where a window has too few; ``restarts`` is
    how many windows have begun so far, for the error bound.
    """
    worst = _NO_FINDING
    fallback = _tabulate(baseline)
    tables = [_tabulate(window) for window in windows]
    for table in tables:
        worst = max(worst, *_compare(table, fallback), key=_first)
    routes = len({route for route, _, _ in tables[0]})
    outcomes = tables[0].get((_ALL_ROUTES, Metric.outcome, True))
    return Finding(
        worst[0],
        worst[1],
        outcomes.total() if outcomes else 0,
        tests=max(1, routes * (1 + 2 * len(SLOW_LIMITS)) * (1 + restarts)),
    )


def log_likelihood_ratio(bad: int, total: int, share: float) -> float:
    """Return the logarithm of the ratio for ``bad`` of ``total`` answers.

    The hypothesis is that at most ``share`` of them are bad.
    """
    if not total or bad <= share * total:
        return 0
    logs = []
    for part in ALTERNATIVES:
        alternative = share + (1 - share) * part
        logs.append(
            bad * math.log(alternative / share)
            + (total - bad) * math.log((1 - alternative) / (1 - share))
        )
    largest = max(logs)
    mean = sum(math.exp(log - largest) for log in logs) / len(logs)
    return max(0, largest + math.log(mean))


def _first(pair: tuple[float, str]) -> float:
    return pair[0]


def _tabulate(tally: Tally) -> _Table:
    """Return the histograms by route, metric and side, and over all routes."""
    table: _Table = {}
    for (route, metric, bucket, is_target), count in tally.cells.items():
        for name in (route, _ALL_ROUTES):
            row = table.setdefault((name, metric, is_target), _Histogram())
            row[bucket] += count
    return table


def _compare(table: _Table, fallback: _Table) -> Iterator[tuple[float, str]]:
    yield _NO_FINDING
    for (route, metric, is_target), target in table.items():
        if not is_target:
            continue
        former = _baseline(table, fallback, (route, metric, False))
        name = f'{Metric(metric).name} of {route or "all routes"}'
        if metric == Metric.outcome:
            yield _test_failures(target, former), name
        else:
            yield _test_durations(target, former), name


def _baseline(
    table: _Table, fallback: _Table, key: tuple[str, int, bool]
) -> _Histogram:
    """Return what the other versions did, in the window if it has enough."""
    former = table.get(key)
    if former is None or former.total() < MIN_BASELINE:
        return fallback.get(key, _Histogram())
    return former


def _test_failures(target: _Histogram, former: _Histogram) -> float:
    share = DEFAULT_FAILURE_SHARE
    if former.total() >= MIN_BASELINE:
        share = _upper_share(former[1], former.total()) + FAILURE_MARGIN
    return log_likelihood_ratio(target[1], target.total(), min(share, 0.9))


def _test_durations(target: _Histogram, former: _Histogram) -> float:
    if former.total() < MIN_BASELINE or target.total() < MIN_TARGET_DURATIONS:
        return 0
    return max(
        _test_beyond(target, former, _quantile(former, quantile) + more, margin)
        for quantile, more, margin in SLOW_LIMITS
    )


def _test_beyond(
    target: _Histogram, former: _Histogram, limit: int, margin: float
) -> float:
    slow_before = _count_beyond(former, limit)
    share = _upper_share(slow_before, former.total()) + margin
    slow = _count_beyond(target, limit)
    return log_likelihood_ratio(slow, target.total(), min(share, 0.9))


def _upper_share(part: int, total: int) -> float:
    """Return a share with an allowance for the error of its measurement."""
    share = part / total
    smoothed = (part + 0.5) / (total + 1)
    deviation = math.sqrt(smoothed * (1 - smoothed) / total)
    return share + SHARE_DEVIATIONS * deviation


def _quantile(histogram: _Histogram, quantile: float) -> int:
    left = histogram.total() * quantile
    for bucket in range(BUCKETS):
        left -= histogram[bucket]
        if left <= 0:
            return bucket
    return BUCKETS


def _count_beyond(histogram: _Histogram, limit: int) -> int:
    return sum(count for bucket, count in histogram.items() if bucket > limit)
