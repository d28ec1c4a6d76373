"""Authenticated frames around the messages between routers.

A frame is one version octet, a 16 octet keyed BLAKE2b tag (RFC 7693) and a
thrift envelope. On TCP a four octet length in network order precedes it. The
tag covers the version, the recipient's challenge and the envelope, so a frame
taken from one connection is refused on another one; inside a connection the
sequence numbers must grow. Datagrams have no challenge and carry their wall
time instead.
"""

import dataclasses
import hashlib
import hmac
import struct
from typing import Any, final

from hickorymux._internal.exceptions import FrameError
from hickorymux._internal.protocol import peer_codec

FRAME_VERSION = 1
MAX_FRAME_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 8192
LENGTH_PREFIX = struct.Struct('!I')

_TAG_BYTES = 16
_HEADER_BYTES = 1 + _TAG_BYTES
_ENVELOPE = peer_codec.load_idl('envelope').Envelope


@dataclasses.dataclass(slots=True, frozen=True)
class Envelope:
    """What surrounds a message: who sent it and in which order."""

    sender: str
    incarnation: int
    sequence: int
    type_code: int
    body: bytes
    sent_at_ms: int = 0


@final
class FrameSealer:
    """Seals and opens frames with the fleet's key."""

    __slots__ = ('key',)

    def __init__(self, key: bytes) -> None:
        self.key = hashlib.blake2b(key, digest_size=32).digest()

    def seal(self, envelope: Envelope, challenge: bytes = b'') -> bytes:
        """Return the frame, without a length prefix."""
        row = _ENVELOPE(
            sender=envelope.sender,
            incarnation=envelope.incarnation,
            sequence=envelope.sequence,
            type_code=envelope.type_code,
            body=envelope.body,
            sent_at_ms=envelope.sent_at_ms,
        )
        content = peer_codec.write_struct(row)
        version = bytes((FRAME_VERSION,))
        return version + self.tag(version, challenge, content) + content

    def open(self, frame: bytes, challenge: bytes = b'') -> Envelope:
        """Return the envelope; raises ``FrameError`` for a frame not ours."""
        if len(frame) < _HEADER_BYTES:
            raise FrameError(f'frame of {len(frame)} octets is too short')
        if frame[0] != FRAME_VERSION:
            raise FrameError(f'frame version {frame[0]} is not supported')
        version, content = frame[:1], frame[_HEADER_BYTES:]
        expected = self.tag(version, challenge, content)
        if not hmac.compare_digest(frame[1:_HEADER_BYTES], expected):
            raise FrameError('frame tag does not match the fleet key')
        return _to_envelope(peer_codec.read_struct(_ENVELOPE(), content))

    def tag(self, version: bytes, challenge: bytes, content: bytes) -> bytes:
        """Return the keyed digest of a frame."""
        digest = hashlib.blake2b(
            version,
            digest_size=_TAG_BYTES,
            key=self.key,
        )
        digest.update(bytes((len(challenge),)) + challenge)
        digest.update(content)
        return digest.digest()


def _to_envelope(row: Any) -> Envelope:
    body = row.body
    return Envelope(
        sender=row.sender,
        incarnation=row.incarnation,
        sequence=row.sequence,
        type_code=row.type_code,
        body=body if isinstance(body, bytes) else body.encode(),
        sent_at_ms=row.sent_at_ms,
    )
