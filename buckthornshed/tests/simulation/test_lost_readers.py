"""Plays of seeds in which relays counted for too long on readers, or on an outage."""

from .trials import play


# Guards against an old configuration: its readers are cut from the store just after
# they have reported, and nobody else reads before their reports expire.
def test_readers_that_are_cut_right_after_their_reports_are_replaced_in_time():
    assert play(22000, ["cut_readers"], sizes=(6,), seconds=16.0) == []
