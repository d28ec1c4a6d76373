"""A store that was restored from a copy lists what was newer before.

Guards against a view that goes back: streams would go on at an engine that
another version replaced, and requests reach a zone that is evacuated.
"""

import json

import pytest

from hickorymux._internal.coordination.deployment_view import DeploymentView
from hickorymux._internal.coordination.ports import KeyedRecord
from hickorymux._internal.state.upstream_registry import LAPSE_GRACE_SECONDS
from hickorymux.platform.deployment import PlatformDeployment
from tests.lib.manual_clock import ManualClock
from tests.lib.platform_fleet import manifest, route

ZONE_KEY = 'evacuate/z1'


@pytest.fixture
def view():
    clock = ManualClock()
    return DeploymentView(PlatformDeployment(), clock, lambda: None)


def entry(seq, born, **changes):
    return KeyedRecord(
        'e1',
        json.dumps(
            {
                'service': 'pool',
                'address': '10.0.0.1:80',
                'zone': 'z1',
                'version': f'v{born}',
                'slots': 4,
                'state': 'ready',
                'coldRemainingMs': 0,
                'seq': seq,
                'born': born,
                **changes,
            }
        ).encode(),
        0,
    )


@pytest.mark.parametrize(
    ('known', 'listed'),
    [
        (entry(1, born=2), entry(9, born=1)),
        (entry(4, born=1, state='draining'), entry(3, born=1)),
    ],
)
def test_older_entry_of_the_copy_replaces_a_newer_one(view, known, listed):
    view.apply_upstream_record(known)
    before = view.registry.upstreams['e1']
    view.registry.start_grace_period(view.clock.monotonic())
    view.apply_upstream_record(listed)
    assert view.registry.upstreams['e1'] == before


def test_start_after_a_clock_jump_is_ignored_for_good(view):
    view.apply_upstream_record(entry(1, born=5))
    view.registry.start_grace_period(view.clock.monotonic())
    view.clock.advance(LAPSE_GRACE_SECONDS)
    view.apply_upstream_record(entry(2, born=4))
    assert view.registry.upstreams['e1'].born_ms == 4


def test_evacuation_that_the_copy_lacks_ends_at_once(view):
    view.apply_operator_record(KeyedRecord(ZONE_KEY, b'{}', 0))
    view.hold_evacuations()
    view.apply_operator_listing(frozenset())
    assert view.evacuated_zones == {'z1'}
    view.clock.advance(LAPSE_GRACE_SECONDS)
    view.expire_held()
    assert not view.evacuated_zones


def test_evacuation_that_is_written_again_ends(view):
    view.apply_operator_record(KeyedRecord(ZONE_KEY, b'{}', 0))
    view.hold_evacuations()
    view.apply_operator_listing(frozenset())
    view.apply_operator_record(KeyedRecord(ZONE_KEY, b'{}', 1))
    view.clock.advance(LAPSE_GRACE_SECONDS)
    view.expire_held()
    assert view.evacuated_zones == {'z1'}
    view.apply_operator_record(KeyedRecord(ZONE_KEY, b'', 2))
    assert not view.evacuated_zones


def test_former_routing_table_of_the_copy_comes_into_force(view):
    """It has keys that were revoked since."""
    for version in (2, 1):
        table = json.dumps(manifest(version, route('/a/', 'idempotent')))
        view.apply_operator_record(KeyedRecord('config', table.encode(), 0))
    assert view.table.version == 2
