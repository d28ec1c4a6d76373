"""Code shared by the commands that publish configuration changes."""

import contextlib
import datetime as dt
import functools
import getpass
import socket
from collections.abc import AsyncIterator

import aiohttp

from hickorymux._internal.coordination.config_publisher import ConfigPublisher
from hickorymux._internal.exceptions import ChangeRejected
from hickorymux._internal.state.config_changes import Operation
from hickorymux._internal.state.config_fold import Accepted, Outcome, Rejected
from hickorymux._internal.transport.log_client import HttpLogClient
from hickorymux._internal.utils.clock import SystemClock
from hickorymux._internal.utils.terminal import write_line


@contextlib.asynccontextmanager
async def open_publisher(
    log: str, timeout: dt.timedelta
) -> AsyncIterator[ConfigPublisher]:
    """Open a publisher on the log service at the URL ``log``."""
    async with aiohttp.ClientSession() as session:
        client = HttpLogClient.from_config(log, session)
        yield ConfigPublisher(client, SystemClock(), timeout)


async def publish(
    publisher: ConfigPublisher,
    *,
    base: int,
    author: str,
    operations: tuple[Operation, ...],
) -> None:
    """Publish a change, wait for its outcome and print it.

    Raises ``ChangeRejected`` if another operator has changed the same rows.
    """
    outcome = await publisher.publish(
        base=base,
        author=author or default_author(),
        operations=operations,
    )
    report_outcome(outcome, publisher.fold.version)


def default_author() -> str:
    """Return the user who runs the command, as ``user@host``."""
    return f'{getpass.getuser()}@{socket.gethostname()}'


@functools.singledispatch
def report_outcome(outcome: Outcome, version: int) -> None:
    """Print that a change was accepted, or raise ``ChangeRejected``.

    ``version`` is the version that is now in force.
    """
    raise NotImplementedError(type(outcome))


@report_outcome.register
def _report_accepted(outcome: Accepted, version: int) -> None:
    write_line(f'accepted as version {outcome.version}')
    for key in outcome.changed_rows:
        write_line(f'  {key}')


@report_outcome.register
def _report_rejected(outcome: Rejected, version: int) -> None:
    raise ChangeRejected(
        f'{outcome.code}: {outcome.reason}',
        hint=f'version {version} is in force; '
        + 'take in what changed and give the command again',
    )
