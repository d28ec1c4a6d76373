"""Background tasks."""

import asyncio
import logging

_logger = logging.getLogger(__name__)


def report_crash(task: 'asyncio.Task[None]') -> None:
    """Log the error of a task that should have run for good."""
    if task.cancelled() or task.exception() is None:
        return
    _logger.error('a task of the router ended', exc_info=task.exception())
