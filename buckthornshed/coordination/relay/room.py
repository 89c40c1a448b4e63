"""How many calls a second a target can carry, as its relay sees it.

The estimate is the calls that run at the same time over the time of a call, trimmed by
what shows whether it holds: calls that wait lower it, slots that stay free while
requests are refused raise it. A target that rejects part of its calls carries less.
"""

__all__ = ["RoomEstimate"]

WAIT_AIM_S = 0.02
"""Wait of a call that a whole chain can bear at each of its hops."""
WAIT_RATIO_MAX = 3.0
TRIM_LEAST = 0.4
TRIM_MOST = 1.15
TRIM_FALL = 0.15
"""Fall of the trim a second when calls wait for twice the time that is aimed at."""
TRIM_RISE = 0.1
"""Rise of the trim a second while slots are free."""
TRIM_STILL = 0.02
"""Distance from the plain estimate at which the trim rests in calm."""
BUSY_AIM = 0.92
"""Part of the room that is used when it is used well."""
BUSY_SMOOTHING_S = 0.3
REJECT_SMOOTHING = 0.02


class RoomEstimate:
    """The room of one target.

    Attributes
    ----------
    refusing : bool
        Whether requests are refused because the target's service is full.
    """

    def __init__(self) -> None:
        self.refusing = False
        self.trim = 1.0
        self.busy = 0.0
        self.rejecting = 0.0
        self.moved_at: float | None = None

    def served(self, *, rejected: bool) -> None:
        """Note whether the target ran a call or rejected it."""
        self.rejecting += REJECT_SMOOTHING * (float(rejected) - self.rejecting)

    def move(self, now: float, *, running: int, limit: int, wait: float) -> None:
        """Take a moment's picture; `wait` is how long a call waits now, seconds."""
        elapsed = 0.0 if self.moved_at is None else now - self.moved_at
        self.moved_at = now
        if elapsed <= 0.0:
            return
        weight = min(1.0, elapsed / BUSY_SMOOTHING_S)
        self.busy += weight * (running / limit - self.busy)
        change = self._trim_change(wait) * min(elapsed, BUSY_SMOOTHING_S)
        self.trim = min(TRIM_MOST, max(TRIM_LEAST, self.trim + change))

    def _trim_change(self, wait: float) -> float:
        """Return the change of the trim a second.

        Free slots show that the room is greater only while requests are refused for it;
        in calm they show nothing, and a trim that had risen then would meet the next
        surge with more room than there is.
        """
        if self.busy >= BUSY_AIM:
            late = min(wait / WAIT_AIM_S, WAIT_RATIO_MAX)
            return TRIM_FALL * (1.0 - late)
        if self.refusing or self.trim < 1.0:
            return TRIM_RISE
        return -TRIM_RISE if self.trim > 1.0 + TRIM_STILL else 0.0

    def calls_per_second(self, limit: int, mean: float) -> float:
        """Return the room; `mean` is the seconds of a call."""
        return self.trim * (1.0 - self.rejecting) * limit / max(mean, 1e-4)
