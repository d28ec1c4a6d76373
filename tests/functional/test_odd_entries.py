"""Entries of another writer among those of the upstreams."""

import asyncio
import json

import pytest

from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_fleet import platform_fleet, route

NESTING = 200_000


def changed(engine, **changes):
    return json.dumps({**engine.entry(), **changes}).encode()


def odd_entries(engine):
    """Return entries that name no usable upstream, by what is odd."""
    text = changed(engine).decode()
    nested = '[' * NESTING + ']' * NESTING
    host = engine.address.rpartition(':')[0]
    return {
        'not JSON': b'\xff\xfe{',
        'empty object': b'{}',
        'nested': b'[' * NESTING,
        'nested unknown field': f'{text[:-1]}, "more": {nested}}}'.encode(),
        'huge float': text.replace(
            '"coldRemainingMs": 0', '"coldRemainingMs": 1e999'
        ).encode(),
        'huge integer': text.replace(
            '"seq": 1', f'"seq": {"9" * 5000}'
        ).encode(),
        'huge slots': changed(engine, slots=10**30),
        'huge start': changed(engine, born=10**30),
        'port out of range': changed(engine, address=f'{host}:65536'),
        'port zero': changed(engine, address=f'{host}:0'),
        'long port': changed(engine, address=f'{host}:{"1" * 5000}'),
        'port in other digits': changed(engine, address=f'{host}:٨٠'),
        'no address': changed(engine, address='here:80'),
        'path in the address': changed(engine, address=f'{host}/x:80'),
        'user in the address': changed(engine, address=f'a@{host}:80'),
        'brackets in the address': changed(engine, address='[1:80'),
        'state': changed(engine, state='?'),
    }


ODD = tuple(odd_entries(PlatformEngine('i-1')))


@pytest.fixture
async def fleet():
    async with platform_fleet(
        route('/q/', 'idempotent', maxAttempts=2)
    ) as fleet:
        await fleet.add_engine(PlatformEngine('i-1'))
        await fleet.wait_until_ready()
        yield fleet


async def statuses(fleet, count=6):
    found = []
    for number in range(count):
        headers = {'X-Request-Id': f'r-{number}'}
        async with fleet.request('GET', '/q/', headers=headers) as answer:
            found.append(answer.status)
    return found


@pytest.mark.parametrize('kind', ODD)
async def test_odd_entry_stops_no_router_and_gets_no_request(fleet, kind):
    odd = PlatformEngine('i-odd')
    odd.address = fleet.engines[0].address
    entry = odd_entries(odd)[kind]
    await fleet.store.put_raw('keyed.servers', 'i-odd', entry)
    # Later entries are still followed, after the odd one and in a listing.
    await fleet.add_engine(PlatformEngine('i-2'))
    async with asyncio.timeout(5):
        await fleet.wait_until_ready()
    assert 'i-odd' not in fleet.process.view.registry.upstreams
    assert await statuses(fleet) == [200] * 6
    fleet.store.compact('keyed.servers')
    await fleet.add_engine(PlatformEngine('i-3'))
    async with asyncio.timeout(5):
        await fleet.wait_until_ready()
    assert await statuses(fleet) == [200] * 6


@pytest.mark.parametrize(
    'key',
    [
        '',
        'k' * 255,
        'i-\ud800'.encode('utf-8', 'surrogatepass').decode('utf-8', 'replace'),
    ],
)
async def test_odd_key_stops_no_router(fleet, key):
    await fleet.store.put_raw('keyed.servers', key, b'?')
    await fleet.add_engine(PlatformEngine('i-2'))
    async with asyncio.timeout(5):
        await fleet.wait_until_ready()
    assert await statuses(fleet) == [200] * 6
