"""Brings the view of the upstreams up to date before a stream goes on.

Load pattern: during a release, upstreams of another software version take the
places of others under their ids. A router that was paused, or that has just not
read their entries yet, would let streams go on at them that another version
began.

Example::

    await refresh.run()  # directly before the stream is sent on
"""

import asyncio
import logging
import math
from typing import Final, final

from hickorymux._internal.coordination.keyed_follower import KeyedFollower
from hickorymux._internal.coordination.ports import KeyedLog
from hickorymux._internal.exceptions import LogTrimmed, LogUnavailable
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.json_logging import FIELDS
from hickorymux._internal.utils.single_flight import SingleFlight

# Many streams break off at once, and each of them needs a read that began
# after it. This bounds the calls to the store.
READ_INTERVAL_SECONDS: Final = 0.1
# The store answers in some milliseconds. Callers leave a stream that pauses for
# two seconds.
TIMEOUT_SECONDS: Final = 0.4

_logger: Final = logging.getLogger(__name__)


@final
class ViewRefresh:
    """Reads the entries of upstreams from ``log`` when it is asked to."""

    __slots__ = ('clock', 'follower', 'log', 'read_at', 'reads')

    def __init__(
        self, follower: KeyedFollower, log: KeyedLog, clock: Clock
    ) -> None:
        self.follower = follower
        self.log = log
        self.clock = clock
        self.read_at = -math.inf
        self.reads = SingleFlight()

    async def run(self) -> bool:
        """Return whether the view is complete up to the call.

        The log is read for that unless the follower has done so. If it can't
        be read in time, the result is ``False``.
        """
        asked_at = self.clock.monotonic()
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while self.follower.confirmed_at < asked_at:
                    await self.reads.run(self._read)
        except (LogTrimmed, LogUnavailable, TimeoutError) as error:
            line = {'event': 'view_not_refreshed', 'reason': repr(error)}
            _logger.warning('cannot read the log', extra={FIELDS: line})
            return False
        return True

    async def _read(self) -> None:
        pause = self.read_at + READ_INTERVAL_SECONDS - self.clock.monotonic()
        if pause > 0:
            await self.clock.sleep(pause)
        self.read_at = self.clock.monotonic()
        if self.follower.next_offset is None:
            # The follower lists all entries first.
            await self.clock.sleep(READ_INTERVAL_SECONDS)
        await self.follower.catch_up(self.log)
