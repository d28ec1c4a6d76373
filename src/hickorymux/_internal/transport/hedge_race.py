"""Opens a request at one upstream and, if that is slow, at another as well.

The copy whose answer begins first is kept, and the other is cancelled at once.
A copy that fails while the other runs leaves the request to the other.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Generic, Protocol, TypeVar, final

from hickorymux._internal.utils.tasks import cancel_until_ended

T = TypeVar('T')


class Copies(Protocol[T]):
    """What a race does with the copies of a request."""

    def open_copy(self, copy: T) -> Coroutine[Any, Any, None]:
        """Send a copy and return once its answer has begun."""

    def place_hedge(self) -> T | None:
        """Return the second copy, ``None`` if none may be sent."""

    async def on_failed(self, copy: T, error: BaseException) -> None:
        """Record that a copy failed while the other one runs."""

    def end_copy(self, copy: T) -> None:
        """End a copy that is no longer needed."""


@final
class HedgeRace(Generic[T]):
    """The race of the copies of one request.

    ``kept`` is the copy that the request goes on with: the first one, until
    another has won or the first has failed.
    """

    __slots__ = ('kept', 'tasks')

    def __init__(self, first: T) -> None:
        self.kept = first
        self.tasks: dict[asyncio.Task[None], T] = {}

    async def run(self, copies: Copies[T], delay_seconds: float) -> None:
        """Run until an answer has begun; raise if all copies failed.

        The hedge is sent if none has begun after the delay. All copies but
        ``kept`` are ended on return.
        """
        self._start(copies, self.kept)
        try:
            await self._run(copies, delay_seconds)
        finally:
            await self._end_others(copies)

    async def _run(self, copies: Copies[T], delay_seconds: float) -> None:
        _, running = await asyncio.wait(self.tasks, timeout=delay_seconds)
        if running:
            hedge = copies.place_hedge()
            if hedge is not None:
                self._start(copies, hedge)
        while True:
            ended, _ = await asyncio.wait(
                self.tasks, return_when=asyncio.FIRST_COMPLETED
            )
            # In the order of their start: the first copy wins a tie.
            for task in [task for task in self.tasks if task in ended]:
                if await self._is_decided(copies, task):
                    return

    async def _is_decided(
        self, copies: Copies[T], task: 'asyncio.Task[None]'
    ) -> bool:
        """Return whether an ended copy decides the race; raise if it fails.

        The failure of a copy decides nothing while another runs.
        """
        error = task.exception()
        if len(self.tasks) == 1 or error is None:
            self.kept = self.tasks[task]
            task.result()
            return True
        copy = self.tasks.pop(task)
        self.kept = next(iter(self.tasks.values()))
        try:
            await copies.on_failed(copy, error)
        finally:
            copies.end_copy(copy)
        return False

    def _start(self, copies: Copies[T], copy: T) -> None:
        task = asyncio.create_task(copies.open_copy(copy))
        self.tasks[task] = copy

    async def _end_others(self, copies: Copies[T]) -> None:
        """Cancel the copies that are not kept, also if the caller has left."""
        others = [copy for copy in self.tasks.values() if copy is not self.kept]
        try:
            # Includes the tasks that have ended, whose errors it retrieves.
            await cancel_until_ended(self.tasks)
        finally:
            for copy in others:
                copies.end_copy(copy)
