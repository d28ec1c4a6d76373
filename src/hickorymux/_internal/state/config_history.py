"""Records past changes, to detect conflicts and duplicates among new ones."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import final

from hickorymux._internal.state.rows import RowKey


@dataclasses.dataclass(slots=True, frozen=True)
class LastChange:
    """The version and author of the last accepted change of a row."""

    version: int
    author: str


@dataclasses.dataclass(slots=True, frozen=True)
class RowConflict:
    """A row whose last change is newer than the base of a new change."""

    key: RowKey
    last_change: LastChange

    def __str__(self) -> str:
        """Return a line that tells an operator who changed the row."""
        return (
            f'{self.key} was changed by {self.last_change.author}'
            + f' in version {self.last_change.version}'
        )


@final
class ChangeHistory:
    """The last change of each row and the ids of the decided changes.

    A change is decided when it was accepted or rejected; its id must not be
    decided a second time. Entries are dropped once they are more than
    ``horizon`` records old. This cannot alter a decision: a change whose base
    is older than that, and older than the version in force, is rejected
    anyway.
    """

    __slots__ = ('decided_offsets', 'horizon', 'last_changes')

    def __init__(self, horizon: int) -> None:
        self.horizon = horizon
        self.last_changes: collections.OrderedDict[RowKey, LastChange]
        self.last_changes = collections.OrderedDict()
        self.decided_offsets: dict[str, int] = {}

    def oldest_base(self, offset: int) -> int:
        """Return the oldest base for which a record can be checked.

        ``offset`` is the offset of that record.
        """
        return offset - self.horizon

    def prune(self, offset: int) -> None:
        """Drop entries that records from an offset on do not need."""
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
        """Drop all entries."""
        self.last_changes.clear()
        self.decided_offsets.clear()

    def record_change(self, key: RowKey, change: LastChange) -> None:
        """Record a change as the last one of a row."""
        self.last_changes[key] = change
        self.last_changes.move_to_end(key)

    def record_decision(self, change_id: str, offset: int) -> None:
        """Record that a change was decided at an offset."""
        self.decided_offsets[change_id] = offset

    def conflicts(
        self, base: int, keys: Iterable[RowKey]
    ) -> tuple[RowConflict, ...]:
        """Return a conflict for each of the rows changed after the base."""
        found = ((key, self.last_changes.get(key)) for key in keys)
        return tuple(
            RowConflict(key, change)
            for key, change in found
            if change is not None and change.version > base
        )
