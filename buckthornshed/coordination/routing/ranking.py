"""What one node knows of one target, and the cost of sending it a call.

All of it comes from the answers to real calls: the health and load endpoints of a
target lag or mislead, and a probe costs the target a slot.
"""

import math

from ...protocol.messages import NodeSignal
from ...state.objects import Target
from .outliers import FailureRecord

__all__ = ["COLD_S", "COLD_WEIGHT", "FORGET_S", "TargetView"]

LATENCY_WEIGHT = 0.1
FORGET_S = 10.0
COLD_S = 10.0
COLD_WEIGHT = 0.1
SIGNAL_FADE_S = 1.0
THRESHOLD_FADE_S = 1.5
LATENCY_FLOOR_S = 1e-4
FULL_FACTOR = 4.0
TRIAL_FACTOR = 0.8


class TargetView:
    """One target as this node sees it.

    Parameters
    ----------
    name : str
        Its name.
    target : Target
        Its object of the configuration.
    distance : int
        0 in the failure domain of this node, 1 in its region, 2 elsewhere.
    """

    __slots__ = (
        "answered_at",
        "cold_since",
        "distance",
        "in_flight",
        "incarnation",
        "latency",
        "leaving",
        "name",
        "record",
        "reported",
        "reported_at",
        "sent_since",
        "silent_since",
        "slots",
        "target",
        "threshold",
    )

    def __init__(self, *, name: str, target: Target, distance: int) -> None:
        self.name = name
        self.target = target
        self.slots = target["slots"]
        self.distance = distance
        self.in_flight = 0
        self.silent_since = 0.0
        self.record = FailureRecord()
        self.leaving = False
        self.incarnation = 0
        self.cold_since = -math.inf
        self._forget()

    def sent(self, now: float) -> None:
        """Count a call on its way."""
        if self.in_flight == 0:
            self.silent_since = now
        self.in_flight += 1
        self.sent_since += 1

    def answered(self, now: float, signal: NodeSignal, latency: float | None) -> None:
        """Learn from an answer that took ``latency`` seconds.

        ``latency`` is None where the target did not do the work: a refusal is quick,
        and must not make its target look fast.
        """
        self.in_flight = max(0, self.in_flight - 1)
        self.silent_since = now
        self.record.succeeded()
        if signal.incarnation > self.incarnation:
            self._restarted(now, signal.incarnation)
        if signal.incarnation < self.incarnation:
            return
        self.leaving = signal.draining
        self.reported = signal.in_flight
        self.reported_at = now
        self.sent_since = 0
        self.threshold = signal.threshold
        if latency is not None:
            self._learn_latency(now, latency)

    def ended(self) -> None:
        """Count a call that ended without anything to learn from."""
        self.in_flight = max(0, self.in_flight - 1)

    def cost(self, now: float, typical: float) -> float:
        """Return the expected seconds of a further call.

        A target that has not answered for long looks a little better than the
        others until one call is under way: that call finds out how it does now. Calls
        that wait without any answer count as being as slow as they are already.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        typical : float
            Latency in seconds that is assumed where nothing is known.
        """
        known = self._recalled(now)
        if known == 0 and self.in_flight == 0:
            typical *= TRIAL_FACTOR
        latency = typical + known * (self.latency - typical)
        if self.in_flight:
            latency = max(latency, now - self.silent_since)
        load = self.load(now)
        queueing = FULL_FACTOR if load >= 1 else 1.0
        return max(latency, LATENCY_FLOOR_S) * (1 + load) * queueing

    def load(self, now: float) -> float:
        """Return the calls at the target for each slot, as far as is known."""
        fresh = max(0.0, 1 - (now - self.reported_at) / SIGNAL_FADE_S)
        others = self.reported * fresh + self.sent_since
        return max(self.in_flight, others) / self.slots

    def weight(self, now: float) -> float:
        """Return its part of the calls when costs are equal, in slots."""
        if self.cold_since == -math.inf:
            return self.slots
        warm = min(1.0, (now - self.cold_since) / COLD_S)
        return self.slots * max(COLD_WEIGHT, warm)

    def refuses(self, now: float, level: int) -> bool:
        """Return whether the target is known to refuse calls of ``level``."""
        if not self.threshold:
            return False
        age = now - self.reported_at
        kept = max(0.0, 1 - age / THRESHOLD_FADE_S)
        return level < self.threshold * kept

    def usable(self, now: float) -> bool:
        """Return whether the target may get a call."""
        if self.leaving:
            return False
        return not self.record.ejections or self.record.admits(now, self.in_flight)

    def _learn_latency(self, now: float, latency: float) -> None:
        known = self._recalled(now)
        weight = max(LATENCY_WEIGHT, 1 - known)
        self.latency += weight * (latency - self.latency)
        self.answered_at = now

    def _recalled(self, now: float) -> float:
        """Return how far the learned latency still holds, 1 down to 0."""
        return max(0.0, 1 - (now - self.answered_at) / FORGET_S)

    def _restarted(self, now: float, incarnation: int) -> None:
        if self.incarnation:
            self._forget()
            self.cold_since = now
        self.incarnation = incarnation

    def _forget(self) -> None:
        self.latency = 0.0
        self.answered_at = -math.inf
        self.reported = 0
        self.reported_at = -math.inf
        self.sent_since = 0
        self.threshold = 0
