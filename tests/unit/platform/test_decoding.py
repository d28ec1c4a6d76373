"""Decoding of the platform's manifest, entries, settings and headers."""

import json
import subprocess
from pathlib import Path

import pytest

from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.protocol.upstream_http import UpstreamLoad
from hickorymux.platform import headers
from hickorymux.platform.engine_entries import decode_entry
from hickorymux.platform.manifest import decode_manifest
from hickorymux.platform.settings import decode_settings
from tests.lib.platform_fleet import KEY, manifest, route

ROOT = Path(__file__).parents[3]


def test_longest_prefix_wins():
    table = decode_manifest(
        json.dumps(
            manifest(3, route('/a/', 'idempotent'), route('/a/b/', 'streaming'))
        ).encode()
    )
    assert table.match('api.example', '/a/b/c').name == '/a/b/'
    assert table.match('api.example', '/a/c').name == '/a/'
    assert table.match('api.example', '/a') is None
    assert table.match('other', '/a/c') is None
    assert table.customers_by_key[KEY].name == 'ann'


@pytest.mark.parametrize(
    ('text', 'where'),
    [
        (b'{', 'config'),
        (b'{"version":1}', 'routes'),
        (b'{"version":"1"}', 'version'),
    ],
)
def test_manifest_error_names_the_place(text, where):
    with pytest.raises(ConfigError, match=where):
        decode_manifest(text)


def test_cold_time_counts_from_decoding():
    text = json.dumps(
        {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'z',
            'version': 'v1.2',
            'slots': 4,
            'state': 'draining',
            'coldRemainingMs': 1500,
            'seq': 1,
        }
    ).encode()
    upstream = decode_entry('e1', text, 100)
    assert (upstream.cold_until, upstream.is_ready) == (101.5, False)
    assert upstream.version == 'v1.2'


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'odd'},
        {'slots': 0},
        {'address': 'nowhere'},
        {'address': '1:99999'},
        {'version': None},
        {'version': 2},
    ],
)
def test_invalid_entry_is_refused(change):
    entry = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'coldRemainingMs': 0,
        'seq': 1,
        **change,
    }
    with pytest.raises(ConfigError, match='e1'):
        decode_entry('e1', json.dumps(entry).encode(), 0)


def test_settings_error_names_the_file_and_the_field():
    with pytest.raises(ConfigError, match='local.toml.*node'):
        decode_settings(b'zone = "z"', where='local.toml')


def test_prompt_of_a_call():
    request = headers.read_request_headers(
        {
            'X-Request-Id': 'r',
            'X-Token-Count': '1460,80',
            'X-Length-Hint': '30',
            'X-Prompt-Prefix': 'a:800,b:410,c:250',
            'X-Request-Deadline': '1500',
            'Last-Event-Id': '7',
            'Resumes': 'q',
        }
    )
    assert (request.last_event_id, request.first_request_id) == ('7', 'q')
    assert request.caller_timeout_seconds == 1.5
    assert request.prompt.affinity_key == 'b'
    assert request.prompt.expected_output == 30
    assert [part.tokens for part in request.prompt.shared_parts] == [800, 410]


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('X-Token-Count', 'many'),
        ('X-Prompt-Prefix', ',,:'),
        ('X-Request-Deadline', 'soon'),
        ('X-Request-Deadline', 'nan'),
        ('X-Request-Deadline', 'inf'),
        ('X-Server-Load', '1,2'),
    ],
)
def test_invalid_headers_are_ignored(name, text):
    request = headers.read_request_headers({name: text})
    assert request.caller_timeout_seconds is None
    assert request.prompt is None
    assert headers.read_response_headers(200, {name: text}).load is None


@pytest.mark.parametrize(
    'text',
    ['1,2', '-1,0,8', '1,,8', '1,0,0', '1,0,8,0', '1,0,8,100,2', '1,0,8,1e9']
    + [
        '1,0,8,x',
        '1.5,0,8',
        '1,0,' + '9' * 5000,
        '1,0,8,99999999',
        '\u0661,0,8',
    ],
)
def test_malformed_loads_are_reported_and_count_as_absent(text):
    facts = headers.read_response_headers(200, {'X-Server-Load': text})
    assert facts.load is None
    assert facts.invalid_load == text


def test_load_may_state_how_long_work_takes():
    read = headers.read_response_headers
    facts = read(200, {'X-Server-Load': '3, 0, 8, 250'})
    assert facts.load == UpstreamLoad(3, 0, 8, 2.5)
    assert read(200, {'X-Server-Load': '3,0,8'}).load == UpstreamLoad(3, 0, 8)
    assert not read(200, {}).invalid_load


@pytest.mark.parametrize(
    ('text', 'limit'), [('11.5', 11.5), ('0', 0), ('3', 3), (' 2.5 ', 2.5)]
)
def test_request_limit_is_read_from_any_answer(text, limit):
    for status in (200, 503):
        facts = headers.read_response_headers(status, {'Server-Limit': text})
        assert facts.request_limit == limit
        assert not facts.invalid_limit
    assert headers.read_response_headers(200, {}).request_limit is None


@pytest.mark.parametrize('text', ['-1', 'nan', 'inf', '1e999', 'many', '1,5'])
def test_invalid_request_limit_is_kept_for_the_log(text):
    facts = headers.read_response_headers(200, {'Server-Limit': text})
    assert facts.request_limit is None
    assert facts.invalid_limit == text


def test_only_proof_means_not_run():
    assert headers.read_response_headers(
        503, {'X-Not-Executed': '1'}
    ).is_not_run
    assert headers.read_response_headers(421, {}).is_not_run
    assert not headers.read_response_headers(503, {}).is_not_run


def test_wire_names_stay_in_the_platform_folder():
    """Only the platform package knows the platform's headers and fields."""
    names = (
        'X-Tenant|X-Expect-Instance|X-Not-Executed|X-Response-Stamp|X-Key|'
        'X-Server-Load|Server-Limit|X-Prompt-Prefix|X-Token-Count|Kv-|coldRemainingMs|'
        'apiKeys|pathPrefix|keyed\\.|weightedBackends|maxAttempts'
    )
    found = subprocess.run(
        ['grep', '-rlE', names, 'src', '--include=*.py'],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    outside = [
        name
        for name in found.stdout.split()
        if not name.startswith('src/hickorymux/platform/')
    ]
    assert not outside
