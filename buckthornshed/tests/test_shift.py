"""Tests of the provider of a request."""

import random

import pytest

from buckthornshed.coordination.routing.shift import Placement, provider_of
from buckthornshed.state.objects import Shift

REQUESTS = [random.Random(seed).randbytes(16) for seed in range(4000)]


def make_shift(new_share, pins=None):
    shares = {"old": 100 - new_share, "new": new_share}
    return Shift(service="reservas", shares=shares, pins=pins or {})


def sides(new_share):
    shift = make_shift(new_share)
    return [
        provider_of(shift, request_id=each, account="").provider for each in REQUESTS
    ]


@pytest.mark.parametrize("share", [0, 1, 35, 100])
def test_share_is_held(share):
    part = 100 * sides(share).count("new") / len(REQUESTS)
    assert abs(part - share) <= 2.5
    assert part in (0, 100) or share not in (0, 100)


def test_only_the_moved_share_changes_sides_and_moves_back():
    before, after = sides(20), sides(30)
    changes = {pair for pair in zip(before, after, strict=True) if len(set(pair)) > 1}
    assert changes == {("old", "new")}
    assert sides(20) == before


def places(account, **options):
    shift = make_shift(50, **options)
    requests = REQUESTS[:50]
    return {provider_of(shift, request_id=r, account=account) for r in requests}


def test_pin_goes_before_the_share_and_an_account_stays_on_one_side():
    pins = {"hut-7": "old"}
    assert places("hut-7", pins=pins) == {Placement("old", True)}
    assert len(places("hut-8", pins=pins)) == 1
    assert len(places("", pins=pins)) == 2
