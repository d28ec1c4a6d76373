"""Suggests known names for misspelt ones."""

import difflib
from collections.abc import Iterable

_MAX_LISTED = 8


def nearest_hint(name: str, known: Iterable[str]) -> str:
    """Return a hint that helps to correct an unknown name.

    It suggests the most similar known name. If none is similar, it lists the
    known names, or is empty if there are too many of them.
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
