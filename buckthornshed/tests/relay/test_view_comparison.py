"""Tests of the comparison of the own view with what readers report."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornshed.coordination.relay.fleet.fleet_view import (
    FleetView,
    RegistrationVersion,
)
from buckthornshed.coordination.relay.fleet.view_comparison import (
    MAX_SENDERS,
    ViewComparison,
)
from buckthornshed.protocol.relay_messages import ViewSummary
from buckthornshed.state.generation import Generation

from .makers import make_target

READER = "10.0.0.3"
NAMES = [f"t-{number}" for number in range(4)]


def summary(revision, generation=1, targets=7):
    return ViewSummary(revision, Generation(generation), targets)


@pytest.mark.parametrize(
    ("reported", "behind"),
    [
        (summary(20), False),
        (summary(20, generation=2), True),
        (summary(20, targets=8), True),
        (summary(20, generation=0), False),
    ],
)
def test_a_view_is_behind_if_a_reader_knows_more(reported, behind):
    assert ViewComparison().is_behind(READER, reported, summary(0)) is behind


# Another reader has read more meanwhile, and told it.
def test_an_older_report_does_not_make_a_newer_view_seem_behind():
    comparison = ViewComparison()
    own = summary(0, targets=8)
    assert not comparison.is_behind("10.0.0.4", summary(30, targets=8), own)
    assert not comparison.is_behind(READER, summary(29), own)


def test_a_read_covers_earlier_reports():
    comparison = ViewComparison()
    comparison.record_read(summary(40))
    assert not comparison.is_behind(READER, summary(40, 2, 9), summary(0))
    assert comparison.is_behind(READER, summary(41, 2, 9), summary(0))


# A reader keeps registrations after an outage. Reading again and again would not help.
def test_a_difference_that_a_read_has_not_ended_is_settled_until_the_reader_changes():
    comparison = ViewComparison()
    kept, own = summary(20, targets=8), summary(21)
    assert comparison.is_behind(READER, kept, own)
    comparison.record_read(own)
    assert not comparison.is_behind(READER, summary(30, targets=8), own)
    assert comparison.is_behind(READER, summary(31, targets=9), own)
    assert comparison.is_behind(READER, summary(32, targets=8), own)


# The store gives out revisions again after it has returned from an old copy.
def test_lower_revisions_of_a_restored_store_are_compared():
    comparison = ViewComparison()
    assert not comparison.is_behind(READER, summary(90), summary(0))
    assert comparison.is_behind(READER, summary(15, generation=2), summary(0))


def test_the_number_of_remembered_readers_is_bounded():
    comparison = ViewComparison()
    for number in range(MAX_SENDERS + 10):
        comparison.is_behind(f"10.0.{number}.1", summary(20), summary(0))
    assert len(comparison.latest) == MAX_SENDERS


changes = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.integers(1, 3),
        st.integers(1, 5),
        st.booleans(),
        st.booleans(),
    ),
    max_size=30,
)


@given(changes)
def test_views_have_the_same_digest_if_and_only_if_their_registrations_are_the_same(
    told,
):
    view, copy = FleetView(), FleetView()
    for name, started, sequence, draining, ends in told:
        if ends:
            view.accept_tombstone(name, RegistrationVersion(started, sequence))
            continue
        view.accept_target(
            make_target(name, started=started, sequence=sequence, draining=draining)
        )
    for target in reversed(view.targets.values()):
        copy.accept_target(target._replace(sequence=target.sequence + 10))
    assert copy.digest.value == view.digest.value
    for name in list(view.targets)[:1]:
        copy.remove_target(0.0, name)
        assert copy.digest.value != view.digest.value
