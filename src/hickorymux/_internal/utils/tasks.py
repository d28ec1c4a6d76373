"""Background tasks."""

import asyncio
import logging

_logger = logging.getLogger(__name__)


def log_task_crash(task: 'asyncio.Task[None]') -> None:
    """Log the error of a task that should have run for good."""
    if task.cancelled() or task.exception() is None:
        return
    _logger.error('a task of the router ended', exc_info=task.exception())


def log_unawaited_error(work: 'asyncio.Task[None]') -> None:
    """Read a task's error, so that one that nobody waits for is not lost."""
    if not work.cancelled() and work.exception() is not None:
        _logger.info('work without a caller ended: %r', work.exception())
