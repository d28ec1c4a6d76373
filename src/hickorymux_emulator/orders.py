"""Orders to an engine (load or unload a model, change role) with fencing."""

import enum
from typing import final

import msgspec


class OrderAction(enum.StrEnum):
    """What an order tells the engine to do."""

    load = 'load'
    unload = 'unload'
    role = 'role'


class Order(msgspec.Struct, frozen=True):
    """One order to an engine.

    ``fence`` is the fencing token of the sender. It grows each time the right
    to give orders passes to another sender, so an order with a smaller one is
    outdated.
    """

    fence: int
    action: OrderAction
    model: str = ''


@final
class OrderHandler:
    """Carries out orders and keeps those that were accepted.

    With ``checks_fence`` an order whose fencing token is smaller than the
    largest one seen is refused; otherwise every order is accepted.
    """

    __slots__ = ('checks_fence', 'models', 'newest_fence', 'accepted')

    def __init__(self, models: list[str], *, checks_fence: bool) -> None:
        self.models = models
        self.checks_fence = checks_fence
        self.newest_fence = 0
        self.accepted: list[Order] = []

    def apply(self, order: Order) -> bool:
        """Carry out an order and return ``True``; refuse an outdated one."""
        if self.checks_fence and order.fence < self.newest_fence:
            return False
        self.newest_fence = max(self.newest_fence, order.fence)
        self.accepted.append(order)
        if order.action is OrderAction.load and order.model not in self.models:
            self.models.append(order.model)
        if order.action is OrderAction.unload and order.model in self.models:
            self.models.remove(order.model)
        return True
