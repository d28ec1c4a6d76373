"""Model of the permits of one cold instance, for the model checker.

Two routers read the stream, claim, use and release the one permit of an
instance whose cold limit is one. The records are folded and the permit is
picked by the functions that the router runs. Any append may land at any later
moment, also after its router crashed. A router may be frozen between any two
steps, for it need not act. The host list may call a live router gone. Old
records may be trimmed once no work runs and nobody fresh relies on them.
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
FRESH_TICKS = 1
OLD = 1
NEVER = -9

Steps = Iterator[tuple[str, 'World']]


@dataclasses.dataclass(frozen=True)
class Variant:
    """Which mechanisms are on, and how large the model is."""

    has_freshness: bool = True
    has_quarantine: bool = True
    first_claim_wins: bool = True
    may_be_called_gone: bool = True
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
    """One router: what it has read, how it uses the permit, what it runs.

    ``age`` counts ticks since it read the stream, ``held_for`` ticks since it
    saw itself as the holder; both stop at ``OLD``.
    """

    incarnation: int = 1
    start: int = 0
    first_seen: int = 0
    read_to: int = 0
    age: int = OLD
    held_for: int = 0
    use: Use = Use.none
    is_running: bool = False
    is_called_gone: bool = False


class World(NamedTuple):
    """The whole state: the log, appends on their way, routers, lost work."""

    first: int = 0
    log: tuple[PermitRecord, ...] = ()
    flying: tuple[PermitRecord, ...] = ()
    routers: tuple[RouterState, ...] = (RouterState(), RouterState())
    orphans: int = 0
    crashes: int = 0


class LastClaimFold(PermitFold):
    """Broken on purpose: the newest claim wins."""

    def state(self, key: PermitKey) -> PermitState:
        known = super().state(key)
        return dataclasses.replace(known, offset=NEVER)


def state_of(
    world: World, router: RouterState, variant: Variant
) -> PermitState:
    """Return what the router knows of the permit."""
    return fold_of(world, router, variant).state(KEY)


def fold_of(world: World, router: RouterState, variant: Variant) -> PermitFold:
    fold_class = PermitFold if variant.first_claim_wins else LastClaimFold
    fold = fold_class(start=router.start)
    for offset in range(router.start, router.read_to):
        fold.apply(offset, [world.log[offset]])
    fold.forget_before(router.first_seen)
    return fold


def running(world: World) -> int:
    return world.orphans + sum(one.is_running for one in world.routers)


def with_router(world: World, index: int, **changes: object) -> World:
    routers = list(world.routers)
    routers[index] = routers[index]._replace(**changes)
    return world._replace(routers=tuple(routers))


def read(world: World, index: int, variant: Variant) -> World:
    router = world.routers[index]
    start = router.start if router.read_to >= world.first else world.first
    router = router._replace(
        start=start, first_seen=world.first, read_to=len(world.log), age=0
    )
    state = state_of(world, router, variant)
    if not state.is_held_by(NAMES[index], router.incarnation):
        router = router._replace(use=Use.none, held_for=0)
    elif router.use is Use.none:
        is_checked = state.is_inherited and variant.has_quarantine
        use = Use.quarantined if is_checked else Use.usable
        router = router._replace(use=use, held_for=0)
    return with_router(world, index, **router._asdict())


def claim(world: World, index: int, variant: Variant) -> World | None:
    router = world.routers[index]
    if router.use is not Use.none:
        return None

    def is_gone(name: str, incarnation: int) -> bool:
        other = world.routers[NAMES.index(name)]
        return other.incarnation > incarnation or other.is_called_gone

    fold = fold_of(world, router, variant)
    if pick_permit(fold, [KEY], is_gone) is None:
        return None
    record = PermitRecord(KEY, NAMES[index], router.incarnation, router.read_to)
    return fly(world, record)


def fly(world: World, record: PermitRecord) -> World:
    flying = tuple(sorted({*world.flying, record}, key=repr))
    return world._replace(flying=flying)


def may_send(router: RouterState, variant: Variant) -> bool:
    if router.is_running or router.use is not Use.usable:
        return False
    return router.age < FRESH_TICKS or not variant.has_freshness


def crash(world: World, index: int) -> World:
    router = world.routers[index]
    reborn = RouterState(
        incarnation=router.incarnation + 1,
        start=world.first,
        read_to=world.first,
    )
    return with_router(world, index, **reborn._asdict())._replace(
        orphans=world.orphans + router.is_running,
        crashes=world.crashes + 1,
    )


def router_steps(world: World, index: int, variant: Variant) -> Steps:
    router = world.routers[index]
    yield 'reads', read(world, index, variant)
    claimed = claim(world, index, variant)
    if claimed is not None:
        yield 'claims', claimed
    if may_send(router, variant):
        yield 'sends', with_router(world, index, is_running=True)
    if router.is_running:
        yield 'ends', with_router(world, index, is_running=False)
    if router.use is Use.usable and not router.is_running:
        record = PermitRecord(KEY, '', 0, router.read_to)
        stopped = with_router(world, index, use=Use.releasing)
        yield 'releases', fly(stopped, record)
    is_late = router.held_for >= FRESH_TICKS
    if router.use is Use.quarantined and is_late and not running(world):
        yield 'sees it idle', with_router(world, index, use=Use.usable)
    if world.crashes < variant.max_crashes:
        yield 'crashes', crash(world, index)
    is_called = any(one.is_called_gone for one in world.routers)
    if variant.may_be_called_gone and not is_called:
        yield 'is called gone', with_router(world, index, is_called_gone=True)


def pass_time(world: World) -> World:
    routers = tuple(
        one._replace(
            age=min(one.age + 1, OLD),
            held_for=min(one.held_for + (one.use is Use.quarantined), OLD),
        )
        for one in world.routers
    )
    return world._replace(routers=routers)


def may_trim(world: World, variant: Variant) -> bool:
    """Return whether the oldest record may go.

    Retention is far longer than a request and than a holder stays fresh.
    """
    if running(world) or world.first >= min(variant.max_trims, len(world.log)):
        return False
    return not any(
        router.age < FRESH_TICKS
        and state_of(world, router, variant).offset == world.first
        for router in world.routers
    )


def transitions(world: World, variant: Variant) -> list[tuple[str, World]]:
    found = [
        (f'{name} {label}', after)
        for index, name in enumerate(NAMES)
        for label, after in router_steps(world, index, variant)
    ]
    for record in world.flying:
        rest = tuple(one for one in world.flying if one != record)
        if len(world.log) < variant.max_records:
            landed = world._replace(flying=rest, log=(*world.log, record))
            found.append((f'append of {record.holder} lands', landed))
    if world.orphans:
        found.append(('lost work ends', world._replace(orphans=0)))
    if may_trim(world, variant):
        found.append(('trim', world._replace(first=world.first + 1)))
    found.append(('time passes', pass_time(world)))
    return [(label, after) for label, after in found if after != world]


def model(variant: Variant) -> minicheck.Protocol:
    """Return the model for the checker."""
    return minicheck.Protocol(
        name='cold permits',
        candidate=False,
        fields=('world',),
        initial=(World(),),
        transitions=lambda state: [
            (label, (after,)) for label, after in transitions(state[0], variant)
        ],
        invariants={'cold limit': lambda known: running(known['world']) <= 1},
    )
