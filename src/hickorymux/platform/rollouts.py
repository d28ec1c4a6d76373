"""Decodes the orders of roll-outs and encodes their status.

Operators write an order on their topic, and routers write its status on the
topic that the router list is on.
"""

import datetime as dt
import math
from typing import Final

import msgspec

from hickorymux._internal.coordination.rollouts.orders import (
    ROLLED_BACK,
    RUNNING,
    SUCCEEDED,
    RolloutOrder,
    RolloutStatus,
)
from hickorymux._internal.exceptions import ConfigError

status_topic: Final = 'keyed.status'
ROLLOUT_PREFIX: Final = 'rollout/'


class _Order(msgspec.Struct, rename='camel'):
    service: str
    # Version of the upstreams that the requests are to be moved to.
    target: str
    # The time budget.
    duration_s: float = msgspec.field(name='durationS')


class _Status(msgspec.Struct):
    state: str
    target: str


def rollout_service(key: str) -> str | None:
    """Return the service that a key is about, or ``None``."""
    if key.startswith(ROLLOUT_PREFIX):
        return key.removeprefix(ROLLOUT_PREFIX)
    return None


def status_key(service: str) -> str:
    """Return the key of the status record of a service."""
    return f'{ROLLOUT_PREFIX}{service}'


def decode_order(service: str, value: bytes) -> RolloutOrder:
    """Return the order; raises ``ConfigError`` when it is invalid.

    The key names the service; the field in the record must agree.
    """
    try:
        order = msgspec.json.decode(value, type=_Order)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(str(error), where=status_key(service)) from error
    if order.service != service:
        raise ConfigError(
            f'the order is about service "{order.service}"',
            where=status_key(service),
        )
    if not 0 < order.duration_s < math.inf:
        raise ConfigError(
            f'durationS is {order.duration_s}, must be positive',
            where=status_key(service),
        )
    try:
        duration = dt.timedelta(seconds=order.duration_s)
    except OverflowError as error:
        raise ConfigError(str(error), where=status_key(service)) from error
    return RolloutOrder(service, order.target, duration)


def decode_status(value: bytes) -> RolloutStatus | None:
    """Return the status, ``None`` if the record can't be read."""
    try:
        status = msgspec.json.decode(value, type=_Status)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if status.state not in {RUNNING, SUCCEEDED, ROLLED_BACK}:
        return None
    return RolloutStatus(status.state, status.target)


def encode_status(status: RolloutStatus) -> bytes:
    """Return the status record."""
    return msgspec.json.encode(_Status(status.state, status.target))
