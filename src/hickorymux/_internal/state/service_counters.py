"""Service that each customer of one pool has received, across the fleet.

Service is counted in virtual units: the cost of a request (tokens for model
pools, milliseconds for services) divided by the customer's weight at the
moment it is charged. A changed weight therefore applies to later work only.

A customer's *virtual time* is its service plus its *lift*. The fair queue
serves the customer with the lowest virtual time first. When a customer
returns from idle, its virtual time is raised to that of the customers that
wait, so that idle time earns no credit; the lift is the sum of these raises
and of the debt that was forgiven (see ``FairnessLimits``).

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

    ``served`` is the service at this router, ``in_zone`` that at the other
    routers of its zone and ``other_zones`` that at the routers of other zones,
    as far as known here. ``lift`` is what was added to the virtual time beyond
    service; it is shared with the fleet. ``tentative_lift`` was added while
    service elsewhere may be unknown (``is_known`` is false); it stays at this
    router. ``uncharged_estimate`` is the estimated cost of the requests in
    flight, less what is already charged for them. ``revision`` is the revision
    of the counters at the last change.
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
        """Return the virtual time, without estimates of work in flight."""
        service = self.served + self.in_zone + self.other_zones
        return service + self.lift + self.tentative_lift

    @property
    def projected_virtual_time(self) -> float:
        """Return the virtual time with the estimates of work in flight."""
        return self.virtual_time + self.uncharged_estimate

    @property
    def waits(self) -> bool:
        """Return whether the customer has requests waiting in the fleet."""
        return self.waits_here or self.waits_elsewhere

    def mark_known(self) -> None:
        """Make the tentative lift final, as service elsewhere is now known."""
        self.lift += self.tentative_lift
        self.tentative_lift = 0
        self.is_known = True


@dataclasses.dataclass(slots=True, frozen=True)
class AccountUpdate:
    """What peers report on a customer: lower bounds, in virtual units."""

    customer_id: int
    in_zone: float = 0
    other_zones: float = 0
    lift: float = 0


@final
class ServiceCounters:
    """The accounts of all customers of one pool, as known at one router.

    ``accounts`` is keyed by customer id, ``accounts_by_name`` by the name of
    the customers seen here. ``floor`` is the lowest virtual time among the
    waiting customers when a request last left a queue, and never decreases; a
    customer that returns from idle while nobody else waits is raised to it.
    ``is_synced`` is true while the service counted at the other routers is
    known here, up to the staleness.

    Example::

        counters = ServiceCounters.from_config(pool)
        counters.charge('kitchen', 120)
        update = AccountUpdate(customer_id('kitchen'), other_zones=400)
        counters.merge(update)
        counters.total_service('kitchen')  # 520.0
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
        """Use the weights of a new configuration for later charges."""
        self.pool = pool
        for customer, account in self.accounts_by_name.items():
            account.weight = self.weight(customer)

    def weight(self, customer: str) -> float:
        """Return the configured weight of a customer."""
        return self.pool.weights.get(customer, self.pool.default_weight)

    def account(self, customer: str) -> Account:
        """Return the customer's account; create it when there is none."""
        account = self.accounts_by_name.get(customer)
        if account is None:
            account = self.account_by_id(customer_id(customer))
            account.customer = customer
            account.weight = self.weight(customer)
            self.accounts_by_name[customer] = account
        return account

    def account_by_id(self, account_id: int) -> Account:
        """Return the account for a customer id; create it when missing.

        Peers report customers by id, so the name may be unknown here.
        """
        account = self.accounts.get(account_id)
        if account is None:
            account = Account(account_id, is_known=self.is_synced)
            self.accounts[account_id] = account
        return account

    def charge(self, customer: str, cost: float) -> None:
        """Add the cost of work that this router did for the customer."""
        account = self.account(customer)
        account.served += cost / account.weight
        account.revision = self.revision

    def total_service(self, customer: str) -> float:
        """Return the customer's known service in the fleet, virtual units."""
        account = self.accounts.get(customer_id(customer))
        return account.total_service if account else 0

    def virtual_time(self, customer: str) -> float:
        """Return the customer's virtual time: service and lift."""
        account = self.accounts.get(customer_id(customer))
        return account.virtual_time if account else 0

    def merge(self, update: AccountUpdate) -> None:
        """Merge an update from peers into the account, by maximum.

        Service that becomes known replaces tentative lift. The virtual time
        thereby never goes down, and old service does not raise it twice.
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
        """Record that service elsewhere is known, up to the staleness."""
        self.is_synced = True
        for account in self.accounts.values():
            if not account.is_known:
                account.mark_known()
                account.revision = self.revision

    def mark_unsynced(self) -> None:
        """Record that service elsewhere may be unknown.

        Lifts are tentative until the counters are synced again.
        """
        self.is_synced = False
        for account in self.accounts.values():
            account.is_known = False

    def raise_virtual_time(self, account: Account, minimum: float) -> None:
        """Raise the account's virtual time to ``minimum`` if it is lower."""
        missing = minimum - account.virtual_time
        if missing <= 0:
            return
        if account.is_known:
            account.lift += missing
        else:
            account.tentative_lift += missing
        account.revision = self.revision

    def set_waits_elsewhere(self, account: Account, *, waits: bool) -> None:
        """Record whether requests of the customer wait at other routers."""
        if account.waits_elsewhere != waits:
            account.waits_elsewhere = waits
            account.revision = self.revision

    def raise_floor(self, floor: float) -> None:
        """Raise the floor to at least ``floor``."""
        self.floor = max(self.floor, floor)

    def next_revision(self) -> int:
        """Start a new revision and return the number of the closed one.

        Changes made from now on are found by ``changed_since`` that number.
        """
        closed = self.revision
        self.revision += 1
        return closed

    def changed_since(self, revision: int) -> Iterator[Account]:
        """Yield the accounts that changed after the given revision."""
        for account in self.accounts.values():
            if account.revision > revision:
                yield account
