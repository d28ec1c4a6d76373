"""Checks of a single row, without regard to other rows.

The same checks run on table files and on every record of the configuration
stream, so a row that ``hickorymux check`` accepts is never rejected by a
router as invalid. References between rows are checked by ``ConfigRows``.
"""

import dataclasses
import datetime as dt
import functools
import math
import re
from collections.abc import Iterator

from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.state.rows import (
    DrainRow,
    PoolRow,
    RouteRow,
    Row,
    UpstreamRow,
)
from hickorymux._internal.utils.durations import parse_duration

MAX_SLOTS = 100_000
MAX_PORT = 65_535

NAME_HINT = 'use up to 100 letters, digits, ".", "_" and "-"'

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,99}', re.ASCII)
_METHOD = re.compile('[A-Z]{1,20}', re.ASCII)
_ADDRESS = re.compile(
    r'([A-Za-z0-9.-]{1,253}|\[[0-9a-fA-F:.]{2,45}\]):(\d{1,5})', re.ASCII
)


@dataclasses.dataclass(slots=True, frozen=True)
class RowProblem:
    """A problem with one key of a row, with a hint on how to correct it.

    ``key`` is empty if the problem is not about one key.
    """

    key: str
    detail: str
    hint: str = ''


@functools.singledispatch
def check_row(row: Row) -> Iterator[RowProblem]:
    """Yield all problems of a row that show without looking at other rows."""
    raise NotImplementedError(type(row))


@check_row.register
def _check_route(row: RouteRow) -> Iterator[RowProblem]:
    yield from check_name('name', row.name)
    yield from check_name('pool', row.pool)
    for customer in row.customers:
        yield from check_name('customers', customer)
    yield from _check_match(row)
    for method in row.idempotent_methods:
        if not _METHOD.fullmatch(method):
            yield RowProblem(
                'idempotent_methods',
                f'bad method "{method}"',
                'write HTTP methods in capitals, as in "GET"',
            )
    yield from _check_duration('queue_timeout', row.queue_timeout)
    yield from _check_duration('total_timeout', row.total_timeout)


@check_row.register
def _check_pool(row: PoolRow) -> Iterator[RowProblem]:
    yield from check_name('name', row.name)
    yield from _check_weight('default_weight', row.default_weight)
    for customer, weight in row.weights.items():
        yield from check_name('weights', customer)
        yield from _check_weight(f'weights.{customer}', weight)


@check_row.register
def _check_upstream(row: UpstreamRow) -> Iterator[RowProblem]:
    yield from check_name('name', row.name)
    yield from check_name('pool', row.pool)
    yield from check_name('zone', row.zone)
    yield from _check_address(row.address)
    if not 1 <= row.slots <= MAX_SLOTS:
        yield RowProblem(
            'slots',
            f'{row.slots} slots',
            f'write a whole number from 1 to {MAX_SLOTS}',
        )
    elif not 1 <= row.cold_slots <= row.slots:
        yield RowProblem(
            'cold_slots',
            f'{row.cold_slots} cold slots of {row.slots} slots',
            f'write a whole number from 1 to {row.slots}',
        )


@check_row.register
def _check_drain(row: DrainRow) -> Iterator[RowProblem]:
    return iter(())


def check_name(key: str, name: str) -> Iterator[RowProblem]:
    """Yield a problem if a name is empty, too long or has bad characters."""
    if not _NAME.fullmatch(name):
        yield RowProblem(key, f'bad name "{name}"', NAME_HINT)


def _check_match(row: RouteRow) -> Iterator[RowProblem]:
    if bool(row.model) == bool(row.path_prefix):
        yield RowProblem(
            'model',
            'a route matches by "model" or by "path_prefix"',
            'write exactly one of the two',
        )
    if row.path_prefix and not row.path_prefix.startswith('/'):
        yield RowProblem(
            'path_prefix',
            f'bad path prefix "{row.path_prefix}"',
            f'write "/{row.path_prefix}"',
        )


def _check_address(address: str) -> Iterator[RowProblem]:
    match = _ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match.group(2)) <= MAX_PORT:
        yield RowProblem(
            'address',
            f'bad address "{address}"',
            'write an IP address and a port, as in "10.0.0.7:9000"',
        )


def _check_duration(key: str, text: str) -> Iterator[RowProblem]:
    try:
        duration = parse_duration(text)
    except ConfigError as error:
        yield RowProblem(key, error.detail, error.hint)
        return
    if not dt.timedelta() < duration <= dt.timedelta(days=1):
        yield RowProblem(
            key,
            f'duration "{text}" out of range',
            'write more than "0s" and at most "24h"',
        )


def _check_weight(key: str, weight: float) -> Iterator[RowProblem]:
    if not (math.isfinite(weight) and weight > 0):
        yield RowProblem(
            key, f'weight {weight}', 'write a number greater than 0'
        )
