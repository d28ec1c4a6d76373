"""Runs a case: its stand-ins, the routers, the record and the exit status."""

import asyncio
import itertools
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback

from stand_ins.router import Entry, Router
from stand_ins.store import Store

READY_SECONDS = 30.0
LIMIT_SECONDS = 110.0
HOST = 'api.example'
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be run as it should."""


class Case:
    """The parts of a case; ``is_troubled`` is false with ``TROUBLE=0``."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.is_troubled = os.environ.get('TROUBLE', '1') != '0'
        self.started_at = time.monotonic()
        self.lines = []
        self.store = Store()
        self.runs = []
        self.engines = []
        self.routers = []
        self.entry = None
        self.entry_task = None
        self.numbers = itertools.count(1)
        self.scratch = None
        self.taken_at = None

    def say(self, text):
        """Add a line to the record."""
        self.lines.append(f'{self.seconds():8.3f} s  {text}')

    def seconds(self, at=None):
        """Return a time in seconds since the case began."""
        return (time.monotonic() if at is None else at) - self.started_at

    def new_id(self):
        """Return the id of a new attempt of a client."""
        return f'{next(self.numbers):06x}{os.urandom(4).hex()}'

    async def start(self, engines, routers, zones):
        """Start engines and routers, and wait until all are ready.

        ``routers`` has the zone of each.
        """
        for engine in engines:
            await engine.start()
        self.engines = list(engines)
        for number, zone in enumerate(routers, 1):
            router = Router(
                self.scratch, f'front-{zone}-{number}', number, zone, zones,
                self.store.address,
            )
            router.start()
            self.routers.append(router)
        self.entry = Entry(self.routers)
        until = time.monotonic() + READY_SECONDS
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f'{router.node} did not become ready')
                await asyncio.sleep(0.1)
        self.entry_task = asyncio.create_task(self.entry.run())
        self.say(f'{len(self.routers)} routers are ready')

    def say_runs(self):
        """Add a line for each run at an engine."""
        for run in self.runs:
            self.say(
                f'{run.request_id} of {run.tenant or "nobody"} ran at'
                f' {run.engine_id} in {run.zone}, of version {run.version},'
                f' from {self.seconds(run.started_at):.3f}, after event'
                f' "{run.after}", {run.events} events'
            )

    async def sleep_until(self, seconds):
        """Wait until so many seconds after the case began."""
        await asyncio.sleep(max(0, seconds - self.seconds()))

    async def close(self):
        """End all processes and stand-ins."""
        for router in self.routers:
            router.kill()
        self.say(f'{len(self.routers)} routers are ended')
        if self.entry_task is not None:
            self.entry_task.cancel()
        for engine in self.engines:
            await engine.stop()
        if self.store.server is not None:
            self.store.server.close()

    def write_record(self, verdict):
        """Write what was sent, answered and run."""
        name = 'record.txt' if self.is_troubled else 'record-0.txt'
        text = '\n'.join((*self.lines, verdict, ''))
        (self.folder / name).write_text(text)
        print(verdict)


def main(folder, play):
    """Play a case and exit; ``play`` returns why the rule is broken, or not."""
    case = Case(folder)
    try:
        status, verdict = asyncio.run(_play(case, play))
    except BaseException as error:
        traceback.print_exc()
        status, verdict = NOT_RUN, f'could not run: {error!r}'
    case.write_record(verdict)
    sys.exit(status)


async def _play(case, play):
    # A case that is ended from outside ends its processes first.
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory(prefix='review-') as scratch:
        case.scratch = pathlib.Path(scratch)
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                await case.store.start()
                broken = await play(case)
        finally:
            await case.close()
            if 'KEEP_LOGS' in os.environ:
                for log in case.scratch.glob('*.log'):
                    target = pathlib.Path(os.environ['KEEP_LOGS']) / log.name
                    target.write_bytes(log.read_bytes())
    if broken:
        return BROKEN, f'BROKEN: {broken}'
    return HELD, 'HELD'
