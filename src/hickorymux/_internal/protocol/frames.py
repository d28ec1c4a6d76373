"""Authenticated frames around the messages between routers.

A frame is a version byte, which identifies the encoding, a keyed BLAKE2b tag
of 16 bytes (RFC 7693) and an envelope. On TCP, a length of four bytes in
network order precedes it. The tag covers the version, the recipient's
challenge and the envelope, so a frame recorded on one connection is refused
on another; within a connection the sequence numbers must increase. Datagrams
have no challenge; their envelopes carry the wall time of sending instead.
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
    """Builds and verifies frames with the key that all routers share."""

    __slots__ = ('codec', 'key', 'version')

    def __init__(self, key: bytes, codec: PeerCodec) -> None:
        self.codec = codec
        self.version = bytes((codec.frame_version,))
        self.key = hashlib.blake2b(key, digest_size=32).digest()

    def seal(self, envelope: Envelope, challenge: bytes = b'') -> bytes:
        """Return the frame of an envelope, without a length prefix."""
        content = self.codec.write_envelope(envelope)
        return self.version + self.tag(challenge, content) + content

    def open(self, frame: bytes, challenge: bytes = b'') -> Envelope:
        """Return the envelope of a frame.

        Raises ``FrameError`` if the frame is malformed, has another version,
        or its tag does not match the key and the challenge.
        """
        if len(frame) < _HEADER_BYTES:
            raise FrameError(f'frame of {len(frame)} bytes is too short')
        if frame[:1] != self.version:
            raise FrameError(f'frame version {frame[0]} is not supported')
        content = frame[_HEADER_BYTES:]
        expected = self.tag(challenge, content)
        if not hmac.compare_digest(frame[1:_HEADER_BYTES], expected):
            raise FrameError('frame tag does not match the fleet key')
        return self.codec.read_envelope(content)

    def tag(self, challenge: bytes, content: bytes) -> bytes:
        """Return the tag of a frame, a keyed digest."""
        digest = hashlib.blake2b(
            self.version,
            digest_size=_TAG_BYTES,
            key=self.key,
        )
        digest.update(bytes((len(challenge),)) + challenge)
        digest.update(content)
        return digest.digest()
