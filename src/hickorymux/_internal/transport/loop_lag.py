"""How late this process is with its work.

Load pattern: more requests come to one router than its processor can even
refuse. Whatever waits for the event loop then waits unseen: answers, reports
of other routers, news of the store. A turn of the loop that lasts too long
takes no new requests any more; they are refused before anything is spent on
them, and the loop comes round to what waits.
"""

import asyncio
from typing import Final, final

from hickorymux._internal.utils.clock import Clock

# How often the loop should come round to the probe.
PROBE_SECONDS: Final = 0.02
# Most of the shortest time in which callers expect an answer is left then.
MAX_LAG_SECONDS: Final = 0.1


@final
class LoopLag:
    """Knows by how much a timer of the event loop is late right now."""

    __slots__ = ('clock', 'due_at')

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.due_at = clock.monotonic()

    def start(self) -> None:
        """Probe for as long as the event loop runs."""
        self.note()
        asyncio.get_running_loop().call_later(PROBE_SECONDS, self.start)

    def note(self) -> None:
        """Take that the probe runs now."""
        self.due_at = self.clock.monotonic() + PROBE_SECONDS

    @property
    def seconds(self) -> float:
        """Return by how much the probe is late."""
        return max(0, self.clock.monotonic() - self.due_at)

    @property
    def is_high(self) -> bool:
        """Return whether new requests should go elsewhere."""
        return self.seconds > MAX_LAG_SECONDS
