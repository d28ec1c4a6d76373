"""Reads flags of commands from environment variables.

``HICKORYMUX_QUEUE_LIMIT`` sets the flag ``--queue-limit``. A flag on the
command line overrides its variable. A list is separated by commas, and a
boolean is ``true`` or ``false``.
"""

import dataclasses
import typing
from collections.abc import Iterator, Mapping, Sequence

from hickorymux._internal.exceptions import UsageError

PREFIX = 'HICKORYMUX_'

_BOOLEAN_PREFIXES = {'true': '', '1': '', 'false': 'no-', '0': 'no-'}


def variable_name(field_name: str) -> str:
    """Return the environment variable of the flag with this field name."""
    return f'{PREFIX}{field_name.upper()}'


def environment_flags(
    command: type, environment: Mapping[str, str]
) -> tuple[str, ...]:
    """Return the flags that the environment sets, as arguments.

    ``command`` is a dataclass whose keyword-only fields are the flags. Put
    the result before the arguments of the command line, so that those override
    it. Raises ``UsageError`` if a boolean is neither true nor false.
    """
    hints = typing.get_type_hints(command)
    arguments: list[str] = []
    for field in dataclasses.fields(command):
        text = environment.get(variable_name(field.name))
        if text is not None and field.kw_only:
            arguments.extend(
                _flag_arguments(field.name, hints[field.name], text)
            )
    return tuple(arguments)


def _flag_arguments(name: str, hint: typing.Any, text: str) -> Iterator[str]:
    flag = name.replace('_', '-')
    if hint is bool:
        yield f'--{_boolean_prefix(name, text)}{flag}'
    elif _is_list(hint):
        yield f'--{flag}'
        yield from filter(None, text.split(','))
    else:
        yield f'--{flag}={text}'


def _boolean_prefix(name: str, text: str) -> str:
    """Return what goes before the flag's name: nothing, or ``no-``."""
    prefix = _BOOLEAN_PREFIXES.get(text.lower())
    if prefix is None:
        raise UsageError(
            f'"{text}" is neither "true" nor "false"',
            where=variable_name(name),
        )
    return prefix


def _is_list(hint: typing.Any) -> bool:
    options: Sequence[typing.Any] = (hint, *typing.get_args(hint))
    return any(typing.get_origin(option) in {list, tuple} for option in options)
