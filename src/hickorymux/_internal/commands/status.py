"""The command ``status``, which shows the state of the fleet."""

import asyncio
import dataclasses
import itertools
from collections.abc import Iterator, Sequence
from typing import final

import aiohttp

from hickorymux._internal.exceptions import (
    HickorymuxError,
    RouterUnreachable,
    UsageError,
)
from hickorymux._internal.protocol.admin_messages import (
    PoolStatus,
    RouterStatus,
    UpstreamStatus,
)
from hickorymux._internal.transport.admin_client import AdminClient
from hickorymux._internal.utils.durations import parse_duration
from hickorymux._internal.utils.terminal import (
    format_table,
    write_error,
    write_line,
)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class StatusCommand:
    """Show the state of routers, pools and upstreams.

    :param routers: URLs of the routers, separated by commas
    :param timeout: how long to wait for each router, as in 5s
    """

    routers: str
    timeout: str = '5s'

    async def run(self) -> None:
        """Fetch the status of the routers and print it.

        Raises ``RouterUnreachable`` if some routers did not answer; the status
        of the others is printed first.
        """
        urls = [url for url in self.routers.split(',') if url]
        if not urls:
            raise UsageError('no router URL is given', where='--routers')
        answers = await self._ask(urls)
        known = [each for each in answers if isinstance(each, RouterStatus)]
        if known:
            _write_report(known)
        failures = [each for each in answers if isinstance(each, Exception)]
        for failure in failures:
            write_error(f'hickorymux: {failure}')
        if failures:
            raise RouterUnreachable(
                f'{len(failures)} of {len(urls)} routers did not answer'
            )

    async def _ask(
        self, urls: Sequence[str]
    ) -> list[RouterStatus | HickorymuxError]:
        timeout = parse_duration(self.timeout)
        async with aiohttp.ClientSession() as session:
            clients = (AdminClient(url, session, timeout) for url in urls)
            return await asyncio.gather(*(_status(each) for each in clients))


async def _status(client: AdminClient) -> RouterStatus | HickorymuxError:
    try:
        return await client.status()
    except HickorymuxError as error:
        return error


def _write_report(routers: Sequence[RouterStatus]) -> None:
    lines = itertools.chain(
        format_table(tuple(_router_rows(routers))),
        [''],
        format_table(tuple(_pool_rows(routers))),
        [''],
        format_table(tuple(_upstream_rows(routers))),
    )
    for line in lines:
        write_line(line)


def _router_rows(routers: Sequence[RouterStatus]) -> Iterator[Sequence[str]]:
    yield 'ROUTER', 'ZONE', 'VERSION', 'READY', 'MEMBERS'
    for router in sorted(routers, key=lambda each: each.router_id):
        yield (
            router.router_id,
            router.zone,
            str(router.config_version),
            'yes' if router.ready else 'no',
            str(len(router.members)),
        )


def _pool_rows(routers: Sequence[RouterStatus]) -> Iterator[Sequence[str]]:
    yield 'POOL', 'BACKLOG', 'UPSTREAMS'
    for name, views in _pool_views(routers):
        names = {each.name for view in views for each in view.upstreams}
        backlog = sum(view.backlog for view in views)
        yield name, str(backlog), str(len(names))


def _upstream_rows(routers: Sequence[RouterStatus]) -> Iterator[Sequence[str]]:
    yield 'UPSTREAM POOL ZONE STATE IN-USE LEASED SLOTS'.split()
    for pool, views in _pool_views(routers):
        seen: dict[str, list[UpstreamStatus]] = {}
        for view in views:
            for upstream in view.upstreams:
                seen.setdefault(upstream.name, []).append(upstream)
        for _, upstreams in sorted(seen.items()):
            yield _upstream_row(pool, upstreams)


def _upstream_row(pool: str, seen: Sequence[UpstreamStatus]) -> Sequence[str]:
    """Return the row of one upstream, combined from all routers.

    Slots in use and leased slots are sums over the routers. All states that
    routers report are shown.
    """
    states = {each.state for each in seen}
    if any(each.drained for each in seen):
        states.add('drained')
    counts = (
        sum(each.in_use for each in seen),
        sum(each.leased for each in seen),
        max(each.slots for each in seen),
    )
    first = seen[0]
    words = (first.name, pool, first.zone, '/'.join(sorted(states)))
    return [*words, *(str(count) for count in counts)]


def _pool_views(
    routers: Sequence[RouterStatus],
) -> Iterator[tuple[str, list[PoolStatus]]]:
    """Yield the name of each pool and its status at each router."""
    names = sorted({name for router in routers for name in router.pools})
    for name in names:
        views = [router.pools.get(name) for router in routers]
        yield name, [view for view in views if view is not None]
