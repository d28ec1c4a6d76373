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
from hickorymux._internal.utils.ids import customer_id


@dataclasses.dataclass(slots=True)
class Account:
    """The service of one customer, in virtual units.

    ``served`` is what this router gave, ``in_zone`` what the other routers of
    its zone gave and ``other_zones`` what the rest of the fleet gave, as far
    as known here. ``lift`` is the credit for idle time that the customer does
    not get; it is shared with the fleet. ``guess`` is a lift that was made
    before the service elsewhere was known; it stays at this router.
    ``uncharged_estimate`` is the part of the estimates of the requests in flight
    that is not yet charged.
    """

    customer_id: int
    customer: str = ''
    weight: float = 1.0
    served: float = 0
    in_zone: float = 0
    other_zones: float = 0
    lift: float = 0
    tentative_lift: float = 0
    uncharged_estimate: float = 0
    is_known: bool = False
    waits_here: bool = False
    waits_elsewhere: bool = False
    revision: int = 0

    @property
    def total_service(self) -> float:
        """Return the service received in the whole fleet, as known here."""
        return self.served + self.in_zone + self.other_zones

    @property
    def virtual_time(self) -> float:
        """Return the virtual counter, without work that is in flight."""
        service = self.served + self.in_zone + self.other_zones
        return service + self.lift + self.tentative_lift

    @property
    def projected_virtual_time(self) -> float:
        """Return the virtual counter with the estimates of work in flight."""
        return self.virtual_time + self.uncharged_estimate

    @property
    def waits(self) -> bool:
        """Return whether the customer has requests waiting in the fleet."""
        return self.waits_here or self.waits_elsewhere

    def mark_known(self) -> None:
        """Turn the guess into a lift: the service elsewhere is now known."""
        self.lift += self.tentative_lift
        self.tentative_lift = 0
        self.is_known = True


@dataclasses.dataclass(slots=True, frozen=True)
class AccountUpdate:
    """What another router knows of a customer; lower bounds, virtual units."""

    customer_id: int
    in_zone: float = 0
    other_zones: float = 0
    lift: float = 0


@final
class ServiceCounters:
    """The accounts of all customers of one pool, as known at one router.

    Example::

        counters = ServiceCounters.from_config(pool)
        counters.charge('kitchen', 120)
        update = AccountUpdate(customer_id('kitchen'), other_zones=400)
        counters.merge(update)
        counters.total('kitchen')  # 520.0
    """

    __slots__ = (
        'accounts',
        'accounts_by_name',
        'floor',
        'is_synced',
        'pool',
        'revision',
    )

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.accounts: dict[int, Account] = {}
        self.accounts_by_name: dict[str, Account] = {}
        self.floor: float = 0
        self.is_synced = False
        self.revision = 1

    @classmethod
    def from_config(cls, pool: Pool) -> Self:
        """Return empty counters with the weights of the pool."""
        return cls(pool)

    def configure(self, pool: Pool) -> None:
        """Take the weights of a new configuration, for later charges."""
        self.pool = pool
        for customer, account in self.accounts_by_name.items():
            account.weight = self.weight(customer)

    def weight(self, customer: str) -> float:
        """Return the configured weight of a customer."""
        return self.pool.weights.get(customer, self.pool.default_weight)

    def account(self, customer: str) -> Account:
        """Return the customer's account, opening it when there is none."""
        account = self.accounts_by_name.get(customer)
        if account is None:
            account = self.account_by_id(customer_id(customer))
            account.customer = customer
            account.weight = self.weight(customer)
            self.accounts_by_name[customer] = account
        return account

    def account_by_id(self, number: int) -> Account:
        """Return the account of a customer that may be unknown by name."""
        account = self.accounts.get(number)
        if account is None:
            account = Account(number, is_known=self.is_synced)
            self.accounts[number] = account
        return account

    def charge(self, customer: str, cost: float) -> None:
        """Add the cost of work that this router did for the customer."""
        account = self.account(customer)
        account.served += cost / account.weight
        account.revision = self.revision

    def total_service(self, customer: str) -> float:
        """Return the customer's service in the fleet, in virtual units."""
        account = self.accounts.get(customer_id(customer))
        return account.total_service if account else 0

    def virtual_time(self, customer: str) -> float:
        """Return the customer's virtual counter: service and lift."""
        account = self.accounts.get(customer_id(customer))
        return account.virtual_time if account else 0

    def merge(self, update: AccountUpdate) -> None:
        """Take over what another router knows, by maximum.

        A guess shrinks by the service that becomes known, so the counter
        of a customer never goes down and old service is not counted as new.
        """
        account = self.account_by_id(update.customer_id)
        before = account.virtual_time
        account.in_zone = max(account.in_zone, update.in_zone)
        account.other_zones = max(account.other_zones, update.other_zones)
        account.lift = max(account.lift, update.lift)
        if not account.is_known:
            known = account.total_service + account.lift
            account.tentative_lift = max(before - known, 0)
        if account.virtual_time > before:
            account.revision = self.revision

    def mark_synced(self) -> None:
        """Note that all service elsewhere is known, as of a moment ago."""
        self.is_synced = True
        for account in self.accounts.values():
            if not account.is_known:
                account.mark_known()
                account.revision = self.revision

    def mark_unsynced(self) -> None:
        """Note that service elsewhere may be unknown; lifts are guesses."""
        self.is_synced = False
        for account in self.accounts.values():
            account.is_known = False

    def raise_virtual_time(self, account: Account, minimum: float) -> None:
        """Lift an account to a virtual counter; it never goes down."""
        missing = minimum - account.virtual_time
        if missing <= 0:
            return
        if account.is_known:
            account.lift += missing
        else:
            account.tentative_lift += missing
        account.revision = self.revision

    def set_waits_elsewhere(self, account: Account, *, waits: bool) -> None:
        """Note whether other routers have requests of the customer waiting."""
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
