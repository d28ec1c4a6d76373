"""Decodes the store entries by which upstreams register."""

import ipaddress
from typing import Final

import msgspec

from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.state.upstream_registry import RegisteredUpstream

UPSTREAM_TOPIC: Final = 'keyed.servers'
_READY: Final = 'ready'
_MS_PER_SECOND: Final = 1000
_MAX_PORT: Final = 65535
_MAX_PORT_DIGITS: Final = 5
# Larger numbers come from writers that are no upstreams.
_MAX_SLOTS: Final = 1_000_000
_MAX_COLD_MS: Final = 86_400_000
_MAX_INTEGER: Final = 2**63 - 1


class _Entry(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    # Version of the engine's software, not of the model's weights.
    version: str
    slots: int
    state: str
    # Milliseconds of reduced capacity after the start that remained when the
    # entry was written.
    cold_remaining_ms: float
    seq: int
    # Start of this incarnation of the upstream, in Unix milliseconds.
    born: int = 0


_decoder = msgspec.json.Decoder(_Entry)


def decode_entry(
    upstream_id: str,
    text: bytes,
    now: float,
) -> RegisteredUpstream:
    """Return the upstream that an entry registers.

    ``now`` is monotonic time in seconds. Raises ``ConfigError`` for an entry
    with a missing or invalid field.
    """
    try:
        entry = _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(str(error), where=upstream_id) from error
    _check(entry, upstream_id)
    cold_seconds = entry.cold_remaining_ms / _MS_PER_SECOND
    return RegisteredUpstream(
        upstream_id=upstream_id,
        pool=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        is_ready=entry.state == _READY,
        cold_until=now + cold_seconds if cold_seconds > 0 else 0,
        born_ms=entry.born,
        version=entry.version,
        entry_number=entry.seq,
    )


def _check(entry: _Entry, upstream_id: str) -> None:
    if entry.state not in {_READY, 'draining'}:
        raise ConfigError(
            f'state "{entry.state}" is neither ready nor draining',
            where=upstream_id,
        )
    ranges = (
        ('slots', entry.slots, 1, _MAX_SLOTS),
        (
            'coldRemainingMs',
            entry.cold_remaining_ms,
            -_MAX_COLD_MS,
            _MAX_COLD_MS,
        ),
        ('seq', entry.seq, 0, _MAX_INTEGER),
        ('born', entry.born, 0, _MAX_INTEGER),
    )
    for name, number, least, most in ranges:
        if not least <= number <= most:
            raise ConfigError(
                f'{name} is {number}, must be {least} to {most}',
                where=upstream_id,
            )
    if not _is_address(entry.address):
        raise ConfigError(
            f'address "{entry.address}" is not a valid IP:port',
            where=upstream_id,
        )


def _is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port."""
    host, _, port = text.rpartition(':')
    if not port.isascii() or not port.isdecimal():
        return False
    if len(port) > _MAX_PORT_DIGITS or not 0 < int(port) <= _MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
