"""Detection of process pauses by gaps in the monotonic clock."""

from typing import NamedTuple

__all__ = ["PAUSE_THRESHOLD_S", "TICK_S", "Pause", "PauseDetector"]

TICK_S = 0.1
PAUSE_THRESHOLD_S = 1.0


class Pause(NamedTuple):
    """A pause that has ended; times in monotonic seconds."""

    began: float
    ended: float


class PauseDetector:
    """Detects that the process was paused and marks its view as stale.

    The view is stale until it has been refreshed. ``observe`` has to be called first on
    each event, not only on ticks: a process that resumes may receive pending messages
    before its timers fire.

    Parameters
    ----------
    now : float
        Monotonic seconds at the start of the process.
    pause_s : float
        Minimum gap that counts as a pause; several times ``TICK_S``.
    """

    def __init__(self, *, now: float, pause_s: float = PAUSE_THRESHOLD_S) -> None:
        self.pause_s = pause_s
        self.last_observed = now
        self.stale_since: float | None = None
        self.pauses = 0

    @property
    def fresh(self) -> bool:
        """Whether the node may rely on its view of other nodes."""
        return self.stale_since is None

    def observe(self, now: float) -> Pause | None:
        """Record that the process runs at ``now``; return the pause that ended, if any.

        Call this on each event and at least every ``TICK_S``.
        """
        began = self.last_observed
        self.last_observed = max(now, began)
        if now - began < self.pause_s:
            return None
        self.pauses += 1
        self.stale_since = now
        return Pause(began, now)

    def refreshed(self, requested_at: float) -> None:
        """Record an answer to a query for current state sent at ``requested_at``.

        Answers to queries from before the end of the pause are ignored.
        """
        if self.stale_since is not None and requested_at >= self.stale_since:
            self.stale_since = None
