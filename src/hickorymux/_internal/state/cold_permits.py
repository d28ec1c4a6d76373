"""Who may send work to an upstream in a cold start, as the log decides it.

For each instance of an upstream there are as many permits as the cold limit
allows requests. A record names the offset up to which its writer had read the
stream, and counts only if the permit did not change after that. So of two
racing records the first in offset order wins, every reader finds the same
holder, and no rule here looks at a clock.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

NEVER_CHANGED = -1


@dataclasses.dataclass(slots=True, frozen=True)
class PermitKey:
    """One permit of one instance of an upstream; ``index`` counts from 0."""

    upstream: str
    instance: str
    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class PermitRecord:
    """A change of one permit, as it stands on the log.

    ``holder`` is the router that holds the permit from then on, and is empty
    when it is released. ``incarnation`` tells the lives of a router apart.
    ``read_to`` is the offset below which the writer had read everything.
    """

    key: PermitKey
    holder: str
    incarnation: int
    read_to: int


@dataclasses.dataclass(slots=True, frozen=True)
class PermitState:
    """The holder of a permit since the change at ``offset``.

    ``is_undetermined`` means that the records which would tell the holder are no
    longer retained; such a permit counts as held. ``is_inherited`` means that
    the holder before had not released it.
    """

    offset: int = NEVER_CHANGED
    holder: str = ''
    incarnation: int = 0
    is_undetermined: bool = False
    is_inherited: bool = False

    @property
    def is_free(self) -> bool:
        """Return whether nobody holds the permit."""
        return not self.holder and not self.is_undetermined

    def is_held_by(self, router_id: str, incarnation: int) -> bool:
        """Return whether this life of the router holds the permit."""
        if self.is_undetermined:
            return False
        return (self.holder, self.incarnation) == (router_id, incarnation)


FREE = PermitState()


@dataclasses.dataclass(slots=True)
class PermitFold:
    """All permits of a stream, folded in offset order from ``start`` on.

    Example::

        fold = PermitFold()
        fold.apply(0, [PermitRecord(key, 'router-a', 7, read_to=0)])
        fold.apply(1, [PermitRecord(key, 'router-b', 3, read_to=0)])
        fold.state(key).holder  # 'router-a'
    """

    start: int = 0
    states: dict[PermitKey, PermitState] = dataclasses.field(
        default_factory=dict,
    )

    def apply(self, offset: int, records: Iterable[PermitRecord]) -> None:
        """Apply the records of one offset, in their order."""
        for record in records:
            self._apply_record(offset, record)

    def state(self, key: PermitKey) -> PermitState:
        """Return the state of a permit; free when no record names it."""
        return self.states.get(key, FREE)

    def drop_before(self, first_offset: int) -> None:
        """Drop the changes that are no longer retained.

        A holder keeps its permit by a new record long before that.
        """
        if first_offset <= self.start:
            return
        self.start = first_offset
        self.states = {
            key: state
            for key, state in self.states.items()
            if state.offset >= first_offset
        }

    def _apply_record(self, offset: int, record: PermitRecord) -> None:
        before = self.state(record.key)
        if before.offset >= record.read_to:
            if before.is_undetermined:
                self._set_undetermined(offset, record.key)
            return
        if record.read_to < self.start:
            self._set_undetermined(offset, record.key)
            return
        self.states[record.key] = PermitState(
            offset,
            record.holder,
            record.incarnation,
            is_inherited=_is_inherited(before, record),
        )

    def _set_undetermined(self, offset: int, key: PermitKey) -> None:
        self.states[key] = PermitState(offset, is_undetermined=True)


def permit_keys(upstream: str, instance: str, limit: int) -> list[PermitKey]:
    """Return the permits that a cold limit allows."""
    return [PermitKey(upstream, instance, index) for index in range(limit)]


def pick_permit(
    fold: PermitFold,
    keys: Sequence[PermitKey],
    has_ended: Callable[[str, int], bool],
) -> PermitKey | None:
    """Return a permit that may be claimed: a free one, else a gone one's.

    ``has_ended`` tells whether a life of a router has ended for good.
    """
    for key in keys:
        if fold.state(key).is_free:
            return key
    for key in keys:
        state = fold.state(key)
        if state.holder and has_ended(state.holder, state.incarnation):
            return key
    return None


def _is_inherited(before: PermitState, record: PermitRecord) -> bool:
    if not record.holder or before.is_free:
        return False
    if before.is_held_by(record.holder, record.incarnation):
        return before.is_inherited
    return True
