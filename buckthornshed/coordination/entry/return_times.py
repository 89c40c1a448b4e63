"""When refused callers are asked to come back.

Each refusal books a place in a line that advances at the rate at which calls of
those who return can be taken, so that they do not come back all at once. More
important ranks stand before less important ones. The rate is measured: what the
load of calm times leaves of the calls that finish now. It so follows the
bottleneck, wherever in the chain that is.
"""

from math import exp

from ...state.random_source import RandomSource
from .thresholds import RANKS

__all__ = ["ReturnTimes"]

LEAST_RATE = 1.0
"""Least calls a second at which callers are asked back."""

JITTER = 0.25
"""Greatest deviation from the booked time, as a part of it."""

WINDOW_S = 0.05
"""Seconds over which calls are counted."""

FLOW_S = 1.0
"""Time constant of the rate at which calls finish."""

CALM_FLOW_S = 10.0
"""Seconds over which the rate of calls offered in calm is averaged."""

SPARE_LEAST = 0.05
"""Least part of the rate of finished calls that is left to returning callers."""

SPARE_LIMIT = 0.8
"""Part of the rate of finished calls that the planned load may reach."""


class ReturnTimes:
    """The lines of refused callers, one for each rank, and their rate.

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
        self.reset(0.0)

    def reset(self, now: float) -> None:
        """Forget all who were refused, and the rates."""
        self.lines = [0.0] * RANKS
        self.advanced = now
        self.window = now
        self.offered_calls = 0
        self.finished_calls = 0
        self.refused_calls = 0
        self.finish_rate = 0.0
        self.calm_rate = 0.0
        self.calm_seconds = 0.0

    @property
    def spare(self) -> float:
        """Calls a second that can be taken from callers who come back."""
        left = SPARE_LIMIT * self.finish_rate - self.calm_rate
        return max(LEAST_RATE, SPARE_LEAST * self.finish_rate, left)

    def offered(self, now: float) -> None:
        """Count a call, whether it is refused or not."""
        self._roll(now)
        self.offered_calls += 1

    def finished(self, now: float) -> None:
        """Count a call that ran to its end."""
        self._roll(now)
        self.finished_calls += 1

    def book(self, now: float, priority: int, rng: RandomSource) -> float:
        """Return after how many seconds a caller of rank ``priority`` returns.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        priority : int
            Rank of the refused call.
        rng : RandomSource
            Source of the jitter.
        """
        self._roll(now)
        self.refused_calls += 1
        rate = self.spare
        self._advance(now, rate)
        rank = min(max(priority, 0), RANKS - 1)
        for behind in range(rank, RANKS):
            self.lines[behind] += 1.0
        return self._spread(self.lines[rank] / rate, rng)

    def _roll(self, now: float) -> None:
        """End the window of the counts when that is due."""
        elapsed = now - self.window
        if elapsed < WINDOW_S:
            return
        weight = 1.0 - exp(-elapsed / FLOW_S)
        self.finish_rate += weight * (self.finished_calls / elapsed - self.finish_rate)
        if self.refused_calls == 0:
            self.calm_seconds += elapsed
            weight = min(1.0, elapsed / min(self.calm_seconds, CALM_FLOW_S))
            self.calm_rate += weight * (self.offered_calls / elapsed - self.calm_rate)
        self.window = now
        self.offered_calls = self.finished_calls = self.refused_calls = 0

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
