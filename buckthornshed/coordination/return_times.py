"""When refused callers are asked to come back.

Each refusal books a place in a line that advances at the rate at which the target
can take those that return, so that they do not come back all at once. More
important ranks stand before less important ones.
"""

from ..state.random_source import RandomSource
from .thresholds import RANKS

__all__ = ["ReturnTimes"]

LEAST_RATE = 1.0
"""Least calls a second at which callers are asked back."""

JITTER = 0.25
"""Greatest deviation from the booked time, as a part of it."""


class ReturnTimes:
    """The lines of refused callers, one for each rank.

    Parameters
    ----------
    least : float
        Least seconds after which a caller is asked back.
    greatest : float
        Greatest seconds.
    """

    def __init__(self, *, least: float, greatest: float) -> None:
        self.least = least
        self.greatest = max(least, greatest)
        self.reset()

    def reset(self) -> None:
        """Forget all who were refused."""
        self.lines = [0.0] * RANKS
        self.advanced = 0.0

    def book(self, now: float, priority: int, rate: float, rng: RandomSource) -> float:
        """Return after how many seconds a caller of rank ``priority`` returns.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        priority : int
            Rank of the refused call.
        rate : float
            Calls a second that can be taken from those who come back.
        rng : RandomSource
            Source of the jitter.
        """
        rate = max(rate, LEAST_RATE)
        self._advance(now, rate)
        rank = min(max(priority, 0), RANKS - 1)
        for behind in range(rank, RANKS):
            self.lines[behind] += 1.0
        booked = self.lines[rank] / rate
        return self._spread(booked, rng)

    def _advance(self, now: float, rate: float) -> None:
        gone = rate * max(0.0, now - self.advanced)
        self.advanced = now
        self.lines = [max(0.0, line - gone) for line in self.lines]

    def _spread(self, booked: float, rng: RandomSource) -> float:
        jitter = 1.0 + JITTER * (2.0 * rng.random() - 1.0)
        seconds = self.least * (1.0 + JITTER * rng.random()) + booked * jitter
        if seconds <= self.greatest:
            return seconds
        middle = (self.least + self.greatest) / 2
        return middle + (self.greatest - middle) * rng.random()
