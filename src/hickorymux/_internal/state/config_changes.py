"""Configuration changes, as operators publish them on the log.

A change is one JSON record of the stream ``config``. It holds the version
that it is based on (``base``) and the rows that it puts or deletes, never
whole tables, so its size depends only on what the operator changed.

Example::

    {"id": "5d0c...", "base": 41, "author": "ops@entry-1",
     "operations": [{"op": "drain_zone", "zone": "bzh-a"}]}
"""

import functools
from collections.abc import Iterator
from typing import TypeAlias, final

import msgspec

from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.state.rows import (
    DrainRow,
    PoolRow,
    RouteRow,
    Row,
    RowKey,
    RowKind,
    UpstreamRow,
)

CONFIG_STREAM = 'config'
MAX_CHANGE_BYTES = 4 * 1024 * 1024
MAX_TEXT_LENGTH = 200


class _Operation(msgspec.Struct, frozen=True, tag_field='op'):
    """Base of all operations; the JSON key ``op`` names the type."""


@final
class PutRoute(_Operation, frozen=True, tag='put_route'):
    """Add a route, or replace the one with the same name."""

    route: RouteRow


@final
class DeleteRoute(_Operation, frozen=True, tag='delete_route'):
    """Delete a route."""

    name: str


@final
class PutPool(_Operation, frozen=True, tag='put_pool'):
    """Add a pool, or replace the settings of the one with the same name."""

    pool: PoolRow


@final
class DeletePool(_Operation, frozen=True, tag='delete_pool'):
    """Delete a pool; it must have no upstreams and no routes."""

    name: str


@final
class PutUpstream(_Operation, frozen=True, tag='put_upstream'):
    """Add an upstream, or replace the one with the same name."""

    upstream: UpstreamRow


@final
class DeleteUpstream(_Operation, frozen=True, tag='delete_upstream'):
    """Delete an upstream and its drain, if it is drained."""

    name: str


@final
class DrainZone(_Operation, frozen=True, tag='drain_zone'):
    """Take an availability zone out of service."""

    zone: str


@final
class RestoreZone(_Operation, frozen=True, tag='restore_zone'):
    """Return an availability zone to service."""

    zone: str


@final
class DrainUpstream(_Operation, frozen=True, tag='drain_upstream'):
    """Take an upstream out of service."""

    name: str


@final
class RestoreUpstream(_Operation, frozen=True, tag='restore_upstream'):
    """Return an upstream to service."""

    name: str


@final
class ResetTables(_Operation, frozen=True, tag='reset_tables'):
    """Delete all rows that the same change does not put.

    A change with this operation takes effect only if it is the record at the
    offset that equals its ``base``. It can be applied without the earlier
    records, so operators can recover a stream whose history was trimmed.
    """


Operation: TypeAlias = (
    ResetTables
    | PutRoute
    | DeleteRoute
    | PutPool
    | DeletePool
    | PutUpstream
    | DeleteUpstream
    | DrainZone
    | RestoreZone
    | DrainUpstream
    | RestoreUpstream
)


@final
class ConfigChange(msgspec.Struct, frozen=True):
    """A change; either all of its operations take effect or none does.

    ``base`` is the version that the operator saw. A change is rejected if a
    row that it touches was changed after that version.
    """

    id: str
    base: int
    author: str
    operations: tuple[Operation, ...]

    @property
    def is_reset(self) -> bool:
        """Return whether the change replaces all existing rows."""
        return any(isinstance(each, ResetTables) for each in self.operations)


class MalformedChange(ConfigError):
    """A record of the configuration stream is not a change."""

    code = 'change_malformed'


_DECODER = msgspec.json.Decoder(ConfigChange)


def encode_change(change: ConfigChange) -> bytes:
    """Return the payload of the log record of a change."""
    return msgspec.json.encode(change)


def decode_change(payload: bytes) -> ConfigChange:
    """Return the change of a log record.

    Raises ``MalformedChange`` if the payload is not a valid change.
    """
    if len(payload) > MAX_CHANGE_BYTES:
        raise MalformedChange(
            f'the change has more than {MAX_CHANGE_BYTES} bytes'
        )
    try:
        change = _DECODER.decode(payload)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise MalformedChange(str(error)) from error
    if not 0 < len(change.id) <= MAX_TEXT_LENGTH:
        raise MalformedChange('the id of the change is empty or too long')
    if not 0 < len(change.author) <= MAX_TEXT_LENGTH:
        raise MalformedChange('the author of the change is empty or too long')
    if not change.operations:
        raise MalformedChange('the change has no operations')
    return change


@functools.singledispatch
def row_updates(
    operation: Operation,
) -> Iterator[tuple[RowKey, Row | None]]:
    """Yield the keys and rows that an operation puts; ``None`` deletes."""
    raise NotImplementedError(type(operation))


@row_updates.register
def _reset_tables(
    operation: ResetTables,
) -> Iterator[tuple[RowKey, Row | None]]:
    return iter(())


@row_updates.register
def _put_route(operation: PutRoute) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.route, operation.route.name), operation.route


@row_updates.register
def _delete_route(
    operation: DeleteRoute,
) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.route, operation.name), None


@row_updates.register
def _put_pool(operation: PutPool) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.pool, operation.pool.name), operation.pool


@row_updates.register
def _delete_pool(
    operation: DeletePool,
) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.pool, operation.name), None


@row_updates.register
def _put_upstream(
    operation: PutUpstream,
) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.upstream, operation.upstream.name), operation.upstream


@row_updates.register
def _delete_upstream(
    operation: DeleteUpstream,
) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.upstream, operation.name), None
    yield RowKey(RowKind.upstream_drain, operation.name), None


@row_updates.register
def _drain_zone(operation: DrainZone) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.zone_drain, operation.zone), DrainRow()


@row_updates.register
def _restore_zone(
    operation: RestoreZone,
) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.zone_drain, operation.zone), None


@row_updates.register
def _drain_upstream(
    operation: DrainUpstream,
) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.upstream_drain, operation.name), DrainRow()


@row_updates.register
def _restore_upstream(
    operation: RestoreUpstream,
) -> Iterator[tuple[RowKey, Row | None]]:
    yield RowKey(RowKind.upstream_drain, operation.name), None
