"""Callbacks that log the errors of finished background tasks."""

import asyncio
import logging
from typing import Any

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
