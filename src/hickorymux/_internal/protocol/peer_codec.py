"""The interface of a codec for messages between routers.

Messages are dataclasses with slots from the coordination layer. A receiver
skips fields that it does not know and uses the dataclass default for fields
that were not sent, so routers that are one version apart understand each
other.

Example::

    code, body = codec.encode(Heartbeat(router_id='a-1'))
    message = codec.decode(code, body)
"""

import dataclasses
from collections.abc import Iterable
from importlib import import_module
from typing import Any, Protocol, final

_COORDINATION = 'hickorymux._internal.coordination'
_MESSAGES = '_messages'


@dataclasses.dataclass(slots=True, frozen=True)
class Envelope:
    """An encoded message with its sender and its place in the sequence.

    ``sequence`` grows with each message of the sender's ``incarnation``.
    ``sent_at_ms`` is Unix time in milliseconds, set in datagrams only.
    """

    sender: str
    incarnation: int
    sequence: int
    type_code: int
    body: bytes
    sent_at_ms: int = 0


class PeerCodec(Protocol):
    """Encodes and decodes the messages that routers exchange.

    ``frame_version`` identifies the codec in a frame.
    """

    @property
    def frame_version(self) -> int:
        """Return the first byte of frames with this encoding."""

    def encode(self, message: Any) -> tuple[int, bytes]:
        """Return the type code and the encoded bytes of a message."""

    def decode(self, code: int, body: bytes) -> Any:
        """Return the message, ``None`` for an unknown type code.

        Raises ``FrameError`` for malformed bytes.
        """

    def write_envelope(self, envelope: Envelope) -> bytes:
        """Return the encoded bytes of an envelope."""

    def read_envelope(self, content: bytes) -> Envelope:
        """Return the envelope; raises ``FrameError`` for malformed bytes."""


@final
class MessageCatalog:
    """Finds message classes by type code.

    A class is imported on its first use, so that a process loads only the
    messages that it exchanges. ``registry`` has the type code, the mechanism
    and the class name of each message; the mechanism ``slot`` has its classes
    in the module ``slot_messages``.
    """

    __slots__ = ('classes', 'codes', 'codes_by_name', 'names')

    def __init__(self, registry: Iterable[tuple[int, str, str]]) -> None:
        self.names = {
            code: (mechanism, class_name)
            for code, mechanism, class_name in registry
        }
        self.codes_by_name = {name: code for code, name in self.names.items()}
        self.classes: dict[int, type] = {}
        self.codes: dict[type, int] = {}

    def knows(self, code: int) -> bool:
        """Return whether the registry has a message of this type code."""
        return code in self.names

    def code_of(self, message_class: type) -> int:
        """Return the type code of a message class."""
        code = self.codes.get(message_class)
        if code is None:
            module = message_class.__module__.rpartition('.')[2]
            mechanism = module.removesuffix(_MESSAGES)
            code = self.codes_by_name[mechanism, message_class.__name__]
            self.codes[message_class] = code
        return code

    def class_of(self, code: int) -> type:
        """Return the message class of a known type code."""
        found = self.classes.get(code)
        if found is None:
            mechanism, class_name = self.names[code]
            module = f'{_COORDINATION}.{mechanism}{_MESSAGES}'
            found = getattr(import_module(module), class_name)
            self.classes[code] = found
        return found

    def mechanism_of(self, code: int) -> str:
        """Return the mechanism that the message of a known type code is for."""
        return self.names[code][0]
