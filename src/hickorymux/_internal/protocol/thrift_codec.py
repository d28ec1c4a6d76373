"""Thrift encoding of the messages between routers.

Each message class has a thrift struct of the same name with the same field
names; the codec converts between them. A receiver skips fields that it does
not know and uses the dataclass default for fields that were not sent, so
routers that are one version apart understand each other.

Example::

    code, body = codec.encode(Heartbeat(router_id='a-1'))
    message = codec.decode(code, body)
"""

import dataclasses
import functools
import types
import typing
from collections.abc import Callable
from importlib import resources

import thriftpy2
from thriftpy2.protocol.compact import TCompactProtocolFactory
from thriftpy2.utils import deserialize, serialize

from hickorymux._internal.exceptions import FrameError
from hickorymux._internal.protocol.peer_codec import (
    Envelope,
    MessageCatalog,
)
from hickorymux._internal.protocol.peer_messages import MESSAGE_REGISTRY

_FACTORY = TCompactProtocolFactory()

_Convert = Callable[[typing.Any], typing.Any]


def load_idl(name: str) -> typing.Any:
    """Load ``idl/<name>.thrift`` of this package as a module of structs."""
    source = resources.files(__package__) / 'idl' / f'{name}.thrift'
    with resources.as_file(source) as path:
        return thriftpy2.load(str(path), module_name=f'{name}_thrift')


def _identity(value: typing.Any) -> typing.Any:
    return value


def _nested_dataclass(annotation: typing.Any) -> type | None:
    """Return the dataclass of a field or of its items, ``None`` without one."""
    candidates = (annotation, *typing.get_args(annotation))
    for candidate in candidates:
        if dataclasses.is_dataclass(candidate):
            return typing.cast(type, candidate)
    return None


def _is_sequence(annotation: typing.Any) -> bool:
    return typing.get_origin(annotation) in {list, tuple}


@typing.final
class StructMapping:
    """Converts between one message class and its thrift struct."""

    __slots__ = ('fields', 'message_class', 'struct')

    def __init__(self, message_class: type, module: types.ModuleType) -> None:
        self.message_class = message_class
        self.struct = getattr(module, message_class.__name__)
        hints = typing.get_type_hints(message_class)
        self.fields = tuple(
            (field.name, *_converters(hints[field.name], module))
            for field in dataclasses.fields(message_class)
        )

    def to_struct(self, message: typing.Any) -> typing.Any:
        """Return the thrift struct that carries the message."""
        return self.struct(
            **{
                name: to_thrift(getattr(message, name))
                for name, to_thrift, _ in self.fields
            }
        )

    def to_message(self, struct: typing.Any) -> typing.Any:
        """Return the message; absent fields get their defaults."""
        present = {}
        for name, _, from_thrift in self.fields:
            value = getattr(struct, name)
            if value is not None:
                present[name] = from_thrift(value)
        return self.message_class(**present)


def _converters(
    annotation: typing.Any,
    module: types.ModuleType,
) -> tuple[_Convert, _Convert]:
    nested = _nested_dataclass(annotation)
    origin = typing.get_origin(annotation)
    if nested is None:
        return (
            (list, origin)
            if _is_sequence(annotation)
            else (_identity, _identity)
        )
    mapping = StructMapping(nested, module)
    if not _is_sequence(annotation):
        return mapping.to_struct, mapping.to_message
    return (
        lambda rows: [mapping.to_struct(row) for row in rows],
        lambda rows: origin(mapping.to_message(row) for row in rows),
    )


@typing.final
class ThriftCodec:
    """A ``PeerCodec`` that uses the compact protocol of thrift."""

    __slots__ = ('catalog', 'envelope', 'mappings')

    frame_version: typing.Final = 1

    def __init__(self, catalog: MessageCatalog) -> None:
        self.catalog = catalog
        self.envelope = load_idl('envelope').Envelope
        self.mappings: dict[int, StructMapping] = {}

    def encode(self, message: typing.Any) -> tuple[int, bytes]:
        """Return the type code and the thrift bytes of a message."""
        code = self.catalog.code_of(type(message))
        struct = self._mapping_of(code).to_struct(message)
        return code, write_struct(struct)

    def decode(self, code: int, body: bytes) -> typing.Any:
        """Return the message, ``None`` for an unknown type code.

        Raises ``FrameError`` for malformed bytes.
        """
        if not self.catalog.knows(code):
            return None
        mapping = self._mapping_of(code)
        return mapping.to_message(read_struct(mapping.struct(), body))

    def write_envelope(self, envelope: Envelope) -> bytes:
        """Return the thrift bytes of an envelope."""
        return write_struct(
            self.envelope(
                sender=envelope.sender,
                incarnation=envelope.incarnation,
                sequence=envelope.sequence,
                type_code=envelope.type_code,
                body=envelope.body,
                sent_at_ms=envelope.sent_at_ms,
            ),
        )

    def read_envelope(self, content: bytes) -> Envelope:
        """Return the envelope; raises ``FrameError`` for malformed bytes."""
        row = read_struct(self.envelope(), content)
        body = row.body
        return Envelope(
            sender=row.sender,
            incarnation=row.incarnation,
            sequence=row.sequence,
            type_code=row.type_code,
            body=body if isinstance(body, bytes) else body.encode(),
            sent_at_ms=row.sent_at_ms,
        )

    def _mapping_of(self, code: int) -> StructMapping:
        mapping = self.mappings.get(code)
        if mapping is None:
            message_class = self.catalog.class_of(code)
            idl = load_idl(self.catalog.mechanism_of(code))
            mapping = StructMapping(message_class, idl)
            self.mappings[code] = mapping
        return mapping


@functools.cache
def thrift_codec() -> ThriftCodec:
    """Return the codec for all messages of this version."""
    return ThriftCodec(MessageCatalog(MESSAGE_REGISTRY))


def read_struct(struct: typing.Any, body: bytes) -> typing.Any:
    """Fill a thrift struct from bytes; raises ``FrameError`` if malformed."""
    try:
        return deserialize(struct, body, _FACTORY)
    except Exception as error:
        raise FrameError(f'malformed thrift body: {error!r}') from error


def write_struct(struct: typing.Any) -> bytes:
    """Return the compact thrift bytes of a struct."""
    encoded: bytes = serialize(struct, _FACTORY)
    return encoded
