"""Runs the program's commands and the log service emulator as processes."""

import json
import os
import subprocess
import sys
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

SOURCES = Path(__file__).parent.parent.parent / 'src'
COMMAND_TIMEOUT_SECONDS = 30


def start_command(*words: str, **variables: str) -> subprocess.Popen[str]:
    """Start a command of hickorymux with environment variables."""
    return subprocess.Popen(
        [sys.executable, '-m', 'hickorymux', *words],
        env=_environment() | variables,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def run_command(
    *words: str, **variables: str
) -> subprocess.CompletedProcess[str]:
    """Run a command to its end and return its exit status and output."""
    process = start_command(*words, **variables)
    out, err = process.communicate(timeout=COMMAND_TIMEOUT_SECONDS)
    return subprocess.CompletedProcess(words, process.returncode, out, err)


@contextmanager
def running_log(*flags: str) -> Iterator[str]:
    """Run the log service emulator and yield its URL."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'hickorymux_emulator', 'log-service', *flags],
        env=_environment(),
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        address = json.loads(process.stdout.readline())['address']
        yield f'http://{address}'
    finally:
        process.terminate()
        process.wait(COMMAND_TIMEOUT_SECONDS)


def control_log(url: str, **settings: object) -> None:
    """Change settings of the emulator, such as the faults that it injects."""
    body = json.dumps(settings).encode()
    urllib.request.urlopen(f'{url}/control', data=body, timeout=5).close()


def _environment() -> dict[str, str]:
    clean = {
        name: text
        for name, text in os.environ.items()
        if not name.startswith('HICKORYMUX_')
    }
    return clean | {'PYTHONPATH': str(SOURCES)}
