"""Identifiers: request ids, attempt ids and router incarnations."""

import secrets
import time

_INCARNATION_UNIT_NS = 1_000_000


def new_request_id() -> str:
    """Return a fresh id of 128 random bits in hexadecimal."""
    return secrets.token_hex(16)


def new_incarnation() -> int:
    """Return a number that grows from one start of a router to the next.

    It is the wall clock in milliseconds, so that a router that restarts with
    no memory outranks its earlier life.
    """
    return time.time_ns() // _INCARNATION_UNIT_NS
