"""Creates ids of requests, attempts, router incarnations and customers."""

import secrets
import time

import xxhash

_INCARNATION_UNIT_NS = 1_000_000
_CUSTOMER_ID_MASK = (1 << 40) - 1


def new_request_id() -> str:
    """Return a new id of 128 random bits in hexadecimal."""
    return secrets.token_hex(16)


def new_incarnation() -> int:
    """Return a number that grows from one start of a router to the next.

    It is the wall-clock time in milliseconds, so that a router supersedes its
    earlier incarnations without any stored state.
    """
    return time.time_ns() // _INCARNATION_UNIT_NS


def customer_id(customer: str) -> int:
    """Return the id, below 2**40, of a customer in messages between routers.

    With 3,600 customers, the probability that any two have the same id is 6 in
    a million.
    """
    return xxhash.xxh64_intdigest(customer.encode()) & _CUSTOMER_ID_MASK
