"""What the fold remembers of past changes, to judge the ones to come."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import final

from hickorymux._internal.state.rows import RowKey


@dataclasses.dataclass(slots=True, frozen=True)
class RowTouch:
    """The last accepted change of a row."""

    version: int
    author: str


@dataclasses.dataclass(slots=True, frozen=True)
class RowConflict:
    """A row that somebody else changed after the base of a change."""

    key: RowKey
    touch: RowTouch

    def __str__(self) -> str:
        """Return a line for the operator."""
        return (
            f'{self.key} was changed by {self.touch.author}'
            + f' in version {self.touch.version}'
        )


@final
class ChangeHistory:
    """The last change of each row and the ids of the decided changes.

    Both are forgotten once they are more than ``horizon`` records old. A
    change whose base is older than that, and older than the version in force,
    is rejected, so what was forgotten can't change a verdict.
    """

    __slots__ = ('decided', 'horizon', 'touches')

    def __init__(self, horizon: int) -> None:
        self.horizon = horizon
        self.touches: collections.OrderedDict[RowKey, RowTouch]
        self.touches = collections.OrderedDict()
        self.decided: dict[str, int] = {}

    def oldest_base(self, offset: int) -> int:
        """Return the oldest base that a record at an offset may name."""
        return offset - self.horizon

    def forget(self, offset: int) -> None:
        """Forget what no record from an offset on needs."""
        oldest = self.oldest_base(offset)
        while self.touches:
            key = next(iter(self.touches))
            if self.touches[key].version > oldest:
                break
            self.touches.popitem(last=False)
        while self.decided:
            change_id = next(iter(self.decided))
            if self.decided[change_id] >= oldest:
                break
            self.decided.pop(change_id)

    def clear(self) -> None:
        """Forget all changes."""
        self.touches.clear()
        self.decided.clear()

    def touch(self, key: RowKey, touch: RowTouch) -> None:
        """Remember the last change of a row."""
        self.touches[key] = touch
        self.touches.move_to_end(key)

    def decide(self, change_id: str, offset: int) -> None:
        """Remember that a change was decided at an offset."""
        self.decided[change_id] = offset

    def conflicts(
        self, base: int, keys: Iterable[RowKey]
    ) -> tuple[RowConflict, ...]:
        """Return those of the rows that were changed after a base."""
        found = ((key, self.touches.get(key)) for key in keys)
        return tuple(
            RowConflict(key, touch)
            for key, touch in found
            if touch is not None and touch.version > base
        )
