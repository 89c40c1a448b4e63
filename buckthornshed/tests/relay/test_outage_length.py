"""Tests of outages of the store in which registrations can lapse, or cannot."""

import math

import pytest

from buckthornshed.coordination.relay.fleet.fleet_view import FleetView
from buckthornshed.coordination.relay.fleet.outage import StoreOutage
from buckthornshed.errors import SettingsError
from buckthornshed.platform.settings import parse_settings

from .makers import make_target
from .relay_processes import settings_text

HEARTBEAT_S = 1.5
LAPSE_S = 2 * HEARTBEAT_S


def outage_of(begin, end, *, heartbeat=HEARTBEAT_S):
    outage = StoreOutage(heartbeat=heartbeat)
    outage.note_read(begin)
    outage.begin()
    outage.end(end)
    return outage


# Guards against calls to a removed target that is kept after a short outage.
@pytest.mark.parametrize(
    ("seconds", "kept"), [(0.1, False), (2.9, False), (3.0, True), (20.0, True)]
)
def test_registrations_are_kept_only_after_an_outage_in_which_they_can_lapse(
    seconds, kept
):
    assert outage_of(10.0, 10.0 + seconds).covers(10.1 + seconds) is kept


def test_each_outage_counts_where_the_heartbeat_is_not_known():
    assert outage_of(10.0, 10.1, heartbeat=0.0).covers(11.0)


def test_a_relay_that_has_never_read_keeps_registrations():
    outage = StoreOutage(heartbeat=HEARTBEAT_S)
    outage.begin()
    outage.end(10.0)
    assert outage.began_at == -math.inf and outage.covers(11.0)


# Not each target has renewed its registration between the two.
def test_outages_with_less_than_a_heartbeat_in_between_count_as_one():
    outage = outage_of(10.0, 12.0)
    outage.note_read(12.5)
    outage.begin()
    outage.end(13.5)
    assert outage.covers(13.6)


def test_outages_with_a_heartbeat_in_between_count_by_themselves():
    outage = outage_of(10.0, 12.0)
    outage.note_read(14.0)
    outage.begin()
    outage.end(16.0)
    assert not outage.covers(16.1)


def test_a_short_outage_in_a_grace_period_renews_it():
    outage = outage_of(10.0, 14.0)
    outage.note_read(15.9)
    outage.begin()
    outage.end(16.5)
    assert outage.covers(18.0)


# Guards against the removal of running targets whose domain was cut off as a whole:
# the first of its relays that reads again ends no outage of the others.
@pytest.mark.parametrize(("seconds", "kept"), [(2.9, False), (3.0, True), (20.0, True)])
def test_a_first_read_of_another_relay_does_not_shorten_an_outage(seconds, kept):
    outage = StoreOutage(heartbeat=HEARTBEAT_S)
    outage.note_read(10.0)
    outage.begin()
    outage.note_read(10.0 + seconds)
    outage.end(10.1 + seconds)
    assert outage.covers(10.2 + seconds) is kept


def test_a_lapse_counts_for_its_own_outage_only():
    outage = outage_of(10.0, 14.0)
    outage.note_read(30.0)
    outage.begin()
    outage.end(31.0)
    assert not outage.covers(31.1)


# A relay that was cut from the store must not keep what others have seen end.
def test_a_read_of_another_relay_shows_that_the_store_answered():
    outage = StoreOutage(heartbeat=HEARTBEAT_S)
    outage.note_read(10.0)
    outage.begin()
    outage.note_read(12.0)
    outage.end(14.0)
    assert not outage.covers(14.1)


def test_a_target_that_ends_after_a_short_outage_is_removed_at_once():
    view = FleetView(heartbeat=HEARTBEAT_S)
    view.accept_target(make_target())
    view.outage.note_read(10.0)
    view.mark_store_unavailable()
    view.mark_store_available(11.0)
    assert view.remove_target(11.1, "t-1")


@pytest.mark.parametrize(
    ("line", "heartbeat"), [("", 0.0), ("beatS=", 0.0), ("beatS=1.5", 1.5)]
)
def test_the_heartbeat_is_taken_from_the_settings(line, heartbeat):
    text = settings_lines() + line + "\n"
    assert parse_settings(text).heartbeat == heartbeat


@pytest.mark.parametrize("value", ["-1", "soon", "inf"])
def test_an_unusable_heartbeat_is_an_error(value):
    with pytest.raises(SettingsError, match="beatS"):
        parse_settings(settings_lines() + f"beatS={value}\n")


def settings_lines():
    return settings_text(
        name="stalls-1",
        address="127.0.0.2",
        client_port=8304,
        ready_port=8302,
        internal_ports=(7620, 7635),
        target="127.0.0.2:8301",
        store="127.0.0.1:8309",
    )
