"""HTTP client for the platform's list of live and leaving hosts."""

import datetime as dt
from typing import Final, Self, final

import aiohttp
import msgspec

from hickorymux._internal.coordination.ports import HostEntry
from hickorymux._internal.exceptions import HostListUnavailable

_DEFAULT_TIMEOUT: Final = dt.timedelta(seconds=3)
_STATUS_OK: Final = 200
_STATUS_LEAVING: Final = 'leaving'


class _Host(msgspec.Struct):
    router_id: str
    zone: str
    host: str
    port: int
    status: str


class _HostList(msgspec.Struct):
    hosts: list[_Host]


@final
class HttpHostListClient:
    """Reads the host list over HTTP; implements ``HostListClient``.

    The list lags behind: a listed host may have left already, and a new one
    may still be missing.

    Example::

        client = HttpHostListClient.from_config('http://127.0.0.1:1', session)
        for entry in await client.fetch():
            print(entry.router_id, entry.zone)
    """

    __slots__ = ('base_url', 'session', 'timeout')

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout: dt.timedelta,
    ) -> None:
        self.base_url = base_url
        self.session = session
        self.timeout = timeout

    @classmethod
    def from_config(
        cls,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout: dt.timedelta = _DEFAULT_TIMEOUT,
    ) -> Self:
        """Return a client; ``base_url`` is like ``http://host:port``."""
        return cls(base_url.rstrip('/'), session, timeout)

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the hosts as the platform lists them now.

        Raises ``HostListUnavailable`` if there is no valid answer.
        """
        try:
            status, body = await self._get()
        except (aiohttp.ClientError, TimeoutError) as error:
            cause = str(error) or type(error).__name__
            raise HostListUnavailable(cause, where=self.base_url) from error
        if status != _STATUS_OK:
            cause = f'answered status {status}'
            raise HostListUnavailable(cause, where=self.base_url)
        return self._entries(body)

    async def _get(self) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(total=self.timeout.total_seconds())
        async with self.session.get(
            f'{self.base_url}/hosts',
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            return response.status, await response.read()

    def _entries(self, body: bytes) -> tuple[HostEntry, ...]:
        try:
            listed = msgspec.json.decode(body, type=_HostList)
        except msgspec.DecodeError as error:
            raise HostListUnavailable(
                str(error),
                where=self.base_url,
            ) from error
        return tuple(_entry(host) for host in listed.hosts)


def _entry(host: _Host) -> HostEntry:
    return HostEntry(
        router_id=host.router_id,
        zone=host.zone,
        host=host.host,
        port=host.port,
        is_leaving=host.status == _STATUS_LEAVING,
    )
