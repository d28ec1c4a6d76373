"""Bounds what the incoming links from other routers may hold.

The port is reached by every host of the internal network, and the key between
routers keeps other fleets out, not strangers: it is derived from the address of
the store. So a link that has not sent a valid frame counts as a stranger's and
is closed first, and frames are charged before they are read.
"""

import asyncio
import dataclasses
import functools
from collections.abc import Callable
from typing import Any, Final, final

from hickorymux._internal.exceptions import FrameError
from hickorymux._internal.protocol.frames import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
)
from hickorymux._internal.transport.memory_budget import (
    MemoryBudget,
    MemoryHold,
    end_now,
)
from hickorymux._internal.utils.clock import Clock

# A router connects when it has a message to send, so the first frame follows at
# once. A frame must arrive whole in this time as well.
FRAME_TIMEOUT_SECONDS: Final = 5.0
# Longer than a sender keeps a link without messages.
SILENCE_TIMEOUT_SECONDS: Final = 90.0
# What is read ahead on a link, in bytes, up to twice this size.
READ_AHEAD_BYTES: Final = 1 << 14
# Smaller frames are bounded by the number of links.
SMALL_FRAME_BYTES: Final = 2 * READ_AHEAD_BYTES
# Share of the bytes of all frames that one address may use.
ADDRESS_SHARE: Final = 0.5


@final
@dataclasses.dataclass(slots=True, frozen=True)
class LinkLimits:
    """Limits of the incoming links of one process.

    ``max_links`` bounds their number, ``frame_bytes`` the large frames that
    arrive at the same time, and ``backlog`` the links that wait to be accepted.
    """

    max_links: int = 512
    frame_bytes: int = 8 * MAX_FRAME_BYTES
    backlog: int = 128


@final
class IncomingLink:
    """One link from another router; ``heard_at`` is in monotonic seconds."""

    __slots__ = ('has_sent_frame', 'heard_at', 'hold', 'reader', 'writer')

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hold: MemoryHold,
        now: float,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.hold = hold
        self.heard_at = now
        self.has_sent_frame = False


@final
class IncomingLinks:
    """All incoming links; one instance for the process.

    Example::

        link = links.add(reader, writer)
        try:
            await links.receive(link, handle_frame)
        finally:
            links.remove(link)
    """

    __slots__ = ('all', 'budget', 'clock', 'limits')

    def __init__(self, limits: LinkLimits, clock: Clock) -> None:
        self.limits = limits
        self.clock = clock
        self.all: dict[IncomingLink, None] = {}
        self.budget = MemoryBudget(
            clock, limits.frame_bytes, int(limits.frame_bytes * ADDRESS_SHARE)
        )

    def add(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> IncomingLink:
        """Take a new link; close another one if there are too many."""
        now = self.clock.monotonic()
        peer: Any = writer.get_extra_info('peername') or ('',)
        hold = self.budget.open_hold(peer[0], now)
        link = IncomingLink(reader, writer, hold, now)
        if len(self.all) >= self.limits.max_links:
            silent = min(
                self.all, key=lambda each: (each.has_sent_frame, each.heard_at)
            )
            self.all.pop(silent)
            silent.writer.transport.abort()
            self.budget.counts['links'] += 1
        self.all[link] = None
        return link

    def remove(self, link: IncomingLink) -> None:
        """Forget a link that has ended, and release what it held."""
        self.all.pop(link, None)
        self.budget.receiving.pop(link.hold, None)
        link.hold.close()

    async def receive(
        self, link: IncomingLink, on_frame: Callable[[bytes], None]
    ) -> None:
        """Pass all frames of a link on, without their length, until it ends.

        Raises ``FrameError`` if a frame is too large, late, or without room,
        ``asyncio.IncompleteReadError`` at the end of the link, and whatever
        ``on_frame`` raises.
        """
        while True:
            size = await self._read_size(link)
            on_frame(await self._read_frame(link, size))
            link.has_sent_frame = True
            link.heard_at = self.clock.monotonic()
            if link.hold.charged_bytes:
                link.hold.release(link.hold.charged_bytes)

    async def _read_size(self, link: IncomingLink) -> int:
        timeout = (
            SILENCE_TIMEOUT_SECONDS
            if link.has_sent_frame
            else FRAME_TIMEOUT_SECONDS
        )
        try:
            async with asyncio.timeout(timeout):
                prefix = await link.reader.readexactly(LENGTH_PREFIX.size)
        except TimeoutError:
            raise FrameError(f'no frame within {timeout:g} s') from None
        size: int = LENGTH_PREFIX.unpack(prefix)[0]
        if size > MAX_FRAME_BYTES:
            raise FrameError(f'frame of {size} bytes is too large')
        return size

    async def _read_frame(self, link: IncomingLink, size: int) -> bytes:
        try:
            async with asyncio.timeout(FRAME_TIMEOUT_SECONDS) as limit:
                if size > SMALL_FRAME_BYTES:
                    await self._acquire(link, size, limit)
                return await link.reader.readexactly(size)
        except TimeoutError:
            raise FrameError(f'frame of {size} bytes is late') from None
        finally:
            self.budget.receiving.pop(link.hold, None)
            link.hold.end_body = None

    async def _acquire(
        self, link: IncomingLink, size: int, limit: asyncio.Timeout
    ) -> None:
        """Charge a large frame; others that make no progress are ended for it."""
        loop = asyncio.get_running_loop()
        if not await self.budget.acquire(
            link.hold, size, FRAME_TIMEOUT_SECONDS
        ):
            raise FrameError(f'no memory is left for a frame of {size} bytes')
        hold = link.hold
        hold.observe(0, self.clock.monotonic())
        hold.end_body = functools.partial(end_now, limit, loop)
        self.budget.receiving[hold] = None
