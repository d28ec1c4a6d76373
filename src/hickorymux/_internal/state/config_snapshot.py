"""The state of the configuration fold as JSON.

A snapshot is written to the stream ``config-snapshots`` before the log trims
the records that it holds, and routers give it to peers that can't read the
log. It is decoded strictly: a snapshot that doesn't fit is not used in part.
"""

from typing import final

import msgspec

from hickorymux._internal.exceptions import SnapshotError
from hickorymux._internal.state.rows import (
    PoolRow,
    RouteRow,
    RowKind,
    UpstreamRow,
)

SNAPSHOT_STREAM = 'config-snapshots'


@final
class SnapshotTouch(msgspec.Struct, frozen=True, array_like=True):
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
    routes: tuple[RouteRow, ...]
    pools: tuple[PoolRow, ...]
    upstreams: tuple[UpstreamRow, ...]
    drained_zones: tuple[str, ...]
    drained_upstreams: tuple[str, ...]
    touches: tuple[SnapshotTouch, ...]
    decisions: tuple[SnapshotDecision, ...]


_DECODER = msgspec.json.Decoder(ConfigSnapshot)


def encode_snapshot(snapshot: ConfigSnapshot) -> bytes:
    """Return a snapshot as JSON."""
    return msgspec.json.encode(snapshot)


def decode_snapshot(encoded: bytes) -> ConfigSnapshot:
    """Return the snapshot of some JSON; raise ``SnapshotError``."""
    try:
        snapshot = _DECODER.decode(encoded)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise SnapshotError(str(error)) from error
    if not 0 <= snapshot.version <= snapshot.next_offset:
        raise SnapshotError('the version is not below the end of the records')
    return snapshot
