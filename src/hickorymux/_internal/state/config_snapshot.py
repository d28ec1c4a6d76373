"""The state of the configuration fold as JSON.

A snapshot is written to the stream ``config-snapshots`` before the log trims
the records that it holds, and routers give it to peers that can't read the
log. Both carry it under zlib. It is decoded strictly: a snapshot that doesn't
fit is not used in part.
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
    """The last change of a row, in version order."""

    kind: RowKind
    name: str
    version: int
    author: str


@final
class SnapshotDecision(msgspec.Struct, frozen=True, array_like=True):
    """The id of a decided change and its offset, in offset order."""

    change_id: str
    offset: int


@final
class ConfigSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All that the fold holds after the records below ``next_offset``."""

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
    """How far a snapshot goes."""

    version: int
    next_offset: int


_SnapshotT = TypeVar('_SnapshotT', ConfigSnapshot, SnapshotHeader)


def encode_snapshot(snapshot: ConfigSnapshot) -> bytes:
    """Return a snapshot as JSON."""
    return msgspec.json.encode(snapshot)


def decode_snapshot(encoded: bytes) -> ConfigSnapshot:
    """Return the snapshot of some JSON; raise ``SnapshotError``."""
    return _decode(encoded, ConfigSnapshot)


def decode_header(encoded: bytes) -> SnapshotHeader:
    """Return how far a snapshot goes; raise ``SnapshotError``.

    This costs a small part of decoding the snapshot.
    """
    return _decode(encoded, SnapshotHeader)


def compress_snapshot(encoded: bytes) -> bytes:
    """Return a snapshot as the log and the peers carry it."""
    return zlib.compress(encoded)


def decompress_snapshot(compressed: bytes) -> bytes:
    """Return the JSON of a compressed snapshot; raise ``SnapshotError``."""
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(compressed, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise SnapshotError(str(error)) from error
    if not decompressor.eof:
        raise SnapshotError('the snapshot is cut off or too large')
    return encoded


def _decode(encoded: bytes, wanted: type[_SnapshotT]) -> _SnapshotT:
    try:
        snapshot = msgspec.json.decode(encoded, type=wanted)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise SnapshotError(str(error)) from error
    if not 0 <= snapshot.version <= snapshot.next_offset:
        raise SnapshotError('the version is not below the end of the records')
    return snapshot
