"""The peers of the counter exchange: delegates, requests, who waits where."""

import dataclasses
import math
from collections.abc import Sequence
from typing import final

import xxhash

from hickorymux._internal.coordination.ports import Member


def choose_delegate(members: Sequence[Member], pool: str) -> Member | None:
    """Return the member that speaks for its zone, by rendezvous hash."""
    staying = [member for member in members if not member.is_leaving]
    return max(
        staying or members,
        key=lambda member: xxhash.xxh64_intdigest(
            f'{member.router_id}|{pool}'.encode(),
        ),
        default=None,
    )


@dataclasses.dataclass(slots=True)
class Request:
    """What a peer is asked for: everything, or what it has not sent yet."""

    term: int
    is_full: bool
    asked_at: float = -math.inf


@final
class WaitingPeers:
    """Which routers and zones have requests of a customer waiting."""

    __slots__ = ('peers',)

    def __init__(self) -> None:
        self.peers: dict[int, set[str]] = {}

    def put(self, number: int, peer: str, *, waits: bool) -> None:
        """Note whether the customer waits at a peer."""
        if waits:
            self.peers.setdefault(number, set()).add(peer)
            return
        names = self.peers.get(number)
        if names is not None:
            names.discard(peer)
            if not names:
                self.peers.pop(number)

    def drop(self, peer: str) -> list[int]:
        """Forget a peer; return the customers that waited there."""
        numbers = [
            number for number, names in self.peers.items() if peer in names
        ]
        for number in numbers:
            self.put(number, peer, waits=False)
        return numbers

    def any_but(self, number: int, left_out: str) -> bool:
        """Return whether the customer waits at a peer but the one given."""
        names = self.peers.get(number, ())
        return any(name != left_out for name in names)
