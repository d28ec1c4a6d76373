"""Chooses which routers may try again what all routers refuse."""

import xxhash

from hickorymux._internal.coordination.ports import Member, MemberView


def is_trial_owner(fingerprint: int, members: MemberView) -> bool:
    """Return whether this router tries what a fingerprint stands for.

    All routers with the same live members choose the same one, by rendezvous
    hash.
    """
    owner = max(members.live(), key=lambda member: _rank(fingerprint, member))
    return owner.router_id == members.myself.router_id


def trial_rank(fingerprint: int, members: MemberView) -> int:
    """Return how many routers may try it before this one.

    The order is that of the rendezvous hash, so the owner's rank is 0.
    """
    mine = _rank(fingerprint, members.myself)
    return sum(_rank(fingerprint, member) > mine for member in members.live())


def _rank(fingerprint: int, member: Member) -> int:
    # All routers must hash the same text to choose the same owner.
    text = f'{fingerprint:016x}/{member.router_id}'
    return xxhash.xxh3_64_intdigest(text.encode())
