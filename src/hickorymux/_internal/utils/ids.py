"""Identifiers: requests, attempts, router incarnations and customers."""

import secrets
import time

import xxhash

_INCARNATION_UNIT_NS = 1_000_000
_CUSTOMER_ID_MASK = (1 << 40) - 1


def new_request_id() -> str:
    """Return a fresh id of 128 random bits in hexadecimal."""
    return secrets.token_hex(16)


def new_incarnation() -> int:
    """Return a number that grows from one start of a router to the next.

    It is the wall clock in milliseconds, so that a router that restarts with
    no memory outranks its earlier life.
    """
    return time.time_ns() // _INCARNATION_UNIT_NS


def customer_id(customer: str) -> int:
    """Return the number, below 2**40, that stands for a customer on the wire.

    Two of 3,600 customers share one with a chance of 6 in a million.
    """
    return xxhash.xxh64_intdigest(customer.encode()) & _CUSTOMER_ID_MASK
