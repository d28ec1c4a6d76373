"""Orders of the operators, their bounds, and the stages of a roll-out."""

import dataclasses
import datetime as dt
import enum
from typing import Final, Protocol

# Names of the states in the status record.
RUNNING: Final = 'running'
SUCCEEDED: Final = 'succeeded'
ROLLED_BACK: Final = 'rolled_back'


class Stage(enum.IntEnum):
    """How far a roll-out is; the last two are verdicts.

    In ``canary`` the target gets requests within the exposure budget, in
    ``ramp`` a part of all requests, and in ``shift`` all that its upstreams
    have room for.
    """

    canary = 0
    ramp = 1
    shift = 2
    succeeded = 3
    rolled_back = 4

    @property
    def is_verdict(self) -> bool:
        """Return whether the stage is final."""
        return self >= Stage.succeeded

    @property
    def state(self) -> str:
        """Return the state that the status record names."""
        if self is Stage.succeeded:
            return SUCCEEDED
        return ROLLED_BACK if self is Stage.rolled_back else RUNNING


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutBounds:
    """Limits of the operators; they hold for all routers together.

    A bad version may get at most ``exposure_share`` of the requests that
    reach the pool within the time budget plus ``exposure_slack``, and none
    later than ``rollback`` after its 50th bad answer.
    """

    exposure_share: float
    exposure_slack: float
    rollback: dt.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutOrder:
    """Move the requests of the pool ``service`` to the version ``target``.

    ``duration`` is the time budget.
    """

    service: str
    target: str
    duration: dt.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutStatus:
    """The state of the newest roll-out of a pool, as written to the store."""

    state: str
    target: str


class RolloutFormat(Protocol):
    """The records of a deployment about roll-outs."""

    status_topic: str

    def rollout_service(self, key: str) -> str | None:
        """Return the pool that this operator key is about, or ``None``."""

    def decode_order(self, service: str, value: bytes) -> RolloutOrder:
        """Return the order; raises ``ConfigError`` when it is invalid."""

    def status_key(self, service: str) -> str:
        """Return the key of the status record of a pool."""

    def decode_status(self, value: bytes) -> RolloutStatus | None:
        """Return the status, ``None`` if the record can't be read."""

    def encode_status(self, status: RolloutStatus) -> bytes:
        """Return the status record."""
