"""Notices a target that takes calls and answers none.

Answers a target that went dark without closing its connections, or that hangs: calls
would go on to it and be held until their deadlines. After silence is noticed one call
at a time tries whether the target answers again.
"""

__all__ = ["SilenceWatch"]

SILENCE_LEAST_S = 0.4
SILENCE_FACTOR = 5.0
"""Usual times of a call without any answer that count as silence."""
RUNNING_LEAST = 2
"""Calls that must be waiting for an answer."""
CLOSED_FIRST_S = 0.5
CLOSED_LAST_S = 2.0
PAUSE_S = 0.25
"""Time between looks above which this process itself stood still."""


class SilenceWatch:
    """Silence of one target."""

    def __init__(self) -> None:
        self.heard_at = 0.0
        self.looked_at = 0.0
        self.closed_until = 0.0
        self.closed_for = CLOSED_FIRST_S

    def closed(self, now: float) -> bool:
        """Whether only one call at a time may try the target."""
        return now < self.closed_until

    def heard(self, now: float) -> None:
        """Note a sign of life."""
        self.heard_at = now
        if self.closed_until:
            self.closed_until = 0.0
            self.closed_for = CLOSED_FIRST_S

    def noticed(self, now: float, *, running: int, usual: float) -> bool:
        """Return whether silence begins now.

        Parameters
        ----------
        now : float
            Seconds of the steady clock.
        running : int
            Calls that wait for an answer.
        usual : float
            Usual seconds of the slowest kind of call among them.
        """
        paused = now - self.looked_at
        self.looked_at = now
        if paused > PAUSE_S:
            self.heard_at += paused
        silent = now - self.heard_at
        least = max(SILENCE_LEAST_S, SILENCE_FACTOR * usual)
        if running < RUNNING_LEAST or silent < least or self.closed(now):
            return False
        self.closed_until = now + self.closed_for
        self.closed_for = min(CLOSED_LAST_S, self.closed_for * 2)
        self.heard_at = now
        return True
