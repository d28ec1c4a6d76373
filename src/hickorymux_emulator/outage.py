"""Outages of a stand-in that tests switch on and off."""

import asyncio
import enum
from typing import final

from aiohttp import web


class OutageMode(enum.StrEnum):
    """How a service fails: not at all, by refusing, or by not answering."""

    none = 'off'
    refuse = 'refuse'
    hang = 'hang'


@final
class Outage:
    """The present outage; every handler passes it before it answers."""

    __slots__ = ('changed', 'mode')

    def __init__(self) -> None:
        self.mode = OutageMode.none
        self.changed = asyncio.Condition()

    async def change_mode(self, mode: OutageMode) -> None:
        """Start or end an outage and wake the handlers that hang in it."""
        async with self.changed:
            self.mode = mode
            self.changed.notify_all()

    async def enforce(self) -> None:
        """Return when there is no outage; raise 503 when refusing."""
        async with self.changed:
            await self.changed.wait_for(self._is_not_hanging)
        if self.mode is OutageMode.refuse:
            raise web.HTTPServiceUnavailable(text='outage')

    def _is_not_hanging(self) -> bool:
        return self.mode is not OutageMode.hang
