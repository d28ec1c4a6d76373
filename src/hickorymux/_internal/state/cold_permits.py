"""Replay the log records that decide who holds a cold-start permit.

A permit lets one router run one request on an upstream that is in a cold
start. Each instance of an upstream has as many permits as its cold limit
allows requests. A record names the offset below which its writer had read the
stream, and takes effect only if the permit has not changed since then. Of two
racing records the first in offset order therefore wins, every reader derives
the same holder, and no rule depends on a clock.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

NEVER_CHANGED = -1


@dataclasses.dataclass(slots=True, frozen=True)
class PermitKey:
    """Identifies one permit of one instance of an upstream.

    ``index`` is counted from 0 and is below the cold limit.
    """

    upstream: str
    instance: str
    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class PermitRecord:
    """A claim or release of one permit, as stored on the log.

    ``holder`` is the id of the router that claims the permit, and is empty
    for a release. ``incarnation`` is the incarnation of that router.
    ``read_to`` is the offset below which the writer had read every record.
    """

    key: PermitKey
    holder: str
    incarnation: int
    read_to: int


@dataclasses.dataclass(slots=True, frozen=True)
class PermitState:
    """The holder of a permit since the change at ``offset``.

    ``is_undetermined`` means that the records needed to determine the holder
    are no longer retained; such a permit counts as held. ``is_inherited``
    means that the previous holder had not released the permit.
    """

    offset: int = NEVER_CHANGED
    holder: str = ''
    incarnation: int = 0
    is_undetermined: bool = False
    is_inherited: bool = False

    @property
    def is_free(self) -> bool:
        """Return whether no router holds the permit."""
        return not self.holder and not self.is_undetermined

    def is_held_by(self, router_id: str, incarnation: int) -> bool:
        """Return whether this incarnation of the router holds the permit."""
        if self.is_undetermined:
            return False
        return (self.holder, self.incarnation) == (router_id, incarnation)


FREE = PermitState()


@dataclasses.dataclass(slots=True)
class PermitFold:
    """The state of all permits of a stream, replayed in offset order.

    ``start`` is the offset of the first record that was replayed.

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
        """Return the state of a permit, which is free if no record names it."""
        return self.states.get(key, FREE)

    def drop_before(self, first_offset: int) -> None:
        """Drop the changes that the log no longer retains.

        No permit in use is lost: its holder renews the claim by a new record
        long before the old one is trimmed.
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
    """Return the keys of all permits of an instance, one per request allowed.

    ``limit`` is the cold limit, in concurrent requests.
    """
    return [PermitKey(upstream, instance, index) for index in range(limit)]


def pick_permit(
    fold: PermitFold,
    keys: Sequence[PermitKey],
    has_ended: Callable[[str, int], bool],
) -> PermitKey | None:
    """Return a permit that may be claimed, or none.

    A free permit is preferred to one whose holder has ended. ``has_ended``
    takes a router id and an incarnation, and returns whether that incarnation
    has ended for good.
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
