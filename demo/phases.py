"""The phases of the demo: before, during and after the drain of a zone."""

import dataclasses
import datetime as dt
from typing import Final, final

# Time that the routers may take to apply a drain.
DRAIN_GRACE: Final = dt.timedelta(seconds=3)


@final
@dataclasses.dataclass(slots=True)
class Phases:
    """When one zone was drained and restored, in UTC."""

    zone: str
    drained_at: dt.datetime
    restored_at: dt.datetime

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the phases in chronological order."""
        return (
            'before the drain',
            f'{self.zone} drained',
            f'{self.zone} restored',
        )

    def name_of(self, moment: dt.datetime) -> str:
        """Return the name of the phase that a moment falls in."""
        is_past = (moment >= self.drained_at, moment >= self.restored_at)
        return self.names[sum(is_past)]

    def is_drained(self, moment: dt.datetime) -> bool:
        """Return whether the zone must get no new work at a moment.

        New work is tolerated for ``DRAIN_GRACE`` after the drain.
        """
        return self.drained_at + DRAIN_GRACE <= moment < self.restored_at


def now() -> dt.datetime:
    """Return the present time in UTC."""
    return dt.datetime.now(dt.UTC)
