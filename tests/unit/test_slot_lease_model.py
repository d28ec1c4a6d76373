"""Check the model of slot leases, also with safety mechanisms disabled.

``True`` means that an exhaustive search found no violation, and ``False``
that there is a counterexample. With two messages in transit and all
mechanisms enabled the search is too large to finish, so no test covers it.
"""

import minicheck
import pytest
from models.slot_leases import Variant, model

MAX_STATES = 150_000


def holds(variant: Variant) -> bool | None:
    report = minicheck.check_safety(model(variant), max_states=MAX_STATES)
    return report['properties']['limit']['holds']


def test_limit_holds_with_one_message_in_transit() -> None:
    assert holds(Variant(has_epochs=False, max_pending=1)) is True


@pytest.mark.parametrize(
    'variant',
    [
        Variant(has_epochs=False, max_restarts=0),
        Variant(has_epochs=False, has_takeover_wait=False),
        Variant(has_epochs=False, has_expiry_check=False),
        Variant(has_epochs=False, has_monotonic_counts=False),
    ],
    ids=['no epochs', 'no takeover wait', 'no expiry check', 'returns add up'],
)
def test_broken_rules_are_refuted(variant: Variant) -> None:
    assert holds(variant) is False
