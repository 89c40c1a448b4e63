"""Short soak; the long one is run by hand, see the developers' page."""

import asyncio

import pytest

from .run import soak

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_while_disturbances_overlap(seed, tmp_path):
    result = asyncio.run(soak(seed, tmp_path, relays=4, seconds=15.0))
    assert result.violations == []
    assert result.answered
