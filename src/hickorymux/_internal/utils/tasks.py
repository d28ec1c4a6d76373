"""Ends background tasks, and logs the errors of those that have ended."""

import asyncio
import logging
from collections.abc import Iterable
from typing import Any, Final

# A task that goes on after its cancellation is cancelled again after this time.
CANCEL_AGAIN_SECONDS: Final = 0.5

_logger = logging.getLogger(__name__)


def log_task_crash(task: 'asyncio.Task[Any]') -> None:
    """Log the error that ended a task which should run until cancelled."""
    if task.cancelled() or task.exception() is None:
        return
    _logger.error(
        'a background task of the router failed', exc_info=task.exception()
    )


def log_unawaited_error(task: 'asyncio.Task[None]') -> None:
    """Log the error of a request's task.

    If the caller has left, nothing awaits the task. Reading its error here
    keeps asyncio from reporting that the error was never retrieved.
    """
    if not task.cancelled() and task.exception() is not None:
        _logger.info(
            'request task failed: %r',
            task.exception(),
        )


async def cancel_until_ended(tasks: 'Iterable[asyncio.Task[Any]]') -> None:
    """Cancel tasks and wait until all of them have ended.

    A library may report a cancellation as another error, such as a timeout
    that ended at the same moment. A task that handles this error goes on, and
    is cancelled again.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        ended, pending = await asyncio.wait(
            pending, timeout=CANCEL_AGAIN_SECONDS
        )
        for task in ended:
            if not task.cancelled():
                # Marks the error as retrieved; it was logged where it matters.
                task.exception()
