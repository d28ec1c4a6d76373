"""When to try again what is refused because upstreams crashed with it.

A wrong conclusion must not last, and each trial of a right one may crash one
more upstream. So trials come at intervals that double.

Example::

    trial = TrialSchedule(8, now=100)
    assert trial.is_due(108)
    trial.postpone(108)
    assert not trial.is_due(120)
"""

from typing import Final, final

FIRST_TRIAL_SECONDS: Final = 8.0
MAX_TRIAL_SECONDS: Final = 300.0


@final
class TrialSchedule:
    """The time of the next trial; all times are monotonic seconds.

    ``interval_seconds`` is how long after the last crash or trial it comes.
    """

    __slots__ = ('due_at', 'interval_seconds')

    def __init__(self, first_interval_seconds: float, now: float) -> None:
        self.interval_seconds = first_interval_seconds
        self.due_at = now + first_interval_seconds

    def is_due(self, now: float) -> bool:
        """Return whether one request may be tried now."""
        return now >= self.due_at

    def postpone(self, now: float) -> None:
        """Double the interval, after a trial was started or another crash."""
        self.interval_seconds = min(
            2 * self.interval_seconds, MAX_TRIAL_SECONDS
        )
        self.due_at = now + self.interval_seconds
