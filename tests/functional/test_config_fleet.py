"""Real routers get each configuration in time.

A router may start while the log is down, lose its own way to the log, or start
after the log has deleted old records. It must then get the configuration from
a peer or a snapshot, or say why it isn't ready.
"""

import json
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from lib.command_line import control_log, run_command
from lib.config_samples import POOLS_TOML, ROUTES_TOML
from lib.processes import Program, ProgramGroup

from hickorymux._internal.state.customers import key_digest

pytestmark = pytest.mark.processes

APPLY_TIMEOUT_SECONDS = 3
START_TIMEOUT_SECONDS = 10
CUSTOMERS_TOML = f"""
[[customer]]
name = "one"
key_sha256 = "{key_digest('key-one')}"
"""


class Fleet:
    """The log service, the tables and the routers of a test."""

    def __init__(self, programs: ProgramGroup, path: Path) -> None:
        self.programs = programs
        self.path = path
        self.log = programs.start_emulator('log-service').url
        self.seed_peers: list[str] = []
        (path / 'routes.toml').write_text(ROUTES_TOML)
        (path / 'pools.toml').write_text(POOLS_TOML)
        (path / 'customers.toml').write_text(CUSTOMERS_TOML)

    def start_router(
        self, name: str, zone: str, *, log: str = '', retention: str = '1h'
    ) -> Program:
        router = self.programs.start(
            name,
            'hickorymux',
            [
                'router',
                f'--router-id={name}',
                f'--zone={zone}',
                f'--log={log or self.log}',
                f'--customers={self.path}/customers.toml',
                f'--log-retention={retention}',
                '--fleet-key=a-key-for-tests-only',
                '--listen=127.0.0.1:0',
                '--admin-listen=127.0.0.1:0',
                '--peer-listen=127.0.0.1:0',
                '--drain-notice=10ms',
                '--log-level=warning',
                *(
                    word
                    for seed in self.seed_peers
                    for word in ('--peer', seed)
                ),
            ],
        )
        line = router.wait_event('listening')
        router.address = line['admin']
        self.seed_peers.append(f'{name}@{zone}={line["peers"]}')
        return router

    def apply(self, *flags: str) -> None:
        tables = (
            f'--routes={self.path}/routes.toml',
            f'--pools={self.path}/pools.toml',
        )
        self.run_operator_command('apply', *tables, *flags)

    def run_operator_command(self, *words: str) -> None:
        result = run_command(*words, f'--log={self.log}')
        assert result.returncode == 0, result.stderr


def status(router: Program) -> dict[str, Any]:
    with urllib.request.urlopen(
        f'{router.url}/admin/status', timeout=5
    ) as page:
        found: dict[str, Any] = json.load(page)
        return found


def not_ready_reasons(router: Program) -> list[str]:
    """Return the reasons why the router is not ready."""
    with pytest.raises(urllib.error.HTTPError) as refused:
        urllib.request.urlopen(f'{router.url}/readyz', timeout=5)
    return refused.value.read().decode().splitlines()


def has_version(router: Program, version: int) -> Callable[[], bool]:
    """Return a condition: the router has this configuration version."""
    return lambda: status(router)['config_version'] == version


def wait_for(condition: Callable[[], bool], seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, f'not within {seconds} s'
        time.sleep(0.02)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with ProgramGroup() as programs:
        yield Fleet(programs, tmp_path)


def test_each_change_is_in_force_everywhere_in_time(fleet: Fleet) -> None:
    routers = [fleet.start_router('r1', 'a'), fleet.start_router('r2', 'b')]
    assert not status(routers[0])['pools']
    fleet.apply()
    for router in routers:
        wait_for(has_version(router, 1), APPLY_TIMEOUT_SECONDS)
    fleet.run_operator_command('drain', '--zone=a')
    for router in routers:
        wait_for(has_version(router, 2), APPLY_TIMEOUT_SECONDS)
        upstreams = status(router)['pools']['drafting']['upstreams']
        assert [each['drained'] for each in upstreams] == [True, False]


def test_a_router_starts_from_a_peer_while_the_log_is_down(
    fleet: Fleet,
) -> None:
    first = fleet.start_router('r1', 'a')
    fleet.apply()
    fleet.run_operator_command('drain', '--zone=a')
    wait_for(has_version(first, 2), APPLY_TIMEOUT_SECONDS)
    control_log(fleet.log, outage='refuse')
    second = fleet.start_router('r2', 'b')
    wait_for(has_version(second, 2), START_TIMEOUT_SECONDS)
    assert status(second)['ready']
    first.kill()
    third = fleet.start_router('r3', 'b')
    wait_for(has_version(third, 2), START_TIMEOUT_SECONDS)
    control_log(fleet.log, outage='off')
    fleet.run_operator_command('restore', '--zone=a')
    for router in (second, third):
        wait_for(has_version(router, 3), APPLY_TIMEOUT_SECONDS)


def test_a_router_that_is_cut_off_from_the_log_follows_its_peers(
    fleet: Fleet,
) -> None:
    first = fleet.start_router('r1', 'a')
    hanging_log = fleet.programs.start_emulator('log-service').url
    control_log(hanging_log, outage='hang')
    second = fleet.start_router('r2', 'a', log=hanging_log)
    fleet.apply()
    for router in (first, second):
        wait_for(has_version(router, 1), START_TIMEOUT_SECONDS)
    fleet.run_operator_command('drain', '--zone=b')
    wait_for(has_version(second, 2), APPLY_TIMEOUT_SECONDS)


def test_with_log_and_peers_down_it_says_what_it_lacks(fleet: Fleet) -> None:
    control_log(fleet.log, outage='refuse')
    router = fleet.start_router('r1', 'a')
    router.wait_event('config_read_failed')
    assert not_ready_reasons(router) == [
        'the log service does not answer',
        'no peer has given a configuration',
    ]
    control_log(fleet.log, outage='off')
    wait_for(lambda: status(router)['ready'], START_TIMEOUT_SECONDS)


def snapshot_count(fleet: Fleet) -> int:
    """Return how many snapshots the log holds."""
    url = f'{fleet.log}/streams/config-snapshots/records?from=0&limit=100'
    with urllib.request.urlopen(url, timeout=5) as page:
        return len(json.load(page)['records'])


def test_a_router_starts_from_a_snapshot_after_retention(fleet: Fleet) -> None:
    first = fleet.start_router('r1', 'a', retention='8s')
    fleet.apply()
    fleet.run_operator_command('drain', '--zone=a')
    wait_for(has_version(first, 2), APPLY_TIMEOUT_SECONDS)
    # A snapshot without version 2 may still arrive, so wait for two more.
    earlier_count = snapshot_count(fleet)
    wait_for(
        lambda: snapshot_count(fleet) > earlier_count + 1, START_TIMEOUT_SECONDS
    )
    first.kill()
    fleet.seed_peers.clear()
    fleet.run_operator_command('drain', '--zone=b')
    control_log(fleet.log, retain_records=1)
    second = fleet.start_router('r2', 'b')
    wait_for(has_version(second, 3), START_TIMEOUT_SECONDS)
    upstreams = status(second)['pools']['drafting']['upstreams']
    assert [each['drained'] for each in upstreams] == [True, True]


def test_after_retention_without_a_snapshot_operators_start_anew(
    fleet: Fleet,
) -> None:
    with pytest.raises(AssertionError, match='leave it out'):
        fleet.apply('--reset')
    fleet.apply()
    fleet.run_operator_command('drain', '--zone=a')
    control_log(fleet.log, retain_records=1)
    router = fleet.start_router('r1', 'a')
    router.wait_event('config_read_failed')
    assert not status(router)['ready']
    assert 'trimmed the configuration' in not_ready_reasons(router)[0]
    with pytest.raises(AssertionError, match='apply --reset'):
        fleet.apply()
    fleet.apply('--reset')
    wait_for(has_version(router, 3), APPLY_TIMEOUT_SECONDS)
    wait_for(lambda: status(router)['ready'], APPLY_TIMEOUT_SECONDS)
    fleet.run_operator_command('drain', '--zone=b')
    wait_for(has_version(router, 4), APPLY_TIMEOUT_SECONDS)
