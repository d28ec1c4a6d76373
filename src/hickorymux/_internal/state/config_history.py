"""What the fold remembers of past changes, to judge the ones to come."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import final

from hickorymux._internal.state.rows import RowKey


@dataclasses.dataclass(slots=True, frozen=True)
class LastChange:
    """The last accepted change of a row."""

    version: int
    author: str


@dataclasses.dataclass(slots=True, frozen=True)
class RowConflict:
    """A row that somebody else changed after the base of a change."""

    key: RowKey
    last_change: LastChange

    def __str__(self) -> str:
        """Return a line for the operator."""
        return (
            f'{self.key} was changed by {self.last_change.author}'
            + f' in version {self.last_change.version}'
        )


@final
class ChangeHistory:
    """The last change of each row and the ids of the decided changes.

    Both are forgotten once they are more than ``horizon`` records old. A
    change whose base is older than that, and older than the version in force,
    is rejected, so what was forgotten can't change a verdict.
    """

    __slots__ = ('decided_offsets', 'horizon', 'last_changes')

    def __init__(self, horizon: int) -> None:
        self.horizon = horizon
        self.last_changes: collections.OrderedDict[RowKey, LastChange]
        self.last_changes = collections.OrderedDict()
        self.decided_offsets: dict[str, int] = {}

    def oldest_base(self, offset: int) -> int:
        """Return the oldest base that a record at an offset may name."""
        return offset - self.horizon

    def prune(self, offset: int) -> None:
        """Forget what no record from an offset on needs."""
        oldest = self.oldest_base(offset)
        while self.last_changes:
            key = next(iter(self.last_changes))
            if self.last_changes[key].version > oldest:
                break
            self.last_changes.popitem(last=False)
        while self.decided_offsets:
            change_id = next(iter(self.decided_offsets))
            if self.decided_offsets[change_id] >= oldest:
                break
            self.decided_offsets.pop(change_id)

    def clear(self) -> None:
        """Forget all changes."""
        self.last_changes.clear()
        self.decided_offsets.clear()

    def record_change(self, key: RowKey, change: LastChange) -> None:
        """Remember the last change of a row."""
        self.last_changes[key] = change
        self.last_changes.move_to_end(key)

    def record_decision(self, change_id: str, offset: int) -> None:
        """Remember that a change was decided at an offset."""
        self.decided_offsets[change_id] = offset

    def conflicts(
        self, base: int, keys: Iterable[RowKey]
    ) -> tuple[RowConflict, ...]:
        """Return those of the rows that were changed after a base."""
        found = ((key, self.last_changes.get(key)) for key in keys)
        return tuple(
            RowConflict(key, change)
            for key, change in found
            if change is not None and change.version > base
        )
