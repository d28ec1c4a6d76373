"""The checker of the fault soak reports each kind of violation, and no other.

A checker that misses a violation would let a faulty router pass the soak.
"""

import dataclasses

import pytest

from tests.soak.guarantees import (
    Request,
    Revocation,
    Run,
    find_violations,
    response_body,
    response_stream,
)

CUSTOMERS_BY_KEY = {'key-a': 'ann'}


def request(kind='write', **changes):
    body = response_stream('r') if kind == 'stream' else response_body('r')
    good = Request('r', kind, 5, 'key-a', 200, 'r', body, is_complete=True)
    return dataclasses.replace(good, **changes)


RUN = Run('r', 'e1', 'ann', 5.1)


def violations(sent, *runs, revocations=()):
    return list(find_violations([sent], runs, revocations, CUSTOMERS_BY_KEY))


@pytest.mark.parametrize('kind', ['read', 'write', 'stream'])
def test_kept_guarantees_give_no_violation(kind):
    assert not violations(request(kind), RUN)
    assert not violations(request(kind, status=503, body=''))
    assert not violations(request(kind, status=0, body=''), RUN)
    cut = request(kind, is_complete=False, body=request(kind).body[:30])
    assert not violations(cut, RUN)


def test_repeatable_requests_may_run_twice():
    assert not violations(request('read'), RUN, RUN)


@pytest.mark.parametrize(
    ('guarantee', 'sent', 'runs'),
    [
        ('twice', request(), (RUN, RUN)),
        ('refused', request(status=503, body=''), (RUN,)),
        ('mixed', request(), ()),
        ('mixed', request(response_id='q'), (RUN,)),
        ('unasked', request(), (RUN, Run('q', 'e1', 'ann', 5))),
        ('key', request(), (Run('r', 'e1', 'eve', 5),)),
        ('denied', request(status=401, body=''), ()),
        ('whole', request('read', body=response_body('r')[:-1]), (RUN,)),
        ('order', request('stream', body=response_stream('r', 1)), (RUN,)),
        ('order', request('read', body=response_body('q')), (RUN,)),
    ],
)
def test_violations_are_named(guarantee, sent, runs):
    found = violations(sent, *runs)
    assert any(line.startswith(guarantee) for line in found), found


def test_revoked_keys_run_nothing_after_the_revocation():
    sent = request(sent_at=9)
    assert violations(sent, RUN, revocations=[Revocation('key-a', 8)])
    assert not violations(sent, RUN, revocations=[Revocation('key-a', 10)])


def test_stream_of_two_versions_is_a_violation():
    begun = request('stream', is_complete=False)
    begun.body = response_stream('r')[:40]
    resumed = Request('q', 'stream', 6, 'key-a', 200, 'q', is_complete=True)
    resumed.resumes, resumed.first_event = 'r', begun.event_count
    resumed.body = response_stream('q', begun.event_count, 'v1')
    runs = (RUN, Run('q', 'e2', 'ann', 6.1))

    def found():
        return list(
            find_violations([begun, resumed], runs, [], CUSTOMERS_BY_KEY)
        )

    assert begun.event_count and not found()
    resumed.body = response_stream('q', begun.event_count, 'v2')
    assert [line.partition(':')[0] for line in found()] == ['version']
