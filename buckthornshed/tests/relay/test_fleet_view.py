import pytest

from buckthornshed.coordination.relay.fleet.fleet_view import (
    FleetView,
    RegistrationVersion,
)
from buckthornshed.state.generation import Generation

from .makers import make_catalog, make_target


@pytest.mark.parametrize("generation", [3, 4])
def test_only_a_newer_configuration_replaces_the_current_one(generation):
    fleet_view = FleetView()
    assert fleet_view.accept_catalog(make_catalog(4))
    assert not fleet_view.accept_catalog(make_catalog(generation))
    assert fleet_view.catalog is not None
    assert fleet_view.catalog.generation == Generation(4)
    assert fleet_view.accept_catalog(make_catalog(5))


def test_a_delayed_registration_does_not_reactivate_a_draining_target():
    fleet_view = FleetView()
    fleet_view.accept_target(make_target(sequence=5))
    fleet_view.accept_target(make_target(sequence=6, draining=True))
    assert not fleet_view.accept_target(make_target(sequence=5))
    assert fleet_view.usable == {}


def test_a_later_incarnation_replaces_any_sequence():
    fleet_view = FleetView()
    fleet_view.accept_target(make_target(sequence=90, draining=True))
    assert fleet_view.accept_target(make_target(started=2_000, sequence=1))
    assert [target.started for target in fleet_view.usable["stalls"]] == [2_000]


def test_a_stale_registration_does_not_restore_a_removed_target():
    fleet_view = FleetView()
    fleet_view.accept_target(make_target(sequence=5))
    assert fleet_view.remove_target(1.0, "t-1")
    assert not fleet_view.accept_target(make_target(sequence=5))
    assert not fleet_view.accept_target(make_target(sequence=4))
    assert fleet_view.accept_target(make_target(sequence=6))


def test_a_registration_that_expired_during_a_store_outage_is_kept_for_two_seconds():
    fleet_view = FleetView()
    fleet_view.accept_target(make_target())
    fleet_view.mark_store_unavailable()
    assert not fleet_view.remove_target(5.0, "t-1")
    fleet_view.mark_store_available(10.0)
    assert fleet_view.replace_targets(10.0, []) == []
    assert fleet_view.remove_expired(11.9) == []
    assert fleet_view.usable["stalls"]
    assert fleet_view.remove_expired(12.1) == ["t-1"]
    assert fleet_view.usable == {}


def test_a_registration_renewed_within_the_grace_period_is_kept():
    fleet_view = FleetView()
    fleet_view.accept_target(make_target())
    fleet_view.mark_store_unavailable()
    fleet_view.mark_store_available(10.0)
    assert not fleet_view.remove_target(10.5, "t-1")
    fleet_view.accept_target(make_target(sequence=2))
    assert fleet_view.remove_expired(13.0) == []
    assert fleet_view.usable["stalls"]


def test_a_draining_target_is_removed_at_once_during_a_store_outage():
    fleet_view = FleetView()
    fleet_view.accept_target(make_target(draining=True))
    fleet_view.mark_store_unavailable()
    assert fleet_view.remove_target(5.0, "t-1")


def test_a_tombstone_of_an_older_incarnation_is_ignored():
    fleet_view = FleetView()
    fleet_view.accept_target(make_target(started=2_000, sequence=3))
    assert not fleet_view.accept_tombstone("t-1", RegistrationVersion(1_000, 99))
    assert fleet_view.accept_tombstone("t-1", RegistrationVersion(2_000, 3))


def test_of_two_registrations_with_one_address_only_the_latest_is_usable():
    """After a loss of power the old registrations stay listed for seconds."""
    view = FleetView()
    old = make_target("t-1", address="10.0.0.1:9000", started=1_000)
    new = make_target("t-2", address="10.0.0.1:9000", started=2_000)
    other = make_target("t-3", address="10.0.0.3:9000", started=1_000)
    for target in (new, old, other):
        view.accept_target(target)
    assert {each.name for each in view.usable["stalls"]} == {"t-2", "t-3"}


def test_an_address_that_another_service_uses_now_is_not_used_for_the_old_one():
    view = FleetView()
    view.accept_target(make_target("t-1", address="10.0.0.1:9000", started=1_000))
    view.accept_target(
        make_target("t-2", address="10.0.0.1:9000", started=2_000, service="other")
    )
    assert "stalls" not in view.usable


def test_a_target_that_left_before_this_relay_started_is_not_added_later():
    fleet_view = FleetView()
    assert not fleet_view.accept_tombstone("t-1", RegistrationVersion(1_000, 5))
    assert not fleet_view.accept_target(make_target(sequence=5))
    assert fleet_view.accept_target(make_target(started=2_000, sequence=1))


def test_an_older_tombstone_does_not_replace_a_later_one():
    fleet_view = FleetView()
    fleet_view.accept_tombstone("t-1", RegistrationVersion(1_000, 5))
    fleet_view.accept_tombstone("t-1", RegistrationVersion(1_000, 3))
    assert not fleet_view.accept_target(make_target(sequence=4))


# Guards against calls to a removed target: what another relay still knew of it ended
# the removal that waited for the end of the grace period.
def test_an_old_registration_does_not_end_a_pending_removal():
    fleet_view = FleetView()
    fleet_view.accept_target(make_target(sequence=5))
    fleet_view.mark_store_unavailable()
    fleet_view.mark_store_available(10.0)
    assert not fleet_view.remove_target(11.0, "t-1")
    fleet_view.accept_target(make_target(sequence=4))
    fleet_view.accept_target(make_target(sequence=5))
    assert fleet_view.remove_expired(12.1) == ["t-1"]


# Guards against calls to a removed target: a relay that reads old history after a
# while tells of registrations in between.
def test_no_registration_up_to_the_ended_one_is_accepted_after_its_end():
    view = FleetView()
    assert view.accept_target(make_target(sequence=2))
    assert view.accept_tombstone("t-1", RegistrationVersion(1_000, 7))
    for sequence in (3, 6, 7):
        assert not view.accept_target(make_target(sequence=sequence))
    assert view.accept_target(make_target(sequence=8))
