"""Forwarded headers, problem details and the settings of a router."""

import argparse
import json

import pytest

from hickorymux._internal.exceptions import (
    NotReady,
    Ran,
    Unauthorized,
    UpstreamFailed,
)
from hickorymux._internal.protocol import http
from hickorymux._internal.transport.router_settings import (
    RouterSettings,
    SettingsInvalid,
)


def test_hop_by_hop_and_router_headers_are_not_forwarded() -> None:
    given = {
        'Authorization': 'Bearer k',
        'X-Api-Key': 'k',
        'x-customer': 'forged',
        'X-Request-Id': 'r',
        'Host': 'h',
        'Connection': 'close, X-Private',
        'x-private': 'p',
        'Transfer-Encoding': 'chunked',
        'Idempotency-Key': 'i',
        'Accept': '*/*',
    }
    assert dict(http.headers_for_upstream(given)) == {
        'Idempotency-Key': 'i',
        'Accept': '*/*',
    }
    answer = {'Connection': 'x-private', 'X-Private': 'p', 'ETag': 'e'}
    assert dict(http.headers_for_caller(answer)) == {'ETag': 'e'}


@pytest.mark.parametrize(
    ('headers', 'key'),
    [
        ({'Authorization': 'bearer  k '}, 'k'),
        ({'X-Api-Key': 'k'}, 'k'),
        ({'Authorization': 'Basic k'}, ''),
        ({}, ''),
    ],
)
def test_bearer_key(headers, key) -> None:
    assert http.caller_api_key(headers) == key


def test_problem_details_have_code_ran_and_retry_after() -> None:
    error = NotReady('no tables', retry_after=1.2, where='here', hint='wait')
    members = json.loads(http.problem_body(error, 'r-1'))
    assert members['type'] == 'urn:hickorymux:error:not_ready'
    assert (members['status'], members['code']) == (503, 'not_ready')
    assert (members['ran'], members['request_id']) == ('no', 'r-1')
    assert (members['where'], members['hint']) == ('here', 'wait')
    headers = http.problem_headers(error, 'r-1')
    assert headers['Retry-After'] == '2'
    assert headers['X-Ran'] == 'no'


def test_error_that_may_have_run_and_error_without_a_key() -> None:
    failed = UpstreamFailed('cut', ran=Ran.unknown)
    assert http.problem(failed, 'r')['ran'] == 'unknown'
    wrong = http.problem_headers(Unauthorized('no key'), 'r')
    assert wrong['WWW-Authenticate'] == 'Bearer'


def test_all_wrong_settings_are_named_in_one_message(tmp_path) -> None:
    customers = tmp_path / 'customers.toml'
    customers.touch()
    flags = {
        'router_id': 'a 1',
        'zone': 'a',
        'listen': '127.0.0.1',
        'admin_listen': '127.0.0.1:1',
        'peer_listen': '127.0.0.1:99999',
        'advertise': '',
        'log': 'ftp://x',
        'host_list': '',
        'peer': ['b-1=127.0.0.1:1'],
        'customers': str(customers),
        'fleet_key': 'short',
        'max_body': 1,
        'max_requests': 0,
        'max_waiting': 1,
        'connect_timeout': '1s',
        'first_byte_timeout': 'soon',
        'idle_timeout': '1s',
        'claim_partitions': 1,
        'log_retention': '1h',
        'drain_notice': '1s',
        'drain_limit': '1s',
        'log_level': 'loud',
    }
    with pytest.raises(SettingsInvalid) as caught:
        RouterSettings.from_config(argparse.Namespace(**flags))
    named = {part.split(':')[0] for part in caught.value.detail.split('; ')}
    assert {
        '--router-id',
        '--listen',
        '--peer-listen',
        '--log',
        '--peer',
        '--fleet-key',
        '--max-requests',
        '--first-byte-timeout',
        '--log-level',
    } <= named
    assert not {'--zone', '--admin-listen', '--customers'} & named
