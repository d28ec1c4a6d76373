"""Callers share one run of the same work, but none that has ended."""

import asyncio

from hickorymux._internal.utils.single_flight import SingleFlight


async def test_run_that_has_just_ended_is_joined() -> None:
    """A caller that runs work in a loop would not let others run."""
    flight = SingleFlight()
    ended = asyncio.Event()
    runs = 0

    async def work() -> None:
        nonlocal runs
        runs += 1
        ended.set()

    async def call_late() -> None:
        await ended.wait()
        await flight.run(work)

    late = asyncio.create_task(call_late())
    await asyncio.sleep(0)
    await flight.run(work)
    await late
    assert runs == 2


async def test_work_runs_for_each_caller() -> None:
    flight = SingleFlight()
    gate = asyncio.Event()
    runs = 0

    async def work() -> None:
        nonlocal runs
        runs += 1
        await gate.wait()

    callers = [asyncio.create_task(flight.run(work)) for _ in range(5)]
    await asyncio.sleep(0)
    assert flight.is_running
    gate.set()
    await asyncio.gather(*callers)
    assert runs == 1
    assert not flight.is_running
