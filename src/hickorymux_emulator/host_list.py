"""Emulator of the platform's list of hosts, which shows changes late."""

import asyncio
import enum
from typing import final

import msgspec
from aiohttp import web

from hickorymux_emulator.outage import Outage, OutageMode
from hickorymux_emulator.serving import new_app


class HostStatus(enum.StrEnum):
    """Whether a host accepts work or is about to shut down."""

    live = 'live'
    leaving = 'leaving'


class HostBody(msgspec.Struct, frozen=True):
    """One host as the platform describes it; ``port`` is for its peers."""

    zone: str
    host: str
    port: int
    status: HostStatus = HostStatus.live


class HostListControl(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``; unset fields leave the behaviour unchanged."""

    outage: OutageMode | None = None
    lag_seconds: float | None = None


@final
class HostList:
    """The visible hosts by router id, and the HTTP handlers.

    A change becomes visible ``lag_seconds`` after it was requested.
    """

    __slots__ = ('hosts', 'lag_seconds', 'outage')

    def __init__(self, lag_seconds: float) -> None:
        self.lag_seconds = lag_seconds
        self.outage = Outage()
        self.hosts: dict[str, HostBody] = {}

    def app(self) -> web.Application:
        """Return the web application with all routes of the host list."""
        app = new_app()
        app.router.add_get('/hosts', self.list_hosts)
        app.router.add_put('/hosts/{router_id}', self.put_host)
        app.router.add_delete('/hosts/{router_id}', self.delete_host)
        app.router.add_post('/control', self.control)
        return app

    async def list_hosts(self, _request: web.Request) -> web.Response:
        """Return the visible hosts, sorted by router id."""
        await self.outage.enforce()
        hosts = [
            {'router_id': router_id, **msgspec.to_builtins(host)}
            for router_id, host in sorted(self.hosts.items())
        ]
        return web.json_response({'hosts': hosts})

    async def put_host(self, request: web.Request) -> web.Response:
        """Add or replace a host; visible after ``lag_seconds``."""
        host = msgspec.json.decode(await request.read(), type=HostBody)
        self._set_later(request.match_info['router_id'], host)
        return web.json_response({}, status=202)

    async def delete_host(self, request: web.Request) -> web.Response:
        """Remove a host; it stays visible for ``lag_seconds``."""
        self._set_later(request.match_info['router_id'], None)
        return web.json_response({}, status=202)

    async def control(self, request: web.Request) -> web.Response:
        """Change the lag, or start or end an outage."""
        change = msgspec.json.decode(await request.read(), type=HostListControl)
        if change.lag_seconds is not None:
            self.lag_seconds = change.lag_seconds
        if change.outage is not None:
            await self.outage.change_mode(change.outage)
        return web.json_response({'lag_seconds': self.lag_seconds})

    def _set_later(self, router_id: str, host: HostBody | None) -> None:
        loop = asyncio.get_running_loop()
        if self.lag_seconds <= 0:
            self._set(router_id, host)
            return
        loop.call_later(self.lag_seconds, self._set, router_id, host)

    def _set(self, router_id: str, host: HostBody | None) -> None:
        if host is None:
            self.hosts.pop(router_id, None)
            return
        self.hosts[router_id] = host
