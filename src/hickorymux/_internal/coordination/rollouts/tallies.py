"""Counts of what the target and the other versions answered, by route.

Durations are counted in buckets, each 1.2 times the one before, so that the
counts of all routers can be added and sent in a small message.

Example::

    tally = Tally()
    tally.add('chat', Metric.begin, bucket_of(0.4), is_target=True)
    rows = tally.rows('chat', Metric.begin, is_target=True)
"""

import collections
import enum
import math
from collections.abc import Iterable, Sequence
from typing import Final, final

BUCKET_RATIO: Final = 1.2
BUCKETS: Final = 64
# The bucket of the ratio 1. Ratios from 0.013 to 1,200 have buckets.
_UNIT_BUCKET: Final = 24
_LOG_RATIO: Final = math.log(BUCKET_RATIO)
_SIDES: Final = 2
_METRICS: Final = 4

# Route, metric, bucket, and whether the target answered.
Cell = tuple[str, int, int, bool]


class Metric(enum.IntEnum):
    """What is counted; ``outcome`` has the buckets 0 (sound) and 1 (failed).

    ``begin`` is the time until an answer begins and ``gap`` that between its
    events, both relative to a nominal time.
    """

    outcome = 0
    begin = 1
    gap = 2


def bucket_of(ratio: float) -> int:
    """Return the bucket of a duration, given relative to its nominal one."""
    if ratio <= 0:
        return 0
    exact = round(math.log(ratio) / _LOG_RATIO) + _UNIT_BUCKET
    return min(BUCKETS - 1, max(0, exact))


@final
class Tally:
    """Counts by route, metric, bucket and side."""

    __slots__ = ('cells',)

    def __init__(self, cells: Iterable[tuple[Cell, int]] = ()) -> None:
        self.cells: collections.Counter[Cell] = collections.Counter(dict(cells))

    def add(
        self, route: str, metric: Metric, bucket: int, *, is_target: bool
    ) -> None:
        """Count one observation."""
        self.cells[route, metric, bucket, is_target] += 1

    def merge(self, other: 'Tally') -> None:
        """Add the counts of another tally."""
        self.cells.update(other.cells)

    def subtract(self, other: 'Tally') -> None:
        """Subtract the counts of another tally."""
        self.cells.subtract(other.cells)

    def since(self, earlier: 'Tally') -> 'Tally':
        """Return what was counted after an earlier copy of this tally."""
        return Tally(
            (cell, count - earlier.cells[cell])
            for cell, count in self.cells.items()
            if count > earlier.cells[cell]
        )

    def copy(self) -> 'Tally':
        """Return a copy."""
        return Tally(self.cells.items())

    def encode(self) -> tuple[list[str], list[int], list[int]]:
        """Return the routes, and the codes and counts of the cells."""
        routes = sorted({cell[0] for cell in self.cells})
        index = {route: number for number, route in enumerate(routes)}
        codes = [
            ((index[route] * _SIDES + is_target) * _METRICS + metric) * BUCKETS
            + bucket
            for route, metric, bucket, is_target in self.cells
        ]
        return routes, codes, list(self.cells.values())

    @classmethod
    def decode(
        cls, routes: Sequence[str], codes: Iterable[int], counts: Iterable[int]
    ) -> 'Tally':
        """Return the tally of a message; ignores cells of unknown routes."""
        tally = cls()
        for code, count in zip(codes, counts, strict=False):
            rest, bucket = divmod(code, BUCKETS)
            rest, metric = divmod(rest, _METRICS)
            number, side = divmod(rest, _SIDES)
            if 0 <= number < len(routes) and count > 0:
                cell = (routes[number], metric, bucket, bool(side))
                tally.cells[cell] = count
        return tally
