"""A relay's view of the configuration and of the targets in the fleet.

Updates come from the platform's store and from other relays, and may be delayed,
duplicated or reordered. A configuration is only replaced by one of a later generation,
a target's registration only by a later one of the same or of a later incarnation.
"""

from collections.abc import Collection
from typing import NamedTuple

from ....state.catalog import Catalog, Target
from .configuration_news import ConfigurationNews
from .outage import StoreOutage
from .view_comparison import RegistrationsDigest

__all__ = ["FleetView", "RegistrationVersion", "registration_version"]

MAX_TOMBSTONES = 2_048
MAX_LEAVING = 2_048


class RegistrationVersion(NamedTuple):
    """Version of a target's registration; tuples compare in order of registration."""

    started: int
    sequence: int


class FleetView:
    """Configuration and registered targets as one relay knows them.

    Parameters
    ----------
    heartbeat : float
        Interval at which targets renew their registrations, in seconds; 0 if unknown.

    Attributes
    ----------
    catalog : Catalog or None
        The configuration in force.
    news : ConfigurationNews
        Where the configuration is from, and what confirms it.
    targets : dict
        Registered targets by name.
    digest : RegistrationsDigest
        Digest of these registrations.
    usable : dict
        Targets that accept work, by service.
    outdated : set of str
        Targets at whose address another one has answered since they registered.
    outage : StoreOutage
        Whether a registration may have ended only because the store was unavailable.
    leaving : dict
        Start of the incarnation of each target that has stated that it is leaving,
        whatever its registration says.
    """

    def __init__(self, *, heartbeat: float = 0.0) -> None:
        self.catalog: Catalog | None = None
        self.news = ConfigurationNews()
        self.named_services: frozenset[str] = frozenset()
        self.targets: dict[str, Target] = {}
        self.digest = RegistrationsDigest()
        self.tombstones: dict[str, RegistrationVersion] = {}
        self.usable: dict[str, tuple[Target, ...]] = {}
        self.outage = StoreOutage(heartbeat=heartbeat)
        self.pending_removal: set[str] = set()
        self.outdated: set[str] = set()
        self.leaving: dict[str, int] = {}

    def accept_catalog(self, catalog: Catalog) -> bool:
        """Adopt a configuration if it is newer; return whether it was adopted."""
        if self.catalog is not None and catalog.generation <= self.catalog.generation:
            return False
        self.catalog = catalog
        self.named_services = catalog.named_services()
        self._rebuild_index()
        return True

    def accept_target(self, target: Target) -> bool:
        """Adopt a registration if it is newer.

        Returns whether any field but the sequence number has changed.
        """
        version = registration_version(target)
        current = self.targets.get(target.name)
        if current is not None and registration_version(current) >= version:
            return False
        self.pending_removal.discard(target.name)
        if current is None and self.tombstones.get(target.name, version) > version:
            return False
        if current is None and self.tombstones.get(target.name) == version:
            return False
        self.tombstones.pop(target.name, None)
        self.targets[target.name] = target
        if target.name in self.outdated:
            self.outdated.discard(target.name)
            self._rebuild_index()
        if current is None or current._replace(sequence=0) != target._replace(
            sequence=0
        ):
            self.digest.put(target)
            self._rebuild_index()
            return True
        return False

    def mark_outdated(self, target: Target) -> None:
        """Record that another target answered at a target's address.

        The target is not usable until it registers again.
        """
        current = self.targets.get(target.name)
        if current is not None and current.started == target.started:
            self.outdated.add(target.name)
            self._rebuild_index()

    def mark_leaving(self, name: str, started: int) -> bool:
        """Record that a target has stated that it is leaving; return whether it is new.

        This holds until another incarnation registers, as a registration may still say
        that the target accepts work, or do so again.
        """
        if started <= self.leaving.get(name, 0):
            return False
        if len(self.leaving) >= MAX_LEAVING:
            self.leaving.pop(next(iter(self.leaving)))
        self.leaving[name] = started
        self._rebuild_index()
        return True

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target has stated that it is leaving."""
        return target.started <= self.leaving.get(target.name, 0)

    def remove_target(self, now: float, name: str) -> bool:
        """Handle the end of a registration; return whether the target was removed.

        During a store outage, and shortly after one in which registrations may have
        lapsed although their targets are alive, the target is kept unless it is
        leaving.
        """
        current = self.targets.get(name)
        if current is None:
            return False
        leaves = current.draining or self.is_leaving(current)
        if self.outage.covers(now) and not leaves:
            self.pending_removal.add(name)
            return False
        self._remove(current)
        return True

    def accept_tombstone(self, name: str, version: RegistrationVersion) -> bool:
        """Remove a target whose registration ended according to another relay.

        Returns whether it was removed. The end of a registration that this relay has
        not seen is kept, as the store may still, or again, list the target.
        """
        current = self.targets.get(name)
        if current is None:
            self._add_tombstone(name, version)
            return False
        if registration_version(current) > version:
            return False
        self._remove(current)
        self._add_tombstone(name, version)
        return True

    def confirm_registered(self, name: str) -> None:
        """Keep a target whose removal waits, as the store has its registration."""
        self.pending_removal.discard(name)

    def is_named(self, service: str) -> bool:
        """Return whether the configuration names a service; true while there is none.

        A registration with another service may come from a writer that is no target.
        """
        return self.catalog is None or service in self.named_services

    def replace_targets(
        self, now: float, targets: list[Target], *, kept: Collection[str] = ()
    ) -> list[str]:
        """Replace all registrations but those in `kept`.

        Returns the names of the removed targets.
        """
        for target in targets:
            self.accept_target(target)
            self.confirm_registered(target.name)
        present = {target.name for target in targets}.union(kept)
        missing = [name for name in self.targets if name not in present]
        return [name for name in missing if self.remove_target(now, name)]

    @property
    def store_unavailable(self) -> bool:
        """Whether this relay cannot read the store."""
        return self.outage.active

    @property
    def grace_until(self) -> float:
        """Time until which registrations that end are kept."""
        return self.outage.grace_until

    def mark_store_unavailable(self) -> None:
        """Record that the store cannot be read."""
        self.outage.begin()

    def mark_store_available(self, now: float) -> None:
        """Record that the store answers again."""
        self.outage.end(now)

    def mark_store_restored(self, now: float) -> None:
        """Record that the store lacks recent registrations; start the grace period."""
        self.outage.start_grace(now)

    def remove_expired(self, now: float) -> list[str]:
        """Remove targets not renewed within the grace period; return their names."""
        if not self.pending_removal or self.outage.covers(now):
            return []
        names = [name for name in self.pending_removal if name in self.targets]
        self.pending_removal.clear()
        for name in names:
            self._remove(self.targets[name])
        return names

    def _remove(self, target: Target) -> None:
        del self.targets[target.name]
        self.digest.discard(target.name)
        self.pending_removal.discard(target.name)
        self.outdated.discard(target.name)
        self._add_tombstone(target.name, registration_version(target))
        self._rebuild_index()

    def _add_tombstone(self, name: str, version: RegistrationVersion) -> None:
        if self.tombstones.get(name, version) > version:
            return
        if len(self.tombstones) >= MAX_TOMBSTONES:
            self.tombstones.pop(next(iter(self.tombstones)))
        self.tombstones[name] = version

    def _rebuild_index(self) -> None:
        started: dict[str, int] = {}
        for target in self.targets.values():
            if not self.is_named(target.service):
                continue
            started[target.address] = max(
                target.started, started.get(target.address, target.started)
            )
        usable: dict[str, list[Target]] = {}
        for target in self.targets.values():
            # A registration outlives its target for a while. Of several with the same
            # address only the latest one can be that of a running target.
            latest = started.get(target.address, target.started)
            superseded = target.started < latest
            outdated = superseded or target.name in self.outdated
            leaves = target.draining or self.is_leaving(target)
            if not leaves and not outdated:
                usable.setdefault(target.service, []).append(target)
        self.usable = {service: tuple(targets) for service, targets in usable.items()}


def registration_version(target: Target) -> RegistrationVersion:
    """Return the version of a target's registration."""
    return RegistrationVersion(target.started, target.sequence)
