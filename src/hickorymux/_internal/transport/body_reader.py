"""Reads the bodies of requests within the memory budget."""

import asyncio
import functools
from typing import Final, NamedTuple, final

from aiohttp import StreamReader, web

from hickorymux._internal.exceptions import (
    BodyTimeout,
    BodyTooLarge,
    MemoryShort,
)
from hickorymux._internal.transport.bounded_reads import READ_BYTES
from hickorymux._internal.transport.memory_budget import (
    MemoryBudget,
    MemoryHold,
    end_now,
)
from hickorymux._internal.transport.sockets import (
    grow_receive_buffer,
    shrink_receive_buffer,
)

# A body of unknown length is charged in steps of this size.
CHARGE_STEP_BYTES: Final = 1 << 18
# The HTTP library reads up to twice its buffer ahead, and one read more.
MAX_READ_AHEAD_BYTES: Final = 3 * READ_BYTES
# How long a body stays unread until there is room for it. Most bodies are sent
# on within this time.
MAX_ROOM_WAIT_SECONDS: Final = 0.5
_STATUS_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


@final
class BodyLimits(NamedTuple):
    """Limits of one body: its size, and the times of its arrival in seconds.

    No part may be later than ``idle_seconds`` after the one before. The whole
    may take ``total_seconds``.
    """

    max_bytes: int
    idle_seconds: float
    total_seconds: float


@final
class BodyReader:
    """Reads bodies; one instance for the process."""

    __slots__ = ('budget',)

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget

    async def read(
        self,
        request: web.BaseRequest,
        hold: MemoryHold,
        limits: BodyLimits,
    ) -> bytes:
        """Return the body; it stays charged to ``hold``.

        Raises ``BodyTooLarge``, ``BodyTimeout``, ``MemoryShort`` if there is no
        room for it or it arrives too slowly while there is none for others, or
        ``ConnectionsShort`` if its connection was needed for another one.
        """
        content = request.content
        length = request.content_length
        if length is not None and length > limits.max_bytes:
            raise _too_large(limits)
        if content.is_eof():
            # The whole body arrived with the headers.
            body: bytes = content.read_nowait()
            hold.charge(len(body))
            return body
        try:
            return await self._receive(request, hold, limits)
        except TimeoutError:
            if hold.eviction is not None:
                raise hold.eviction() from None
            self.budget.counts['body_time'] += 1
            raise BodyTimeout('the body did not arrive in time') from None
        finally:
            self.budget.receiving.pop(hold, None)
            hold.end_body = None

    async def _receive(
        self,
        request: web.BaseRequest,
        hold: MemoryHold,
        limits: BodyLimits,
    ) -> bytes:
        """Wait for room and return the body.

        Raises ``TimeoutError`` if it is late or evicted.
        """
        loop = asyncio.get_running_loop()
        length = request.content_length
        size = CHARGE_STEP_BYTES if length is None else length
        has_grown = False
        try:
            async with asyncio.timeout(None) as limit:
                hold.end_body = functools.partial(end_now, limit, loop)
                await self._acquire_first(hold, size)
                has_grown = grow_receive_buffer(request.transport, size)
                if request.headers.get('Expect', '').lower() == '100-continue':
                    await request.writer.write(_STATUS_CONTINUE)
                self.budget.receiving[hold] = None
                return await self._read_pieces(
                    request.content, hold, limits, limit
                )
        finally:
            if has_grown:
                shrink_receive_buffer(request.transport)

    async def _read_pieces(
        self,
        content: StreamReader,
        hold: MemoryHold,
        limits: BodyLimits,
        limit: asyncio.Timeout,
    ) -> bytes:
        """Return the body; move the time limit with each part of it."""
        loop = asyncio.get_running_loop()
        end = loop.time() + limits.total_seconds
        body = bytearray()
        if not hold.is_evicted:
            limit.reschedule(min(end, loop.time() + limits.idle_seconds))
        try:
            while chunk := await content.readany():
                body += chunk
                if len(body) > limits.max_bytes:
                    raise _too_large(limits)
                if len(body) > hold.charged_bytes:
                    await self._acquire(hold, CHARGE_STEP_BYTES)
                hold.observe(len(chunk), self.budget.clock.monotonic())
                if not hold.is_evicted:
                    limit.reschedule(
                        min(end, loop.time() + limits.idle_seconds)
                    )
            return bytes(body)
        finally:
            # The traceback of an error would keep it.
            body.clear()

    async def _acquire_first(self, hold: MemoryHold, size: int) -> None:
        """Charge a body before it is read.

        Some of it may be in the buffers of the connection already, so that
        much is charged even while there is no room.
        """
        read_ahead = min(size, MAX_READ_AHEAD_BYTES)
        hold.charge(read_ahead)
        await self._acquire(hold, size - read_ahead)

    async def _acquire(self, hold: MemoryHold, size: int) -> None:
        if await self.budget.acquire(hold, size, MAX_ROOM_WAIT_SECONDS):
            return
        self.budget.counts['bodies'] += 1
        raise MemoryShort('no memory is left for the body of the request')


def _too_large(limits: BodyLimits) -> BodyTooLarge:
    return BodyTooLarge(f'the body exceeds {limits.max_bytes} bytes')
