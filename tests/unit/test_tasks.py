"""Background tasks end when the process closes."""

import asyncio

from hickorymux._internal.utils import tasks
from hickorymux._internal.utils.tasks import cancel_until_ended


async def test_task_whose_cancellation_is_lost_ends_nevertheless(monkeypatch):
    """The first cancellation is reported as a timeout, and handled as one."""
    monkeypatch.setattr(tasks, 'CANCEL_AGAIN_SECONDS', 0.01)
    lost = []

    async def follow():
        while True:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                if lost:
                    raise
                lost.append(None)

    task = asyncio.create_task(follow())
    await asyncio.sleep(0)
    async with asyncio.timeout(5):
        await cancel_until_ended([task])
    assert task.cancelled()
    assert lost


async def test_tasks_that_have_ended_or_fail_are_no_obstacle():
    async def fail():
        try:
            await asyncio.sleep(60)
        finally:
            raise ValueError

    ended = asyncio.create_task(asyncio.sleep(0))
    await ended
    failing = asyncio.create_task(fail())
    await asyncio.sleep(0)
    await cancel_until_ended([ended, failing])
    assert failing.done()
    await cancel_until_ended([])
