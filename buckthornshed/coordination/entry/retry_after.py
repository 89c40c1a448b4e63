"""Retry-After times of refused callers.

Each refusal adds a call to a virtual queue that drains at the spare rate, the rate
at which retries can be admitted, so that refused callers do not all return at once.
More important priorities precede less important ones. The spare rate is measured: it
is a share of the rate of finished calls, less the baseline load, which is the load
offered while no call is refused. It therefore follows the bottleneck, wherever in
the call graph that is.
"""

from math import exp

from ...state.random_source import RandomSource
from .thresholds import PRIORITIES

__all__ = ["RetryAfterSchedule"]

MIN_RETRY_RATE = 1.0
"""Minimum rate, in calls per second, at which callers are scheduled to retry."""

JITTER = 0.25
"""Maximum deviation from the scheduled time, as a share of it."""

WINDOW_S = 0.05
"""Seconds over which calls are counted."""

FINISH_RATE_DECAY_S = 1.0
"""Time constant, in seconds, of the rate of finished calls."""

BASELINE_WINDOW_S = 10.0
"""Seconds over which the baseline rate of offered calls is averaged."""

MIN_SPARE_SHARE = 0.05
"""Minimum share of the rate of finished calls that retries may use."""

TARGET_UTILIZATION = 0.8
"""Share of the rate of finished calls that baseline load and retries may reach."""


class RetryAfterSchedule:
    """Schedule the retries of refused callers in one virtual queue per priority.

    Parameters
    ----------
    min_delay : float
        Minimum delay before a retry, in seconds.
    max_delay : float
        Maximum delay before a retry, in seconds.
    """

    def __init__(self, *, min_delay: float, max_delay: float) -> None:
        self.min_delay = min_delay
        self.max_delay = max(min_delay, max_delay)
        self.reset(0.0)

    def reset(self, now: float) -> None:
        """Clear the virtual queues and the measured rates."""
        self.backlogs = [0.0] * PRIORITIES
        self.backlogs_updated_at = now
        self.window_start = now
        self.offered_calls = 0
        self.finished_calls = 0
        self.refused_calls = 0
        self.finish_rate = 0.0
        self.baseline_rate = 0.0
        self.baseline_seconds = 0.0

    @property
    def spare_rate(self) -> float:
        """Calls per second that can be admitted from callers that retry."""
        headroom = TARGET_UTILIZATION * self.finish_rate - self.baseline_rate
        return max(MIN_RETRY_RATE, MIN_SPARE_SHARE * self.finish_rate, headroom)

    def record_offered(self, now: float) -> None:
        """Count an offered call, whether it is admitted or refused."""
        self._roll_window(now)
        self.offered_calls += 1

    def record_finish(self, now: float) -> None:
        """Count a finished call."""
        self._roll_window(now)
        self.finished_calls += 1

    def schedule(self, now: float, priority: int, rng: RandomSource) -> float:
        """Return the seconds after which a refused caller should retry.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        priority : int
            Priority of the refused call.
        rng : RandomSource
            Source of the jitter.
        """
        self._roll_window(now)
        self.refused_calls += 1
        rate = self.spare_rate
        self._drain_backlogs(now, rate)
        clamped = min(max(priority, 0), PRIORITIES - 1)
        for lower in range(clamped, PRIORITIES):
            self.backlogs[lower] += 1.0
        return self._with_jitter(self.backlogs[clamped] / rate, rng)

    def _roll_window(self, now: float) -> None:
        """End the counting window and update the rates if that is due."""
        elapsed = now - self.window_start
        if elapsed < WINDOW_S:
            return
        weight = 1.0 - exp(-elapsed / FINISH_RATE_DECAY_S)
        self.finish_rate += weight * (self.finished_calls / elapsed - self.finish_rate)
        if self.refused_calls == 0:
            self.baseline_seconds += elapsed
            weight = min(1.0, elapsed / min(self.baseline_seconds, BASELINE_WINDOW_S))
            self.baseline_rate += weight * (
                self.offered_calls / elapsed - self.baseline_rate
            )
        self.window_start = now
        self.offered_calls = self.finished_calls = self.refused_calls = 0

    def _drain_backlogs(self, now: float, rate: float) -> None:
        drained = rate * max(0.0, now - self.backlogs_updated_at)
        self.backlogs_updated_at = now
        self.backlogs = [max(0.0, backlog - drained) for backlog in self.backlogs]

    def _with_jitter(self, delay: float, rng: RandomSource) -> float:
        jitter = 1.0 + JITTER * (2.0 * rng.random() - 1.0)
        seconds = self.min_delay * (1.0 + JITTER * rng.random()) + delay * jitter
        if seconds <= self.max_delay:
            return seconds
        midpoint = (self.min_delay + self.max_delay) / 2
        return midpoint + (self.max_delay - midpoint) * rng.random()
