"""Notices a target that breaks off most of the calls that it is sent.

Answers a target that has crashed and whose address still takes connections, or that
resets each of them: it fails calls within a millisecond, so it looks quick and free,
and draws more calls than the targets that serve. After a few such calls it is closed
for a while; then one call at a time tries whether it serves again.
"""

__all__ = ["BreakWatch"]

SUSPICION = 0.45
"""Part of the latest calls that were broken off from which the target is suspected."""
SMOOTHING = 0.2
CLOSED_FIRST_S = 0.25
CLOSED_LAST_S = 0.5


class BreakWatch:
    """The part of its latest calls that one target broke off."""

    def __init__(self) -> None:
        self.broken = 0.0
        self.broke_at = float("-inf")
        self.closed_until = float("-inf")
        self.closed_for = CLOSED_FIRST_S

    @property
    def suspected(self) -> bool:
        """Whether the target seems to break off most calls."""
        return self.broken > SUSPICION

    def closed(self, now: float) -> bool:
        """Whether no call may be sent."""
        return now < self.closed_until

    def served(self) -> None:
        """Note a call that came to a good end."""
        self.broken -= SMOOTHING * self.broken
        if not self.suspected:
            self.closed_for = CLOSED_FIRST_S

    def broke(self, now: float, *, started: float) -> None:
        """Note the break of a call that was sent at `started`, in seconds.

        Calls that ran together when one was broken off count once: a single reset may
        have ended them all.
        """
        if started < self.broke_at:
            return
        self.broken += SMOOTHING * (1.0 - self.broken)
        self.broke_at = now
        if self.suspected:
            self.closed_until = now + self.closed_for
            self.closed_for = min(CLOSED_LAST_S, 2 * self.closed_for)
