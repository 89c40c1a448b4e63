"""Ejection of targets that fail, and their return by way of real calls."""

from ...state.random_source import RandomSource

__all__ = ["EJECTION_MAX_S", "EJECTION_MIN_S", "FAILURES_TO_EJECT", "FailureRecord"]

FAILURES_TO_EJECT = 3
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 30.0
JITTER = 0.25


class FailureRecord:
    """The failures of one target in a row, and until when it gets no calls.

    After the ejection a single call is let through; its answer ends the ejection,
    its failure begins a longer one. No probe is sent beside the calls.
    """

    __slots__ = ("ejections", "failures", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.until = 0.0

    def succeeded(self) -> None:
        """Note an answer of the node; it ends any ejection."""
        self.failures = 0
        self.ejections = 0

    def failed(self, now: float, rng: RandomSource) -> None:
        """Note that an exchange ended without an answer."""
        self.failures += 1
        if self.ejections == 0 and self.failures < FAILURES_TO_EJECT:
            return
        if now < self.until:
            return
        length = min(EJECTION_MIN_S * 2**self.ejections, EJECTION_MAX_S)
        self.ejections += 1
        self.until = now + length * (1 + JITTER * rng.random())

    def admits(self, now: float, in_flight: int) -> bool:
        """Return whether the target may get a call at ``now``."""
        if self.ejections == 0:
            return True
        return now >= self.until and in_flight == 0
