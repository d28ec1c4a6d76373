"""The command ``apply``, which publishes the table files."""

import dataclasses
from pathlib import Path
from typing import final

from hickorymux._internal.commands.publishing import (
    default_author,
    open_publisher,
    publish,
    report_outcome,
)
from hickorymux._internal.coordination.config_publisher import ConfigPublisher
from hickorymux._internal.coordination.config_reset import ConfigReset
from hickorymux._internal.exceptions import LogTrimmed, UsageError
from hickorymux._internal.state.config_changes import Operation
from hickorymux._internal.state.config_delta import (
    is_already_applied,
    table_delta,
)
from hickorymux._internal.state.config_rows import ConfigRows
from hickorymux._internal.state.table_files import TableFiles
from hickorymux._internal.utils.durations import parse_duration
from hickorymux._internal.utils.terminal import write_line


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class ApplyCommand:
    """Publish the changes of the table files since a version.

    Only rows that differ from that version are changed. The change is rejected
    if another operator has changed one of these rows since that version.

    :param routes: the routes table, a TOML file
    :param pools: the pools table, a TOML file
    :param log: URL of the log service, as in http://10.0.0.5:7000
    :param base: version that the files are based on; by default the version
        in force, so that the files replace all rows
    :param reset: replace a configuration stream that was trimmed before a
        snapshot was written; the files replace all rows and drains
    :param author: who makes the change; by default user@host
    :param timeout: how long to read the log for the outcome if the answer is
        lost, as in 30s
    """

    routes: Path
    pools: Path
    log: str
    base: int | None = None
    reset: bool = False
    author: str = ''
    timeout: str = '30s'

    async def run(self) -> None:
        """Check the files, publish the change and wait for the outcome."""
        wanted = TableFiles.load(self.routes, self.pools).rows
        timeout = parse_duration(self.timeout)
        async with open_publisher(self.log, timeout) as publisher:
            if self.reset:
                await self._reset(publisher, wanted)
            else:
                await self._publish(publisher, wanted)

    async def _publish(
        self, publisher: ConfigPublisher, wanted: ConfigRows
    ) -> None:
        base = await self._read_base(publisher)
        delta = table_delta(publisher.fold.rows, wanted)
        await publisher.read_to_end()
        operations = _not_yet_applied(delta, publisher.fold.rows)
        if not operations:
            version = publisher.fold.version
            write_line(f'nothing to change; version {version} is in force')
            return
        await publish(
            publisher, base=base, author=self.author, operations=operations
        )

    async def _reset(
        self, publisher: ConfigPublisher, wanted: ConfigRows
    ) -> None:
        if await _has_history(publisher):
            raise UsageError(
                'the log holds the configuration',
                where='--reset',
                hint='leave it out',
            )
        reset = ConfigReset(publisher.log, publisher.clock, publisher.timeout)
        outcome = await reset.publish(
            author=self.author or default_author(),
            operations=table_delta(ConfigRows(), wanted),
        )
        report_outcome(outcome, publisher.fold.version)

    async def _read_base(self, publisher: ConfigPublisher) -> int:
        """Replay the log up to the base version and return its offset."""
        if self.base is not None:
            await publisher.read_to(self.base)
            return self.base
        await publisher.read_to_end()
        write_line(f'based on version {publisher.fold.version}, now in force')
        return publisher.fold.next_offset


async def _has_history(publisher: ConfigPublisher) -> bool:
    """Return whether the log can rebuild the configuration."""
    try:
        await publisher.read_to_end()
    except LogTrimmed:
        return False
    return True


def _not_yet_applied(
    delta: tuple[Operation, ...], rows: ConfigRows
) -> tuple[Operation, ...]:
    """Return the operations whose result is not in force yet.

    Some may be in force when a command is repeated after a lost answer.
    """
    return tuple(
        operation
        for operation in delta
        if not is_already_applied(operation, rows)
    )
