"""Runs the two-zones example: four routers and the emulators."""

import asyncio
import contextlib
import tempfile
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import aiohttp

from demo.deployment import Deployment
from demo.fleet import Fleet
from hickorymux_emulator.programs import ProgramGroup


@contextlib.asynccontextmanager
async def open_fleet(session: aiohttp.ClientSession) -> AsyncIterator[Fleet]:
    """Start a fleet with its tables applied; its processes end with the block."""
    deployment = Deployment.from_examples('two-zones')
    with (
        tempfile.TemporaryDirectory() as directory,
        ProgramGroup() as programs,
    ):
        yield await start_fleet(programs, deployment, directory, session)


@contextlib.contextmanager
def running_fleet() -> Iterator[Fleet]:
    """Start the same fleet for tests that have no event loop."""
    deployment = Deployment.from_examples('two-zones')
    with (
        tempfile.TemporaryDirectory() as directory,
        ProgramGroup() as programs,
    ):
        yield asyncio.run(_start_alone(programs, deployment, directory))


async def start_fleet(
    programs: ProgramGroup,
    deployment: Deployment,
    directory: str,
    session: aiohttp.ClientSession,
) -> Fleet:
    """Start the processes, apply the tables and wait until routers are ready."""
    fleet = await asyncio.to_thread(
        Fleet, programs, deployment, Path(directory)
    )
    await fleet.start_routers(session)
    await fleet.apply()
    await fleet.wait_ready(session)
    return fleet


async def _start_alone(
    programs: ProgramGroup, deployment: Deployment, directory: str
) -> Fleet:
    async with aiohttp.ClientSession() as session:
        return await start_fleet(programs, deployment, directory, session)
