"""Starts programs of the project as processes, for the demo and for tests.

A program is started with ``python -m MODULE``. Its output is collected line by
line. It is stopped, killed or paused by process id, never by name.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import IO, Any, Final, Self, final

_SOURCE_ROOT: Final = Path(__file__).parent.parent
_START_TIMEOUT_SECONDS: Final = 20.0
_STOP_TIMEOUT_SECONDS: Final = 15.0
_POLL_INTERVAL_SECONDS: Final = 0.05
_READER_JOIN_SECONDS: Final = 2.0


class ProgramError(Exception):
    """A program ended early, wrote no expected event, or did not end in time."""


@final
class Program:
    """A started process and the lines that it has written so far.

    ``address`` is the ``host:port`` from its ``listening`` event, empty until
    ``wait_listening`` has returned.

    Example::

        program = Program.start('engine', 'hickorymux_emulator', ['engine'])
        program.wait_listening()
        print(program.url)
        program.stop()
    """

    __slots__ = (
        'address',
        'output_added',
        'name',
        'process',
        'readers',
        'stderr',
        'stdout',
    )

    def __init__(self, name: str, process: subprocess.Popen[str]) -> None:
        self.name = name
        self.process = process
        self.address = ''
        self.output_added = threading.Condition()
        self.stdout: list[str] = []
        self.stderr: list[str] = []
        self.readers = [
            self._start_reader(process.stdout, self.stdout),
            self._start_reader(process.stderr, self.stderr),
        ]

    @classmethod
    def start(
        cls,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        environment: Mapping[str, str] | None = None,
    ) -> Self:
        """Start ``python -m module arguments`` and return at once."""
        process = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=_environment(environment or {}),
        )
        return cls(name, process)

    @property
    def url(self) -> str:
        """Return the base URL of the address, without a trailing slash."""
        return f'http://{self.address}'

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def wait_listening(self, seconds: float = _START_TIMEOUT_SECONDS) -> str:
        """Wait for the ``listening`` event; store and return its address."""
        line = self.wait_event('listening', seconds)
        self.address = str(line['address'])
        return self.address

    def wait_event(
        self,
        event: str,
        seconds: float = _START_TIMEOUT_SECONDS,
    ) -> dict[str, Any]:
        """Return the first JSON line with this event, waiting for it.

        Raises ``ProgramError`` if the process ends or ``seconds`` pass first.
        """
        deadline = time.monotonic() + seconds
        while self.is_running and time.monotonic() < deadline:
            found = next(self.events(event), None)
            if found is not None:
                return found
            self._wait_for_output()
        if not self.is_running:
            self._join_readers()
        found = next(self.events(event), None)
        if found is None:
            cause = f'{self.name}: no event {event!r}'
            raise ProgramError(f'{cause}; {self.last_output()}')
        return found

    def events(self, event: str) -> Iterator[dict[str, Any]]:
        """Yield the JSON lines with this event that were written so far."""
        return self.lines_with('event', event)

    def lines_with(self, field: str, wanted: str) -> Iterator[dict[str, Any]]:
        """Yield the JSON lines written so far whose field has this value."""
        for line in [*self.stdout, *self.stderr]:
            fields = _json_object(line)
            if fields.get(field) == wanted:
                yield fields

    def last_output(self) -> str:
        """Return the exit status and the last output, for error messages."""
        lines = [*self.stdout[-3:], *self.stderr[-6:]]
        return f'status {self.process.poll()}, output:\n' + '\n'.join(lines)

    def terminate(self) -> None:
        """Send SIGTERM and return at once."""
        if self.is_running:
            self.process.send_signal(signal.SIGTERM)

    def stop(self, seconds: float = _STOP_TIMEOUT_SECONDS) -> int:
        """Send SIGTERM, wait for the process to end and return its status.

        Raises ``ProgramError`` if it had to be killed after ``seconds``.
        """
        self.terminate()
        return self.wait(seconds)

    def wait(self, seconds: float = _STOP_TIMEOUT_SECONDS) -> int:
        """Wait for the process to end by itself; return its exit status.

        Raises ``ProgramError`` if it had to be killed after ``seconds``.
        """
        try:
            status = self.process.wait(seconds)
        except subprocess.TimeoutExpired as error:
            self.kill()
            cause = f'{self.name}: did not end in {seconds} s'
            raise ProgramError(f'{cause}; {self.last_output()}') from error
        self._join_readers()
        return status

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        self.process.kill()
        self.process.wait()
        self._join_readers()

    def pause(self) -> None:
        """Stop the process with SIGSTOP until ``resume`` is called."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process with SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    def _start_reader(
        self,
        source: IO[str] | None,
        lines: list[str],
    ) -> threading.Thread:
        reader = threading.Thread(
            target=self._collect,
            args=(source, lines),
            daemon=True,
        )
        reader.start()
        return reader

    def _collect(self, source: IO[str], lines: list[str]) -> None:
        with source:
            for line in source:
                lines.append(line.rstrip('\n'))
                with self.output_added:
                    self.output_added.notify_all()

    def _wait_for_output(self) -> None:
        with self.output_added:
            self.output_added.wait(_POLL_INTERVAL_SECONDS)

    def _join_readers(self) -> None:
        for reader in self.readers:
            reader.join(_READER_JOIN_SECONDS)


@final
class ProgramGroup:
    """The programs of one test or demo; all end with the ``with`` block.

    Example::

        with ProgramGroup() as programs:
            log = programs.start('log', 'hickorymux_emulator', ['log-service'])
            log.wait_listening()
    """

    __slots__ = ('programs',)

    def __init__(self) -> None:
        self.programs: list[Program] = []

    def __enter__(self) -> Self:
        """Return the group itself."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Kill the programs that still run."""
        self.kill_all()

    def start(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        environment: Mapping[str, str] | None = None,
    ) -> Program:
        """Start a program, add it to the group and return at once."""
        program = Program.start(name, module, arguments, environment)
        self.programs.append(program)
        return program

    def start_emulator(self, kind: str, *flags: str) -> Program:
        """Start an emulator, such as ``engine``; return once it listens."""
        program = self.start(kind, 'hickorymux_emulator', [kind, *flags])
        program.wait_listening()
        return program

    def stop_all(
        self, seconds: float = _STOP_TIMEOUT_SECONDS
    ) -> dict[str, int]:
        """Send SIGTERM to all; return the exit statuses by program name.

        Raises ``ProgramError`` if a program had to be killed.
        """
        for program in self.programs:
            program.terminate()
        return {each.name: each.wait(seconds) for each in self.programs}

    def kill_all(self) -> None:
        """Kill the programs that still run, and wait for their end."""
        for program in self.programs:
            if program.is_running:
                program.kill()


def free_port() -> int:
    """Return a TCP port of 127.0.0.1 that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def _environment(extra: Mapping[str, str]) -> dict[str, str]:
    paths = [str(_SOURCE_ROOT)]
    with contextlib.suppress(KeyError):
        paths.append(os.environ['PYTHONPATH'])
    return {**os.environ, 'PYTHONPATH': os.pathsep.join(paths), **extra}


def _json_object(line: str) -> dict[str, Any]:
    if not line.startswith('{'):
        return {}
    try:
        fields = json.loads(line)
    except json.JSONDecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}
