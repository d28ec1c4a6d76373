"""The program ``hickorymux``: finds a command, reads its flags and runs it.

Each command is a dataclass. Its fields are the flags, its doc comment is the
help text, and its method ``run`` executes the command.
"""

import asyncio
import dataclasses
import importlib
import inspect
import os
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import defopt

from hickorymux._internal.cli.environment import environment_flags
from hickorymux._internal.cli.error_lines import error_lines
from hickorymux._internal.cli.exit_status import ExitStatus, exit_status_of
from hickorymux._internal.exceptions import HickorymuxError
from hickorymux._internal.utils.terminal import write_error, write_line

_COMMANDS = 'hickorymux._internal.commands'


@dataclasses.dataclass(slots=True, frozen=True)
class CommandEntry:
    """The class of a command and its line in the overview.

    The module of a command is imported only when the command is run, so that
    the program starts fast.
    """

    class_name: str
    summary: str


COMMANDS: Mapping[str, CommandEntry] = {
    'router': CommandEntry('RouterCommand', 'run a router'),
    'check': CommandEntry('CheckCommand', 'check the table files'),
    'apply': CommandEntry('ApplyCommand', 'publish the table files'),
    'drain': CommandEntry(
        'DrainCommand', 'take a zone or an upstream out of service'
    ),
    'restore': CommandEntry(
        'RestoreCommand', 'bring a zone or an upstream back into service'
    ),
    'status': CommandEntry(
        'StatusCommand', 'show the state of routers, pools and upstreams'
    ),
    'explain': CommandEntry(
        'ExplainCommand', 'show the decisions on a request'
    ),
    'where': CommandEntry(
        'WhereCommand', 'show where a request would be sent now'
    ),
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit status.

    ``arguments`` are those after the program's name; ``None`` takes them from
    the command line.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    try:
        return _run(words)
    except HickorymuxError as error:
        for line in error_lines(error):
            write_error(f'hickorymux: {line}')
        return exit_status_of(error)
    except KeyboardInterrupt:
        return ExitStatus.interrupted


def _run(words: list[str]) -> int:
    name = words[0] if words else '--help'
    entry = COMMANDS.get(name)
    if entry is not None:
        _run_command(name, _load(name, entry), words[1:])
        return ExitStatus.success
    if name in {'-h', '--help'}:
        _write_overview()
        return ExitStatus.success
    write_error(f'hickorymux: [usage] unknown command "{name}"')
    return ExitStatus.usage


def _run_command(name: str, command: type, words: list[str]) -> None:
    call = defopt.bind(
        {name: command},
        argv=[name, *environment_flags(command, os.environ), *words],
        short={},
        argparse_kwargs={'prog': 'hickorymux', 'allow_abbrev': False},
    )
    outcome = call().run()
    if inspect.isawaitable(outcome):
        asyncio.run(_wait(outcome))


async def _wait(outcome: Any) -> None:
    await outcome


def _load(name: str, entry: CommandEntry) -> type:
    module = importlib.import_module(f'{_COMMANDS}.{name}')
    command: type = getattr(module, entry.class_name)
    return command


def _write_overview() -> None:
    write_line('usage: hickorymux COMMAND [FLAGS]')
    write_line()
    for name, entry in COMMANDS.items():
        write_line(f'  {name:<8} {entry.summary}')
    write_line()
    write_line('"hickorymux COMMAND --help" lists the flags of a command.')
    write_line('Each flag has an environment variable: HICKORYMUX_LOG')
    write_line('sets --log.')
