"""Service that each customer of one pool has received, across the fleet.

Service is counted in virtual units: the cost of a request (tokens for model
pools, milliseconds for services) divided by the customer's weight at the
moment it is charged. A changed weight therefore applies to later work only.

Every figure is a lower bound of the true service and only grows, so merging
by maximum is safe in any order and any number of times. The method follows
the virtual token counter of Sheng et al., "Fairness in Serving Large Language
Models", OSDI 2024, with the counter split over routers.
"""

import dataclasses
from collections.abc import Iterator
from typing import Self, final

from hickorymux._internal.state.tables import Pool


@dataclasses.dataclass(slots=True)
class Account:
    """The service of one customer, in virtual units.

    ``served`` is what this router gave, ``in_zone`` what the other routers of
    its zone gave and ``other_zones`` what the rest of the fleet gave, as far
    as known here. ``lift`` is the idle time's share that a returning customer
    does not get back. ``provisional`` is the part of the estimates of the
    requests in flight that is not yet charged.
    """

    customer: str
    weight: float = 1.0
    served: float = 0
    in_zone: float = 0
    other_zones: float = 0
    lift: float = 0
    provisional: float = 0
    waits_here: bool = False
    waits_elsewhere: bool = False
    revision: int = 0

    @property
    def total(self) -> float:
        """Return the service received in the whole fleet, as known here."""
        return self.served + self.in_zone + self.other_zones

    @property
    def counter(self) -> float:
        """Return the virtual counter, without work that is in flight."""
        return self.served + self.in_zone + self.other_zones + self.lift

    @property
    def order(self) -> float:
        """Return the virtual counter with the estimates of work in flight."""
        return self.counter + self.provisional

    @property
    def waits(self) -> bool:
        """Return whether the customer has requests waiting in the fleet."""
        return self.waits_here or self.waits_elsewhere


@dataclasses.dataclass(slots=True, frozen=True)
class AccountUpdate:
    """What another router knows of a customer; lower bounds, virtual units."""

    customer: str
    in_zone: float = 0
    other_zones: float = 0
    lift: float = 0


@final
class ServiceCounters:
    """The accounts of all customers of one pool, as known at one router.

    Example::

        counters = ServiceCounters.from_config(pool)
        counters.charge('kitchen', 120)
        counters.merge(AccountUpdate('kitchen', other_zones=400))
        counters.total('kitchen')  # 520.0
    """

    __slots__ = ('accounts', 'floor', 'pool', 'revision')

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.accounts: dict[str, Account] = {}
        self.floor: float = 0
        self.revision = 1

    @classmethod
    def from_config(cls, pool: Pool) -> Self:
        """Return empty counters with the weights of the pool."""
        return cls(pool)

    def configure(self, pool: Pool) -> None:
        """Take the weights of a new configuration, for later charges."""
        self.pool = pool
        for account in self.accounts.values():
            account.weight = self.weight(account.customer)

    def weight(self, customer: str) -> float:
        """Return the configured weight of a customer."""
        return self.pool.weights.get(customer, self.pool.default_weight)

    def account(self, customer: str) -> Account:
        """Return the customer's account, opening it when there is none."""
        account = self.accounts.get(customer)
        if account is None:
            account = Account(customer, weight=self.weight(customer))
            self.accounts[customer] = account
        return account

    def charge(self, customer: str, cost: float) -> None:
        """Add the cost of work that this router did for the customer."""
        account = self.account(customer)
        account.served += cost / account.weight
        account.revision = self.revision

    def total(self, customer: str) -> float:
        """Return the customer's service in the fleet, in virtual units."""
        account = self.accounts.get(customer)
        return account.total if account else 0

    def counter(self, customer: str) -> float:
        """Return the customer's virtual counter: service and lift."""
        account = self.accounts.get(customer)
        return account.counter if account else 0

    def merge(self, update: AccountUpdate) -> None:
        """Take over what another router knows, by maximum."""
        account = self.account(update.customer)
        before = account.counter
        account.in_zone = max(account.in_zone, update.in_zone)
        account.other_zones = max(account.other_zones, update.other_zones)
        account.lift = max(account.lift, update.lift)
        if account.counter > before:
            account.revision = self.revision

    def raise_to(self, account: Account, counter: float) -> None:
        """Lift an account to a virtual counter; it never goes down."""
        missing = counter - account.counter
        if missing > 0:
            account.lift += missing
            account.revision = self.revision

    def set_waits_elsewhere(self, customer: str, *, waits: bool) -> None:
        """Note whether other routers have requests of the customer waiting."""
        account = self.account(customer)
        if account.waits_elsewhere != waits:
            account.waits_elsewhere = waits
            account.revision = self.revision

    def raise_floor(self, floor: float) -> None:
        """Take over a floor: the least counter served while work waited."""
        self.floor = max(self.floor, floor)

    def next_revision(self) -> int:
        """Close the current revision and return its number."""
        closed = self.revision
        self.revision += 1
        return closed

    def changed_since(self, revision: int) -> Iterator[Account]:
        """Yield the accounts that changed after a closed revision."""
        for account in self.accounts.values():
            if account.revision > revision:
                yield account
