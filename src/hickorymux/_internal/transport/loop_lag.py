"""How late this process is with its work.

Load pattern: more requests come to one router than its processor can even
refuse. Whatever waits for the event loop then waits unseen: answers, reports
of other routers, news of the store. A router that lags refuses new requests
before it spends anything on them, until it has caught up.
"""

import asyncio
from typing import Final, final

from hickorymux._internal.utils.clock import Clock

# How often the lag is measured.
PROBE_SECONDS: Final = 0.05
# A quarter of the shortest time in which callers expect an answer to begin.
MAX_LAG_SECONDS: Final = 0.1
# A single late probe is a pause, as for a large table, and not a load.
LATE_PROBES: Final = 2


@final
class LoopLag:
    """Measures by how much a timer of the event loop is late."""

    __slots__ = ('clock', 'due_at', 'late_probes', 'seconds')

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.due_at = clock.monotonic()
        self.late_probes = 0
        self.seconds: float = 0

    def start(self) -> None:
        """Measure for as long as the event loop runs."""
        self.due_at = self.clock.monotonic()
        self._probe()

    @property
    def is_high(self) -> bool:
        """Return whether new requests should go elsewhere."""
        return self.late_probes >= LATE_PROBES

    def note(self, now: float) -> None:
        """Take that the probe that was due runs only now."""
        self.seconds = max(0, now - self.due_at)
        is_late = self.seconds > MAX_LAG_SECONDS
        self.late_probes = self.late_probes + 1 if is_late else 0
        self.due_at = now + PROBE_SECONDS

    def _probe(self) -> None:
        self.note(self.clock.monotonic())
        asyncio.get_running_loop().call_later(PROBE_SECONDS, self._probe)
