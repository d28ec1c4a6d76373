"""How late this process is with its work.

Load pattern: more requests come to one router than its processor can even
refuse. Whatever waits for the event loop then waits unseen: answers, reports
of other routers, news of the store. A request takes several turns of the loop
until it is sent on, and each turn lasts as long as all that is under way. So a
turn that lasts too long takes no new requests any more, and neither does the
next one; they are refused before anything is spent on them.
"""

import asyncio
from typing import Final, final

from hickorymux._internal.utils.clock import Clock

# How often the loop should come round to the probe.
PROBE_INTERVAL_SECONDS: Final = 0.02
# About five turns pass until a request is sent on; they must fit into the
# 400 ms in which callers of model engines expect an answer to begin.
MAX_LAG_SECONDS: Final = 0.05


@final
class LoopLag:
    """Knows by how much a timer of the event loop is late right now."""

    __slots__ = ('clock', 'next_probe_at', 'previous_seconds')

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.next_probe_at = clock.monotonic()
        self.previous_seconds: float = 0

    def start(self) -> None:
        """Probe for as long as the event loop runs."""
        self.record_probe()
        asyncio.get_running_loop().call_later(
            PROBE_INTERVAL_SECONDS, self.start
        )

    def record_probe(self) -> None:
        """Take that the probe runs now."""
        now = self.clock.monotonic()
        self.previous_seconds = max(0, now - self.next_probe_at)
        self.next_probe_at = now + PROBE_INTERVAL_SECONDS

    @property
    def seconds(self) -> float:
        """Return by how much the probe is late, or the one before was."""
        return max(
            self.previous_seconds, self.clock.monotonic() - self.next_probe_at
        )

    @property
    def is_high(self) -> bool:
        """Return whether new requests should go elsewhere."""
        return self.seconds > MAX_LAG_SECONDS
