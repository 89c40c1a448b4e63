"""Plays of seeds in which relays counted for too long on readers, or on an outage."""

import pytest

from .trials import play


# Guards against an old configuration: its readers are cut from the store just after
# they have reported, and nobody else reads before their reports expire.
def test_readers_that_are_cut_right_after_their_reports_are_replaced_in_time():
    assert play(22000, ["cut_readers"], sizes=(6,), seconds=16.0) == []


# Guards against calls to a removed target: readers that were cut from the store for a
# moment keep it, though other readers have read the store meanwhile.
def test_readers_that_were_cut_do_not_keep_a_target_that_was_removed_meanwhile():
    assert play(32004, ["cut_readers"], sizes=(12,), seconds=20.0) == []


# Guards against calls to a removed target: silent connections are no long outage.
@pytest.mark.parametrize("seed", [1103])
def test_connections_that_are_silent_twice_do_not_keep_a_removed_target(seed):
    assert play(seed, sizes=(9,), seconds=20.0) == []
