"""Keeps the pauses of the garbage collector short.

Load pattern: hundreds of requests are in progress, each with some hundred
objects that live until its answer is complete. The collector takes them for a
reason to look at all objects of the process again and again, most of which are
code and tables that are never freed. Such a run takes as long as dozens of
requests, and nothing else is done meanwhile.
"""

import gc
from collections.abc import Callable, Sized
from typing import Final, final

from hickorymux._internal.utils.clock import Clock

# New objects until the collector runs. Objects of a request are mostly freed
# without it, as soon as the request has ended.
YOUNG_OBJECTS: Final = 10_000
# Runs of the youngest generation until the next older one is looked at too.
RUNS_UNTIL_OLDER: Final = 5
# Full runs are left to ``run_when_quiet``.
NEVER: Final = 1_000_000
# A full run is due after this time, in which cycles that outlived the runs of
# the younger generations take little memory.
DUE_SECONDS: Final = 20.0
# A full run with up to this many requests in progress takes a few milliseconds.
QUIET_REQUESTS: Final = 20
# A process that is never quiet must not keep cycles for longer.
MAX_DELAY_SECONDS: Final = 120.0
CHECK_INTERVAL_SECONDS: Final = 1.0


def limit_collector_pauses() -> None:
    """Take all objects of the process out of the collector's sight.

    Call it once all modules are imported and before requests are served. What
    is created later is collected as before, but less often, and full runs
    happen only through ``run_when_quiet``.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, RUNS_UNTIL_OLDER, NEVER)


@final
class FullRuns:
    """Runs the collector on all objects at times of little load.

    ``collect`` does it; ``last_at`` is the time of the last run in monotonic
    seconds.
    """

    __slots__ = ('collect', 'last_at')

    def __init__(
        self, now: float, collect: Callable[[], object] = gc.collect
    ) -> None:
        self.last_at = now
        self.collect = collect

    def run_due(self, running_requests: int, now: float) -> None:
        """Run the collector if it is due and few requests are in progress."""
        elapsed = now - self.last_at
        least = MAX_DELAY_SECONDS
        if running_requests <= QUIET_REQUESTS:
            least = DUE_SECONDS
        if elapsed >= least:
            self.last_at = now
            self.collect()


async def run_when_quiet(running_requests: Sized, clock: Clock) -> None:
    """Do the full runs of the collector until cancelled."""
    full_runs = FullRuns(clock.monotonic())
    while True:
        await clock.sleep(CHECK_INTERVAL_SECONDS)
        full_runs.run_due(len(running_requests), clock.monotonic())
