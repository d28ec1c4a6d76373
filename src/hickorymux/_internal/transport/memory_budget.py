"""Accounts for the memory of bodies and buffers of a process.

Each request has a ``MemoryHold``. What is buffered for it is charged to the
process and to its owner, the customer or the address of the caller. Large
bodies are charged before they are read, so under memory pressure they stay
unread for a moment and are then refused. Bodies that arrive too slowly are
closed to make room.

Example::

    hold = budget.open_hold('ann', now)
    if await budget.acquire(hold, 4_000_000, seconds=0.5):
        ...
    hold.close()
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Final, final

from hickorymux._internal.exceptions import MemoryShort, RequestError
from hickorymux._internal.utils.clock import Clock

# A body that arrives more slowly than this, over at least the window, may be
# closed under memory pressure. A slow mobile link has some 30 KB/s or more.
MIN_BYTES_PER_SECOND: Final = 16384
PROGRESS_WINDOW_SECONDS: Final = 1.0
# What a request holds up to this size is not counted for its owner, which keeps
# the cost of ordinary requests low. The number of connections bounds it.
SMALL_HOLD_BYTES: Final = 1 << 14


@final
class MemoryHold:
    """Bytes that one request holds.

    ``charged_bytes`` is what is charged for it, and ``owner_bytes`` what of it
    is counted for its owner. ``end_body`` ends the reading of its body and is
    set only meanwhile; ``eviction`` then returns the error for the caller. An
    error that is raised refers to the body through its traceback, so none is
    kept here. ``users`` counts the tasks that refer to the bytes; the last one
    to close the hold releases them.
    """

    __slots__ = (
        'budget',
        'charged_bytes',
        'end_body',
        'eviction',
        'opened_at',
        'owner',
        'owner_bytes',
        'users',
        'window_bytes',
        'window_started_at',
    )

    def __init__(self, budget: 'MemoryBudget', owner: str, now: float) -> None:
        self.budget = budget
        self.owner = owner
        self.opened_at = now
        self.charged_bytes = 0
        self.owner_bytes = 0
        self.users = 1
        self.end_body: Callable[[], None] | None = None
        self.eviction: Callable[[], RequestError] | None = None
        self.window_bytes = 0
        self.window_started_at = now

    @property
    def is_evicted(self) -> bool:
        """Return whether the reading of the body was ended for others."""
        return self.eviction is not None

    def charge(self, size: int) -> None:
        """Charge buffered bytes, whether or not there is room."""
        self.charged_bytes += size
        self.budget.used_bytes += size
        if self.charged_bytes > SMALL_HOLD_BYTES:
            self._count_for_owner(self.charged_bytes)

    def has_room(self, size: int) -> bool:
        """Return whether more bytes may be buffered."""
        return self.budget.has_room(self.owner, size)

    def try_charge(self, size: int) -> bool:
        """Charge bytes if there is room; return whether there was."""
        if not self.has_room(size):
            return False
        self.charge(size)
        return True

    def release(self, size: int) -> None:
        """Release bytes that were charged."""
        self.charged_bytes -= size
        if self.owner_bytes:
            is_small = self.charged_bytes <= SMALL_HOLD_BYTES
            self._count_for_owner(0 if is_small else self.charged_bytes)
        self.budget.release(size)

    def share(self) -> 'MemoryHold':
        """Keep the bytes charged until one more user has closed the hold."""
        self.users += 1
        return self

    def close(self) -> None:
        """Release all bytes if this was the last user."""
        self.users -= 1
        if not self.users:
            self.release(self.charged_bytes)

    def _count_for_owner(self, size: int) -> None:
        used = self.budget.used_by_owner
        total = used.get(self.owner, 0) + size - self.owner_bytes
        self.owner_bytes = size
        if total:
            used[self.owner] = total
        else:
            used.pop(self.owner, None)

    def evict(self, eviction: Callable[[], RequestError]) -> None:
        """End the reading of the body; ``eviction`` returns the error."""
        if self.eviction is not None:
            return
        self.eviction = eviction
        if self.end_body is not None:
            self.end_body()

    def observe(self, size: int, now: float) -> None:
        """Note the arrival of bytes of the body."""
        if now - self.window_started_at > PROGRESS_WINDOW_SECONDS:
            self.window_started_at = now
            self.window_bytes = 0
        self.window_bytes += size

    def is_slow(self, now: float) -> bool:
        """Return whether the body makes too little progress."""
        elapsed = now - self.window_started_at
        return (
            elapsed > PROGRESS_WINDOW_SECONDS
            and self.window_bytes < elapsed * MIN_BYTES_PER_SECOND
        )


def end_now(limit: asyncio.Timeout, loop: asyncio.AbstractEventLoop) -> None:
    """End a time limit, unless its time is over already."""
    if not limit.expired():
        limit.reschedule(loop.time())


def _nothing() -> int:
    return 0


def _slow_body() -> MemoryShort:
    return MemoryShort('the body arrived too slowly while memory was short')


@final
@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    hold: MemoryHold
    size: int
    granted: 'asyncio.Future[None]'


@final
class MemoryBudget:
    """The bytes that all holds and connections of the process use.

    ``limit_bytes`` bounds the process, ``owner_limit_bytes`` one owner.
    ``reserved_bytes`` returns how much of ``limit_bytes`` open connections may
    take beyond their own share.
    ``receiving`` are the holds whose bodies arrive, oldest first. ``counts``
    has how often each bound was reached since the start.
    """

    __slots__ = (
        'clock',
        'counts',
        'limit_bytes',
        'owner_limit_bytes',
        'receiving',
        'reserved_bytes',
        'used_by_owner',
        'used_bytes',
        'waiters',
    )

    def __init__(
        self, clock: Clock, limit_bytes: int, owner_limit_bytes: int
    ) -> None:
        self.clock = clock
        self.limit_bytes = limit_bytes
        self.owner_limit_bytes = owner_limit_bytes
        self.used_bytes = 0
        self.reserved_bytes: Callable[[], int] = _nothing
        self.used_by_owner: dict[str, int] = {}
        self.receiving: dict[MemoryHold, None] = {}
        self.waiters: list[_Waiter] = []
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is buffered than there is room for."""
        return self.used_bytes + self.reserved_bytes() > self.limit_bytes

    def open_hold(self, owner: str, now: float) -> MemoryHold:
        """Return a hold that has no bytes yet."""
        return MemoryHold(self, owner, now)

    def has_room(self, owner: str, size: int) -> bool:
        """Return whether an owner may buffer more bytes."""
        return (
            self.used_bytes + self.reserved_bytes() + size <= self.limit_bytes
            and self.used_by_owner.get(owner, 0) + size
            <= self.owner_limit_bytes
        )

    def charge(self, size: int) -> None:
        """Charge buffered bytes of no owner."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Release charged bytes, and let those go on that wait for room."""
        self.used_bytes -= size
        if self.waiters:
            self._grant()

    async def acquire(
        self, hold: MemoryHold, size: int, seconds: float
    ) -> bool:
        """Charge bytes, and wait for room up to ``seconds``.

        Returns whether they were charged.
        """
        if not self.waiters and hold.try_charge(size):
            return True
        self.evict_slow(hold.owner, size)
        waiter = _Waiter(hold, size, asyncio.get_running_loop().create_future())
        self.waiters.append(waiter)
        self._grant()
        try:
            async with asyncio.timeout(seconds):
                await waiter.granted
        except TimeoutError:
            # It may have been granted in the same moment.
            return waiter not in self.waiters
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        return True

    def evict_slow(self, owner: str, size: int) -> None:
        """Close slow bodies, slowest first, until there would be room.

        If the owner has reached its own limit, only its bodies are closed.
        """
        now = self.clock.monotonic()
        is_own = (
            self.used_by_owner.get(owner, 0) + size > self.owner_limit_bytes
        )
        slow = [
            hold
            for hold in self.receiving
            if hold.is_slow(now) and (hold.owner == owner or not is_own)
        ]
        slow.sort(key=lambda hold: (hold.window_bytes, hold.opened_at))
        for hold in slow:
            if size <= 0:
                break
            size -= hold.charged_bytes
            self._evict(hold)

    def _evict(self, hold: MemoryHold) -> None:
        self.receiving.pop(hold)
        self.counts['slow_bodies'] += 1
        hold.evict(_slow_body)

    def _grant(self) -> None:
        """Let those go on for which there is room, in order."""
        for waiter in tuple(self.waiters):
            if waiter.granted.done():
                continue
            if waiter.hold.try_charge(waiter.size):
                self.waiters.remove(waiter)
                waiter.granted.set_result(None)
