"""Messages between routers about the configuration in force.

A router that can't read the log asks its peers with a ``ConfigRequest``; a
peer that holds a higher version answers with a ``ConfigOffer``.
"""

import dataclasses
import zlib

from hickorymux._internal.exceptions import SnapshotError

MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


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
        return cls(version, zlib.compress(snapshot))

    def decompress(self) -> bytes:
        """Return the snapshot; raise ``SnapshotError`` when it is broken."""
        inflater = zlib.decompressobj()
        try:
            snapshot = inflater.decompress(self.snapshot, MAX_SNAPSHOT_BYTES)
        except zlib.error as error:
            raise SnapshotError(str(error)) from error
        if not inflater.eof:
            raise SnapshotError('the snapshot is cut off or too large')
        return snapshot
