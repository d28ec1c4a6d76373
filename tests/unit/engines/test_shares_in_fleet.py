"""Tests of how customers share the engines of a fleet with zone delegates."""

import pytest

from tests.lib.load_fleet import Load, LoadFleet

ZONES = 4
ROUTERS_PER_ZONE = 6
ENGINES = 12
SECONDS = 20


def overloaded_fleet(seed: int) -> LoadFleet:
    """Run a fleet on which two customers ask for several times the capacity.

    Some of the others ask for more than an even share, some for less; these
    reach one router each.
    """
    fleet = LoadFleet(ZONES, ROUTERS_PER_ZONE, ENGINES, seed)
    routers = fleet.router_ids
    loads = [Load('large-0', 90, routers), Load('large-1', 50, routers)]
    loads += [Load(f'mid-{n}', 8, routers[n::4][:3]) for n in range(6)]
    loads += [Load(f'small-{n}', 3, [routers[n]]) for n in range(8)]
    fleet.run(loads, SECONDS)
    return fleet


@pytest.mark.parametrize('seed', range(3))
def test_customer_starved_beside_a_larger_one(seed):
    assert overloaded_fleet(seed).starved_spans() == []
