"""Messages between a router and the router that writes a claim stream."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimAsk:
    """Asks the writer of a partition to append entries to the log.

    ``number`` identifies the request in the answer. ``entries`` is the
    payload of one log record.
    """

    number: int = 0
    partition: int = 0
    entries: bytes = b''


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimVerdict:
    """The verdict on one entry.

    ``standing`` is a value of ``ClaimResult``. ``status`` is the HTTP status
    of the key owner's answer, 0 while unknown. Times are Unix milliseconds,
    0 for never.
    """

    standing: str = ''
    owner_body: bytes = b''
    status: int = 0
    claimed_at_ms: int = 0
    trimmed_until_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimAnswer:
    """The verdicts on the entries of a ``ClaimAsk``, in the same order.

    ``verdicts`` is empty if the writer could not decide in time, for example
    because the log was down.
    """

    number: int = 0
    verdicts: list[ClaimVerdict] = dataclasses.field(default_factory=list)
