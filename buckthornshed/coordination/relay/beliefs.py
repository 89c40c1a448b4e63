"""What a relay believes of the configuration and of the fleet's targets.

News comes from the platform's store and from other relays, late, twice or out of
order. A configuration only gives way to a newer one; a target's registration only to
a later one of the same or of a later incarnation.
"""

from typing import NamedTuple

from ...state.catalog import Catalog, Target

__all__ = ["FleetBeliefs", "Version"]

RETURN_GRACE_S = 2.0
"""How long after the store's return a registration that ended meanwhile is kept."""
GONE_KEPT = 2_048


class Version(NamedTuple):
    """Order of the registrations of one target."""

    started: int
    sequence: int


class FleetBeliefs:
    """Beliefs of one relay.

    Attributes
    ----------
    catalog : Catalog or None
        The configuration in force.
    targets : dict
        Registered targets by name.
    """

    def __init__(self) -> None:
        self.catalog: Catalog | None = None
        self.targets: dict[str, Target] = {}
        self.gone: dict[str, Version] = {}
        self.usable: dict[str, tuple[Target, ...]] = {}
        self.store_lost = False
        self.grace_until = 0.0
        self.lapsed: set[str] = set()

    def accept_catalog(self, catalog: Catalog) -> bool:
        """Bring a configuration into force if it is newer; return whether it was."""
        if self.catalog is not None and catalog.generation <= self.catalog.generation:
            return False
        self.catalog = catalog
        return True

    def accept_target(self, target: Target) -> bool:
        """Take a registration if it is newer; return whether it changed anything."""
        version = version_of(target)
        known = self.targets.get(target.name)
        self.lapsed.discard(target.name)
        if known is not None and version_of(known) >= version:
            return False
        if known is None and self.gone.get(target.name, version) > version:
            return False
        if known is None and self.gone.get(target.name) == version:
            return False
        self.gone.pop(target.name, None)
        self.targets[target.name] = target
        if known is None or known._replace(sequence=0) != target._replace(sequence=0):
            self._index()
            return True
        return False

    def remove_target(self, now: float, name: str) -> bool:
        """Take the end of a registration; return whether the target is gone now.

        While the store is away, and shortly after its return, the target is kept:
        registrations lapse then although their targets live.
        """
        known = self.targets.get(name)
        if known is None:
            return False
        if (self.store_lost or now < self.grace_until) and not known.leaving:
            self.lapsed.add(name)
            return False
        self._forget(known)
        return True

    def accept_gone(self, name: str, version: Version) -> bool:
        """Take another relay's word that a registration ended."""
        known = self.targets.get(name)
        if known is None or version_of(known) > version:
            return False
        self._forget(known)
        return True

    def replace_targets(self, now: float, targets: list[Target]) -> list[str]:
        """Take all registrations at once; return the names of targets now gone."""
        for target in targets:
            self.accept_target(target)
        present = {target.name for target in targets}
        missing = [name for name in self.targets if name not in present]
        return [name for name in missing if self.remove_target(now, name)]

    def lose_store(self) -> None:
        """Note that the store cannot be read."""
        self.store_lost = True

    def find_store(self, now: float) -> None:
        """Note that the store answers again."""
        if self.store_lost:
            self.store_lost = False
            self.grace_until = now + RETURN_GRACE_S

    def expire(self, now: float) -> list[str]:
        """Drop what lapsed and did not come back; return the names."""
        if not self.lapsed or self.store_lost or now < self.grace_until:
            return []
        names = [name for name in self.lapsed if name in self.targets]
        self.lapsed.clear()
        for name in names:
            self._forget(self.targets[name])
        return names

    def _forget(self, target: Target) -> None:
        del self.targets[target.name]
        self.lapsed.discard(target.name)
        if len(self.gone) >= GONE_KEPT:
            self.gone.pop(next(iter(self.gone)))
        self.gone[target.name] = version_of(target)
        self._index()

    def _index(self) -> None:
        usable: dict[str, list[Target]] = {}
        for target in self.targets.values():
            if not target.leaving:
                usable.setdefault(target.service, []).append(target)
        self.usable = {service: tuple(found) for service, found in usable.items()}


def version_of(target: Target) -> Version:
    """Return the order of a target's registration."""
    return Version(target.started, target.sequence)
