"""Token bucket that can be in debt."""

__all__ = ["LATE_USE_S", "TokenBucket"]

LATE_USE_S = 0.5
"""Longest time after which the use of a token is reported."""


class TokenBucket:
    """Tokens of one quota; the level is negative while more were used than earned.

    Parameters
    ----------
    rate : float
        Tokens per second.
    capacity : float
        Most tokens that it holds; at least one.
    level : float
        Tokens at the start.
    now : float
        Seconds of the monotonic clock.

    Attributes
    ----------
    spilt : float
        Tokens that did not fit lately, for use that is reported late: at most those
        of the mean time by which it is.
    """

    def __init__(
        self, *, rate: float, capacity: float, level: float, now: float
    ) -> None:
        self.rate = rate
        self.capacity = max(1.0, capacity)
        self.level = min(level, self.capacity)
        self.updated_at = now
        self.spilt = 0.0
        self.spilt_at = now

    def refill(self, now: float) -> float:
        """Add the tokens earned since the last call; return the level."""
        earned = self.rate * max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.level += earned
        spilt = self.level - self.capacity
        if spilt > 0.0:
            self.level = self.capacity
            self.spilt = min(self.rate * LATE_USE_S / 2.0, self.spilt + spilt)
            self.spilt_at = now
        elif now - self.spilt_at > LATE_USE_S:
            self.spilt = 0.0
        return self.level

    def set_rate(self, now: float, *, rate: float, capacity: float) -> None:
        """Change the rate and the capacity; tokens above the capacity are lost."""
        self.refill(now)
        self.rate = rate
        self.capacity = max(1.0, capacity)
        self.level = min(self.level, self.capacity)

    def use(self, now: float, tokens: float) -> None:
        """Take tokens that are already used, or give some back if negative.

        They were used when some that have been lost since were still there.
        """
        self.refill(now)
        late = min(self.spilt, max(0.0, tokens))
        self.spilt -= late
        self.level = min(self.capacity, self.level - tokens + late)

    def take(self, now: float) -> bool:
        """Take a token if there is one; return whether there was."""
        if self.refill(now) < 1.0:
            return False
        self.level -= 1.0
        return True

    def wait(self, now: float) -> float:
        """Return the seconds until there is a token."""
        missing = 1.0 - self.refill(now)
        return missing / self.rate if missing > 0.0 and self.rate > 0.0 else 0.0
