"""Code shared by the commands ``drain`` and ``restore``."""

import dataclasses

from hickorymux._internal.commands.publishing import open_publisher, publish
from hickorymux._internal.coordination.config_publisher import ConfigPublisher
from hickorymux._internal.exceptions import UsageError
from hickorymux._internal.state.config_changes import Operation
from hickorymux._internal.state.config_delta import is_already_applied
from hickorymux._internal.state.rows import RowKind
from hickorymux._internal.utils.durations import parse_duration
from hickorymux._internal.utils.suggestions import nearest_hint
from hickorymux._internal.utils.terminal import write_line


@dataclasses.dataclass(slots=True, frozen=True)
class DrainChange:
    """The operation that drains or restores one zone or one upstream.

    The one of ``zone`` and ``upstream`` that does not apply is empty.
    """

    operation: Operation
    zone: str
    upstream: str


def check_target(zone: str, upstream: str) -> None:
    """Raise ``UsageError`` unless exactly one of the two is given."""
    if bool(zone) == bool(upstream):
        raise UsageError(
            'name one zone or one upstream',
            where='--zone, --upstream',
            hint='as in "--zone bzh-a"',
        )


async def publish_drain(
    change: DrainChange, *, log: str, author: str, timeout: str
) -> None:
    """Publish the change unless it is already in force.

    Raises ``UsageError`` if the zone or the upstream is unknown.
    """
    async with open_publisher(log, parse_duration(timeout)) as publisher:
        await publisher.read_to_end()
        _check_known(change, publisher)
        if is_already_applied(change.operation, publisher.fold.rows):
            version = publisher.fold.version
            write_line(f'in force already; version {version} is in force')
            return
        await publish(
            publisher,
            base=publisher.fold.next_offset,
            author=author,
            operations=(change.operation,),
        )


def _check_known(change: DrainChange, publisher: ConfigPublisher) -> None:
    rows = publisher.fold.rows
    zones = rows.zones.keys() | rows.names_by_kind[RowKind.zone_drain]
    if change.zone and change.zone not in zones:
        raise UsageError(
            f'no upstream is in zone "{change.zone}"',
            where='--zone',
            hint=nearest_hint(change.zone, sorted(zones)),
        )
    if change.upstream and rows.upstream(change.upstream) is None:
        raise UsageError(
            f'unknown upstream "{change.upstream}"',
            where='--upstream',
            hint=nearest_hint(change.upstream, rows.names(RowKind.upstream)),
        )
