"""Messages between routers about the configuration in force.

A router that can't read the log asks its peers with a ``ConfigRequest``; a
peer that holds a higher version answers with a ``ConfigOffer``.
"""

import dataclasses

from hickorymux._internal.state.config_snapshot import (
    compress_snapshot,
    decompress_snapshot,
)


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigRequest:
    """Asks for a snapshot with a version above ``known_version``."""

    known_version: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigOffer:
    """A snapshot of the configuration fold, compressed by zlib."""

    version: int = 0
    snapshot: bytes = b''

    @classmethod
    def from_snapshot(cls, version: int, snapshot: bytes) -> 'ConfigOffer':
        """Return the offer of a snapshot."""
        return cls(version, compress_snapshot(snapshot))

    def decompress(self) -> bytes:
        """Return the snapshot; raise ``SnapshotError`` when it is broken."""
        return decompress_snapshot(self.snapshot)
