"""Updates of the configuration and the targets, from the store and from peers."""

from collections import Counter
from collections.abc import Callable

from ....coordination.relay.fleet.configuration_news import STORE
from ....coordination.relay.fleet.fleet_view import (
    FleetView,
    RegistrationVersion,
    registration_version,
)
from ....coordination.relay.fleet.store_readers import StoreReaders
from ....coordination.relay.fleet.unconfirmed_targets import UnconfirmedTargets
from ....coordination.relay.fleet.view_comparison import ViewComparison
from ....protocol.relay_messages import FleetUpdate, ReaderReport, ViewSummary
from ....state.catalog import Catalog, Target
from ....state.generation import NO_GENERATION
from ....state.integers import abbreviated
from ...logs import log_event

__all__ = ["FleetUpdater"]

MAX_TOLD = 2_048


class FleetUpdater:
    """Applies updates to the fleet view, logs them and forwards them to other relays.

    Only what was read from the store is forwarded: by each reader to its own failure
    domain, and by the first one of the domain to all others, which may have no reader
    that the store answers. Removals and draining targets are told by each reader, also
    if another one told it first.

    Parameters
    ----------
    clock : callable
        Returns seconds of the monotonic clock.
    on_catalog : callable
        Called without arguments when another configuration has come into force.
    on_targets : callable
        Called without arguments when the targets have changed.
    broadcast : callable
        Sends an update to all relays.
    readers : StoreReaders
        Decides whether this relay reads the store.
    tell_domain : callable
        Sends an update to the relays of the own failure domain.
    tell_other_domains : callable
        Sends an update to the relays of the other failure domains.
    heartbeat : float
        Interval at which targets renew their registrations, in seconds; 0 if unknown.

    Attributes
    ----------
    fleet_view : FleetView
        The view to which updates are applied.
    told_draining : dict
        Start of the incarnation of each draining target that was told, by name.
    unconfirmed : UnconfirmedTargets
        Targets from views of other relays, which the store is to confirm.
    comparison : ViewComparison
        Finds out from what readers report whether something told was lost.
    told_other_domains : bool
        Whether something was told to other failure domains since the last read.
    unusable : Counter
        Entries of the store that this relay has read and could not use, by kind.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        on_catalog: Callable[[], None],
        on_targets: Callable[[], None],
        broadcast: Callable[[FleetUpdate], None],
        readers: StoreReaders,
        tell_domain: Callable[[FleetUpdate], None],
        tell_other_domains: Callable[[FleetUpdate], None],
        heartbeat: float = 0.0,
    ) -> None:
        self.clock = clock
        self.on_catalog = on_catalog
        self.on_targets = on_targets
        self.broadcast = broadcast
        self.readers = readers
        self.tell_domain = tell_domain
        self.tell_other_domains = tell_other_domains
        self.reading = True
        self.told_draining: dict[str, int] = {}
        self.fleet_view = FleetView(heartbeat=heartbeat)
        self.unconfirmed = UnconfirmedTargets()
        self.comparison = ViewComparison()
        self.told_other_domains = False
        self.unusable: Counter[tuple[str, ...]] = Counter()

    # Updates from the platform's store.

    def reads_store(self) -> bool:
        """Return whether this relay is to read the store; others tell it if not."""
        reading = self.readers.should_read(self.clock()) or bool(self.unconfirmed)
        if reading != self.reading:
            self.reading = reading
            log_event("store_reader", reading=reading)
        return reading

    def has_listeners(self) -> bool:
        """Return whether relays of the own failure domain count on readers."""
        return self.readers.has_listeners

    def handle_store_read(self, *, succeeded: bool, revision: int = 0) -> None:
        """Tell the relays of the own failure domain whether this one can read.

        `revision` is that of the store after a successful read.
        """
        summary = None
        if succeeded:
            self._remove_unregistered(self.unconfirmed.end_read())
            self.fleet_view.news.record_confirmation(STORE, self.clock())
            self.fleet_view.outage.note_read(self.clock())
            summary = self._summarize(revision)
            self.comparison.record_read(summary)
        if self.readers.record_own(self.clock(), succeeded=succeeded):
            report = ReaderReport(self.readers.instance, succeeded)
            self.tell_domain(FleetUpdate(reader=report, summary=summary))
        if self.told_other_domains and summary is not None:
            # They need not take what they were told early for something lost.
            self.told_other_domains = False
            self.tell_other_domains(FleetUpdate(summary=summary))

    def _summarize(self, revision: int) -> ViewSummary:
        """Return what this relay knows, for others that may lack something of it."""
        view = self.fleet_view
        catalog = view.catalog
        generation = NO_GENERATION if catalog is None else catalog.generation
        return ViewSummary(abbreviated(revision), generation, view.digest.value)

    def handle_catalog(self, catalog: Catalog) -> None:
        """Apply a configuration from the store."""
        if self._apply_catalog(catalog, STORE):
            self._forward(FleetUpdate(catalog=catalog))

    def handle_unusable(self, kind: str) -> None:
        """Count an entry of the store that cannot be used."""
        self.unusable[(kind,)] += 1

    def handle_targets(self, targets: list[Target]) -> None:
        """Replace all registrations by those in the store; tell all what differs."""
        view = self.fleet_view
        later = self.unconfirmed.replace_registered(targets)
        changed = [target for target in targets if view.accept_target(target)]
        known = dict(view.targets)
        removed = view.replace_targets(self.clock(), targets, kept=later)
        self.on_targets()
        self._announce(changed, [known[name] for name in removed])
        for name in removed:
            log_event("target_gone", target=name, source="store")
        for name in view.pending_removal:
            self._log_kept(name)

    def handle_target_change(self, target: Target) -> None:
        """Apply a new or changed registration."""
        was_kept = target.name in self.fleet_view.pending_removal
        self.unconfirmed.record_registered(target)
        self.fleet_view.confirm_registered(target.name)
        if self.fleet_view.accept_target(target):
            _log_registration(target, "store")
            self.on_targets()
            self._announce([target], [])
        elif was_kept or self._tells_draining(target):
            self.tell_domain(FleetUpdate(targets=[target]))
        if target.draining:
            self._note_told(target)

    def handle_target_deletion(self, name: str) -> None:
        """Apply the end of a registration."""
        known = self.fleet_view.targets.get(name)
        if not self.unconfirmed.record_end(name, known):
            log_event("target_renewed", target=name)
            return
        self.told_draining.pop(name, None)
        self._remove(name, "store")

    def _remove(self, name: str, source: str) -> None:
        """Remove a target that the store does not have, and tell other relays."""
        target = self.fleet_view.targets.get(name)
        if target is None:
            self._repeat_tombstone(name)
            return
        if not self.fleet_view.remove_target(self.clock(), name):
            self._log_kept(name)
            return
        log_event("target_gone", target=name, source=source)
        self.on_targets()
        self._announce([], [target])

    def _remove_unregistered(self, names: set[str]) -> None:
        """Remove targets that others told of and that a later read has not found."""
        for name in sorted(names & self.fleet_view.targets.keys()):
            self._remove(name, "unconfirmed")

    def handle_store_unavailable(self, detail: str) -> None:
        """Record that the store cannot be read; `detail` is the error."""
        log_event("store_lost", detail=detail)
        self.fleet_view.mark_store_unavailable()

    def handle_store_available(self) -> None:
        """Record that the store answers again."""
        now = self.clock()
        outage = self.fleet_view.outage
        lasted = round(now - outage.began_at, 3)
        self.fleet_view.mark_store_available(now)
        log_event("store_found", lasted=lasted, grace=outage.covers(now))

    def handle_store_restored(self) -> None:
        """Record that the store has returned from an old copy."""
        self.fleet_view.mark_store_restored(self.clock())

    # Statements of targets.

    def handle_leaving(self, name: str) -> None:
        """Record that a target stated that it is leaving, and tell all relays."""
        target = self.fleet_view.targets.get(name)
        if target is not None and self._mark_leaving(name, target.started, "answer"):
            self.on_targets()
            self.broadcast(FleetUpdate(leaving=[(name, target.started)]))

    # Updates from other relays.

    def apply_update(self, update: FleetUpdate, sender: str = "") -> None:
        """Apply an update of another relay; `sender` is its instance."""
        if update.catalog is not None:
            self._apply_catalog(update.catalog, "peer", sender)
        if update.reader is not None:
            instance, reads = update.reader
            self.readers.record(self.clock(), instance, succeeded=reads)
            if reads:
                self.fleet_view.outage.note_read(self.clock())
        targets = self._acceptable(update)
        self.unconfirmed.record_recent(targets)
        changed = [t for t in targets if self.fleet_view.accept_target(t)]
        removed = [
            name
            for name, started, sequence in update.tombstones
            if self.fleet_view.accept_tombstone(
                name, RegistrationVersion(started, sequence)
            )
        ]
        leaving = [
            name
            for name, started in update.leaving
            if self._mark_leaving(name, started, "peer")
        ]
        for target in changed:
            _log_registration(target, "peer")
        for name in removed:
            log_event("target_gone", target=name, source="peer")
        if changed or removed or leaving:
            self.on_targets()
        if update.summary is not None:
            own_domain = update.reader is not None
            self._compare(update.summary, sender, own_domain=own_domain)

    def _compare(self, reported: ViewSummary, sender: str, *, own_domain: bool) -> None:
        """Read the store if a reader of the own domain knows what this relay lacks.

        One of another domain has not told this one all that it knows.
        """
        own = self._summarize(0)
        behind = self.comparison.is_behind(sender, reported, own)
        if not behind and reported.generation <= own.generation:
            self.fleet_view.news.record_confirmation(sender, self.clock())
        if not behind or not own_domain:
            return
        was_known = self.readers.has_gap
        self.readers.record_gap()
        if was_known:
            return
        log_event(
            "view_behind",
            peer=sender,
            revision=reported.revision,
            told_generation=str(reported.generation),
            generation=str(own.generation),
            targets_differ=reported.targets != own.targets,
        )

    def snapshot(self) -> FleetUpdate:
        """Return the whole fleet view, for a relay that has just connected."""
        return FleetUpdate(
            catalog=self.fleet_view.catalog,
            targets=list(self.fleet_view.targets.values()),
            tombstones=[
                (name, *version) for name, version in self.fleet_view.tombstones.items()
            ],
            leaving=list(self.fleet_view.leaving.items()),
        )

    def remove_expired(self) -> None:
        """Remove targets whose registrations expired during a store outage.

        Targets that renew their registration within the grace period are kept.
        """
        known = dict(self.fleet_view.targets)
        names = self.fleet_view.remove_expired(self.clock())
        for name in names:
            log_event("target_gone", target=name, source="lapse")
        if names:
            self.comparison.record_lapse()
            self.on_targets()
            self._announce([], [known[name] for name in names])

    def _acceptable(self, update: FleetUpdate) -> list[Target]:
        """Return the registrations to take over from another relay.

        What it tells may be older than what the store has now. While this relay reads
        the store, new targets come from there. Else those of a whole view, and those on
        the own instance, are to be confirmed: nobody might tell of their end.
        """
        if self._reads_itself:
            registered = self.unconfirmed.registered
            known = [each for each in update.targets if each.name in registered]
            if len(known) < len(update.targets):
                # This relay may be about to leave reading to others.
                self.readers.record_gap()
            return known
        self.unconfirmed.record_told(
            target.name
            for target in update.targets
            if update.catalog is not None or target.instance == self.readers.instance
        )
        return update.targets

    @property
    def _reads_itself(self) -> bool:
        """Whether this relay has read all targets, and follows their changes."""
        return (
            self.reading
            and self.unconfirmed.complete
            and self.readers.own_report.succeeded
        )

    def _tells_draining(self, target: Target) -> bool:
        """Return whether the own domain is to be told that a target is draining."""
        return target.draining and self.told_draining.get(target.name) != target.started

    def _note_told(self, target: Target) -> None:
        if len(self.told_draining) >= MAX_TOLD:
            self.told_draining.pop(next(iter(self.told_draining)))
        self.told_draining[target.name] = target.started

    def _repeat_tombstone(self, name: str) -> None:
        """Tell the own failure domain of a removal that another relay told first.

        A relay that has lost its link to that one counts on the other readers.
        """
        version = self.fleet_view.tombstones.get(name)
        if version is not None:
            self.tell_domain(FleetUpdate(tombstones=[(name, *version)]))

    def _log_kept(self, name: str) -> None:
        """Log that a target is kept, although its registration has ended."""
        view = self.fleet_view
        log_event(
            "target_kept",
            target=name,
            store_unavailable=view.store_unavailable,
            grace_left=round(max(0.0, view.grace_until - self.clock()), 3),
        )

    def _announce(self, changed: list[Target], removed: list[Target]) -> None:
        """Tell all relays of changed registrations and of ended ones."""
        if changed or removed:
            tombstones = [
                (target.name, *registration_version(target)) for target in removed
            ]
            self._forward(FleetUpdate(targets=changed, tombstones=tombstones))

    def _forward(self, update: FleetUpdate) -> None:
        """Tell other relays what was read from the store."""
        self.tell_domain(update)
        if self.readers.is_first(self.clock()):
            self.told_other_domains = True
            self.tell_other_domains(update)

    def _mark_leaving(self, name: str, started: int, source: str) -> bool:
        marked = self.fleet_view.mark_leaving(name, started)
        if marked:
            log_event("target_leaving", target=name, started=started, source=source)
        return marked

    def _apply_catalog(self, catalog: Catalog, source: str, sender: str = "") -> bool:
        if not self.fleet_view.accept_catalog(catalog):
            return False
        self.fleet_view.news.record_origin(sender or source, self.clock())
        log_event(
            "configuration_in_force",
            generation=str(catalog.generation),
            source=source,
            peer=sender or "-",
        )
        self.on_catalog()
        return True


def _log_registration(target: Target, source: str) -> None:
    log_event(
        "target_seen",
        target=target.name,
        started=target.started,
        service=target.service,
        address=target.address,
        leaving=target.draining,
        source=source,
    )
