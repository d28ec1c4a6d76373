"""Records of roll-outs, and conditional appends to the store."""

import json

import pytest

from hickorymux._internal.coordination.rollouts.orders import RolloutStatus
from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.transport.address import Address
from hickorymux.platform import rollouts
from hickorymux.platform.settings import decode_settings
from hickorymux.platform.store import StoreClient
from tests.lib.platform_fleet import SETTINGS
from tests.lib.platform_store import PlatformStore

ORDER = {'service': 'pool', 'target': 'v2', 'durationS': 12}


def test_order_and_status_are_read_and_written():
    """The operators' fields are renamed or written in another form."""
    order = rollouts.decode_order('pool', json.dumps(ORDER).encode())
    assert (order.service, order.target) == ('pool', 'v2')
    assert order.duration.total_seconds() == 12
    status = RolloutStatus('rolled_back', 'v2')
    text = rollouts.encode_status(status)
    assert json.loads(text) == {'state': 'rolled_back', 'target': 'v2'}
    assert rollouts.decode_status(text) == status
    assert rollouts.rollout_service(rollouts.status_key('pool')) == 'pool'
    assert rollouts.rollout_service('config') is None


@pytest.mark.parametrize(
    'change',
    [
        {'durationS': 0},
        {'durationS': 1e300},
        {'durationS': '12'},
        {'service': 'other'},
        {'target': None},
    ],
)
def test_invalid_orders_are_refused(change):
    """An order that can't be meant starts a roll-out."""
    with pytest.raises(ConfigError, match='rollout/pool'):
        rollouts.decode_order('pool', json.dumps({**ORDER, **change}).encode())


def test_unreadable_status_is_no_verdict():
    """A state of another writer counts as a verdict."""
    assert rollouts.decode_status(b'?') is None
    assert rollouts.decode_status(b'{"state":"x","target":"v2"}') is None


def test_without_an_exposure_share_there_are_no_rollouts():
    """The feature takes effect where nobody asked for it."""
    text = SETTINGS.format(
        node='n',
        ip='127.0.0.1',
        front=1,
        ready=2,
        peer=3,
        grace=8,
        revoke_ms=5000,
        store='127.0.0.1:4',
    )
    bounds = decode_settings(text.encode(), where='test').bounds.rollouts
    assert bounds is not None
    assert (bounds.exposure_share, bounds.exposure_slack) == (0.1, 50)
    text = text.replace('exposureShare = 0.1\n', '')
    assert decode_settings(text.encode(), where='test').bounds.rollouts is None


async def test_append_at_another_offset_is_refused():
    """Two routers write a verdict, and the later one holds."""
    store = PlatformStore()
    await store.start()
    host, _, port = store.address.rpartition(':')
    client = StoreClient.from_config(Address(host, int(port)))
    try:
        for key in ('a', 'rollout/a', 'rollout/poo', 'rollout/pool', 'z'):
            await store.put('t', key, key)
        page = await client.read_key('t', 'rollout/pool')
        assert [one.value for one in page.records] == [b'"rollout/pool"']
        assert page.next_offset == 5
        assert await client.append_at('t', 'rollout/pool', b'1', 5)
        assert not await client.append_at('t', 'rollout/pool', b'2', 5)
        page = await client.read_key('t', 'rollout/pool')
        assert [one.value for one in page.records] == [b'1']
        assert (await client.read_key('t', 'rollout/q')).records == ()
        assert (await client.read_key('new', 'rollout/q')).next_offset == 0
    finally:
        await client.close()
        await store.close()
