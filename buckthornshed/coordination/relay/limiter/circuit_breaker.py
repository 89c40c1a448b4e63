"""Circuit breaker for a target whose connections fail.

A target that has crashed while its address still accepts connections, or that resets
each connection, fails calls within a millisecond. It looks fast and idle, and so
attracts more calls than the targets that serve. After a few such failures the circuit
opens for a while; then the target gets one call at a time until it serves again.
"""

__all__ = ["CircuitBreaker"]

FAILURE_RATE_THRESHOLD = 0.45
"""Smoothed failure rate above which the circuit breaker trips."""
SMOOTHING = 0.2
MIN_OPEN_S = 0.25
MAX_OPEN_S = 0.5


class CircuitBreaker:
    """Smoothed rate of failed connections of one target.

    Attributes
    ----------
    failure_rate : float
        Exponentially weighted fraction of calls whose connection failed.
    open_until : float
        Time before which no call is sent, in seconds.
    open_duration : float
        Duration of the next open period, in seconds.
    """

    def __init__(self) -> None:
        self.failure_rate = 0.0
        self.last_failure_at = float("-inf")
        self.open_until = float("-inf")
        self.open_duration = MIN_OPEN_S

    @property
    def tripped(self) -> bool:
        """Whether the failure rate exceeds the threshold."""
        return self.failure_rate > FAILURE_RATE_THRESHOLD

    def is_open(self, now: float) -> bool:
        """Return whether the circuit is open, so that no call may be sent."""
        return now < self.open_until

    def record_success(self) -> None:
        """Record a call that succeeded."""
        self.failure_rate -= SMOOTHING * self.failure_rate
        if not self.tripped:
            self.open_duration = MIN_OPEN_S

    def record_failure(self, now: float, *, started: float) -> None:
        """Record a call that was sent at `started` and whose connection failed.

        Calls that were in flight together at a failure count once, as a single reset
        may have ended them all.
        """
        if started < self.last_failure_at:
            return
        self.failure_rate += SMOOTHING * (1.0 - self.failure_rate)
        self.last_failure_at = now
        if self.tripped:
            self.open_until = now + self.open_duration
            self.open_duration = min(MAX_OPEN_S, 2 * self.open_duration)
