"""Thrift encoding of the messages between routers.

Messages are slotted dataclasses of the coordination layer. Each has a thrift
struct of the same name whose fields carry the same names; the codec maps one
to the other. Fields that the other side does not know are skipped by thrift,
and fields that the other side did not send keep the dataclass default, so
routers one version apart understand each other.

Example::

    code, body = codec.encode(Heartbeat(router_id='a-1'))
    message = codec.decode(code, body)
"""

import dataclasses
import types
import typing
from collections.abc import Callable, Iterable
from importlib import import_module, resources

import thriftpy2
from thriftpy2.protocol.compact import TCompactProtocolFactory
from thriftpy2.utils import deserialize, serialize

from hickorymux._internal.exceptions import FrameError

_FACTORY = TCompactProtocolFactory()
_COORDINATION = 'hickorymux._internal.coordination'
_MESSAGES = '_messages'

_Convert = Callable[[typing.Any], typing.Any]


def load_idl(name: str) -> typing.Any:
    """Load ``idl/<name>.thrift`` of this package as a module of structs."""
    source = resources.files(__package__) / 'idl' / f'{name}.thrift'
    with resources.as_file(source) as path:
        return thriftpy2.load(str(path), module_name=f'{name}_thrift')


def _same(value: typing.Any) -> typing.Any:
    return value


def _item_class(annotation: typing.Any) -> type | None:
    """Return the dataclass that a field holds, directly or in a sequence."""
    candidates = (annotation, *typing.get_args(annotation))
    for candidate in candidates:
        if dataclasses.is_dataclass(candidate):
            return typing.cast(type, candidate)
    return None


def _is_sequence(annotation: typing.Any) -> bool:
    return typing.get_origin(annotation) in {list, tuple}


@typing.final
class StructMapping:
    """Maps one dataclass to its thrift struct and back."""

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
                name: outward(getattr(message, name))
                for name, outward, _ in self.fields
            }
        )

    def to_message(self, struct: typing.Any) -> typing.Any:
        """Return the message; absent fields keep their defaults."""
        present = {}
        for name, _, inward in self.fields:
            value = getattr(struct, name)
            if value is not None:
                present[name] = inward(value)
        return self.message_class(**present)


def _converters(
    annotation: typing.Any,
    module: types.ModuleType,
) -> tuple[_Convert, _Convert]:
    nested = _item_class(annotation)
    origin = typing.get_origin(annotation)
    if nested is None:
        return (list, origin) if _is_sequence(annotation) else (_same, _same)
    mapping = StructMapping(nested, module)
    if not _is_sequence(annotation):
        return mapping.to_struct, mapping.to_message
    return (
        lambda rows: [mapping.to_struct(row) for row in rows],
        lambda rows: origin(mapping.to_message(row) for row in rows),
    )


@typing.final
class PeerCodec:
    """Encodes and decodes all messages that routers exchange."""

    __slots__ = ('by_class', 'by_code', 'known', 'names')

    def __init__(self, registry: Iterable[tuple[int, str, str]]) -> None:
        self.by_code: dict[int, StructMapping] = {}
        self.by_class: dict[type, tuple[int, StructMapping]] = {}
        self.known = {
            (mechanism, class_name): code
            for code, mechanism, class_name in registry
        }
        self.names = {code: name for name, code in self.known.items()}

    def encode(self, message: typing.Any) -> tuple[int, bytes]:
        """Return the type code and the thrift bytes of a message."""
        message_class = type(message)
        if message_class not in self.by_class:
            module = message_class.__module__.rpartition('.')[2]
            mechanism = module.removesuffix(_MESSAGES)
            self._register(self.known[mechanism, message_class.__name__])
        code, mapping = self.by_class[message_class]
        return code, serialize(mapping.to_struct(message), _FACTORY)

    def decode(self, code: int, body: bytes) -> typing.Any:
        """Return the message; raises ``FrameError`` for malformed bytes.

        A type code that this version does not know gives ``None``.
        """
        if code not in self.names:
            return None
        if code not in self.by_code:
            self._register(code)
        mapping = self.by_code[code]
        return mapping.to_message(read_struct(mapping.struct(), body))

    def _register(self, code: int) -> None:
        """Load a message's class and struct when it is first met.

        A process then holds only what it exchanges.
        """
        mechanism, class_name = self.names[code]
        messages = import_module(f'{_COORDINATION}.{mechanism}{_MESSAGES}')
        message_class = getattr(messages, class_name)
        mapping = StructMapping(message_class, load_idl(mechanism))
        self.by_code[code] = mapping
        self.by_class[message_class] = (code, mapping)


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
