"""A table with a bounded number of entries and an expiry time for each."""

from collections.abc import Hashable, Iterator
from heapq import heapify, heappop, heappush
from typing import Generic, NamedTuple, TypeVar

from ..errors import TableFullError

__all__ = ["BoundedTable", "TableEntry"]

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")

REBUILD_FACTOR = 2
"""The expiry heap is rebuilt when it exceeds this multiple of the live entries."""

MIN_REBUILD_LENGTH = 64
"""Length up to which the expiry heap is never rebuilt."""


class TableEntry(NamedTuple, Generic[K, V]):
    """One live entry: its key, its value and its expiry time in seconds."""

    key: K
    value: V
    expires: float


class BoundedTable(Generic[K, V]):
    """Map keys to values, up to a number of entries, each until its expiry.

    A live entry is never evicted: only ``pop`` and ``expire`` remove entries,
    and ``put`` of a new key to a full table raises. Callers run ``expire``
    before a lookup.

    Each operation is O(1), except that an entry costs O(log n) once when it
    expires, and when its expiry is not the latest of the table.

    Parameters
    ----------
    entries : int
        Maximum number of live entries.
    """

    def __init__(self, *, entries: int) -> None:
        self.size = entries
        self.live: dict[K, TableEntry[K, V]] = {}
        self.heap: list[tuple[float, int, K]] = []
        self.pushed = 0

    def __len__(self) -> int:
        """Return the number of live entries."""
        return len(self.live)

    def __contains__(self, key: K) -> bool:
        """Return whether ``key`` has a live entry."""
        return key in self.live

    @property
    def full(self) -> bool:
        """Whether the table accepts no new key."""
        return len(self.live) >= self.size

    def get(self, key: K) -> V | None:
        """Return the value of ``key``, or None."""
        entry = self.live.get(key)
        return None if entry is None else entry.value

    def put(self, key: K, value: V, *, expires: float) -> None:
        """Set the value of ``key`` until the time ``expires``, in seconds.

        Raises
        ------
        TableFullError
            If ``key`` is new and the table is full.
        """
        if self.full and key not in self.live:
            raise TableFullError(
                subject="table",
                found=f"{len(self.live)} live entries",
                expected=f"fewer than {self.size}",
            )
        self.live[key] = TableEntry(key, value, expires)
        self._push(key, expires)

    def pop(self, key: K) -> V | None:
        """Remove ``key`` and return its value, or None."""
        entry = self.live.pop(key, None)
        return None if entry is None else entry.value

    def expire(self, now: float) -> list[TableEntry[K, V]]:
        """Remove and return the entries that expire at or before ``now``."""
        expired = []
        while self.heap and self.heap[0][0] <= now:
            _, _, key = heappop(self.heap)
            entry = self.live.get(key)
            if entry is not None and entry.expires <= now:
                expired.append(entry)
                del self.live[key]
        return expired

    def entries(self) -> Iterator[TableEntry[K, V]]:
        """Iterate over a snapshot of the live entries."""
        return iter(list(self.live.values()))

    def _push(self, key: K, expires: float) -> None:
        self.pushed += 1
        heappush(self.heap, (expires, self.pushed, key))
        if len(self.heap) > max(MIN_REBUILD_LENGTH, REBUILD_FACTOR * len(self.live)):
            self._rebuild()

    def _rebuild(self) -> None:
        """Drop the heap items of removed or replaced entries."""
        entries = enumerate(self.live.values())
        self.heap = [(entry.expires, order, entry.key) for order, entry in entries]
        self.pushed = len(self.heap)
        heapify(self.heap)
