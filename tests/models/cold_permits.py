"""Model of the permits of one cold instance, for the model checker.

Two routers read the log stream and claim, use and release the only permit of
an instance whose cold limit is 1. The model calls the production code that
replays the records and picks a permit. It covers these cases:

- An append takes effect at any later moment, even after its router crashed.
- A router pauses between any two steps.
- The host list drops a router that is still live.
- Old records are trimmed, once no request runs and no router with a confirmed
  permit relies on them.
"""

import dataclasses
import enum
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

from hickorymux._internal.state.cold_permits import (
    PermitFold,
    PermitKey,
    PermitRecord,
    PermitState,
    pick_permit,
)

KEY = PermitKey('engine', 'i1', 0)
NAMES = ('a', 'b')
CONFIRMATION_VALID_TICKS = 1
MAX_AGE_TICKS = 1
BEFORE_ALL_RECORDS = -9

Steps = Iterator[tuple[str, 'ModelState']]


@dataclasses.dataclass(frozen=True)
class Variant:
    """Which safety mechanisms are enabled, and the bounds of the model.

    ``has_confirmation_limit`` makes a permit unusable when the stream was not
    read recently. ``has_quarantine`` makes a router wait with a permit that it
    took over. ``is_first_claim_winner`` gives a contested permit to the first
    claim. ``may_be_unlisted`` lets the host list drop one live router.
    """

    has_confirmation_limit: bool = True
    has_quarantine: bool = True
    is_first_claim_winner: bool = True
    may_be_unlisted: bool = True
    max_records: int = 2
    max_crashes: int = 1
    max_trims: int = 0


class Use(enum.IntEnum):
    """What a router does with the permit that it holds."""

    none = 0
    quarantined = 1
    usable = 2
    releasing = 3


class RouterState(NamedTuple):
    """The state of one router.

    ``start`` and ``read_to`` bound the offsets that it has read, and
    ``first_seen`` is the first offset retained at its last read.
    ``ticks_since_read`` counts from that read, and ``ticks_held`` from when
    the router found itself to be the holder in quarantine; both stop at
    ``MAX_AGE_TICKS``.
    """

    incarnation: int = 1
    start: int = 0
    first_seen: int = 0
    read_to: int = 0
    ticks_since_read: int = MAX_AGE_TICKS
    ticks_held: int = 0
    use: Use = Use.none
    is_running: bool = False
    is_unlisted: bool = False


class ModelState(NamedTuple):
    """The state of the whole model.

    ``first`` is the first offset that the log retains. ``orphaned_requests``
    is the number of requests that still run after their router crashed.
    """

    first: int = 0
    log: tuple[PermitRecord, ...] = ()
    pending_appends: tuple[PermitRecord, ...] = ()
    routers: tuple[RouterState, ...] = (RouterState(), RouterState())
    orphaned_requests: int = 0
    crashes: int = 0


class LastClaimFold(PermitFold):
    """A faulty fold for the tests, in which the last claim wins."""

    def state(self, key: PermitKey) -> PermitState:
        known = super().state(key)
        return dataclasses.replace(known, offset=BEFORE_ALL_RECORDS)


def state_of(
    model_state: ModelState, router: RouterState, variant: Variant
) -> PermitState:
    """Return the state of the permit by the records that the router read."""
    return fold_of(model_state, router, variant).state(KEY)


def fold_of(
    model_state: ModelState, router: RouterState, variant: Variant
) -> PermitFold:
    fold_class = PermitFold if variant.is_first_claim_winner else LastClaimFold
    fold = fold_class(start=router.start)
    for offset in range(router.start, router.read_to):
        fold.apply(offset, [model_state.log[offset]])
    fold.drop_before(router.first_seen)
    return fold


def running_requests(model_state: ModelState) -> int:
    return model_state.orphaned_requests + sum(
        one.is_running for one in model_state.routers
    )


def with_router(
    model_state: ModelState, index: int, **changes: object
) -> ModelState:
    routers = list(model_state.routers)
    routers[index] = routers[index]._replace(**changes)
    return model_state._replace(routers=tuple(routers))


def read_stream(
    model_state: ModelState, index: int, variant: Variant
) -> ModelState:
    router = model_state.routers[index]
    start = (
        router.start
        if router.read_to >= model_state.first
        else model_state.first
    )
    router = router._replace(
        start=start,
        first_seen=model_state.first,
        read_to=len(model_state.log),
        ticks_since_read=0,
    )
    state = state_of(model_state, router, variant)
    if not state.is_held_by(NAMES[index], router.incarnation):
        router = router._replace(use=Use.none, ticks_held=0)
    elif router.use is Use.none:
        is_checked = state.is_inherited and variant.has_quarantine
        use = Use.quarantined if is_checked else Use.usable
        router = router._replace(use=use, ticks_held=0)
    return with_router(model_state, index, **router._asdict())


def claim(
    model_state: ModelState, index: int, variant: Variant
) -> ModelState | None:
    router = model_state.routers[index]
    if router.use is not Use.none:
        return None

    def has_ended(name: str, incarnation: int) -> bool:
        other = model_state.routers[NAMES.index(name)]
        return other.incarnation > incarnation or other.is_unlisted

    fold = fold_of(model_state, router, variant)
    if pick_permit(fold, [KEY], has_ended) is None:
        return None
    record = PermitRecord(KEY, NAMES[index], router.incarnation, router.read_to)
    return start_append(model_state, record)


def start_append(model_state: ModelState, record: PermitRecord) -> ModelState:
    pending_appends = tuple(
        sorted({*model_state.pending_appends, record}, key=repr)
    )
    return model_state._replace(pending_appends=pending_appends)


def may_send(router: RouterState, variant: Variant) -> bool:
    if router.is_running or router.use is not Use.usable:
        return False
    return (
        router.ticks_since_read < CONFIRMATION_VALID_TICKS
        or not variant.has_confirmation_limit
    )


def crash(model_state: ModelState, index: int) -> ModelState:
    router = model_state.routers[index]
    restarted = RouterState(
        incarnation=router.incarnation + 1,
        start=model_state.first,
        read_to=model_state.first,
    )
    return with_router(model_state, index, **restarted._asdict())._replace(
        orphaned_requests=model_state.orphaned_requests + router.is_running,
        crashes=model_state.crashes + 1,
    )


def router_steps(
    model_state: ModelState, index: int, variant: Variant
) -> Steps:
    router = model_state.routers[index]
    yield 'reads', read_stream(model_state, index, variant)
    claimed = claim(model_state, index, variant)
    if claimed is not None:
        yield 'claims', claimed
    if may_send(router, variant):
        yield 'sends', with_router(model_state, index, is_running=True)
    if router.is_running:
        yield 'ends', with_router(model_state, index, is_running=False)
    if router.use is Use.usable and not router.is_running:
        record = PermitRecord(KEY, '', 0, router.read_to)
        stopped = with_router(model_state, index, use=Use.releasing)
        yield 'releases', start_append(stopped, record)
    is_quarantine_over = router.ticks_held >= CONFIRMATION_VALID_TICKS
    if (
        router.use is Use.quarantined
        and is_quarantine_over
        and not running_requests(model_state)
    ):
        yield (
            'sees no requests running',
            with_router(model_state, index, use=Use.usable),
        )
    if model_state.crashes < variant.max_crashes:
        yield 'crashes', crash(model_state, index)
    is_any_unlisted = any(one.is_unlisted for one in model_state.routers)
    if variant.may_be_unlisted and not is_any_unlisted:
        yield (
            'is dropped from the host list',
            with_router(model_state, index, is_unlisted=True),
        )


def pass_time(model_state: ModelState) -> ModelState:
    routers = tuple(
        one._replace(
            ticks_since_read=min(one.ticks_since_read + 1, MAX_AGE_TICKS),
            ticks_held=min(
                one.ticks_held + (one.use is Use.quarantined), MAX_AGE_TICKS
            ),
        )
        for one in model_state.routers
    )
    return model_state._replace(routers=routers)


def may_trim(model_state: ModelState, variant: Variant) -> bool:
    """Return whether the oldest record may be trimmed.

    The log retains records far longer than a request runs and than a permit
    is usable without a new read.
    """
    if running_requests(model_state) or model_state.first >= min(
        variant.max_trims, len(model_state.log)
    ):
        return False
    return not any(
        router.ticks_since_read < CONFIRMATION_VALID_TICKS
        and state_of(model_state, router, variant).offset == model_state.first
        for router in model_state.routers
    )


def transitions(
    model_state: ModelState, variant: Variant
) -> list[tuple[str, ModelState]]:
    found = [
        (f'{name} {label}', after)
        for index, name in enumerate(NAMES)
        for label, after in router_steps(model_state, index, variant)
    ]
    for record in model_state.pending_appends:
        rest = tuple(
            one for one in model_state.pending_appends if one != record
        )
        if len(model_state.log) < variant.max_records:
            appended = model_state._replace(
                pending_appends=rest, log=(*model_state.log, record)
            )
            found.append((f'append of {record.holder} is done', appended))
    if model_state.orphaned_requests:
        found.append(
            ('orphaned requests end', model_state._replace(orphaned_requests=0))
        )
    if may_trim(model_state, variant):
        found.append(
            (
                'the log is trimmed',
                model_state._replace(first=model_state.first + 1),
            )
        )
    found.append(('time passes', pass_time(model_state)))
    return [(label, after) for label, after in found if after != model_state]


def model(variant: Variant) -> minicheck.Protocol:
    """Return the model, with the invariant that the cold limit holds."""
    return minicheck.Protocol(
        name='cold permits',
        candidate=False,
        fields=('model_state',),
        initial=(ModelState(),),
        transitions=lambda state: [
            (label, (after,)) for label, after in transitions(state[0], variant)
        ],
        invariants={
            'cold limit': lambda known: (
                running_requests(known['model_state']) <= 1
            )
        },
    )
