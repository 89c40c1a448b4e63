"""Protocol of the random number generators that callers pass in."""

from typing import Protocol

__all__ = ["RandomSource"]


class RandomSource(Protocol):
    """Source of uniform random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in [0, 1)."""
