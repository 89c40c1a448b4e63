"""Memory that large requests take from their arrival to their end."""

from collections.abc import Hashable

__all__ = ["RequestMemory"]

LARGE_REQUEST_BYTES = 65_536
"""Size below which requests are not counted."""
HELD_FRACTION = 0.15
"""Part of the memory that large requests may take.

Each is copied once on its way to another relay.
"""


class RequestMemory:
    """Decides whether a large request would take too much memory.

    Parameters
    ----------
    memory : int
        Memory of the process, in bytes.

    Attributes
    ----------
    held : dict
        Sizes of the large requests in progress, in bytes.
    total : int
        Sum of these sizes.
    """

    def __init__(self, *, memory: int) -> None:
        self.memory = memory
        self.held: dict[Hashable, int] = {}
        self.total = 0

    def begin(self, key: Hashable, size: int) -> bool:
        """Hold a request; return whether there is room for it.

        If nothing else takes memory, there is, so that none is refused for ever.
        """
        if size < LARGE_REQUEST_BYTES:
            return True
        if self.total and self.total + size > self.memory * HELD_FRACTION:
            return False
        self.held[key] = size
        self.total += size
        return True

    def end(self, key: Hashable) -> None:
        """Forget a request that has ended, if it was held."""
        self.total -= self.held.pop(key, 0)
