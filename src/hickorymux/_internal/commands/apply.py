"""The command ``apply``."""

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
    is_in_force,
    table_delta,
)
from hickorymux._internal.state.config_rows import ConfigRows
from hickorymux._internal.state.table_files import TableFiles
from hickorymux._internal.utils.durations import parse_duration
from hickorymux._internal.utils.terminal import write_line


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class ApplyCommand:
    """Publish what the table files change against a version.

    The change holds only the rows that differ from that version. It is
    rejected if another operator changed one of them since.

    :param routes: the routes table, a TOML file
    :param pools: the pools table, a TOML file
    :param log: URL of the log service, as in http://10.0.0.5:7000
    :param base: version that the files were edited from; when it is left
        out, the version in force, so that the files replace all rows
    :param reset: start anew on a stream whose history was trimmed before a
        snapshot was written; the files replace all rows and drains
    :param author: who makes the change; user@host when left out
    :param timeout: how long to look after a lost answer, as in 30s
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
        """Fold up to the base and return it."""
        if self.base is not None:
            await publisher.read_to(self.base)
            return self.base
        await publisher.read_to_end()
        write_line(f'based on version {publisher.fold.version}, now in force')
        return publisher.fold.next_offset


async def _has_history(publisher: ConfigPublisher) -> bool:
    try:
        await publisher.read_to_end()
    except LogTrimmed:
        return False
    return True


def _not_yet_applied(
    delta: tuple[Operation, ...], rows: ConfigRows
) -> tuple[Operation, ...]:
    """Leave out what is in force already, as after a lost answer."""
    return tuple(
        operation for operation in delta if not is_in_force(operation, rows)
    )
