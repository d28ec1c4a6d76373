"""The example deployments are valid and have the expected sizes."""

import tomllib
from pathlib import Path

import defopt
import pytest

from hickorymux._internal.cli.environment import environment_flags
from hickorymux._internal.commands.router import RouterCommand
from hickorymux._internal.state.customers import CustomerKeys, key_digest
from hickorymux._internal.state.rows import RowKind
from hickorymux._internal.state.table_files import TableFiles
from hickorymux._internal.transport.router_settings import RouterSettings
from hickorymux._internal.utils.durations import parse_duration

EXAMPLES = Path(__file__).parent.parent.parent / 'examples'
ALL = sorted(path.name for path in EXAMPLES.iterdir() if path.is_dir())


def load(name: str) -> TableFiles:
    path = EXAMPLES / name
    return TableFiles.load(path / 'routes.toml', path / 'pools.toml')


def test_all_examples_are_covered() -> None:
    assert ALL == ['brittany', 'dar-es-salaam', 'two-zones']


@pytest.mark.parametrize('name', ALL)
def test_zones_weights_and_customers_are_consistent(name: str) -> None:
    rows = load(name).rows
    network = tomllib.loads((EXAMPLES / name / 'network.toml').read_text())
    zones = {host['zone'] for host in network['entry_host']}
    assert zones == set(rows.zones)
    assert parse_duration(network['zone_delay'])
    keys = CustomerKeys.load(EXAMPLES / name / 'customers.toml')
    customers = set(keys.customers_by_digest.values())
    for pool in rows.all_pools():
        assert customers >= pool.weights.keys()
        assert len(pool.weights) <= 4
    for customer in customers:
        assert (
            keys.customers_by_digest[key_digest(f'key-{customer}')] == customer
        )


@pytest.mark.parametrize(
    ('name', 'pools', 'zones', 'hosts'),
    [
        ('brittany', {'drafting': 5, 'register': 4}, 4, 6),
        ('dar-es-salaam', {'costing': 9, 'ledger': 3}, 3, 7),
    ],
)
def test_sizes_are_as_expected(
    name: str, pools: dict[str, int], zones: int, hosts: int
) -> None:
    rows = load(name).rows
    found = {pool: len(rows.upstreams_by_pool[pool]) for pool in pools}
    assert found == pools
    assert rows.names(RowKind.pool) == sorted(pools)
    assert len(rows.zones) == zones
    network = tomllib.loads((EXAMPLES / name / 'network.toml').read_text())
    assert len(network['entry_host']) == hosts
    keys = CustomerKeys.load(EXAMPLES / name / 'customers.toml')
    assert len(keys.customers_by_digest) == 16


@pytest.mark.parametrize('name', ALL)
def test_service_routes_require_an_idempotency_key(name: str) -> None:
    for route in load(name).rows.all_routes():
        assert route.requires_key == bool(route.path_prefix)


@pytest.mark.parametrize('name', ALL)
def test_router_settings_are_valid(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(EXAMPLES.parent)
    lines = (EXAMPLES / name / 'router.env').read_text().splitlines()
    pairs = [line.split('=', 1) for line in lines if line[0] != '#']
    flags = environment_flags(RouterCommand, dict(pairs))
    assert len(flags) == len(pairs)
    command = defopt.bind(RouterCommand, argv=list(flags), short={})()
    settings = RouterSettings.from_config(command)
    network = tomllib.loads((EXAMPLES / name / 'network.toml').read_text())
    hosts = {host['name']: host['zone'] for host in network['entry_host']}
    assert hosts[settings.router_id] == settings.zone
