"""Suggestions for misspelt names."""

import difflib
from collections.abc import Iterable

_MAX_LISTED = 8


def nearest_hint(name: str, known: Iterable[str]) -> str:
    """Return what to write instead of an unknown name.

    It is the nearest known name, else the known names when they are few.
    """
    names = list(known)
    near = difflib.get_close_matches(name, names, n=1)
    if near:
        return f'did you mean "{near[0]}"?'
    if not names:
        return 'there is none yet'
    if len(names) <= _MAX_LISTED:
        return f'known: {", ".join(names)}'
    return ''
