"""Check the model of cold permits, also with safety mechanisms disabled.

``True`` means that an exhaustive search within the bounds of the model found
no violation, and ``False`` that there is a counterexample. A search that does
not end yields neither.
"""

import minicheck
import pytest
from models.cold_permits import Variant, model

MAX_STATES = 60_000


def holds(variant: Variant) -> bool | None:
    report = minicheck.check_safety(model(variant), max_states=MAX_STATES)
    return report['properties']['cold limit']['holds']


@pytest.mark.parametrize(
    'variant',
    [
        Variant(max_crashes=0),
        Variant(max_crashes=0, max_trims=1, may_be_unlisted=False),
        Variant(may_be_unlisted=False),
        Variant(max_crashes=0, may_be_unlisted=False, has_quarantine=False),
    ],
    ids=['paused and unlisted', 'trimmed', 'crashed', 'no takeover'],
)
def test_cold_limit_holds(variant: Variant) -> None:
    assert holds(variant) is True


@pytest.mark.parametrize(
    'variant',
    [
        Variant(max_crashes=0, has_quarantine=False),
        Variant(max_crashes=0, has_confirmation_limit=False),
        Variant(
            max_crashes=0,
            may_be_unlisted=False,
            has_quarantine=False,
            is_first_claim_winner=False,
        ),
    ],
    ids=['no quarantine', 'no confirmation limit', 'last claim wins'],
)
def test_broken_rules_are_refuted(variant: Variant) -> None:
    assert holds(variant) is False
