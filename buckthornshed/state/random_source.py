"""The source of random numbers that callers pass in."""

from typing import Protocol

__all__ = ["RandomSource"]


class RandomSource(Protocol):
    """What the decisions need of a generator such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in [0, 1)."""
