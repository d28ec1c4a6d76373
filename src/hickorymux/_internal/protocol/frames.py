"""Authenticated frames around the messages between routers.

A frame is one version octet, which tells the encoding, a 16 octet keyed
BLAKE2b tag (RFC 7693) and an envelope. On TCP a four octet length in network order precedes it. The
tag covers the version, the recipient's challenge and the envelope, so a frame
taken from one connection is refused on another one; inside a connection the
sequence numbers must grow. Datagrams have no challenge and carry their wall
time instead.
"""

import hashlib
import hmac
import struct
from typing import final

from hickorymux._internal.exceptions import FrameError
from hickorymux._internal.protocol.peer_codec import Envelope, PeerCodec

MAX_FRAME_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 8192
LENGTH_PREFIX = struct.Struct('!I')

_TAG_BYTES = 16
_HEADER_BYTES = 1 + _TAG_BYTES


@final
class FrameSealer:
    """Seals and opens frames with the fleet's key."""

    __slots__ = ('codec', 'key', 'version')

    def __init__(self, key: bytes, codec: PeerCodec) -> None:
        self.codec = codec
        self.version = bytes((codec.frame_version,))
        self.key = hashlib.blake2b(key, digest_size=32).digest()

    def seal(self, envelope: Envelope, challenge: bytes = b'') -> bytes:
        """Return the frame, without a length prefix."""
        content = self.codec.write_envelope(envelope)
        return self.version + self.tag(challenge, content) + content

    def open(self, frame: bytes, challenge: bytes = b'') -> Envelope:
        """Return the envelope; raises ``FrameError`` for a frame not ours."""
        if len(frame) < _HEADER_BYTES:
            raise FrameError(f'frame of {len(frame)} octets is too short')
        if frame[:1] != self.version:
            raise FrameError(f'frame version {frame[0]} is not supported')
        content = frame[_HEADER_BYTES:]
        expected = self.tag(challenge, content)
        if not hmac.compare_digest(frame[1:_HEADER_BYTES], expected):
            raise FrameError('frame tag does not match the fleet key')
        return self.codec.read_envelope(content)

    def tag(self, challenge: bytes, content: bytes) -> bytes:
        """Return the keyed digest of a frame."""
        digest = hashlib.blake2b(
            self.version,
            digest_size=_TAG_BYTES,
            key=self.key,
        )
        digest.update(bytes((len(challenge),)) + challenge)
        digest.update(content)
        return digest.digest()
