"""Estimate of the offered calls a second at each priority rank.

The request hash is uniform, so the calls of a rank are spread evenly over its
levels. While callers refuse the levels below a threshold themselves, the rate of
the hidden levels of a rank follows from the levels that still arrive. A rank that
is hidden as a whole keeps its last estimate, which fades.
"""

from math import exp

from .thresholds import BUCKETS, LEVELS, RANKS

__all__ = ["Demand"]

SMOOTHING_S = 0.25
"""Time constant of the estimate of a rank that is seen."""

FADE_S = 0.5
"""Time constant at which the estimate of a hidden rank fades."""


class Demand:
    """Offered calls a second by rank, and the threshold that admits a given rate."""

    def __init__(self) -> None:
        self.rates = [0.0] * RANKS
        self.visible = [0] * RANKS
        self.hidden = [0] * RANKS
        self.threshold = 0

    @property
    def total(self) -> float:
        """Offered calls a second over all ranks."""
        return sum(self.rates)

    def arrived(self, importance: int) -> None:
        """Count a call of level ``importance``, whether admitted or not."""
        counts = self.visible if importance >= self.threshold else self.hidden
        counts[importance // BUCKETS] += 1

    def roll(self, elapsed: float, threshold: int) -> None:
        """End a window of ``elapsed`` seconds; the next has ``threshold``."""
        weight = 1.0 - exp(-elapsed / SMOOTHING_S)
        for rank in range(RANKS):
            self._estimate(rank, elapsed, weight)
        self.visible = [0] * RANKS
        self.hidden = [0] * RANKS
        self.threshold = threshold

    def threshold_for(self, budget: float) -> int:
        """Return the threshold that admits at most ``budget`` calls a second."""
        left = budget
        for rank in range(RANKS - 1, -1, -1):
            rate = self.rates[rank]
            if rate > left:
                kept = int(BUCKETS * left / rate)
                return min(LEVELS - 1, (rank + 1) * BUCKETS - kept)
            left -= rate
        return 0

    def _estimate(self, rank: int, elapsed: float, weight: float) -> None:
        open_levels = (rank + 1) * BUCKETS - max(self.threshold, rank * BUCKETS)
        seen = (self.visible[rank] + self.hidden[rank]) / elapsed
        if open_levels <= 0:
            faded = self.rates[rank] * exp(-elapsed / FADE_S)
            self.rates[rank] = max(faded, seen)
            return
        spread = self.visible[rank] / elapsed * BUCKETS / open_levels
        rate = max(seen, spread) if self.visible[rank] else seen
        self.rates[rank] += weight * (rate - self.rates[rank])
