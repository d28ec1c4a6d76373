"""The settings of a router, parsed and checked when it starts.

They come from flags and environment variables of ``hickorymux router``.
"""

import dataclasses
import datetime as dt
import ipaddress
import re
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final, Self, final
from urllib.parse import urlsplit

from hickorymux._internal.coordination.claim_settings import ClaimSettings
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.transport.address import Address
from hickorymux._internal.transport.caller_server import CallerLimits
from hickorymux._internal.transport.upstream_client import UpstreamTimeouts
from hickorymux._internal.utils import durations

MIN_FLEET_KEY_CHARACTERS: Final = 16
MAX_PORT: Final = 65535

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_PEER = re.compile('([^@=]+)@([^@=]+)=(.+)')


@final
class SettingsInvalid(ConfigError):
    """One or more settings are not valid; the message lists all of them."""

    code = 'settings_invalid'


@final
@dataclasses.dataclass(slots=True, frozen=True)
class RouterSettings:
    """The checked settings of one router."""

    router_id: str
    zone: str
    listen: Address
    admin_listen: Address
    peer_listen: Address
    advertise: str
    log_url: str
    host_list_url: str
    peers: tuple[Member, ...]
    customers: Path
    fleet_key: bytes
    limits: CallerLimits
    max_waiting: int
    timeouts: UpstreamTimeouts
    claims: ClaimSettings
    drain_notice: dt.timedelta
    drain_limit: dt.timedelta
    log_level: str

    @classmethod
    def from_config(cls, flags: Any) -> Self:
        """Return the settings from the flags of ``hickorymux router``.

        Raises ``SettingsInvalid`` that lists each invalid flag with its problem.
        """
        reader = _FlagReader(flags)
        settings = cls(
            router_id=reader.parse('router_id', parse_name),
            zone=reader.parse('zone', parse_name),
            listen=reader.parse('listen', parse_address),
            admin_listen=reader.parse('admin_listen', parse_address),
            peer_listen=reader.parse('peer_listen', parse_address),
            advertise=reader.parse('advertise', _optional(parse_ip)),
            log_url=reader.parse('log', parse_url),
            host_list_url=reader.parse('host_list', _optional(parse_url)),
            peers=reader.parse('peer', parse_peers),
            customers=reader.parse('customers', parse_file),
            fleet_key=reader.parse('fleet_key', parse_fleet_key),
            limits=CallerLimits(
                reader.parse('max_body', parse_positive),
                reader.parse('max_requests', parse_positive),
            ),
            max_waiting=reader.parse('max_waiting', parse_positive),
            timeouts=UpstreamTimeouts(
                reader.parse('connect_timeout', parse_duration),
                reader.parse('first_byte_timeout', parse_duration),
                reader.parse('idle_timeout', parse_duration),
            ),
            claims=ClaimSettings(
                partitions=reader.parse('claim_partitions', parse_positive),
                retention=reader.parse('log_retention', parse_duration),
            ),
            drain_notice=reader.parse('drain_notice', parse_duration),
            drain_limit=reader.parse('drain_limit', parse_duration),
            log_level=reader.parse('log_level', parse_level),
        )
        reader.raise_problems()
        return settings


@final
class _FlagReader:
    """Parses flags one by one and collects their problems."""

    __slots__ = ('flags', 'problems')

    def __init__(self, flags: Any) -> None:
        self.flags = flags
        self.problems: list[str] = []

    def parse(self, name: str, parser: Callable[[Any], Any]) -> Any:
        """Return the parsed flag, or ``None`` if it is invalid."""
        try:
            return parser(getattr(self.flags, name))
        except ValueError as error:
            flag = name.replace('_', '-')
            self.problems.append(f'--{flag}: {error}')
            return None

    def raise_problems(self) -> None:
        """Raise ``SettingsInvalid`` for all problems, if there are any."""
        if self.problems:
            raise SettingsInvalid('; '.join(self.problems))


def parse_name(text: str) -> str:
    """Return the name if it has letters, digits, ".", "_" and "-" only.

    A name has up to 63 characters and begins with a letter or a digit. Raises
    ``ValueError`` for any other text.
    """
    if not _NAME.fullmatch(text):
        raise ValueError(
            f'"{text}" is not a name; use letters, digits, ".", "_" and "-",'
            ' at most 63, and begin with a letter or a digit',
        )
    return text


def parse_ip(text: str) -> str:
    """Return a normalized IP address; raise ``ValueError`` for others."""
    return str(ipaddress.ip_address(text))


def parse_address(text: str) -> Address:
    """Return an address written as ``IP:PORT``.

    Raises ``ValueError`` if it is malformed.
    """
    host, colon, port = text.rpartition(':')
    if not colon or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f'"{text}" is not IP:PORT, as in 10.0.0.9:8080')
    return Address(parse_ip(host.strip('[]')), int(port))


def parse_url(text: str) -> str:
    """Return an HTTP URL without trailing slashes.

    Raises ``ValueError`` if it is not a URL with the scheme http or https.
    """
    parts = urlsplit(text)
    if parts.scheme not in {'http', 'https'} or not parts.netloc:
        raise ValueError(f'"{text}" is not a URL, as in http://10.0.0.5:7000')
    return text.rstrip('/')


def parse_duration(text: str) -> dt.timedelta:
    """Return a duration written as ``500ms``, ``30s``, ``2m`` or ``1h``.

    Raises ``ValueError`` if it is malformed.
    """
    try:
        return durations.parse_duration(text)
    except ConfigError as error:
        raise ValueError(f'{error.detail}; {error.hint}') from error


def parse_positive(number: int) -> int:
    """Return the number if it is above 0, else raise ``ValueError``."""
    if number <= 0:
        raise ValueError(f'{number} is not above 0')
    return number


def parse_file(text: str) -> Path:
    """Return the path of a file; raise ``ValueError`` if none exists there."""
    path = Path(text)
    if not path.is_file():
        raise ValueError(f'file "{text}" does not exist')
    return path


def parse_fleet_key(text: str) -> bytes:
    """Return the key that the routers of a fleet share.

    Raises ``ValueError`` if it is too short.
    """
    if len(text) < MIN_FLEET_KEY_CHARACTERS:
        raise ValueError(
            f'the key needs {MIN_FLEET_KEY_CHARACTERS} characters or more',
        )
    return text.encode()


def parse_level(text: str) -> str:
    """Return the log level if it is known, else raise ``ValueError``."""
    if text not in {'debug', 'info', 'warning', 'error'}:
        raise ValueError(f'"{text}" is not debug, info, warning or error')
    return text


def parse_peers(texts: list[str]) -> tuple[Member, ...]:
    """Return the members that are written as ``ID@ZONE=IP:PORT``.

    Raises ``ValueError`` if one is malformed.
    """
    return tuple(_peers(texts))


def _peers(texts: list[str]) -> Iterator[Member]:
    for text in texts:
        match = _PEER.fullmatch(text)
        if match is None:
            raise ValueError(f'"{text}" is not ID@ZONE=IP:PORT')
        address = parse_address(match[3])
        yield Member(
            router_id=parse_name(match[1]),
            incarnation=0,
            zone=parse_name(match[2]),
            host=address.host,
            port=address.port,
        )


def _optional(parser: Callable[[str], str]) -> Callable[[str], str]:
    """Return a parser that also accepts an empty text."""

    def parse(text: str) -> str:  # noqa: WPS430 (a parser made from a parser)
        return parser(text) if text else ''

    return parse
