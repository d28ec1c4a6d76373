"""Measures the lag of the event loop; a high lag starts load shedding.

Load pattern: more requests arrive at one router than its processor can even
refuse. Everything that needs the event loop is then delayed without being in
any queue: answers, reports of other routers, updates from the store. A
request takes several iterations of the loop until it is sent to an upstream,
and the length of each iteration depends on all requests in progress. So once
an iteration has lasted too long, new requests are refused before any work is
done on them, until the end of the next iteration.
"""

import asyncio
from collections.abc import Callable
from typing import Final, final

from hickorymux._internal.utils.clock import Clock

PROBE_INTERVAL_SECONDS: Final = 0.02
# A request takes about five iterations of the event loop until it is sent to
# an upstream. They must fit into the 400 ms within which callers of model
# engines expect the answer to begin.
MAX_LAG_SECONDS: Final = 0.05


@final
class LoopLag:
    """Measures by how much a periodic timer of the event loop is late.

    ``on_probe`` is called with the lag of each probe in seconds.
    """

    __slots__ = ('clock', 'next_probe_at', 'on_probe', 'previous_seconds')

    def __init__(
        self, clock: Clock, on_probe: Callable[[float], None] | None = None
    ) -> None:
        self.clock = clock
        self.on_probe = on_probe
        self.next_probe_at = clock.monotonic()
        self.previous_seconds: float = 0

    def start(self) -> None:
        """Probe now and every ``PROBE_INTERVAL_SECONDS`` from now on."""
        self.record_probe()
        asyncio.get_running_loop().call_later(
            PROBE_INTERVAL_SECONDS,
            self.start,
        )

    def record_probe(self) -> None:
        """Record that the probe runs now, and when it should run next."""
        now = self.clock.monotonic()
        self.previous_seconds = max(0, now - self.next_probe_at)
        self.next_probe_at = now + PROBE_INTERVAL_SECONDS
        if self.on_probe is not None:
            self.on_probe(self.previous_seconds)

    @property
    def seconds(self) -> float:
        """Return the lag of the last or of the pending probe, the greater one."""
        return max(
            self.previous_seconds,
            self.clock.monotonic() - self.next_probe_at,
        )

    @property
    def is_high(self) -> bool:
        """Return whether new requests should be refused."""
        return self.seconds > MAX_LAG_SECONDS
