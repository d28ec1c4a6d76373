"""Runs the demo: ``python -m demo --deployment two-zones --keep 0``."""

import asyncio
import io
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, TextIO

import aiohttp
import defopt

from demo.deployment import Deployment, DeploymentError
from demo.fleet import CommandFailed
from demo.keep_running import wait_until_interrupted
from demo.scenario import Scenario
from hickorymux_emulator.programs import ProgramError, ProgramGroup

_STATUS_BROKEN: Final = 1
_STATUS_USAGE: Final = 2
_STATUS_INTERRUPTED: Final = 130


def main(
    *,
    deployment: str = 'two-zones',
    keep: int = 0,
    phase_seconds: float = 6,
) -> int:
    """Run a fleet on this machine under load and check its guarantees.

    Return 0 if all guarantees were kept, 1 if one was broken or a program
    failed, 2 for an unknown deployment, and 130 when interrupted.

    :param deployment: name of a directory in ``examples/``
    :param keep: 1 to leave the fleet running until it is interrupted
    :param phase_seconds: seconds of each phase: before a zone is drained,
        while it is drained, and after it is restored
    """
    _flush_each_line(sys.stdout)
    try:
        chosen = Deployment.from_examples(deployment)
    except DeploymentError as error:
        print(f'demo: {error}', file=sys.stderr)
        return _STATUS_USAGE
    try:
        return asyncio.run(_run(chosen, phase_seconds, keep=bool(keep)))
    except asyncio.CancelledError:
        return _STATUS_INTERRUPTED


async def _run(
    deployment: Deployment,
    phase_seconds: float,
    *,
    keep: bool,
) -> int:
    _cancel_on_signals()
    with tempfile.TemporaryDirectory() as directory, ProgramGroup() as programs:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            start = Scenario.start(
                programs,
                deployment,
                Path(directory),
                session,
                phase_seconds,
            )
            try:
                return await _run_scenario(await start, keep=keep)
            except* (CommandFailed, ProgramError) as errors:
                print(f'demo: {errors.exceptions[0]}', file=sys.stderr)
    return _STATUS_BROKEN


async def _run_scenario(scenario: Scenario, *, keep: bool) -> int:
    started_at = time.monotonic()
    results = await scenario.run(keep=keep)
    print(f'\nDone in {time.monotonic() - started_at:.0f} s')
    if keep:
        await wait_until_interrupted(scenario.fleet)
    return int(not all(result.is_kept for result in results))


def _flush_each_line(output: TextIO) -> None:
    if isinstance(output, io.TextIOWrapper):
        output.reconfigure(line_buffering=True)


def _cancel_on_signals() -> None:
    task = asyncio.current_task()
    if task is None:
        return
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGINT, task.cancel)
    loop.add_signal_handler(signal.SIGTERM, task.cancel)


if __name__ == '__main__':
    sys.exit(defopt.run(main))
