"""What the dispatcher asks of claims; a request without one is unclaimed."""

from typing import Protocol, final


class ClaimLike(Protocol):
    """The right of one attempt to run a request that may not be repeated."""

    def check(self, now: float) -> None:
        """Raise when the request may no longer be sent."""

    def release(self) -> None:
        """Give the key up, unless the request was sent."""

    def record_outcome(self, status: int) -> None:
        """Note that the request ran and how it ended."""


@final
class Unclaimed:
    """Stands for a request that needs no claim."""

    __slots__ = ()

    def check(self, now: float) -> None:
        """Allow the send."""

    def release(self) -> None:
        """Have nothing to give up."""

    def record_outcome(self, status: int) -> None:
        """Have nothing to note."""
