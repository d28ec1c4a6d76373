"""The interface of claims for the dispatcher.

A claim gives one attempt the exclusive right to run a request whose execution
may not be repeated. It is bound to the request's idempotency key.
"""

from typing import Protocol, final


class ClaimLike(Protocol):
    """A claim on an idempotency key, or its substitute ``Unclaimed``."""

    def mark_sent(self, now: float) -> None:
        """Raise ``ClaimSpent`` if the request may no longer be sent.

        ``now`` is in monotonic seconds.
        """

    def release(self) -> None:
        """Release the key, unless the request was sent."""

    def record_outcome(self, status: int) -> None:
        """Record that the request was executed, with its HTTP status."""


@final
class Unclaimed:
    """Takes the place of a claim for requests that need none."""

    __slots__ = ()

    def mark_sent(self, now: float) -> None:
        """Allow every send."""

    def release(self) -> None:
        """Do nothing, as there is no key to release."""

    def record_outcome(self, status: int) -> None:
        """Do nothing, as no outcome is recorded without a claim."""
