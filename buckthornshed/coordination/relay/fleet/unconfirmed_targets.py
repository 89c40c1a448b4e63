"""Targets that other relays have told of and that the store has not confirmed.

A relay that has just started knows no removals. Another one that has not heard of a
removal would tell it of the removed target, and nobody would ever tell it of the end.
A read of the store that begins later than that shows whether the target is registered.

Reads of the store may be late, too: neither the end of a registration that has been
renewed since nor a list from before that says anything of the renewed one, which others
may have told already.
"""

from collections.abc import Iterable

from ....state.catalog import Target
from .fleet_view import RegistrationVersion, registration_version

__all__ = ["UnconfirmedTargets"]


class UnconfirmedTargets:
    """Finds the targets told by others that are not registered.

    Attributes
    ----------
    registered : dict
        Versions of the registrations that the own reads of the store have found, by
        name.
    recent : set of str
        Targets told since the last read of the store ended.
    told : set of str
        Those of them that the store is to confirm.
    due : set of str
        Targets told before that. The next read decides on them.
    complete : bool
        Whether all targets of the store have been read.
    """

    def __init__(self) -> None:
        self.registered: dict[str, RegistrationVersion] = {}
        self.recent: set[str] = set()
        self.told: set[str] = set()
        self.due: set[str] = set()
        self.complete = False

    def __bool__(self) -> bool:
        """Return whether a read of the store is needed."""
        return bool(self.told or self.due)

    def record_recent(self, targets: Iterable[Target]) -> None:
        """Record targets told by a relay, later than this one has read of them."""
        for target in targets:
            read = self.registered.get(target.name)
            if read is None or read < registration_version(target):
                self.recent.add(target.name)

    def record_told(self, names: Iterable[str]) -> None:
        """Record targets told by a relay, but not those that the store has."""
        self.told.update(name for name in names if name not in self.registered)

    def record_registered(self, target: Target) -> None:
        """Record that the store has a target."""
        self.registered[target.name] = registration_version(target)

    def record_end(self, name: str, known: Target | None) -> bool:
        """Record that the store has a target no longer.

        Returns whether that is the end of the registration `known` here. If others have
        told of a later one, the next read decides.
        """
        ended = self.registered.pop(name, None)
        if ended is None or known is None or registration_version(known) <= ended:
            return True
        self.told.add(name)
        return False

    def replace_registered(self, targets: Iterable[Target]) -> set[str]:
        """Record all targets that the store has.

        Returns the others that may have registered since the read began. The next read
        decides on them.
        """
        self.registered = {each.name: registration_version(each) for each in targets}
        self.complete = True
        later = self.recent - self.registered.keys()
        self.told |= later
        return later

    def end_read(self) -> set[str]:
        """Handle the end of a successful read; return the targets not registered."""
        missing = self.due - self.registered.keys()
        self.due = self.told - self.registered.keys()
        self.told = set()
        self.recent = set()
        return missing
