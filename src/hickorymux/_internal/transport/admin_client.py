"""Client of the routers' pages for operators."""

import datetime as dt
from typing import Any, Final, TypeVar, final
from urllib.parse import quote

import aiohttp
import msgspec

from hickorymux._internal.exceptions import (
    DecisionsNotFound,
    RouterUnreachable,
)
from hickorymux._internal.protocol.admin_messages import (
    EXPLAIN_PATH,
    STATUS_PATH,
    RouterStatus,
)

_AnswerT = TypeVar('_AnswerT')

_STATUS_OK: Final = 200
_STATUS_NOT_FOUND: Final = 404


@final
class AdminClient:
    """Asks one router what it knows.

    ``url`` is the address of the router, as in ``http://10.0.0.9:8080``.
    """

    __slots__ = ('session', 'timeout', 'url')

    def __init__(
        self, url: str, session: aiohttp.ClientSession, timeout: dt.timedelta
    ) -> None:
        self.url = url.rstrip('/')
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=timeout.total_seconds())

    async def status(self) -> RouterStatus:
        """Return what the router knows; raise ``RouterUnreachable``."""
        body = await self._get(STATUS_PATH)
        return self._decode(body, RouterStatus)

    async def explain(self, request_id: str) -> list[Any]:
        """Return the decisions of a request, oldest first.

        Raises ``DecisionsNotFound`` when the router holds none.
        """
        name = quote(request_id, safe='')
        body = await self._get(f'{EXPLAIN_PATH}/{name}')
        decisions = self._decode(body, list[Any])
        if not decisions:
            raise DecisionsNotFound(f'no decisions of "{request_id}"')
        return decisions

    async def _get(self, path: str) -> bytes:
        try:
            status, body = await self._fetch(f'{self.url}{path}')
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            cause = str(error) or type(error).__name__
            raise RouterUnreachable(cause, where=self.url) from error
        if status == _STATUS_NOT_FOUND:
            raise DecisionsNotFound(f'{path} is not known', where=self.url)
        if status != _STATUS_OK:
            raise RouterUnreachable(f'answered {status}', where=self.url)
        return body

    async def _fetch(self, url: str) -> tuple[int, bytes]:
        async with self.session.get(url, timeout=self.timeout) as response:
            return response.status, await response.read()

    def _decode(self, body: bytes, wanted: type[_AnswerT]) -> _AnswerT:
        try:
            return msgspec.json.decode(body, type=wanted)
        except msgspec.DecodeError as error:
            raise RouterUnreachable(str(error), where=self.url) from error
