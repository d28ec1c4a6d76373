"""Messages by which routers exchange configuration snapshots.

A router that lags behind sends a ``ConfigRequest`` to a peer. A peer with a
higher version answers with a ``ConfigOffer``.
"""

import dataclasses

from hickorymux._internal.state.config_snapshot import (
    compress_snapshot,
    decompress_snapshot,
)


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigRequest:
    """Asks for a snapshot with a version above ``known_version``.

    -1 stands for no version, as version 0 may be in force.
    """

    known_version: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigOffer:
    """A snapshot of the configuration and its version.

    ``snapshot`` is JSON compressed with zlib.
    """

    version: int = 0
    snapshot: bytes = b''

    @classmethod
    def from_snapshot(cls, version: int, snapshot: bytes) -> 'ConfigOffer':
        """Return an offer with a snapshot given as JSON."""
        return cls(version, compress_snapshot(snapshot))

    def decompress(self) -> bytes:
        """Return the snapshot as JSON.

        Raises ``SnapshotError`` if it cannot be decompressed.
        """
        return decompress_snapshot(self.snapshot)
