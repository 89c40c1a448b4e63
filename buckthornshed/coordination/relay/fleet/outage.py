"""Times in which the store could not be read, and whether registrations lapsed then."""

import math

__all__ = ["StoreOutage"]

RECOVERY_GRACE_S = 2.0
"""Time after an outage for which registrations that ended meanwhile are kept."""
SHORTEST_LAPSE_HEARTBEATS = 2.0
"""Length of an outage, in heartbeats, in which no registration lapses.

A registration lapses after three heartbeats of silence, and the latest one may have
come a heartbeat before the outage began.
"""


class StoreOutage:
    """Knows whether a registration may have ended only because of an outage.

    Parameters
    ----------
    heartbeat : float
        Interval at which targets renew their registrations, in seconds; 0 if it is not
        known, which makes each outage count.

    Attributes
    ----------
    active : bool
        Whether this relay cannot read the store.
    last_read : float
        When this relay or one that reports to it last read the store, in seconds.
    began_at : float
        Time of the last read before the outage, or of any relay in it, in seconds.
    lapsed : bool
        Whether registrations may have lapsed between two reads in the outage.
    grace_until : float
        Time until which ended registrations are kept.
    """

    def __init__(self, *, heartbeat: float = 0.0) -> None:
        self.heartbeat = heartbeat
        self.active = False
        self.last_read = -math.inf
        self.began_at = -math.inf
        self.ended_at = -math.inf
        self.lapsed = False
        self.grace_until = 0.0

    def begin(self) -> None:
        """Handle the first failed read.

        An outage that follows another one within a heartbeat continues it, as not every
        target has renewed its registration in between.
        """
        if self.active:
            return
        self.active = True
        if self.last_read > self.ended_at + self.heartbeat:
            self.began_at = self.last_read
            self.lapsed = False

    def note_read(self, now: float) -> None:
        """Record that this relay or another one has read the store.

        During an outage it shows that the store answers from then on. Before, it may
        not have answered any of them.
        """
        self.last_read = now
        if self.active:
            self.lapsed = self.lapsed or self._may_lapse(now)
            self.began_at = now

    def end(self, now: float) -> None:
        """Handle the first successful read; start the grace if registrations lapsed."""
        if not self.active:
            return
        self.active = False
        self.ended_at = now
        if (
            self.lapsed
            or now - self.began_at >= self._lapse
            or self.grace_until > self.began_at
        ):
            self.start_grace(now)

    def start_grace(self, now: float) -> None:
        """Keep ended registrations from now on until targets have renewed theirs."""
        self.grace_until = now + RECOVERY_GRACE_S

    @property
    def _lapse(self) -> float:
        """Seconds without a read in which a registration may lapse."""
        return SHORTEST_LAPSE_HEARTBEATS * self.heartbeat

    def _may_lapse(self, now: float) -> bool:
        """Return whether registrations this relay knew may have lapsed until a read."""
        return math.isfinite(self.began_at) and now - self.began_at >= self._lapse

    def covers(self, now: float) -> bool:
        """Return whether registrations that end now may belong to running targets."""
        return self.active or now < self.grace_until
