"""The client reads the era of the store from every response.

Guards against offsets, listings and confirmations of a store that has been
restored from a copy since.
"""

import pytest
from multidict import CIMultiDict

from hickorymux._internal.coordination.ports import UNKNOWN_ERA
from hickorymux._internal.exceptions import LogUnavailable
from hickorymux._internal.transport.address import Address
from hickorymux.platform.store import StoreClient
from tests.lib.platform_store import PlatformStore


@pytest.fixture
async def store():
    store = PlatformStore()
    await store.start()
    for number in range(5):
        await store.put('keyed.op', f'k{number}', number)
    yield store
    await store.close()


@pytest.fixture
async def eras():
    return []


@pytest.fixture
async def client(store, eras):
    host, _, port = store.address.rpartition(':')
    client = StoreClient.from_config(Address(host, int(port)))
    client.add_era_handler(eras.append)
    yield client
    await client.close()


async def append(client):
    await client.append('keyed.op', 'k', b'1')


async def read(client):
    assert (await client.read('keyed.op', 3)).era == client.era


async def list_newest(client):
    assert (await client.read_newest('keyed.op')).era == client.era


async def list_retained(client):
    assert (await client.read_retained('keyed.op')).era == client.era


CALLS = (append, read, list_newest, list_retained)


@pytest.mark.parametrize('call', CALLS)
async def test_era_of_a_response_is_not_read(store, client, eras, call):
    await call(client)
    assert (client.era, eras) == (1, [])
    await store.restore(store.copy())
    await call(client)
    assert (client.era, eras) == (2, [2])


@pytest.mark.parametrize('call', CALLS)
async def test_response_of_a_previous_era_counts(store, client, eras, call):
    store.era = 5
    await call(client)
    store.era = 4
    with pytest.raises(LogUnavailable):
        await call(client)
    assert (client.era, eras) == (5, [])


@pytest.mark.parametrize(
    'text', ['', '-1', '+2', '1_0', '2.0', ' 3', '٣', '9' * 30]
)
async def test_malformed_era_is_taken_for_one(client, eras, text):
    client.era = 1
    headers = CIMultiDict({'Store-Era': text})
    assert client._update_era(headers, 't') == UNKNOWN_ERA
    assert (client.era, eras) == (1, [])


async def test_store_without_an_era_is_refused(store, client, eras):
    store.era = None
    for call in CALLS:
        await call(client)
    assert (client.era, eras) == (UNKNOWN_ERA, [])


async def test_listing_has_pages_of_two_eras(store, client, monkeypatch):
    """The second page is of another store; the list is read again."""
    read_page = client._read_newest_page
    calls = []

    async def restore_before_the_second_page(query):
        calls.append(query.get('after'))
        if len(calls) == 2:
            store.topics['keyed.op'] = []
            await store.put('keyed.op', 'k9', 9)
            for number in range(4):
                await store.put('keyed.op', f'n{number}', number)
            await store.restore(store.copy())
        return await read_page(query)

    monkeypatch.setattr(
        type(client),
        '_read_newest_page',
        lambda _self, query: restore_before_the_second_page(query),
    )
    page = await client.read_newest('keyed.op')
    assert page.era == 2
    assert {record.key for record in page.records} == {
        'k9',
        'n0',
        'n1',
        'n2',
        'n3',
    }
