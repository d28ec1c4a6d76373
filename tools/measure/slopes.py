"""Measure a quantity at several sizes and fit a straight line."""

import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any, Self

REPEATS = 5
MIN_RUN_SECONDS = 0.02
US_PER_SECOND = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class Slope:
    """A quantity measured at several sizes, and its line ``base + slope * size``.

    ``points`` are pairs of size and quantity. ``size_unit`` and ``unit`` are
    the units of the size and of the quantity.

    ``straightness`` is the squared correlation of size and quantity; it is 1
    for a straight line, and also for a quantity that does not change.
    """

    name: str
    size_unit: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    base: float
    straightness: float

    @classmethod
    def fit(
        cls,
        name: str,
        size_unit: str,
        unit: str,
        points: Iterable[tuple[float, float]],
    ) -> Self:
        """Fit a line by least squares through points of size and quantity."""
        samples = tuple(points)
        sizes = [size for size, _ in samples]
        readings = [reading for _, reading in samples]
        line = statistics.linear_regression(sizes, readings)
        return cls(
            name=name,
            size_unit=size_unit,
            unit=unit,
            points=samples,
            slope=line.slope,
            base=line.intercept,
            straightness=_straightness(sizes, readings),
        )

    def as_json(self) -> dict[str, Any]:
        """Return the fields for the result file."""
        return dataclasses.asdict(self)


def _straightness(sizes: list[float], readings: list[float]) -> float:
    if len(set(readings)) == 1:
        return 1
    return statistics.correlation(sizes, readings) ** 2


def processor_us(work: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds.

    It is the minimum of several runs, each of which repeats the call until the
    run takes at least ``MIN_RUN_SECONDS``.
    """
    calls = 1
    spent = _spent_seconds(work, calls)
    while spent < MIN_RUN_SECONDS:
        calls *= 2
        spent = _spent_seconds(work, calls)
    least_seconds = min(_spent_seconds(work, calls) for _ in range(REPEATS))
    return least_seconds / calls * US_PER_SECOND


def _spent_seconds(work: Callable[[], object], calls: int) -> float:
    gc.collect()
    started = time.process_time()
    for _ in range(calls):
        work()
    return time.process_time() - started


def retained_bytes(build: Callable[[], object]) -> float:
    """Return the memory in bytes that the result of a call occupies."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before if result is not None else 0
