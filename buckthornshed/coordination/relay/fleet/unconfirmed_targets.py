"""Targets that other relays have told of and that the store has not confirmed.

A relay that has just started knows no removals. Another one that has not heard of a
removal would tell it of the removed target, and nobody would ever tell it of the end.
A read of the store that begins later than that shows whether the target is registered.
"""

from collections.abc import Iterable

__all__ = ["UnconfirmedTargets"]


class UnconfirmedTargets:
    """Finds the targets told by others that are not registered.

    Attributes
    ----------
    registered : set of str
        Names of the targets that the own reads of the store have found.
    told : set of str
        Targets told since the last read of the store ended.
    due : set of str
        Targets told before that. The next read decides on them.
    complete : bool
        Whether all targets of the store have been read.
    """

    def __init__(self) -> None:
        self.registered: set[str] = set()
        self.told: set[str] = set()
        self.due: set[str] = set()
        self.complete = False

    def __bool__(self) -> bool:
        """Return whether a read of the store is needed."""
        return bool(self.told or self.due)

    def record_told(self, names: Iterable[str]) -> None:
        """Record targets told by a relay, but not those that the store has."""
        self.told.update(name for name in names if name not in self.registered)

    def record_registered(self, name: str) -> None:
        """Record that the store has a target."""
        self.registered.add(name)

    def record_removed(self, name: str) -> None:
        """Record that the store has a target no longer."""
        self.registered.discard(name)

    def replace_registered(self, names: Iterable[str]) -> None:
        """Record all targets that the store has."""
        self.registered = set(names)
        self.complete = True

    def end_read(self) -> set[str]:
        """Handle the end of a successful read; return the targets not registered."""
        missing = self.due - self.registered
        self.due = self.told - self.registered
        self.told = set()
        return missing
