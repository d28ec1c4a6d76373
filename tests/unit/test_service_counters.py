"""Merging counters is commutative, idempotent and monotone."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hickorymux._internal.state.service_counters import (
    AccountUpdate,
    ServiceCounters,
)
from hickorymux._internal.state.tables import Pool, PoolKind

AMOUNT = st.integers(0, 10**12)
UPDATES = st.lists(
    st.builds(
        AccountUpdate,
        st.integers(1, 3),
        AMOUNT,
        AMOUNT,
        AMOUNT,
    ),
    max_size=12,
)
CHECK = settings(derandomize=True, max_examples=100, deadline=None)


def merged(updates):
    counters = ServiceCounters.from_config(Pool('p', PoolKind.model, ()))
    for update in updates:
        counters.merge(update)
    return {
        name: (one.in_zone, one.other_zones, one.lift)
        for name, one in counters.accounts.items()
    }


@CHECK
@given(UPDATES, st.randoms(use_true_random=False))
def test_merge_is_commutative_and_idempotent(updates, random):
    shuffled = updates + updates
    random.shuffle(shuffled)
    assert merged(shuffled) == merged(updates)


@CHECK
@given(UPDATES)
def test_merge_never_lowers_a_counter(updates):
    counters = ServiceCounters.from_config(Pool('p', PoolKind.model, ()))
    for update in updates:
        account = counters.account_by_id(update.customer_id)
        counters.raise_virtual_time(account, update.lift / 2)
        before = account.virtual_time
        counters.merge(update)
        assert account.virtual_time >= before


def test_changed_weight_applies_to_later_charges_only():
    counters = ServiceCounters.from_config(Pool('p', PoolKind.model, ()))
    counters.charge('a', 100)
    counters.configure(Pool('p', PoolKind.model, (), {'a': 2.0}))
    counters.charge('a', 100)
    assert counters.total_service('a') == 150


def test_changed_since_yields_later_changes_only():
    counters = ServiceCounters.from_config(Pool('p', PoolKind.model, ()))
    counters.charge('a', 1)
    closed = counters.next_revision()
    counters.charge('b', 1)
    changed = [one.customer for one in counters.changed_since(closed)]
    assert changed == ['b']


def test_old_service_that_becomes_known_replaces_tentative_lift():
    counters = ServiceCounters.from_config(Pool('p', PoolKind.model, ()))
    account = counters.account('a')
    counters.raise_virtual_time(account, 1000)
    counters.merge(AccountUpdate(account.customer_id, other_zones=900))
    counters.mark_synced()
    assert (account.virtual_time, account.lift) == (1000, 100)
