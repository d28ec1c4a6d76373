"""The spans of the demo that its promises speak of."""

import dataclasses
import datetime as dt
from typing import Final, final

DRAIN_GRACE: Final = dt.timedelta(seconds=3)


@final
@dataclasses.dataclass(slots=True)
class Phases:
    """When one zone was taken out and brought back, in UTC."""

    zone: str
    drained_at: dt.datetime
    restored_at: dt.datetime

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the phases in the order of time."""
        return ('all in service', f'{self.zone} out', f'{self.zone} back')

    def name_of(self, moment: dt.datetime) -> str:
        """Return the phase that a moment falls in."""
        is_past = (moment >= self.drained_at, moment >= self.restored_at)
        return self.names[sum(is_past)]

    def is_out(self, moment: dt.datetime) -> bool:
        """Return whether the zone must get no new work at a moment."""
        return self.drained_at + DRAIN_GRACE <= moment < self.restored_at


def now() -> dt.datetime:
    """Return the time of day in UTC."""
    return dt.datetime.now(dt.UTC)
