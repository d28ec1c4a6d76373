"""The guarantees hold while several faults overlap.

Tests of one fault miss failures that need more, such as a router that resumes
from a pause while the store is unreachable. ``python -m tests.soak`` runs more
seeds and longer.
"""

import pytest

from tests.soak.soak import soak

SECONDS = 5.0


@pytest.mark.parametrize('seed', [1, 2])
async def test_guarantees_hold_under_faults(seed, tmp_path):
    assert not await soak(seed, SECONDS, tmp_path)
