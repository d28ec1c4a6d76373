"""Messages between a router and the writer of a claim stream."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimAsk:
    """Asks the writer to append entries, encoded as one record."""

    number: int = 0
    partition: int = 0
    entries: bytes = b''


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimVerdict:
    """The verdict on one entry; times are Unix milliseconds, 0 for never."""

    standing: str = ''
    owner_body: bytes = b''
    status: int = 0
    claimed_at_ms: int = 0
    trimmed_until_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimAnswer:
    """The verdicts on the entries of an ask, in order.

    Without verdicts the writer could not reach the log.
    """

    number: int = 0
    verdicts: list[ClaimVerdict] = dataclasses.field(default_factory=list)
