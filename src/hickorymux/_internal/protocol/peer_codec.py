"""What a codec of the messages between routers does.

Messages are slotted dataclasses of the coordination layer. Fields that the
other side does not know are skipped, and fields that the other side did not
send keep the dataclass default, so routers one version apart understand each
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
    """What surrounds a message: who sent it and in which order."""

    sender: str
    incarnation: int
    sequence: int
    type_code: int
    body: bytes
    sent_at_ms: int = 0


class PeerCodec(Protocol):
    """Encodes and decodes the messages that routers exchange.

    ``frame_version`` tells frames of one codec from those of another.
    """

    @property
    def frame_version(self) -> int:
        """Return the first octet of frames with this encoding."""

    def encode(self, message: Any) -> tuple[int, bytes]:
        """Return the type code and the octets of a message."""

    def decode(self, code: int, body: bytes) -> Any:
        """Return the message; raises ``FrameError`` for malformed octets.

        A type code that this version does not know gives ``None``.
        """

    def write_envelope(self, envelope: Envelope) -> bytes:
        """Return the octets of an envelope."""

    def read_envelope(self, content: bytes) -> Envelope:
        """Return the envelope; raises ``FrameError`` for malformed octets."""


@final
class MessageCatalog:
    """Finds message classes by type code, loading each when first met.

    A process then holds only what it exchanges.
    """

    __slots__ = ('classes', 'codes', 'known', 'names')

    def __init__(self, registry: Iterable[tuple[int, str, str]]) -> None:
        self.names = {
            code: (mechanism, class_name)
            for code, mechanism, class_name in registry
        }
        self.known = {name: code for code, name in self.names.items()}
        self.classes: dict[int, type] = {}
        self.codes: dict[type, int] = {}

    def knows(self, code: int) -> bool:
        """Return whether this version has a message of that code."""
        return code in self.names

    def code_of(self, message_class: type) -> int:
        """Return the type code of a message class."""
        code = self.codes.get(message_class)
        if code is None:
            module = message_class.__module__.rpartition('.')[2]
            mechanism = module.removesuffix(_MESSAGES)
            code = self.known[mechanism, message_class.__name__]
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
        """Return the mechanism that a known message belongs to."""
        return self.names[code][0]
