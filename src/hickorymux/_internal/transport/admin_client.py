"""HTTP client for the administration pages of a router."""

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
    """Reads the status and the decisions of one router.

    ``url`` is the router's address for operators, as in
    ``http://10.0.0.9:8081``.
    """

    __slots__ = ('session', 'timeout', 'url')

    def __init__(
        self, url: str, session: aiohttp.ClientSession, timeout: dt.timedelta
    ) -> None:
        self.url = url.rstrip('/')
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=timeout.total_seconds())

    async def status(self) -> RouterStatus:
        """Return the router's status.

        Raises ``RouterUnreachable`` if the router gives no valid answer.
        """
        body = await self._get(STATUS_PATH)
        return self._decode(body, RouterStatus)

    async def explain(self, request_id: str) -> list[Any]:
        """Return the decisions of a request, oldest first.

        Raises ``DecisionsNotFound`` if the router has none for it, and
        ``RouterUnreachable`` if it gives no valid answer.
        """
        name = quote(request_id, safe='')
        body = await self._get(f'{EXPLAIN_PATH}/{name}')
        decisions = self._decode(body, list[Any])
        if not decisions:
            raise DecisionsNotFound(f'no decisions on request "{request_id}"')
        return decisions

    async def _get(self, path: str) -> bytes:
        try:
            status, body = await self._fetch(f'{self.url}{path}')
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            cause = str(error) or type(error).__name__
            raise RouterUnreachable(cause, where=self.url) from error
        if status == _STATUS_NOT_FOUND:
            raise DecisionsNotFound(
                f'page {path} does not exist', where=self.url
            )
        if status != _STATUS_OK:
            raise RouterUnreachable(f'answered status {status}', where=self.url)
        return body

    async def _fetch(self, url: str) -> tuple[int, bytes]:
        async with self.session.get(url, timeout=self.timeout) as response:
            return response.status, await response.read()

    def _decode(self, body: bytes, wanted: type[_AnswerT]) -> _AnswerT:
        try:
            return msgspec.json.decode(body, type=wanted)
        except msgspec.DecodeError as error:
            raise RouterUnreachable(str(error), where=self.url) from error
