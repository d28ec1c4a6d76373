"""The peers of the counter exchange: delegates, requests, who waits where."""

import dataclasses
import math
from collections.abc import Sequence
from typing import final

import xxhash

from hickorymux._internal.coordination.ports import Member


def choose_delegate(members: Sequence[Member], pool: str) -> Member | None:
    """Return the member that speaks for its zone, by rendezvous hash."""
    not_leaving = [member for member in members if not member.is_leaving]
    return max(
        not_leaving or members,
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

    __slots__ = ('peers_by_customer',)

    def __init__(self) -> None:
        self.peers_by_customer: dict[int, set[str]] = {}

    def set_waiting(self, customer_id: int, peer: str, *, waits: bool) -> None:
        """Note whether the customer waits at a peer."""
        if waits:
            self.peers_by_customer.setdefault(customer_id, set()).add(peer)
            return
        peers = self.peers_by_customer.get(customer_id)
        if peers is not None:
            peers.discard(peer)
            if not peers:
                self.peers_by_customer.pop(customer_id)

    def remove_peer(self, peer: str) -> list[int]:
        """Forget a peer; return the customers that waited there."""
        customer_ids = [
            customer_id
            for customer_id, peers in self.peers_by_customer.items()
            if peer in peers
        ]
        for customer_id in customer_ids:
            self.set_waiting(customer_id, peer, waits=False)
        return customer_ids

    def waits_at_other(self, customer_id: int, excluded: str) -> bool:
        """Return whether the customer waits at a peer but the one given."""
        peers = self.peers_by_customer.get(customer_id, ())
        return any(peer != excluded for peer in peers)
