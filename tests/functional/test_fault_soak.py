"""A short run of the soak; ``python -m tests.soak`` runs more seeds."""

import pytest

from tests.soak.soak import soak

SECONDS = 5.0


@pytest.mark.parametrize('seed', [1, 2])
async def test_promises_hold_under_faults(seed, tmp_path):
    assert not await soak(seed, SECONDS, tmp_path)
