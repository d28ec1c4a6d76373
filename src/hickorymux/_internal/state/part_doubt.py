"""Tells how well other suspects explain the crashes of a prompt part.

Example::

    page = Rival(7, frozenset(('e1#7', 'e2#4')))
    assert doubt_from(('e1#7', 'e2#4'), [page]) is Doubt.strong
    assert doubt_from(('e1#7', 'e2#4', 'e3#9'), [page]) is Doubt.none
"""

import dataclasses
import enum
from collections.abc import Iterable, Sequence


class Doubt(enum.IntEnum):
    """How uncertain it is that a part crashes engines.

    ``strong``: fewer other suspects than crashes explain them all. ``weak``:
    others explain them all, but each crash needs its own. ``none``: there is a
    crash that nothing else explains.
    """

    strong = 0
    weak = 1
    none = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Rival:
    """Another suspect that was at ``crashes`` of a part.

    ``has_requests`` tells whether different requests with it were lost.
    ``is_likely`` is unset if it is the less likely cause.
    """

    part: int
    crashes: frozenset[str]
    has_requests: bool = True
    is_likely: bool = True


def doubt_from(crashes: Iterable[str], rivals: Sequence[Rival]) -> Doubt:
    """Return the doubt that the rivals cast on the cause of the crashes.

    Uses the greedy cover of the crashes, which is at most some larger than the
    smallest one. A rival of which only one request was lost counts once for
    each crash, as that request and its retries may have been there by
    coincidence.
    """
    left = set(crashes)
    count = len(left)
    causes = 0
    is_likely = True
    while left:
        gains = [len(rival.crashes & left) for rival in rivals]
        if not any(gains):
            return Doubt.none
        best = rivals[gains.index(max(gains))]
        gained = best.crashes & left
        left -= gained
        causes += 1 if best.has_requests else len(gained)
        is_likely &= best.is_likely
    return Doubt.strong if causes < count and is_likely else Doubt.weak
