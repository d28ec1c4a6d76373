"""Check the claim protocol in every interleaving within small scopes.

The model runs the production classes ``ClaimFold`` and ``ProtectedWindow``.
The check must also reject each broken variant of the protocol, which shows
that it can detect such faults.
"""

import dataclasses

import pytest

from lib.claim_model import Faults, Scope, check

TWO_ROUTERS = Scope()
ONE_COPY = Scope(max_claim_appends=1)
ONE_ROUTER = Scope(routers=(0, 0))
THREE_ATTEMPTS = Scope(routers=(0, 1, 1), max_claim_appends=1, can_crash=False)
TRIMMED = Scope(last_tick=4, retention=4, max_claim_appends=1, can_crash=False)
TRIMMED_SOONER = Scope(last_tick=3, max_claim_appends=1, can_crash=False)
TRIMMED_WITH_CRASHES = Scope(last_tick=3, max_claim_appends=1)
TIMED = Scope(last_tick=3, max_claim_appends=1, can_crash=False, created=1)
TIMED_PAUSED = dataclasses.replace(TIMED, pauses_before_send=True)

SCOPES = {
    'two_routers': TWO_ROUTERS,
    'one_router': ONE_ROUTER,
    'three_attempts': THREE_ATTEMPTS,
    'trimmed': TRIMMED,
    'trimmed_with_crashes': TRIMMED_WITH_CRASHES,
    'timed': TIMED,
    'timed_paused_before_send': TIMED_PAUSED,
}
BROKEN = {
    'claim_lapses': ONE_COPY,
    'sends_after_lost_answer': TWO_ROUTERS,
    'releases_after_send': TWO_ROUTERS,
    'others_release_claim': ONE_COPY,
    'sends_without_window_check': TRIMMED_SOONER,
    'decides_without_time_limit': TRIMMED,
    'ignores_expiry': TIMED,
    'trusts_future_keys': dataclasses.replace(TIMED, created=9),
}


@pytest.mark.parametrize('name', SCOPES)
def test_protocol_holds_in_every_interleaving(name: str) -> None:
    result = check(SCOPES[name])
    assert result['exhaustive']
    for verdict in result['properties'].values():
        assert verdict['holds'] is True


@pytest.mark.parametrize('fault', BROKEN)
def test_broken_variant_is_refuted(fault: str) -> None:
    scope = dataclasses.replace(BROKEN[fault], faults=Faults(**{fault: True}))
    result = check(scope)
    assert result['properties']['at_most_once']['holds'] is False
