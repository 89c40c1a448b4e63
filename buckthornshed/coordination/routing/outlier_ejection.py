"""Outlier ejection of failing targets and their readmission by real calls."""

from ...state.random_source import RandomSource

__all__ = ["FAILURES_TO_EJECT", "MAX_EJECTION_S", "MIN_EJECTION_S", "EjectionState"]

FAILURES_TO_EJECT = 3
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
EJECTION_JITTER = 0.25


class EjectionState:
    """Consecutive failures of one target and the end of its current ejection.

    When the ejection period is over, the target may get a single call. An answer to
    that call ends the ejection; a failure starts a longer one. There are no separate
    health probes.
    """

    __slots__ = ("consecutive_failures", "ejected_until", "ejections")

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0

    def record_success(self) -> None:
        """Record an answer of the target's node, which ends any ejection."""
        self.consecutive_failures = 0
        self.ejections = 0

    def record_failure(self, now: float, rng: RandomSource) -> None:
        """Record a failure; the third in a row, or one after an ejection, ejects.

        The ejection period doubles each time, up to ``MAX_EJECTION_S``, plus jitter.
        """
        self.consecutive_failures += 1
        if self.ejections == 0 and self.consecutive_failures < FAILURES_TO_EJECT:
            return
        if now < self.ejected_until:
            return
        length = min(MIN_EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejections += 1
        self.ejected_until = now + length * (1 + EJECTION_JITTER * rng.random())

    def allows_call(self, now: float, in_flight: int) -> bool:
        """Return whether the target may get a call at ``now``.

        After an ejection it gets one call at a time until one is answered.
        """
        if self.ejections == 0:
            return True
        return now >= self.ejected_until and in_flight == 0
