"""Model of the leases of one upstream, for the model checker.

Two routers lease the only slot of an upstream. The slot coordinator uses the
production ``SlotLedger``. Messages may be lost, repeated, reordered or late,
the coordinator may restart without its state, and a router may pause between
any two steps. Time passes in ticks, and a lease lasts one tick.
"""

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

from hickorymux._internal.state.slot_ledger import (
    Lease,
    SlotLedger,
    takeover_wait_seconds,
    usable_until,
)

NAMES = ('a', 'b')
LEASE_TICKS = 1
MAX_GRANTED = 2
LIMIT = 1


@dataclasses.dataclass(frozen=True)
class Variant:
    """Which safety mechanisms are enabled, and the bounds of the model.

    ``has_takeover_wait`` makes a restarted coordinator wait for old leases to
    expire. ``has_expiry_check`` makes a holder check its lease before it uses
    a slot. ``has_monotonic_counts`` treats returned slots as totals instead
    of adding them up. ``has_epochs`` lets a holder ignore grants of an
    earlier opening of its session.
    """

    has_takeover_wait: bool = True
    has_expiry_check: bool = True
    has_monotonic_counts: bool = True
    has_epochs: bool = True
    last_tick: int = 2
    max_restarts: int = 1
    max_pending: int = 2


class LeaseRow(NamedTuple):
    """A lease as the coordinator stores it."""

    session: int
    expires_at: float
    granted: int
    returned: int
    epoch: int


class Message(NamedTuple):
    """A renewal, return or grant that is in transit."""

    kind: str
    router: int
    session: int
    requested_at: int
    slots: int
    epoch: int = 0


class Holder(NamedTuple):
    """A router with its session and the slots that it holds in it."""

    session: int = 1
    usable_until: float = 0
    granted: int = 0
    returned: int = 0
    epoch: int = 0


class ModelState(NamedTuple):
    """The state of the whole model."""

    now: int = 0
    grants_from: float = 0
    leases: tuple[LeaseRow | None, ...] = (None, None)
    holders: tuple[Holder, ...] = (Holder(), Holder())
    pending: tuple[Message, ...] = ()
    restarts: int = 0
    sessions_begun: int = 0


Steps = Iterator[tuple[str, ModelState]]


def ledger_of(model_state: ModelState) -> SlotLedger:
    """Return the coordinator's ledger with the leases of the state."""
    ledger = SlotLedger(model_state.grants_from)
    for name, row in zip(NAMES, model_state.leases, strict=True):
        if row is not None:
            ledger.leases[name] = Lease(
                row.session, row.expires_at, row.granted, row.returned
            )
    return ledger


def with_ledger(model_state: ModelState, ledger: SlotLedger) -> ModelState:
    rows = []
    for name, before in zip(NAMES, model_state.leases, strict=True):
        lease = ledger.leases.get(name)
        if lease is None:
            rows.append(None)
            continue
        epoch = before.epoch if before else model_state.sessions_begun
        rows.append(
            LeaseRow(
                lease.session,
                lease.expires_at,
                lease.granted,
                lease.returned,
                epoch,
            )
        )
    return model_state._replace(leases=tuple(rows))


def with_holder(
    model_state: ModelState, index: int, **changes: object
) -> ModelState:
    holders = list(model_state.holders)
    holders[index] = holders[index]._replace(**changes)
    return model_state._replace(holders=tuple(holders))


def is_usable(
    model_state: ModelState, holder: Holder, variant: Variant
) -> bool:
    if holder.granted <= holder.returned:
        return False
    return model_state.now < holder.usable_until or not variant.has_expiry_check


def send(
    model_state: ModelState, message: Message, variant: Variant
) -> ModelState | None:
    if (
        message in model_state.pending
        or len(model_state.pending) >= variant.max_pending
    ):
        return None
    return model_state._replace(
        pending=tuple(sorted((*model_state.pending, message)))
    )


def holder_steps(
    model_state: ModelState, index: int, variant: Variant
) -> Steps:
    holder = model_state.holders[index]
    held = holder.granted - holder.returned
    renewal = Message('renew', index, holder.session, model_state.now, held)
    requested = send(model_state, renewal, variant)
    if requested is not None:
        yield 'renews', requested
    if held > 0:
        with_return = with_holder(
            model_state, index, returned=holder.returned + 1
        )
        message = Message(
            'return', index, holder.session, 0, holder.returned + 1
        )
        sent = send(with_return, message, variant)
        yield 'returns', with_return if sent is None else sent
    if (
        model_state.now >= holder.usable_until
        and holder.granted
        and holder.session < 2
    ):
        fresh = Holder(session=holder.session + 1)
        yield (
            'opens a new session',
            with_holder(model_state, index, **fresh._asdict()),
        )


def receive(
    model_state: ModelState, message: Message, variant: Variant
) -> ModelState:
    if message.kind == 'grant':
        return receive_grant(model_state, message, variant)
    name = NAMES[message.router]
    ledger = ledger_of(model_state)
    if message.kind == 'return':
        if not variant.has_monotonic_counts and name in ledger.leases:
            ledger.leases[name].returned += 1
        else:
            ledger.return_slots(
                name, message.session, message.slots, model_state.now
            )
        return with_ledger(model_state, ledger)
    if message.slots and name not in ledger.leases:
        # The coordinator does not know the session and refuses it.
        return model_state
    expires_at = model_state.now + LEASE_TICKS
    if variant.has_epochs and name not in ledger.leases:
        model_state = model_state._replace(
            sessions_begun=model_state.sessions_begun + 1
        )
    if not ledger.renew(name, message.session, expires_at):
        ledger.open_lease(
            name, message.session, message.slots, expires_at, model_state.now
        )
    lease = ledger.leases[name]
    model_state = with_ledger(model_state, ledger)
    if lease.session != message.session:
        return model_state
    answer = Message(
        'grant',
        message.router,
        lease.session,
        message.requested_at,
        lease.granted,
        model_state.leases[message.router].epoch,
    )
    return send(model_state, answer, variant) or model_state


def receive_grant(
    model_state: ModelState, message: Message, variant: Variant
) -> ModelState:
    holder = model_state.holders[message.router]
    if holder.session != message.session:
        return model_state
    if variant.has_epochs and holder.epoch not in {0, message.epoch}:
        return model_state
    until = usable_until(message.requested_at, LEASE_TICKS)
    return with_holder(
        model_state,
        message.router,
        granted=max(holder.granted, message.slots),
        usable_until=max(holder.usable_until, until),
        epoch=message.epoch,
    )


def coordinator_steps(model_state: ModelState, variant: Variant) -> Steps:
    for index, name in enumerate(NAMES):
        row = model_state.leases[index]
        if row is None or row.granted >= MAX_GRANTED:
            continue
        ledger = ledger_of(model_state)
        if ledger.grant(name, 1, LIMIT, model_state.now):
            yield (
                f'coordinator grants a slot to {name}',
                with_ledger(model_state, ledger),
            )
    if model_state.restarts < variant.max_restarts:
        wait = (
            takeover_wait_seconds(LEASE_TICKS)
            if variant.has_takeover_wait
            else 0
        )
        yield (
            'coordinator restarts',
            model_state._replace(
                leases=(None, None),
                grants_from=model_state.now + wait,
                restarts=model_state.restarts + 1,
            ),
        )


def pass_time(model_state: ModelState) -> ModelState:
    later = model_state._replace(now=model_state.now + 1)
    ledger = ledger_of(later)
    ledger.expire(later.now)
    return with_ledger(later, ledger)


def transitions(
    model_state: ModelState, variant: Variant
) -> list[tuple[str, ModelState]]:
    found = [
        (f'{name} {label}', after)
        for index, name in enumerate(NAMES)
        for label, after in holder_steps(model_state, index, variant)
    ]
    found.extend(coordinator_steps(model_state, variant))
    for message in model_state.pending:
        rest = model_state._replace(
            pending=tuple(one for one in model_state.pending if one != message)
        )
        found.append((f'loses {message.kind}', rest))
        found.append(
            (f'delivers {message.kind}', receive(rest, message, variant))
        )
        found.append(
            (f'repeats {message.kind}', receive(model_state, message, variant))
        )
    if model_state.now < variant.last_tick:
        found.append(('time passes', pass_time(model_state)))
    return [(label, after) for label, after in found if after != model_state]


def usable_slots(model_state: ModelState, variant: Variant) -> int:
    return sum(
        holder.granted - holder.returned
        for holder in model_state.holders
        if is_usable(model_state, holder, variant)
    )


def model(variant: Variant) -> minicheck.Protocol:
    """Return the model, with the invariant that the slot limit holds."""
    return minicheck.Protocol(
        name='slot leases',
        candidate=False,
        fields=('model_state',),
        initial=(ModelState(),),
        transitions=lambda state: [
            (label, (after,)) for label, after in transitions(state[0], variant)
        ],
        invariants={
            'limit': lambda known: (
                usable_slots(known['model_state'], variant) <= LIMIT
            ),
        },
    )
