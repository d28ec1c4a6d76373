"""Choice of zone delegates, and state kept about the exchange's peers."""

import dataclasses
import math
from collections.abc import Sequence
from typing import final

import xxhash

from hickorymux._internal.coordination.ports import Member


def choose_delegate(members: Sequence[Member], pool: str) -> Member | None:
    """Return the delegate among a zone's members, by rendezvous hash.

    Members that are leaving are chosen only when there are no others. Return
    None when there are no members.
    """
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
    """A request to a peer for its service, until it is answered.

    ``is_full`` asks for everything instead of what the peer has not sent yet.
    ``asked_at`` is the monotonic time when it was last sent.
    """

    term: int
    is_full: bool
    asked_at: float = -math.inf


@final
class WaitingPeers:
    """The routers or zones where requests of each customer wait."""

    __slots__ = ('peers_by_customer',)

    def __init__(self) -> None:
        self.peers_by_customer: dict[int, set[str]] = {}

    def set_waiting(self, customer_id: int, peer: str, *, waits: bool) -> None:
        """Record whether requests of the customer wait at a peer."""
        if waits:
            self.peers_by_customer.setdefault(customer_id, set()).add(peer)
            return
        peers = self.peers_by_customer.get(customer_id)
        if peers is not None:
            peers.discard(peer)
            if not peers:
                self.peers_by_customer.pop(customer_id)

    def remove_peer(self, peer: str) -> list[int]:
        """Remove a peer; return the ids of the customers that waited there."""
        customer_ids = [
            customer_id
            for customer_id, peers in self.peers_by_customer.items()
            if peer in peers
        ]
        for customer_id in customer_ids:
            self.set_waiting(customer_id, peer, waits=False)
        return customer_ids

    def waits_at_other(self, customer_id: int, excluded: str) -> bool:
        """Return whether the customer waits at any peer but ``excluded``."""
        peers = self.peers_by_customer.get(customer_id, ())
        return any(peer != excluded for peer in peers)
