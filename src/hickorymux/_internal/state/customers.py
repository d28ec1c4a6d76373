"""Customers and the keys by which they authenticate at an entry host.

The customers file is TOML and holds the SHA-256 digest of each key in
hexadecimal, never the key itself. Keys are long random strings, so an
unsalted hash is enough to protect them.

Example::

    [[customer]]
    name = "surveyor-1"
    key_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15..."
"""

import hashlib
import re
from pathlib import Path
from typing import final

import msgspec

from hickorymux._internal.state.row_checks import RowProblem, check_name
from hickorymux._internal.state.toml_rows import RowLocation, TomlReader

_DIGEST = re.compile('[0-9a-f]{64}', re.ASCII)
_EMPTY_HINT = 'add a "[[customer]]" row for each customer'
_DIGEST_HINT = 'write the SHA-256 of the key as 64 digits from 0 to f'


@final
class CustomerRow(msgspec.Struct, frozen=True):
    """A row of the customers file."""

    name: str
    key_sha256: str


@final
class CustomerKeys:
    """Maps keys to customers.

    The look-up uses the digest of the key, so its timing does not reveal how
    much of a guessed key is correct. A customer may have several keys, for
    example while one is being replaced.
    """

    __slots__ = ('customers_by_digest',)

    def __init__(self, customers_by_digest: dict[str, str]) -> None:
        self.customers_by_digest = customers_by_digest

    @classmethod
    def load(cls, path: Path) -> 'CustomerKeys':
        """Read a customers file.

        Raises ``TablesInvalid`` with all errors of the file.
        """
        reader = TomlReader()
        customers_by_digest: dict[str, str] = {}
        for location, raw in reader.read_file(path, 'customer'):
            row = reader.convert(CustomerRow, location, raw)
            if row is not None:
                _add_customer(row, location, customers_by_digest, reader)
        if not customers_by_digest and not reader.problems:
            problem = RowProblem('customer', 'no customers', _EMPTY_HINT)
            reader.add_problem(RowLocation(str(path)), problem)
        reader.raise_problems()
        return cls(customers_by_digest)

    def customer_for_key(self, key: str) -> str | None:
        """Return the name of the customer, or ``None`` if it is unknown."""
        return self.customers_by_digest.get(key_digest(key))


def key_digest(key: str) -> str:
    """Return the digest that the customers file holds for a key."""
    return hashlib.sha256(key.encode(errors='surrogatepass')).hexdigest()


def _add_customer(
    row: CustomerRow,
    location: RowLocation,
    customers_by_digest: dict[str, str],
    reader: TomlReader,
) -> None:
    problems = list(check_name('name', row.name))
    if not _DIGEST.fullmatch(row.key_sha256):
        problems.append(RowProblem('key_sha256', 'bad digest', _DIGEST_HINT))
    owner = customers_by_digest.get(row.key_sha256)
    if owner is not None:
        problems.append(
            RowProblem(
                'key_sha256',
                f'customer "{owner}" has the same key',
                'give each customer its own key',
            )
        )
    for problem in problems:
        reader.add_problem(location, problem)
    if not problems:
        customers_by_digest[row.key_sha256] = row.name
