"""Estimate of the offered load, in calls per second, at each priority.

The levels of one priority form a band. The request hash is uniform, so the calls of
a band are spread evenly over its levels. Callers shed calls below the reported
threshold themselves, so those calls do not arrive here. The rate of a band that is
shed in part is extrapolated from the levels that still arrive. A band that is shed
as a whole keeps its last estimate, which decays over time.
"""

from math import exp

from .thresholds import HASH_BUCKETS, LEVELS, PRIORITIES

__all__ = ["DemandEstimator"]

SMOOTHING_S = 0.25
"""Time constant, in seconds, of the estimate for a band that is not shed entirely."""

SHED_BAND_DECAY_S = 0.5
"""Time constant, in seconds, at which the estimate of a shed band decays."""


class DemandEstimator:
    """Estimate offered calls per second by band, and the threshold for a given rate."""

    def __init__(self) -> None:
        self.rates = [0.0] * PRIORITIES
        self.counts_above = [0] * PRIORITIES
        self.counts_below = [0] * PRIORITIES
        self.threshold = 0

    @property
    def total(self) -> float:
        """Offered calls per second over all bands."""
        return sum(self.rates)

    def record_arrival(self, level: int) -> None:
        """Count a call of ``level``, whether it is admitted or not."""
        counts = self.counts_above if level >= self.threshold else self.counts_below
        counts[level // HASH_BUCKETS] += 1

    def end_window(self, elapsed: float, threshold: int) -> None:
        """End a window of ``elapsed`` seconds; ``threshold`` holds in the next one."""
        weight = 1.0 - exp(-elapsed / SMOOTHING_S)
        for band in range(PRIORITIES):
            self._update_rate(band, elapsed, weight)
        self.counts_above = [0] * PRIORITIES
        self.counts_below = [0] * PRIORITIES
        self.threshold = threshold

    def threshold_for(self, budget: float) -> int:
        """Return the threshold that admits at most ``budget`` calls per second."""
        remaining = budget
        for band in range(PRIORITIES - 1, -1, -1):
            rate = self.rates[band]
            if rate > remaining:
                admitted_buckets = int(HASH_BUCKETS * remaining / rate)
                return min(LEVELS - 1, (band + 1) * HASH_BUCKETS - admitted_buckets)
            remaining -= rate
        return 0

    def _update_rate(self, band: int, elapsed: float, weight: float) -> None:
        admitted_levels = (band + 1) * HASH_BUCKETS - max(
            self.threshold, band * HASH_BUCKETS
        )
        observed_rate = (self.counts_above[band] + self.counts_below[band]) / elapsed
        if admitted_levels <= 0:
            decayed_rate = self.rates[band] * exp(-elapsed / SHED_BAND_DECAY_S)
            self.rates[band] = max(decayed_rate, observed_rate)
            return
        extrapolated_rate = (
            self.counts_above[band] / elapsed * HASH_BUCKETS / admitted_levels
        )
        rate = (
            max(observed_rate, extrapolated_rate)
            if self.counts_above[band]
            else observed_rate
        )
        self.rates[band] += weight * (rate - self.rates[band])
