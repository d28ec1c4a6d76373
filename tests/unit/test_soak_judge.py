"""Each promise of the soak is seen to be broken when it is."""

import dataclasses

import pytest

from tests.soak.judge import (
    Request,
    Revocation,
    Run,
    body_of,
    broken_promises,
    events_of,
)

CUSTOMERS = {'key-a': 'ann'}


def request(kind='write', **changes):
    whole = events_of('r') if kind == 'stream' else body_of('r')
    good = Request('r', kind, 5, 'key-a', 200, 'r', whole, is_complete=True)
    return dataclasses.replace(good, **changes)


RUN = Run('r', 'e1', 'ann', 5.1)


def judge(sent, *runs, revoked=()):
    return list(broken_promises([sent], runs, revoked, CUSTOMERS))


@pytest.mark.parametrize('kind', ['read', 'write', 'stream'])
def test_kept_promises_are_silent(kind):
    assert not judge(request(kind), RUN)
    assert not judge(request(kind, status=503, body=''))
    assert not judge(request(kind, status=0, body=''), RUN)
    cut = request(kind, is_complete=False, body=request(kind).body[:30])
    assert not judge(cut, RUN)


def test_repeatable_requests_may_run_twice():
    assert not judge(request('read'), RUN, RUN)


@pytest.mark.parametrize(
    ('promise', 'sent', 'runs'),
    [
        ('twice', request(), (RUN, RUN)),
        ('refused', request(status=503, body=''), (RUN,)),
        ('mixed', request(), ()),
        ('mixed', request(answered_id='q'), (RUN,)),
        ('unasked', request(), (RUN, Run('q', 'e1', 'ann', 5))),
        ('key', request(), (Run('r', 'e1', 'eve', 5),)),
        ('denied', request(status=401, body=''), ()),
        ('whole', request('read', body=body_of('r')[:-1]), (RUN,)),
        ('order', request('stream', body=events_of('r', 1)), (RUN,)),
        ('order', request('read', body=body_of('q')), (RUN,)),
    ],
)
def test_broken_promises_are_named(promise, sent, runs):
    named = judge(sent, *runs)
    assert any(line.startswith(promise) for line in named), named


def test_withdrawn_keys_run_nothing_after_the_bound():
    sent = request(sent_at=9)
    assert judge(sent, RUN, revoked=[Revocation('key-a', 8)])
    assert not judge(sent, RUN, revoked=[Revocation('key-a', 10)])
