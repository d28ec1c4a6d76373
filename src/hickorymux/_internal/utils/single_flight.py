"""Lets several callers wait for one run of the same work."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, final


@final
class SingleFlight:
    """Runs work once for all callers that ask for it while it runs.

    A caller that is cancelled leaves the work to the others.

    Example::

        await self.reads.run(self._read)
    """

    __slots__ = ('task',)

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None

    async def run(self, start: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Wait for the run in progress, or start one and wait for it."""
        task = self.task
        # The task may have ended before its callback has run.
        if task is None or task.done():
            task = asyncio.create_task(start())
            self.task = task
            task.add_done_callback(self._on_done)
        await asyncio.shield(task)

    @property
    def is_running(self) -> bool:
        """Return whether the work is in progress."""
        return self.task is not None and not self.task.done()

    def _on_done(self, task: 'asyncio.Task[None]') -> None:
        if self.task is task:
            self.task = None
