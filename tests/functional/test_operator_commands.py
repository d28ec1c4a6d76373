"""Operators' commands, run as processes against the log service emulator."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from lib.command_line import (
    control_log,
    run_command,
    running_log,
    start_command,
)
from lib.config_samples import POOLS_TOML, ROUTES_TOML

pytestmark = pytest.mark.processes


@pytest.fixture
def log_url() -> Iterator[str]:
    with running_log() as url:
        yield url


def write_tables(path: Path, *, slots: int = 4) -> tuple[str, ...]:
    """Write both tables and return the flags that name them."""
    path.mkdir(exist_ok=True)
    (path / 'routes.toml').write_text(ROUTES_TOML)
    pools = POOLS_TOML.replace('slots = 4', f'slots = {slots}')
    (path / 'pools.toml').write_text(pools)
    return (
        f'--routes={path}/routes.toml',
        f'--pools={path}/pools.toml',
    )


def test_check_names_every_error(tmp_path: Path) -> None:
    flags = write_tables(tmp_path, slots=0)
    found = run_command('check', *flags)
    assert found.returncode == 3
    line = found.stderr.splitlines()[-1]
    assert line.startswith('hickorymux: [tables_invalid]')
    assert 'key "slots": 0 slots' in line
    assert run_command('check', *write_tables(tmp_path)).returncode == 0


def test_apply_then_drain_then_restore(tmp_path: Path, log_url: str) -> None:
    tables = write_tables(tmp_path)
    first = run_command('apply', *tables, HICKORYMUX_LOG=log_url)
    assert (first.returncode, first.stderr) == (0, '')
    assert 'accepted as version 1' in first.stdout
    drained = run_command('drain', '--zone=a', f'--log={log_url}')
    assert 'accepted as version 2' in drained.stdout
    again = run_command('drain', '--zone=a', f'--log={log_url}')
    assert 'in force already' in again.stdout
    restored = run_command('restore', '--zone=a', f'--log={log_url}')
    assert 'accepted as version 3' in restored.stdout
    unknown = run_command('drain', '--upstream=engine', f'--log={log_url}')
    assert unknown.returncode == 2
    assert 'did you mean "engine-2"?' in unknown.stderr


def test_of_two_racing_applies_one_is_told_what_changed(
    tmp_path: Path, log_url: str
) -> None:
    log = f'--log={log_url}'
    run_command('apply', *write_tables(tmp_path), log)
    racers = [
        start_command(
            'apply',
            *write_tables(tmp_path / author, slots=slots),
            log,
            '--base=1',
            f'--author={author}',
        )
        for author, slots in (('anne', 5), ('bob', 6))
    ]
    ended = [racer.communicate(timeout=30) for racer in racers]
    statuses = [racer.returncode for racer in racers]
    assert sorted(statuses) == [0, 4]
    loser = statuses.index(4)
    winner = ('anne', 'bob')[1 - loser]
    assert (
        f'"register-1" was changed by {winner} in version 2' in ended[loser][1]
    )


def test_an_older_file_keeps_the_rows_of_others(
    tmp_path: Path, log_url: str
) -> None:
    log = f'--log={log_url}'
    old = write_tables(tmp_path / 'old')
    run_command('apply', *old, log)
    new = write_tables(tmp_path / 'new', slots=9)
    run_command('apply', *new, log, '--base=1', '--author=anne')
    pools = (tmp_path / 'old' / 'pools.toml').read_text()
    (tmp_path / 'old' / 'pools.toml').write_text(
        pools.replace('large = 4.0', 'large = 2.0')
    )
    merged = run_command('apply', *old, log, '--base=1')
    assert merged.returncode == 0
    assert 'pool "drafting"' in merged.stdout
    assert 'register-1' not in merged.stdout
    unchanged = run_command('apply', *new, log, '--base=2')
    assert 'nothing to change' in unchanged.stdout


def test_a_lost_answer_is_settled_by_reading_back(
    tmp_path: Path, log_url: str
) -> None:
    control_log(log_url, lose_append_answers=True)
    applied = run_command('apply', *write_tables(tmp_path), f'--log={log_url}')
    assert (applied.returncode, applied.stderr) == (0, '')
    assert 'accepted as version 1' in applied.stdout


def test_a_log_outage_is_told_from_a_rejection(
    tmp_path: Path, log_url: str
) -> None:
    control_log(log_url, outage='refuse')
    applied = run_command('apply', *write_tables(tmp_path), f'--log={log_url}')
    assert applied.returncode == 5
    assert '[log_unavailable]' in applied.stderr
    assert len(applied.stderr.splitlines()) == 1


@pytest.mark.parametrize(
    ('words', 'variables', 'status', 'text'),
    [
        (['aply'], {}, 2, 'unknown command "aply"'),
        (['check', '--routes=r'], {}, 2, '--pools'),
        (['drain', '--log=x'], {}, 2, 'name one zone or one upstream'),
        (['status'], {'HICKORYMUX_ROUTERS': 'http://127.0.0.1:1'}, 7, '1 of 1'),
        (
            ['drain', '--log=http://127.0.0.1:1', '--zone=a', '--timeout=x'],
            {},
            3,
            'bad duration "x"',
        ),
        (
            ['apply', '--routes=r', '--pools=p', '--log=x'],
            {'HICKORYMUX_BASE': 'x'},
            2,
            'argument --base',
        ),
    ],
)
def test_bad_input_ends_with_a_status_and_a_line(
    words: list[str], variables: dict[str, str], status: int, text: str
) -> None:
    ended = run_command(*words, **variables)
    assert ended.returncode == status
    assert text in ended.stderr
    assert 'Traceback' not in ended.stderr


def test_help_needs_nothing() -> None:
    assert 'explain' in run_command('--help').stdout
    assert '--base' in run_command('apply', '--help').stdout
