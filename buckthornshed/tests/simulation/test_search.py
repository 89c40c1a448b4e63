"""Short plays of all disturbances; the long ones are run by hand."""

import pytest

from .trials import play


@pytest.mark.parametrize("sizes", [(5, 4, 4), (8,)])
@pytest.mark.parametrize("seed", [1, 2])
def test_relays_in_touch_know_each_change_in_time(seed, sizes):
    assert play(seed, sizes=sizes, seconds=10.0) == []
