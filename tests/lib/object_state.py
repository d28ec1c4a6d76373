"""Takes the whole state of an object apart, to compare it before and after."""

import collections
import random
from collections.abc import Mapping


def state_of(found: object) -> object:
    """Return the state as nested tuples that compare by value.

    Functions are left as they are, random generators become their state, and
    an object that is met again on the way down becomes its type's name.
    """
    return _state_of(found, ())


def _state_of(found: object, path: tuple[int, ...]) -> object:
    if id(found) in path:
        return type(found).__name__
    below = (*path, id(found))
    if isinstance(found, random.Random):
        return found.getstate()
    if isinstance(found, (set, frozenset)):
        return frozenset(_state_of(member, below) for member in found)
    if isinstance(found, Mapping):
        return tuple(
            (_state_of(key, below), _state_of(member, below))
            for key, member in found.items()
        )
    if isinstance(found, (list, tuple, collections.deque)):
        return tuple(_state_of(member, below) for member in found)
    if not type(found).__module__.startswith('hickorymux') or callable(found):
        return found
    names = [
        name
        for each in type(found).__mro__
        for name in getattr(each, '__slots__', ())
    ]
    names.extend(getattr(found, '__dict__', ()))
    return tuple(
        (name, _state_of(getattr(found, name), below))
        for name in names
        if hasattr(found, name)
    )
