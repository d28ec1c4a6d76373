"""MessagePack encoding of the messages between routers.

Messages travel as maps from field names to values. Encoding and decoding run
in native code, which suits routers that take many small reports on a part of
a core.
"""

import functools
from typing import Any, Final, final

import msgspec

from hickorymux._internal.exceptions import FrameError
from hickorymux._internal.protocol.peer_codec import (
    Envelope,
    MessageCatalog,
)
from hickorymux._internal.protocol.peer_messages import MESSAGE_REGISTRY


@final
class MsgpackCodec:
    """A ``PeerCodec`` for MessagePack."""

    __slots__ = ('catalog', 'decoders', 'encoder', 'envelope_decoder')

    frame_version: Final = 2

    def __init__(self, catalog: MessageCatalog) -> None:
        self.catalog = catalog
        self.encoder = msgspec.msgpack.Encoder()
        self.envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self.decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any) -> tuple[int, bytes]:
        """Return the type code and the octets of a message."""
        return self.catalog.code_of(type(message)), self.encoder.encode(message)

    def decode(self, code: int, body: bytes) -> Any:
        """Return the message; raises ``FrameError`` for malformed octets.

        A type code that this version does not know gives ``None``.
        """
        if not self.catalog.knows(code):
            return None
        decoder = self.decoders.get(code)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(self.catalog.class_of(code))
            self.decoders[code] = decoder
        return _decode(decoder, body)

    def write_envelope(self, envelope: Envelope) -> bytes:
        """Return the octets of an envelope."""
        return self.encoder.encode(envelope)

    def read_envelope(self, content: bytes) -> Envelope:
        """Return the envelope; raises ``FrameError`` for malformed octets."""
        envelope: Envelope = _decode(self.envelope_decoder, content)
        return envelope


@functools.cache
def msgpack_codec() -> MsgpackCodec:
    """Return the codec for all messages of this version."""
    return MsgpackCodec(MessageCatalog(MESSAGE_REGISTRY))


def _decode(decoder: 'msgspec.msgpack.Decoder[Any]', octets: bytes) -> Any:
    try:
        return decoder.decode(octets)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise FrameError(f'malformed message: {error}') from error
