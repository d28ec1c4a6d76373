"""The customers and their keys.

The file is TOML with one ``[[customer]]`` table each: ``name`` and
``key_sha256``, the SHA-256 digest of the key in hexadecimal. Keys themselves
are not kept.
"""

import hashlib
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Self, final

import msgspec

from hickorymux._internal.exceptions import ConfigError


@final
class CustomersInvalid(ConfigError):
    """The customers file is not valid; the message names every problem."""

    code = 'customers_invalid'


class _CustomerRow(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    key_sha256: str


@final
class CustomerKeys:
    """Finds the customer that owns a key.

    The look-up goes by the digest of the key, so its time tells nothing about
    how much of a wrong key was right.

    Example::

        keys = CustomerKeys.load(Path('customers.toml'))
        keys.customer_for_key('key-kitchen')
    """

    __slots__ = ('names_by_digest',)

    def __init__(self, names_by_digest: dict[bytes, str]) -> None:
        self.names_by_digest = names_by_digest

    @classmethod
    def load(cls, path: Path) -> Self:
        """Read a customers file; raises ``CustomersInvalid``."""
        try:
            rows = tomllib.loads(path.read_text()).get('customer', [])
        except (OSError, UnicodeDecodeError, ValueError) as error:
            raise CustomersInvalid(str(error), where=str(path)) from error
        names: dict[bytes, str] = {}
        problems = list(_read_rows(rows, names))
        if problems:
            raise CustomersInvalid('; '.join(problems), where=str(path))
        return cls(names)

    def customer_for_key(self, key: str) -> str | None:
        """Return the customer, or ``None`` for a key that nobody owns."""
        digest = hashlib.sha256(key.encode()).digest()
        return self.names_by_digest.get(digest)


def _read_rows(rows: Any, names: dict[bytes, str]) -> Iterator[str]:
    """Fill the names by digest and yield what is wrong."""
    if not isinstance(rows, list) or not rows:
        yield 'no [[customer]] table; add one for each customer'
        return
    for number, row in enumerate(rows):
        try:
            _add_row(row, names)
        except ValueError as error:
            yield f'customer[{number}]: {error}'


def _add_row(row: Any, names: dict[bytes, str]) -> None:
    customer = msgspec.convert(row, _CustomerRow)
    digest = bytes.fromhex(customer.key_sha256)
    if len(digest) != hashlib.sha256().digest_size:
        raise ValueError('key_sha256 has not 64 hexadecimal digits')
    if customer.name in names.values():
        raise ValueError(f'the name "{customer.name}" stands twice')
    if digest in names:
        raise ValueError(f'the key of "{customer.name}" stands twice')
    names[digest] = customer.name
