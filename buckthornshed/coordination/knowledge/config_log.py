"""The configuration in force on a node and a log of the deltas that led to it."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ...protocol.peer_messages import NO_VERSION, Delta, Version, estimate_size

__all__ = [
    "MAX_LOG_BYTES",
    "MAX_LOG_DELTAS",
    "ConfigLog",
    "apply_deltas",
    "compute_delta",
]

MAX_LOG_DELTAS = 2_048
"""Maximum number of deltas that are kept for nodes with an older set."""

MAX_LOG_BYTES = 1_000_000
"""Maximum size of the deltas that are kept, approximately."""


class LogEntry(NamedTuple):
    """A delta with its base version and its approximate size in bytes."""

    base: Version
    delta: Delta
    size: int


def apply_deltas(
    objects: Mapping[str, bytes], deltas: Iterable[Delta]
) -> dict[str, bytes]:
    """Return the objects that result from a chain of deltas."""
    result = dict(objects)
    for delta in deltas:
        for key in delta.removed:
            result.pop(key, None)
        result.update(delta.changed)
    return result


def compute_delta(
    old: Mapping[str, bytes], new: Mapping[str, bytes], base: Version, version: Version
) -> Delta:
    """Return the delta from one set to another."""
    changed = {key: value for key, value in new.items() if old.get(key) != value}
    removed = tuple(key for key in old if key not in new)
    return Delta(base.generation, version.generation, version.digest, changed, removed)


class ConfigLog:
    """Hold the objects in force and a bounded log of deltas.

    The generation increases monotonically; ``advance`` ignores all other updates.
    """

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.objects: Mapping[str, bytes] = {}
        self.entries: deque[LogEntry] = deque()
        self.size = 0

    def advance(self, objects: Mapping[str, bytes], deltas: Iterable[Delta]) -> bool:
        """Put a set in force and log the chain of deltas that leads to it.

        Returns
        -------
        bool
            Whether the generation increased; nothing changes otherwise.
        """
        chain = tuple(deltas)
        if not chain or chain[-1].generation <= self.version.generation:
            return False
        base = self.version
        for delta in chain:
            self.append(LogEntry(base, delta, estimate_size(delta)))
            base = delta.version
        self.objects = objects
        self.version = base
        return True

    def initialize(self, version: Version, objects: Mapping[str, bytes]) -> bool:
        """Put the first set in force.

        Returns
        -------
        bool
            False, without a change, if a set is in force already.
        """
        if self.version is not NO_VERSION:
            return False
        self.version = version
        self.objects = objects
        return True

    def append(self, entry: LogEntry) -> None:
        """Add an entry and evict the oldest entries beyond the limits."""
        self.entries.append(entry)
        self.size += entry.size
        while len(self.entries) > MAX_LOG_DELTAS or self.size > MAX_LOG_BYTES:
            self.size -= self.entries.popleft().size

    def deltas_since(self, version: Version) -> tuple[Delta, ...] | None:
        """Return the chain from a version; ``None`` if the log does not have it."""
        chain = []
        for entry in reversed(self.entries):
            chain.append(entry.delta)
            if entry.base == version:
                return tuple(reversed(chain))
            if entry.base.generation <= version.generation:
                return None
        return None
