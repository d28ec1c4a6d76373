"""Each error of the table files is reported with its location and a hint."""

from pathlib import Path

import pytest
from lib.config_samples import POOLS_TOML, ROUTES_TOML

from hickorymux._internal.state.table_files import TableFiles
from hickorymux._internal.state.toml_rows import TablesInvalid


def problems(tmp_path: Path, routes: str, pools: str) -> list[str]:
    """Return the problems of two files, without the directory."""
    (tmp_path / 'routes.toml').write_text(routes)
    (tmp_path / 'pools.toml').write_text(pools)
    try:
        TableFiles.load(tmp_path / 'routes.toml', tmp_path / 'pools.toml')
    except TablesInvalid as error:
        return [
            str(problem).removeprefix(f'{tmp_path}/')
            for problem in error.problems
        ]
    return []


def test_good_files_have_no_problems(tmp_path: Path) -> None:
    assert problems(tmp_path, ROUTES_TOML, POOLS_TOML) == []


@pytest.mark.parametrize(
    ('table', 'old', 'new', 'expected'),
    [
        (
            'routes',
            'pool = "drafting"',
            'pool = "draftin"',
            'routes.toml: route 1 "drafting", key "pool":'
            ' unknown pool "draftin" (did you mean "drafting"?)',
        ),
        (
            'routes',
            'total_timeout = "20s"',
            'total_timeout = "20 sec"',
            'routes.toml: route 2 "register", key "total_timeout":'
            ' bad duration "20 sec"'
            ' (write a number and one of ms, s, m, h, as in "30s")',
        ),
        (
            'routes',
            'requires_key = true',
            'require_key = true',
            'routes.toml: route 2 "register", key "require_key":'
            ' unknown key (did you mean "requires_key"?)',
        ),
        (
            'routes',
            'path_prefix = "/register"',
            'model = "dossier"',
            'routes.toml: route 1 "drafting", key "model":'
            ' overlaps route "register"'
            ' (give each model or path prefix and customer to one route)',
        ),
        (
            'pools',
            'slots = 4',
            'slots = 0',
            'pools.toml: pool 2 "register", upstream 1 "register-1",'
            ' key "slots": 0 slots (write a whole number from 1 to 100000)',
        ),
        (
            'pools',
            'cold_slots = 2',
            'cold_slots = 9',
            'pools.toml: pool 1 "drafting", upstream 1 "engine-1",'
            ' key "cold_slots": 9 cold slots of 8 slots'
            ' (write a whole number from 1 to 8)',
        ),
        (
            'pools',
            'name = "engine-2"',
            'name = "engine-1"',
            'pools.toml: pool 1 "drafting", upstream 2 "engine-1", key "name":'
            ' duplicate name',
        ),
        (
            'pools',
            'kind = "service"',
            'kind = "servise"',
            'pools.toml: pool 2 "register", key "kind":'
            " Invalid enum value 'servise'",
        ),
        (
            'pools',
            'large = 4.0',
            'large = -1',
            'pools.toml: pool 1 "drafting", key "weights.large": weight -1',
        ),
        (
            'pools',
            'address = "127.0.0.1:9003"\n',
            '',
            'pools.toml: pool 2 "register", upstream 1 "register-1",'
            ' key "address": missing key',
        ),
        (
            'pools',
            '[[pool]]\nname = "drafting"',
            '[[pool]\nname = "drafting"',
            'pools.toml: not TOML:',
        ),
    ],
)
def test_each_error_is_named(
    tmp_path: Path, table: str, old: str, new: str, expected: str
) -> None:
    routes, pools = ROUTES_TOML, POOLS_TOML
    if table == 'routes':
        routes = routes.replace(old, new, 1)
    else:
        pools = pools.replace(old, new, 1)
    found = problems(tmp_path, routes, pools)
    assert any(line.startswith(expected) for line in found), found


def test_all_errors_are_reported_at_once(tmp_path: Path) -> None:
    routes = ROUTES_TOML.replace('"drafting"\nmodel', '"x"\nmodel')
    routes = routes.replace('"20s"', '"x"')
    pools = POOLS_TOML.replace('slots = 4', 'slots = 0')
    assert len(problems(tmp_path, routes, pools)) == 3


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(TablesInvalid, match='No such file'):
        TableFiles.load(tmp_path / 'r.toml', tmp_path / 'p.toml')
