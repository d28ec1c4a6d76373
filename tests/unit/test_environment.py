"""Environment variables set the flags of commands."""

import dataclasses

import pytest

from hickorymux._internal.cli.environment import environment_flags
from hickorymux._internal.exceptions import UsageError


@dataclasses.dataclass(kw_only=True)
class Command:
    target: str = dataclasses.field(kw_only=False)
    queue_limit: int = 1
    peers: tuple[str, ...] = ()
    is_strict: bool = False


def test_each_kind_of_flag() -> None:
    environment = {
        'HICKORYMUX_QUEUE_LIMIT': '5',
        'HICKORYMUX_PEERS': 'a,b',
        'HICKORYMUX_IS_STRICT': 'False',
        'HICKORYMUX_TARGET': 'not a flag',
        'QUEUE_LIMIT': '6',
    }
    assert environment_flags(Command, environment) == (
        '--queue-limit=5',
        '--peers',
        'a',
        'b',
        '--no-is-strict',
    )


def test_a_bad_switch_names_its_variable() -> None:
    with pytest.raises(UsageError, match='HICKORYMUX_IS_STRICT'):
        environment_flags(Command, {'HICKORYMUX_IS_STRICT': 'maybe'})
