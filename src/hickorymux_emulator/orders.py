"""Orders to load and unload models or to change role, with fences."""

import enum
from typing import final

import msgspec


class OrderAction(enum.StrEnum):
    """What an order asks for."""

    load = 'load'
    unload = 'unload'
    role = 'role'


class Order(msgspec.Struct, frozen=True):
    """One order; ``fence`` grows with each new holder of the right."""

    fence: int
    action: OrderAction
    model: str = ''


@final
class OrderHandler:
    """The orders that an engine took.

    With ``checks_fence`` an order with an older fence than the newest one
    seen is refused; without, every order is taken as it comes.
    """

    __slots__ = ('checks_fence', 'models', 'newest_fence', 'accepted')

    def __init__(self, models: list[str], *, checks_fence: bool) -> None:
        self.models = models
        self.checks_fence = checks_fence
        self.newest_fence = 0
        self.accepted: list[Order] = []

    def apply(self, order: Order) -> bool:
        """Carry out an order; return whether it was accepted."""
        if self.checks_fence and order.fence < self.newest_fence:
            return False
        self.newest_fence = max(self.newest_fence, order.fence)
        self.accepted.append(order)
        if order.action is OrderAction.load and order.model not in self.models:
            self.models.append(order.model)
        if order.action is OrderAction.unload and order.model in self.models:
            self.models.remove(order.model)
        return True
