"""Outages of an emulated service that tests switch on and off."""

import asyncio
import enum
from typing import final

from aiohttp import web


class OutageMode(enum.StrEnum):
    """How a service fails: not at all, by status 503, or by not answering."""

    none = 'off'
    refuse = 'refuse'
    hang = 'hang'


@final
class Outage:
    """The present outage; handlers call ``enforce`` before they answer."""

    __slots__ = ('changed', 'mode')

    def __init__(self) -> None:
        self.mode = OutageMode.none
        self.changed = asyncio.Condition()

    async def change_mode(self, mode: OutageMode) -> None:
        """Start or end an outage and wake the hanging handlers."""
        async with self.changed:
            self.mode = mode
            self.changed.notify_all()

    async def enforce(self) -> None:
        """Block while the service hangs.

        Raises ``HTTPServiceUnavailable`` while it refuses requests.
        """
        async with self.changed:
            await self.changed.wait_for(self._is_not_hanging)
        if self.mode is OutageMode.refuse:
            raise web.HTTPServiceUnavailable(text='outage')

    def _is_not_hanging(self) -> bool:
        return self.mode is not OutageMode.hang
