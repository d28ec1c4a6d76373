"""MessagePack encoding of the messages between routers.

A message is encoded as a map from field names to values. Encoding and
decoding run in native code, for routers that receive many small reports and
have only a fraction of a core.
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
    """A ``PeerCodec`` that uses MessagePack."""

    __slots__ = ('catalog', 'decoders', 'encoder', 'envelope_decoder')

    frame_version: Final = 2

    def __init__(self, catalog: MessageCatalog) -> None:
        self.catalog = catalog
        self.encoder = msgspec.msgpack.Encoder()
        self.envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self.decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any) -> tuple[int, bytes]:
        """Return the type code and the encoded bytes of a message."""
        return self.catalog.code_of(type(message)), self.encoder.encode(message)

    def decode(self, code: int, body: bytes) -> Any:
        """Return the message, ``None`` for an unknown type code.

        Raises ``FrameError`` for malformed bytes.
        """
        if not self.catalog.knows(code):
            return None
        decoder = self.decoders.get(code)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(self.catalog.class_of(code))
            self.decoders[code] = decoder
        return _decode(decoder, body)

    def write_envelope(self, envelope: Envelope) -> bytes:
        """Return the encoded bytes of an envelope."""
        return self.encoder.encode(envelope)

    def read_envelope(self, content: bytes) -> Envelope:
        """Return the envelope; raises ``FrameError`` for malformed bytes."""
        envelope: Envelope = _decode(self.envelope_decoder, content)
        return envelope


@functools.cache
def msgpack_codec() -> MsgpackCodec:
    """Return the codec for all messages of this version."""
    return MsgpackCodec(MessageCatalog(MESSAGE_REGISTRY))


def _decode(decoder: 'msgspec.msgpack.Decoder[Any]', encoded: bytes) -> Any:
    try:
        return decoder.decode(encoded)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise FrameError(f'malformed message: {error}') from error
