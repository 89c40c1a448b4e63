import pytest

from buckthornshed.coordination.relay.beliefs import FleetBeliefs, Version

from .makers import make_catalog, make_target


@pytest.mark.parametrize("generation", [3, 4])
def test_a_configuration_gives_way_to_a_newer_one_only(generation):
    beliefs = FleetBeliefs()
    assert beliefs.accept_catalog(make_catalog(4))
    assert not beliefs.accept_catalog(make_catalog(generation))
    assert beliefs.catalog is not None
    assert beliefs.catalog.generation == 4
    assert beliefs.accept_catalog(make_catalog(5))


def test_a_late_registration_does_not_bring_a_leaving_target_back():
    beliefs = FleetBeliefs()
    beliefs.accept_target(make_target(sequence=5))
    beliefs.accept_target(make_target(sequence=6, leaving=True))
    assert not beliefs.accept_target(make_target(sequence=5))
    assert beliefs.usable == {}


def test_a_registration_of_a_later_start_counts_anew():
    beliefs = FleetBeliefs()
    beliefs.accept_target(make_target(sequence=90, leaving=True))
    assert beliefs.accept_target(make_target(started=2_000, sequence=1))
    assert [target.started for target in beliefs.usable["stalls"]] == [2_000]


def test_a_target_that_is_gone_is_not_brought_back_by_old_news():
    beliefs = FleetBeliefs()
    beliefs.accept_target(make_target(sequence=5))
    assert beliefs.remove_target(1.0, "t-1")
    assert not beliefs.accept_target(make_target(sequence=5))
    assert not beliefs.accept_target(make_target(sequence=4))
    assert beliefs.accept_target(make_target(sequence=6))


def test_an_entry_that_lapsed_while_the_store_was_away_is_kept_for_two_seconds():
    beliefs = FleetBeliefs()
    beliefs.accept_target(make_target())
    beliefs.lose_store()
    assert not beliefs.remove_target(5.0, "t-1")
    beliefs.find_store(10.0)
    assert beliefs.replace_targets(10.0, []) == []
    assert beliefs.expire(11.9) == []
    assert beliefs.usable["stalls"]
    assert beliefs.expire(12.1) == ["t-1"]
    assert beliefs.usable == {}


def test_an_entry_that_comes_back_within_the_grace_stays():
    beliefs = FleetBeliefs()
    beliefs.accept_target(make_target())
    beliefs.lose_store()
    beliefs.find_store(10.0)
    assert not beliefs.remove_target(10.5, "t-1")
    beliefs.accept_target(make_target(sequence=2))
    assert beliefs.expire(13.0) == []
    assert beliefs.usable["stalls"]


def test_a_leaving_target_is_gone_at_once_also_while_the_store_is_away():
    beliefs = FleetBeliefs()
    beliefs.accept_target(make_target(leaving=True))
    beliefs.lose_store()
    assert beliefs.remove_target(5.0, "t-1")


def test_another_relays_word_of_an_older_end_changes_nothing():
    beliefs = FleetBeliefs()
    beliefs.accept_target(make_target(started=2_000, sequence=3))
    assert not beliefs.accept_gone("t-1", Version(1_000, 99))
    assert beliefs.accept_gone("t-1", Version(2_000, 3))
