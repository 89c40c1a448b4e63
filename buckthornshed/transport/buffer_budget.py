"""Bound on the memory of all messages that have not been received completely."""

from typing import Protocol

__all__ = ["BufferBudget", "BufferHolder"]


class BufferHolder(Protocol):
    """Keeps the bytes of one incomplete message."""

    def overflow(self) -> None:
        """Drop the bytes; the message is refused as too large."""


class BufferBudget:
    """Bytes that the incomplete messages of many connections hold together.

    When they exceed the limit, the largest message is dropped, so that one that does
    not end costs no other.

    Parameters
    ----------
    limit : int
        Maximum number of bytes.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self.held: dict[BufferHolder, int] = {}

    def hold(self, holder: BufferHolder, size: int) -> None:
        """Add bytes to those of a holder."""
        self.held[holder] = self.held.get(holder, 0) + size
        self.total += size
        while self.total > self.limit:
            largest = max(self.held, key=self.held.__getitem__)
            self.release(largest)
            largest.overflow()

    def release(self, holder: BufferHolder) -> None:
        """Forget the bytes of a holder."""
        self.total -= self.held.pop(holder, 0)
