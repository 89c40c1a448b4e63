"""Tests of what a reader of the store tells after another relay told it first."""

from buckthornshed.coordination.relay.fleet.store_readers import StoreReaders
from buckthornshed.protocol.relay_messages import (
    FleetUpdate,
    ReaderReport,
    ViewSummary,
)
from buckthornshed.state.generation import Generation
from buckthornshed.transport.relay.fleet.fleet_updater import FleetUpdater

from .makers import make_target


class ReaderParts:
    """An updater that knows one target, and what it tells its failure domain."""

    def __init__(self):
        self.told: list[FleetUpdate] = []
        self.updater = FleetUpdater(
            clock=lambda: 10.0,
            on_catalog=lambda: None,
            on_targets=lambda: None,
            broadcast=lambda _: None,
            readers=StoreReaders(instance="10.0.0.9", is_connected=lambda _: True),
            tell_domain=self.told.append,
            tell_other_domains=lambda _: None,
        )
        self.updater.apply_update(FleetUpdate(targets=[make_target()]))


# Guards against requests to a removed target from a relay that has lost its link to
# the reader that told the others first.
def test_a_reader_tells_a_removal_that_it_heard_of_before():
    parts = ReaderParts()
    parts.updater.apply_update(FleetUpdate(tombstones=[("t-1", 1_000, 1)]))
    parts.updater.handle_target_deletion("t-1")
    assert [update.tombstones for update in parts.told] == [[("t-1", 1_000, 1)]]


def test_a_reader_tells_a_draining_target_that_it_heard_of_before_once():
    parts = ReaderParts()
    draining = make_target(draining=True, sequence=2)
    parts.updater.apply_update(FleetUpdate(targets=[draining]))
    for sequence in (2, 3, 4):
        parts.updater.handle_target_change(draining._replace(sequence=sequence))
    assert [update.targets for update in parts.told] == [[draining]]


def test_a_reader_does_not_tell_heartbeats():
    parts = ReaderParts()
    for sequence in (2, 3, 4):
        parts.updater.handle_target_change(make_target(sequence=sequence))
    assert parts.told == []


def test_a_reader_tells_a_removal_of_its_own_once():
    parts = ReaderParts()
    parts.updater.handle_target_deletion("t-1")
    assert [update.tombstones for update in parts.told] == [[("t-1", 1_000, 1)]]


# Guards against calls to a removed target: what a relay is told may be later than the
# registration that it knew and still older than the end, which it has read.
def test_a_reader_takes_no_target_from_others_that_the_store_does_not_have():
    updater = ReaderParts().updater
    updater.handle_targets([make_target()])
    updater.handle_store_read(succeeded=True)
    updater.handle_store_unavailable("away")
    updater.handle_store_available()
    updater.handle_target_deletion("t-1")
    assert updater.fleet_view.pending_removal == {"t-1"}
    updater.apply_update(FleetUpdate(targets=[make_target(sequence=9)]))
    assert updater.fleet_view.pending_removal == {"t-1"}
    updater.apply_update(FleetUpdate(targets=[make_target("t-2")]))
    assert "t-2" not in updater.fleet_view.targets


# Guards against the loss of a running target: the store's history ends its registration
# and begins it again, while others have told of the new one already.
def test_the_end_of_an_earlier_registration_does_not_end_a_later_one():
    parts = ReaderParts()
    updater = parts.updater
    updater.handle_targets([make_target()])
    updater.handle_store_read(succeeded=True, revision=10)
    renewed = make_target(sequence=2)
    updater.apply_update(FleetUpdate(targets=[renewed]))
    parts.told.clear()
    updater.handle_target_deletion("t-1")
    updater.handle_target_change(renewed)
    for revision in (12, 13, 14):
        updater.handle_store_read(succeeded=True, revision=revision)
    assert updater.fleet_view.targets == {"t-1": renewed}
    assert not updater.unconfirmed
    assert not any(update.tombstones for update in parts.told)


def test_a_later_registration_that_the_store_does_not_have_ends_with_the_next_read():
    parts = ReaderParts()
    updater = parts.updater
    updater.handle_targets([make_target()])
    updater.handle_store_read(succeeded=True, revision=10)
    updater.apply_update(FleetUpdate(targets=[make_target(sequence=2)]))
    updater.handle_target_deletion("t-1")
    updater.handle_store_read(succeeded=True, revision=12)
    assert updater.reads_store() and "t-1" in updater.fleet_view.targets
    updater.handle_store_read(succeeded=True, revision=13)
    assert not updater.fleet_view.targets
    assert parts.told[-2].tombstones == [("t-1", 1_000, 2)]


# Guards against the loss of a running target that registers while a relay that has just
# started reads all targets.
def test_a_list_from_before_a_registration_does_not_end_it():
    parts = ReaderParts()
    updater = parts.updater
    parts.told.clear()
    updater.handle_targets([])
    updater.handle_store_read(succeeded=True, revision=10)
    assert "t-1" in updater.fleet_view.targets
    updater.handle_target_change(make_target())
    for revision in (12, 13, 14):
        updater.handle_store_read(succeeded=True, revision=revision)
    assert "t-1" in updater.fleet_view.targets and not updater.unconfirmed
    assert not any(update.tombstones for update in parts.told)


def test_a_target_told_before_all_were_read_ends_with_the_next_read():
    parts = ReaderParts()
    updater = parts.updater
    updater.handle_targets([])
    updater.handle_store_read(succeeded=True, revision=10)
    assert updater.reads_store()
    updater.handle_store_read(succeeded=True, revision=11)
    assert not updater.fleet_view.targets
    assert parts.told[-2].tombstones == [("t-1", 1_000, 1)]


def test_a_target_told_before_the_read_before_ends_with_the_list():
    updater = ReaderParts().updater
    updater.handle_store_read(succeeded=True, revision=10)
    updater.handle_targets([])
    assert not updater.fleet_view.targets


# Guards against the loss of running targets at relays that no longer read: they have
# read the end of a registration that lapsed in an outage, and wait for the next one.
def test_a_reader_tells_that_a_kept_target_has_registered_again():
    parts = ReaderParts()
    updater = parts.updater
    updater.handle_store_unavailable("away")
    updater.handle_store_available()
    updater.handle_target_deletion("t-1")
    renewed = make_target(sequence=2)
    updater.handle_target_change(renewed)
    updater.handle_target_change(make_target(sequence=3))
    assert [update.targets for update in parts.told] == [[renewed]]


# Guards against the same if that message is lost and nothing else changes.
def test_a_relay_whose_targets_have_lapsed_compares_its_view_again():
    now = [10.0]
    parts = ReaderParts()
    updater = parts.updater
    updater.clock = lambda: now[0]
    updater.handle_store_unavailable("away")
    updater.handle_store_available()
    updater.handle_target_deletion("t-1")
    digest = updater.fleet_view.digest.value
    report = FleetUpdate(
        reader=ReaderReport("10.0.0.3", True),
        summary=ViewSummary(20, Generation(0), digest),
    )
    updater.apply_update(report, "10.0.0.3")
    assert not updater.readers.has_gap
    now[0] += 5.0
    updater.remove_expired()
    assert not updater.fleet_view.targets
    updater.apply_update(report, "10.0.0.3")
    assert updater.readers.has_gap


def test_a_relay_that_cannot_read_takes_targets_from_others():
    updater = ReaderParts().updater
    updater.handle_targets([])
    updater.handle_store_read(succeeded=False)
    updater.apply_update(FleetUpdate(targets=[make_target("t-2")]))
    assert "t-2" in updater.fleet_view.targets


# Guards against a target that only some relays use: one that leaves reading to others
# had ignored what it was told just before.
def test_a_reader_reads_again_after_it_has_ignored_a_target():
    updater = ReaderParts().updater
    updater.handle_targets([make_target()])
    updater.handle_store_read(succeeded=True)
    readers = updater.readers
    readers.set_instances([f"10.0.0.{number}" for number in range(20, 120)])
    for each in readers.ahead:
        readers.record(10.0, each, succeeded=True)
    assert not readers.should_read(10.0)
    updater.apply_update(FleetUpdate(targets=[make_target("t-2")]))
    assert updater.reads_store()
    updater.handle_target_change(make_target("t-2"))
    updater.handle_store_read(succeeded=True)
    assert not updater.reads_store()


# Guards against reads by all relays of one failure domain for what only those of
# another one have been told yet.
def test_a_summary_of_another_domain_does_not_make_a_relay_read():
    updater = ReaderParts().updater
    digest = updater.fleet_view.digest.value
    for summary in (
        ViewSummary(20, Generation(2), digest),
        ViewSummary(21, Generation(0), digest + 1),
    ):
        updater.apply_update(FleetUpdate(summary=summary), "10.1.0.1")
        assert not updater.readers.has_gap
    report = ReaderReport("10.0.0.3", True)
    updater.apply_update(FleetUpdate(reader=report, summary=summary), "10.0.0.3")
    assert updater.readers.has_gap


def test_a_summary_of_another_domain_covers_older_reports():
    updater = ReaderParts().updater
    digest = updater.fleet_view.digest.value
    covering = ViewSummary(20, Generation(0), digest)
    updater.apply_update(FleetUpdate(summary=covering), "10.1.0.1")
    for revision, has_gap in ((20, False), (21, True)):
        update = FleetUpdate(
            reader=ReaderReport("10.0.0.3", True),
            summary=ViewSummary(revision, Generation(0), digest + 1),
        )
        updater.apply_update(update, "10.0.0.3")
        assert updater.readers.has_gap is has_gap
