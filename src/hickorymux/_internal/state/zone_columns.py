"""The sums that a zone's delegate keeps for one pool, in virtual units.

Every router of the zone has a column that only grows, one for each of its
incarnations. The zone's total is their sum, and other zones see that total
only. No figure ever exceeds the true service:

* A new delegate starts with the largest total that any router of the zone
  still knows. Once all live routers have reported, what their columns leave
  unexplained is the service of routers that are gone; it is kept as *retired*.
* A router that was unheard at that moment and comes back takes its own part
  out of the retired service before its column counts.
* A zone that restarted while it was cut off adds the total that the other
  zones remember to its new one.
* A column that was silent for an hour is folded into the retired service.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Self, final

FOLD_AFTER_SECONDS = 3600
REFUSE_FOLDED_SECONDS = 24 * 3600


@dataclasses.dataclass(slots=True, frozen=True)
class Source:
    """One life of one router; incarnations are milliseconds of wall time."""

    router_id: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class Column:
    """What one source has served, by customer id."""

    heard_at: float
    service: dict[int, float] = dataclasses.field(default_factory=dict)
    is_complete: bool = False


@final
class ZoneColumns:
    """Columns of the zone's other routers, and the totals of other zones."""

    __slots__ = (
        'base',
        'columns',
        'folded',
        'is_detached',
        'is_settled',
        'members',
        'other_zones',
        'retired',
        'term_started',
        'zones',
    )

    def __init__(self, term_started: int, base: Mapping[int, float]) -> None:
        self.term_started = term_started
        self.base = dict(base)
        self.is_settled = False
        self.is_detached = False
        self.columns: dict[Source, Column] = {}
        self.folded: dict[Source, float] = {}
        self.members: dict[int, float] = {}
        self.retired: dict[int, float] = {}
        self.zones: dict[str, dict[int, float]] = {}
        self.other_zones: dict[int, float] = {}

    @classmethod
    def from_base(cls, term_started: int, base: Mapping[int, float]) -> Self:
        """Start a term with the totals that this router still knows.

        ``term_started`` is wall time in milliseconds. ``base`` holds the
        service of the zone's other routers by customer id.
        """
        return cls(term_started, base)

    def hear(self, source: Source, now: float) -> Column | None:
        """Return the source's column, or None when it was folded away."""
        if source in self.folded:
            return None
        column = self.columns.get(source)
        if column is None:
            column = Column(now, is_complete=self._is_new(source))
            self.columns[source] = column
        column.heard_at = now
        return column

    def add(self, column: Column, number: int, service: float) -> None:
        """Take the service of one customer from a column, by maximum."""
        before = column.service.get(number)
        if before is None and not column.is_complete:
            self._take_from_retired(number, service)
        gain = service - (before or 0)
        if gain > 0:
            column.service[number] = service
            self.members[number] = self.members.get(number, 0) + gain

    def add_base(self, number: int, service: float) -> None:
        """Take what a router knows of the zone's total, while unsettled."""
        if not self.is_settled and service > self.base.get(number, 0):
            self.base[number] = service

    def add_zone(self, zone: str, number: int, service: float) -> None:
        """Take the total of another zone, by maximum."""
        column = self.zones.setdefault(zone, {})
        gain = service - column.get(number, 0)
        if gain > 0:
            column[number] = service
            before = self.other_zones.get(number, 0)
            self.other_zones[number] = before + gain

    def reopen(self) -> None:
        """Take a base from other zones, none of which was heard so far."""
        self.is_settled = False
        self.is_detached = True

    def settle(self) -> None:
        """Keep what no reporting router explains as retired service."""
        if self.is_settled:
            return
        self.is_settled = True
        # Nothing of this term was told to other zones, so their base holds
        # none of it, unless a router of the zone is older than the term.
        is_apart = self.is_detached and all(map(self._is_new, self.columns))
        for number, base in self.base.items():
            explained = 0 if is_apart else self._sum(number)
            before = self.retired.get(number, 0)
            self.retired[number] = before + max(base - explained, 0)
        self.base.clear()

    def of_members(self, number: int) -> float:
        """Return the service of the zone, without this router's own."""
        return max(self._sum(number), self.base.get(number, 0))

    def without(self, source: Source, number: int) -> float:
        """Return the service of the zone without this router and a source."""
        column = self.columns.get(source)
        if column is None:
            return 0
        others = self.members.get(number, 0) - column.service.get(number, 0)
        if column.is_complete:
            others += self.retired.get(number, 0)
        return others

    def fold(self, live: Iterable[Source], now: float) -> None:
        """Add the columns of long silent sources to the retired service."""
        kept = set(live)
        for source, column in tuple(self.columns.items()):
            silent = now - column.heard_at
            if source not in kept and silent > FOLD_AFTER_SECONDS:
                self._fold_one(source, column, now)
        self.folded = {
            folded: folded_at
            for folded, folded_at in self.folded.items()
            if now - folded_at < REFUSE_FOLDED_SECONDS
        }

    def _sum(self, number: int) -> float:
        return self.members.get(number, 0) + self.retired.get(number, 0)

    def _fold_one(self, source: Source, column: Column, now: float) -> None:
        for number, service in column.service.items():
            self.members[number] -= service
            before = self.retired.get(number, 0)
            self.retired[number] = before + service
        self.columns.pop(source)
        self.folded[source] = now

    def _is_new(self, source: Source) -> bool:
        return source.incarnation >= self.term_started

    def _take_from_retired(self, number: int, service: float) -> None:
        left = self.retired.get(number, 0) - service
        if left > 0:
            self.retired[number] = left
        else:
            self.retired.pop(number, None)
