"""JSON encoding of the state of the configuration fold.

A snapshot stands for all records up to an offset. It is written to the stream
``config-snapshots`` before the log trims those records, and routers send it
to peers that cannot read the log. On the log and between routers it is
compressed with zlib. Decoding is strict: a snapshot with any error is
rejected as a whole.
"""

import zlib
from typing import TypeVar, final

import msgspec

from hickorymux._internal.exceptions import SnapshotError
from hickorymux._internal.state.rows import (
    PoolRow,
    RouteRow,
    RowKind,
    UpstreamRow,
)

SNAPSHOT_STREAM = 'config-snapshots'
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


@final
class SnapshotLastChange(msgspec.Struct, frozen=True, array_like=True):
    """The last change of a row; snapshots list them in version order."""

    kind: RowKind
    name: str
    version: int
    author: str


@final
class SnapshotDecision(msgspec.Struct, frozen=True, array_like=True):
    """The id and offset of a decided change, listed in offset order."""

    change_id: str
    offset: int


@final
class ConfigSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the fold after all records below ``next_offset``.

    ``touches`` holds the last change of each row and ``decisions`` the ids of
    decided changes, as far as ``ChangeHistory`` still keeps them.
    """

    version: int
    next_offset: int
    reset_version: int = 0
    routes: tuple[RouteRow, ...]
    pools: tuple[PoolRow, ...]
    upstreams: tuple[UpstreamRow, ...]
    drained_zones: tuple[str, ...]
    drained_upstreams: tuple[str, ...]
    touches: tuple[SnapshotLastChange, ...]
    decisions: tuple[SnapshotDecision, ...]


@final
class SnapshotHeader(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a snapshot that tell how recent it is."""

    version: int
    next_offset: int


_SnapshotT = TypeVar('_SnapshotT', ConfigSnapshot, SnapshotHeader)


def encode_snapshot(snapshot: ConfigSnapshot) -> bytes:
    """Return a snapshot as JSON."""
    return msgspec.json.encode(snapshot)


def decode_snapshot(encoded: bytes) -> ConfigSnapshot:
    """Return the snapshot that JSON holds.

    Raises ``SnapshotError`` if the JSON is not a valid snapshot.
    """
    return _decode(encoded, ConfigSnapshot)


def decode_header(encoded: bytes) -> SnapshotHeader:
    """Return the version and next offset of a snapshot.

    This is much cheaper than decoding the whole snapshot. Raises
    ``SnapshotError`` if the JSON is not a snapshot.
    """
    return _decode(encoded, SnapshotHeader)


def compress_snapshot(encoded: bytes) -> bytes:
    """Return a snapshot compressed, for the log or a peer."""
    return zlib.compress(encoded)


def decompress_snapshot(compressed: bytes) -> bytes:
    """Return the JSON of a compressed snapshot.

    Raises ``SnapshotError`` if it is not zlib data, is truncated or inflates
    to more than ``MAX_SNAPSHOT_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(compressed, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise SnapshotError(str(error)) from error
    if not decompressor.eof:
        raise SnapshotError('the snapshot is truncated or too large')
    return encoded


def _decode(encoded: bytes, wanted: type[_SnapshotT]) -> _SnapshotT:
    try:
        snapshot = msgspec.json.decode(encoded, type=wanted)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise SnapshotError(str(error)) from error
    if not 0 <= snapshot.version <= snapshot.next_offset:
        raise SnapshotError('the version is negative or above the next offset')
    return snapshot
