"""Detection of a target that accepts calls and answers none.

A target can hang, or become unreachable without closing its connections. It would
receive further calls, which would be held until their deadlines. After a stall is
detected, the target gets only one call at a time for a while; an answer ends this.
"""

__all__ = ["StallDetector"]

MIN_STALL_S = 0.4
STALL_CALL_TIMES = 5.0
"""Multiple of the mean call time without any answer that counts as a stall."""
MIN_RUNNING = 2
"""Running calls below which no stall is detected."""
MIN_RESTRICTED_S = 0.5
MAX_RESTRICTED_S = 2.0
PROCESS_PAUSE_S = 0.25
"""Interval between checks above which the relay process itself was paused."""


class StallDetector:
    """Detects stalls of one target."""

    def __init__(self) -> None:
        self.last_activity_at = 0.0
        self.checked_at = 0.0
        self.restricted_until = 0.0
        self.restricted_for = MIN_RESTRICTED_S

    def is_restricted(self, now: float) -> bool:
        """Return whether the target gets only one call at a time."""
        return now < self.restricted_until

    def record_activity(self, now: float) -> None:
        """Record an answer of the target or the start of a call on an idle target.

        This also lifts the restriction to one call at a time.
        """
        self.last_activity_at = now
        if self.restricted_until:
            self.restricted_until = 0.0
            self.restricted_for = MIN_RESTRICTED_S

    def detect_stall(self, now: float, *, running: int, call_time: float) -> bool:
        """Return whether a stall begins now.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        running : int
            Calls that wait for an answer.
        call_time : float
            Mean call time of the slowest route among them, in seconds.
        """
        paused = now - self.checked_at
        self.checked_at = now
        if paused > PROCESS_PAUSE_S:
            self.last_activity_at += paused
        inactive = now - self.last_activity_at
        threshold = max(MIN_STALL_S, STALL_CALL_TIMES * call_time)
        if running < MIN_RUNNING or inactive < threshold or self.is_restricted(now):
            return False
        self.restricted_until = now + self.restricted_for
        self.restricted_for = min(MAX_RESTRICTED_S, self.restricted_for * 2)
        self.last_activity_at = now
        return True
